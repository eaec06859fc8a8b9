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

const settleSteps = int(90 * time.Second / simulationStep)

func randomSimulation(t *rapid.T) *simulation {
	sim := newSimulation(simulationOptions{Load: time.Second, LoadsPerSecond: 50, ReplaceAfter: time.Second})
	domains := rapid.IntRange(1, 3).Draw(t, "domains")
	for n := range rapid.IntRange(1, 8).Draw(t, "instances") {
		d := rapid.IntRange(0, domains-1).Draw(t, "domain")
		sim.add(models.InstanceID(fmt.Sprintf("i%d", n)), domainName(d))
	}
	ops := []state.Op{state.PutPolicy{Policy: models.Policy{DowntimeWeight: 1, StrandedWeight: 100}}}
	for n := range 2 {
		ops = append(ops, state.PutModel{Model: models.Model{
			Name: models.ModelName(fmt.Sprintf("m%d", n)), Version: "v1",
			Members:  rapid.IntRange(1, 4).Draw(t, "members"),
			Replicas: rapid.IntRange(0, 3).Draw(t, "replicas"),
		}})
	}
	if err := sim.configure(ops...); err != nil {
		t.Fatal(err)
	}
	return sim
}

// checkInvariants checks what must hold at every step. The tests of package state also check that
// no instance belongs to two groups.
func checkInvariants(t *rapid.T, sim *simulation) {
	owner := map[models.InstanceID]models.GroupID{}
	loading := 0
	for id, g := range sim.state.Groups {
		for _, m := range g.Members {
			if other, taken := owner[m.ID]; taken {
				t.Fatalf("instance %s belongs to %s and %s", m.ID, other, id)
			}
			owner[m.ID] = id
			if i, listed := sim.listed[m.ID]; listed && i.Domain != g.Domain {
				t.Fatalf("group %s of domain %s has member %s of domain %s", id, g.Domain, m.ID, i.Domain)
			}
		}
	}
	for _, m := range sim.machines {
		if m.model != "" && sim.now.Before(m.loadedAt) {
			loading++
		}
	}
	if loading > sim.rules.MaxLoads {
		t.Fatalf("%d loads at once", loading)
	}
}

// TestSteadyStateIsOptimal takes members down and up at random and then lets the planner settle: it
// must propose nothing more, and as many instances must serve as possible.
func TestSteadyStateIsOptimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := randomSimulation(t)
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			id := models.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 7).Draw(t, "instance")))
			sim.setUp(id, rapid.Bool().Draw(t, "up"))
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				if err := sim.step(); err != nil {
					t.Fatal(err)
				}
				checkInvariants(t, sim)
			}
		}
		for range settleSteps {
			if err := sim.step(); err != nil {
				t.Fatal(err)
			}
			checkInvariants(t, sim)
		}
		records := sim.records
		for range settleSteps / 10 {
			if err := sim.step(); err != nil {
				t.Fatal(err)
			}
		}
		if sim.records != records {
			t.Fatalf("the planner has not settled: %d more records, the last are %+v", sim.records-records, sim.lastBodies)
		}
		_, used := sim.serving()
		if _, best := sim.optimum(); used != best {
			t.Fatalf("%d instances serve, %d could: %+v", used, best, sim.state.Groups)
		}
	})
}

// TestTraces checks on a trace of single failures that no proposal is rejected, and that the
// downtime stays near its lower bound and far below that of the naive planner.
func TestTraces(t *testing.T) {
	c := qt.New(t)
	mtkvari, err := runTrace(t.Context(), singleFailures(), plannerVariant{"real", false, models.Policy{DowntimeWeight: 9, StrandedWeight: 1}})
	c.Assert(err, qt.IsNil)
	naive, err := runTrace(t.Context(), singleFailures(), plannerVariant{"naive", true, models.Policy{DowntimeWeight: 9, StrandedWeight: 1}})
	c.Assert(err, qt.IsNil)
	c.Assert(mtkvari.Downtime <= 1.2*mtkvari.DowntimeLimit, qt.IsTrue)
	c.Assert(mtkvari.Downtime <= naive.Downtime/4, qt.IsTrue, qt.Commentf("%v against %v", mtkvari.Downtime, naive.Downtime))
}

// TestAllShortHistories runs every history of up to two events on a small site: each event takes an
// instance down or up, and is followed by a short or a long pause.
func TestAllShortHistories(t *testing.T) {
	const instances, rest = 6, 60
	for history := range 2 * instances * 2 * instances * 4 {
		sim := newSimulation(simulationOptions{Load: time.Second, LoadsPerSecond: 50, ReplaceAfter: time.Second})
		for n := range instances {
			sim.add(models.InstanceID(fmt.Sprintf("i%d", n)), domainName(n%2))
		}
		err := sim.configure(
			state.PutModel{Model: models.Model{Name: "m0", Version: "v1", Members: 2, Replicas: 2}},
			state.PutModel{Model: models.Model{Name: "m1", Version: "v1", Members: 1, Replicas: 1}},
			state.PutPolicy{Policy: models.Policy{DowntimeWeight: 1, StrandedWeight: 100}})
		qt.Assert(t, err, qt.IsNil)
		run := func(steps int) {
			for range steps {
				qt.Assert(t, sim.step(), qt.IsNil)
			}
		}
		run(rest)
		left := history
		for range 2 {
			sim.setUp(models.InstanceID(fmt.Sprintf("i%d", left%instances)), left/instances%2 == 1)
			left /= 2 * instances
			run(1 + 8*(left%2))
		}
		run(rest)
		_, used := sim.serving()
		if _, best := sim.optimum(); used != best {
			t.Fatalf("history %d: %d instances serve, %d could", history, used, best)
		}
	}
}
