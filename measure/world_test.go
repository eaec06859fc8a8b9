package measure

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
)

const restSteps = int(90 * time.Second / worldStep)

func smallWorld(t *rapid.T) *world {
	w := newWorld(worldOptions{Load: time.Second, LoadsPerSecond: 50, ReplaceAfter: time.Second})
	domains := rapid.IntRange(1, 3).Draw(t, "domains")
	for n := range rapid.IntRange(1, 8).Draw(t, "instances") {
		d := rapid.IntRange(0, domains-1).Draw(t, "domain")
		w.add(models.InstanceID(fmt.Sprintf("i%d", n)), domainName(d))
	}
	ops := []state.Op{state.PutPolicy{Policy: models.Policy{DowntimeWeight: 1, StrandedWeight: 100}}}
	for n := range 2 {
		ops = append(ops, state.PutModel{Model: models.Model{
			Name: models.ModelName(fmt.Sprintf("m%d", n)), Version: "v1",
			Members:  rapid.IntRange(1, 4).Draw(t, "members"),
			Replicas: rapid.IntRange(0, 3).Draw(t, "replicas"),
		}})
	}
	if err := w.configure(ops...); err != nil {
		t.Fatal(err)
	}
	return w
}

// checkWorld checks what must hold at every step. That no instance belongs
// to two groups is checked by the fold's own tests as well.
func checkWorld(t *rapid.T, w *world) {
	owner := map[models.InstanceID]models.GroupID{}
	loading := 0
	for id, g := range w.state.Groups {
		for _, m := range g.Members {
			if other, taken := owner[m.ID]; taken {
				t.Fatalf("instance %s belongs to %s and %s", m.ID, other, id)
			}
			owner[m.ID] = id
			if i, listed := w.listed[m.ID]; listed && i.Domain != g.Domain {
				t.Fatalf("group %s of domain %s has member %s of domain %s", id, g.Domain, m.ID, i.Domain)
			}
		}
	}
	for _, m := range w.machines {
		if m.model != "" && w.now.Before(m.loaded) {
			loading++
		}
	}
	if loading > w.rules.MaxLoads {
		t.Fatalf("%d loads at once", loading)
	}
}

// TestRestIsOptimal lets members go and come back at random and then lets
// the planner come to rest: as many instances serve as at best can.
func TestRestIsOptimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := smallWorld(t)
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			id := models.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 7).Draw(t, "instance")))
			w.set(id, rapid.Bool().Draw(t, "up"))
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				if err := w.step(); err != nil {
					t.Fatal(err)
				}
				checkWorld(t, w)
			}
		}
		for range restSteps {
			if err := w.step(); err != nil {
				t.Fatal(err)
			}
			checkWorld(t, w)
		}
		records := w.records
		for range restSteps / 10 {
			if err := w.step(); err != nil {
				t.Fatal(err)
			}
		}
		if w.records != records {
			t.Fatalf("the planner is not at rest: %d more records, the last are %+v", w.records-records, w.last)
		}
		_, used := w.serving()
		if _, best := w.mostUsable(); used != best {
			t.Fatalf("%d instances serve, %d could: %+v", used, best, w.state.Groups)
		}
	})
}

// TestTraces runs the traces' invariants: no proposal is ever refused, and
// the planner keeps its promise for single deaths.
func TestTraces(t *testing.T) {
	c := qt.New(t)
	ours, err := playTrace(t.Context(), singleDeaths(), player{"real", false, models.Policy{DowntimeWeight: 9, StrandedWeight: 1}})
	c.Assert(err, qt.IsNil)
	naive, err := playTrace(t.Context(), singleDeaths(), player{"naive", true, models.Policy{DowntimeWeight: 9, StrandedWeight: 1}})
	c.Assert(err, qt.IsNil)
	c.Assert(ours.Downtime <= 1.2*ours.DowntimeLimit, qt.IsTrue)
	c.Assert(ours.Downtime <= naive.Downtime/4, qt.IsTrue, qt.Commentf("%v against %v", ours.Downtime, naive.Downtime))
}

// TestEveryShortHistory plays every history of up to two events, each an
// instance that goes or comes back, at two paces, on one small site.
func TestEveryShortHistory(t *testing.T) {
	const instances, rest = 6, 60
	for history := range 2 * instances * 2 * instances * 4 {
		w := newWorld(worldOptions{Load: time.Second, LoadsPerSecond: 50, ReplaceAfter: time.Second})
		for n := range instances {
			w.add(models.InstanceID(fmt.Sprintf("i%d", n)), domainName(n%2))
		}
		err := w.configure(
			state.PutModel{Model: models.Model{Name: "m0", Version: "v1", Members: 2, Replicas: 2}},
			state.PutModel{Model: models.Model{Name: "m1", Version: "v1", Members: 1, Replicas: 1}},
			state.PutPolicy{Policy: models.Policy{DowntimeWeight: 1, StrandedWeight: 100}})
		qt.Assert(t, err, qt.IsNil)
		run := func(steps int) {
			for range steps {
				qt.Assert(t, w.step(), qt.IsNil)
			}
		}
		run(rest)
		left := history
		for range 2 {
			w.set(models.InstanceID(fmt.Sprintf("i%d", left%instances)), left/instances%2 == 1)
			left /= 2 * instances
			run(1 + 8*(left%2))
		}
		run(rest)
		_, used := w.serving()
		if _, best := w.mostUsable(); used != best {
			t.Fatalf("history %d: %d instances serve, %d could", history, used, best)
		}
	}
}
