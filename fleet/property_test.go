package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestInvariants runs a simulation with random faults, up to two active planners and delayed
// orders. It checks that no instance is ever in two groups, no group opens with a member missing,
// and the load rate of the weight store is never exceeded.
func TestInvariants(t *testing.T) { rapid.Check(t, checkInvariants) }

// TestLateJoinTakesMemberOfOpenGroup guards against an order of an ended planner that takes a member from a group
// which the next planner has opened, at instances that don't check fences. It plays the cases in testdata/rapid,
// and others.
func TestLateJoinTakesMemberOfOpenGroup(t *testing.T) { rapid.Check(t, checkInvariants) }

// checkInvariants is the property of TestInvariants.
func checkInvariants(t *rapid.T) {
	s := newSim(testProfile(), rapid.Uint64().Draw(t, "seed"))
	s.demand["big"], s.demand["small"] = 0.5, 0.5
	s.add("a-0", "a", "z1")
	for range rapid.IntRange(4, 12).Draw(t, "in a") {
		s.add(s.newID("a"), "a", "z1")
	}
	for range rapid.IntRange(2, 12).Draw(t, "in b") {
		s.add(s.newID("b"), "b", "z2")
	}
	s.lateFraction = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "late")
	s.ignoreFences = rapid.Bool().Draw(t, "unfenced")
	s.newPlanner(1)
	s.run(20 * time.Second)
	s.traffic = true
	term := int64(1)
	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		term = s.injectFault(t, term)
		s.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
		if len(s.violations) > 0 {
			t.Fatalf("invariant violated: %s", s.violations[0])
		}
	}
	if most, bound := s.mostLoads(loadWindow), 30; most > bound {
		t.Fatalf("%d loads within %s", most, loadWindow)
	}
}

func (s *sim) newID(domain string) models.InstanceID {
	id := models.InstanceID(domain + "-1")
	for s.instances[id] != nil {
		id += "x"
	}
	return id
}

func (s *sim) injectFault(t *rapid.T, term int64) int64 {
	ids := slices.Sorted(maps.Keys(s.instances))
	i := s.instances[rapid.SampledFrom(ids).Draw(t, "instance")]
	switch rapid.SampledFrom([]string{"kill", "cut", "heal", "suspect", "drain", "add", "planner", "in-flight", "shift"}).Draw(t, "fault") {
	case "kill":
		i.dead = true
	case "cut":
		i.cut = true
	case "heal":
		i.cut = false
		delete(s.suspected, i.ID)
	case "suspect":
		s.suspected[i.ID] = true
	case "drain":
		i.Draining = true
	case "add":
		s.add(s.newID(string(i.Domain)), i.Domain, i.Zone)
	case "planner":
		term++
		s.planners = append(s.planners[max(0, len(s.planners)-1):], NewPlanner(term, s.now))
	case "in-flight":
		s.requests["big"] = float64(rapid.IntRange(0, 80).Draw(t, "requests in flight"))
	case "shift":
		s.demand["big"] = rapid.Float64Range(0, 1).Draw(t, "need")
		s.demand["small"] = 1 - s.demand["big"]
	}
	return term
}

// TestFenceRises checks that fences increase within a term and from term to term.
func TestFenceRises(t *testing.T) {
	c := qt.New(t)
	old, next := NewPlanner(7, time.Time{}), NewPlanner(8, time.Time{})
	last := int64(0)
	for range 1000 {
		fence := old.nextFence()
		c.Assert(fence > last, qt.IsTrue)
		last = fence
	}
	c.Assert(next.nextFence() > last, qt.IsTrue)
}

// ExampleModelOf shows that a group's name contains its model.
func ExampleModelOf() {
	name := nameGroup("brief.large", 1234)
	println(ModelOf(name) == "brief.large")
	// Output:
}
