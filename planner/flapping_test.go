package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/state"
)

// TestModelWaitsForFlappingInstances guards against models that have no group for half a minute after
// a fault has ended, since all instances that they could have flapped. Instances that did not are
// preferred.
func TestModelWaitsForFlappingInstances(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, test := range []struct {
		name string
		// flapping and calm are the numbers of instances that flapped often, and never.
		flapping, calm int
		returned       time.Duration
		members        []models.InstanceID
	}{
		{"none else", 2, 0, 5 * time.Second, []models.InstanceID{"f0", "f1"}},
		{"one else", 2, 1, 5 * time.Second, []models.InstanceID{"c0", "f0"}},
		{"enough others", 2, 2, 5 * time.Second, []models.InstanceID{"c0", "c1"}},
		{"just returned", 2, 1, 3 * time.Second, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := state.New()
			s.Models["m"] = models.Model{Name: "m", Version: "v1", Members: 2, Replicas: 1}
			in := planner.Input{
				State: s, Instances: map[models.InstanceID]models.Instance{}, Evidence: map[models.InstanceID]planner.Evidence{},
				Now: now, Rules: planner.DefaultRules(time.Second, 2*time.Second),
			}
			add := func(id string, e planner.Evidence) {
				in.Instances[models.InstanceID(id)] = models.Instance{ID: models.InstanceID(id), Kind: models.KindEngine, Zone: "z", Domain: "d", Accelerators: 1}
				e.LastSeen = now
				in.Evidence[models.InstanceID(id)] = e
			}
			for n := range test.flapping {
				add(fmt.Sprint("f", n), planner.Evidence{Flaps: 8, Returned: now.Add(-test.returned)})
			}
			for n := range test.calm {
				add(fmt.Sprint("c", n), planner.Evidence{})
			}
			var members []models.InstanceID
			for _, p := range planner.Plan(in) {
				if form, ok := p.Body.(state.FormGroup); ok {
					for _, m := range form.Group.Members {
						members = append(members, m.ID)
					}
				}
			}
			slices.Sort(members)
			qt.Assert(t, members, qt.DeepEquals, test.members)
		})
	}
}
