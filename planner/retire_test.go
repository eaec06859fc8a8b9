package planner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// TestRetiringGroupEndsWithRequestsInFlight guards against groups that are ended, which breaks the
// streams in flight, since nothing recent is known of their first member.
func TestRetiringGroupEndsWithRequestsInFlight(t *testing.T) {
	const maxAge, replaceAfter = 2 * time.Second, time.Second
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	retired := now.Add(-500 * time.Millisecond)
	g := models.Group{ID: "g", Model: "m", Version: "v1", Fence: 7, Retiring: 9, Domain: "d", Members: []models.Member{{ID: "a"}, {ID: "b"}}}
	seen := func(at time.Time, inFlight int) planner.Evidence {
		return planner.Evidence{LastSeen: at, Status: types.EngineStatus{Group: "g", Fence: 7, InFlight: inFlight}}
	}
	unanswered := func(e planner.Evidence) planner.Evidence {
		e.UnansweredSince = e.LastSeen.Add(time.Millisecond)
		return e
	}
	for _, test := range []struct {
		name string
		a, b planner.Evidence
		ends bool
	}{
		{"idle", seen(now, 0), seen(now, 0), true},
		{"busy", seen(now, 3), seen(now, 0), false},
		{"idle before its retirement", seen(retired.Add(-time.Millisecond), 0), seen(now, 0), false},
		{"other member idle before", seen(now, 0), seen(retired.Add(-time.Millisecond), 0), false},
		{"busy, a probe unanswered", unanswered(seen(now.Add(-100*time.Millisecond), 3)), seen(now, 0), false},
		{"idle before, a probe unanswered", unanswered(seen(retired.Add(-100*time.Millisecond), 0)), seen(now, 0), false},
		{"unreachable for longer than a member is waited for", unanswered(seen(now.Add(-replaceAfter-time.Millisecond), 3)), seen(now, 0), false},
		{"unreachable for the relocation grace period", unanswered(seen(now.Add(-5*replaceAfter-time.Millisecond), 3)), seen(now, 0), true},
		{"late evidence of this daemon", planner.Evidence{LastSeen: now.Add(-maxAge - time.Second), ProbedSince: now, Status: seen(now, 3).Status}, seen(now, 0), false},
		{"never seen", planner.Evidence{ProbedSince: now}, seen(now, 0), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			in := planner.Input{
				State:         &state.State{Groups: map[models.GroupID]models.Group{g.ID: g}},
				Evidence:      map[models.InstanceID]planner.Evidence{"a": test.a, "b": test.b},
				RetiringSince: map[models.GroupID]time.Time{g.ID: retired},
				Now:           now, Rules: planner.DefaultRules(replaceAfter, maxAge),
			}
			ends := false
			for _, p := range planner.Plan(in) {
				_, ended := p.Body.(state.EndGroup)
				ends = ends || ended
			}
			qt.Assert(t, ends, qt.Equals, test.ends)
		})
	}
}
