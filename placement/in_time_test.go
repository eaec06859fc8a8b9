package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/placement"
)

// picks returns how often each group is picked.
func picks(groups []placement.Candidate, req placement.Request, staleness placement.Staleness) []int {
	random := rand.New(rand.NewPCG(5, 6))
	counts := make([]int, len(groups))
	for range 1000 {
		counts[placement.DefaultPolicy().Pick(engineB, groups, req, staleness, random)]++
	}
	return counts
}

// request250 is a request of the second kind of deployment B, staleB the staleness of its loads.
var (
	request250 = placement.Request{PromptTokens: 714, LatencyTarget: 250 * time.Millisecond, RouteTarget: 250 * time.Millisecond, Displaced: 1, Model: small, Base: baseSmall, TimeLeft: 250 * time.Millisecond}
	staleB     = placement.Staleness{Age: 50 * time.Millisecond, Daemons: 71, RequestRate: 6}
)

// TestPicksAsBefore checks that predictions change no pick if the base latency is unknown, or if all
// groups or none are in time and none is slow, whatever is unproven.
func TestPicksAsBefore(t *testing.T) {
	c := qt.New(t)
	setup := rand.New(rand.NewPCG(7, 8))
	policy := placement.DefaultPolicy()
	for n := range 2000 {
		groups := make([]placement.Candidate, 1+setup.IntN(12))
		for i := range groups {
			groups[i] = placement.Candidate{Requests: setup.IntN(36), PrefillTokens: setup.IntN(4000), SameZone: setup.IntN(2) == 0, Failures: setup.Float64(), Slowness: 0.8 + 0.59*setup.Float64(), Unproven: setup.IntN(3) == 0}
		}
		before := request250
		before.Base, before.TimeLeft = 0, 0
		staleness := placement.Staleness{}
		if n%2 == 0 {
			staleness = staleB
		}
		unknown, relaxed, hopeless, late := request250, request250, request250, request250
		unknown.Base = 0
		relaxed.TimeLeft = time.Minute
		hopeless.TimeLeft = time.Millisecond
		late.TimeLeft = 0
		want := policy.Pick(engineB, groups, before, staleness, rand.New(rand.NewPCG(1, uint64(n))))
		for _, req := range []placement.Request{unknown, relaxed, hopeless, late} {
			got := policy.Pick(engineB, groups, req, staleness, rand.New(rand.NewPCG(1, uint64(n))))
			c.Assert(got, qt.Equals, want, qt.Commentf("case %d: %+v", n, req))
		}
	}
}

// TestPrefersGroupsInTime checks that a group where the request would be late does not count as
// better than one where it would be in time. A group in another zone with few requests was picked
// although it was slow, and a loaded one in the own zone although its first events were late.
func TestPrefersGroupsInTime(t *testing.T) {
	c := qt.New(t)
	slow := placement.Candidate{Requests: 1, SameZone: true, Slowness: 2}
	inTime := placement.Candidate{Requests: 24, SameZone: false, Slowness: 1}
	c.Check(picks([]placement.Candidate{slow, inTime}, request250, placement.Staleness{}), qt.DeepEquals, []int{0, 1000})
	full := placement.Candidate{Requests: 34, SameZone: true, Slowness: 1}
	urgent := request250
	urgent.TimeLeft = 210 * time.Millisecond
	distant := placement.Candidate{Requests: 20, PrefillTokens: 500, Slowness: 1}
	nearButLate := placement.Candidate{Requests: 30, SameZone: true, Slowness: 1}
	c.Check(picks([]placement.Candidate{nearButLate, distant}, urgent, placement.Staleness{}), qt.DeepEquals, []int{0, 1000})
	c.Check(picks([]placement.Candidate{full, full}, request250, placement.Staleness{})[0] > 400, qt.IsTrue)
	// A request that is late already is sent where it is answered soonest.
	late := request250
	late.LatencyTarget, late.TimeLeft = 0, 0
	c.Check(picks([]placement.Candidate{slow, inTime}, late, placement.Staleness{}), qt.DeepEquals, []int{0, 1000})
}

// TestSpreadsBeyondGroupsInTime checks that daemons with the same loads do not all send their
// requests to the only group that is in time.
func TestSpreadsBeyondGroupsInTime(t *testing.T) {
	c := qt.New(t)
	groups := []placement.Candidate{{Requests: 20, SameZone: true}}
	for range 9 {
		groups = append(groups, placement.Candidate{Requests: 34, SameZone: true})
	}
	counts := picks(groups, request250, staleB)
	c.Check(counts[0] > 150 && counts[0] < 500, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestNoBurstAtUnprovenGroups checks that a group that has just formed beside loaded ones gets
// requests, but not a multiple of what the others get until its speed is known.
func TestNoBurstAtUnprovenGroups(t *testing.T) {
	c := qt.New(t)
	groups := []placement.Candidate{{SameZone: true, Unproven: true}}
	for range 9 {
		groups = append(groups, placement.Candidate{Requests: 34, SameZone: true})
	}
	counts := picks(groups, request250, staleB)
	c.Check(counts[0] > 50 && counts[0] < 150, qt.IsTrue, qt.Commentf("%v", counts))
	groups[0].Unproven = false
	proven := picks(groups, request250, staleB)
	c.Check(proven[0] > 3*counts[0]/2, qt.IsTrue, qt.Commentf("%v, unproven %v", proven, counts))
}
