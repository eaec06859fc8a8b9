package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// lossScenario is a deployment in which a group loses an instance every few seconds and an empty
// instance replaces it later.
type lossScenario struct {
	domains, perDomain int
	large, small       int
	// demandLarge is the fraction of the instances that the larger model needs.
	demandLarge float64
	lossEvery   time.Duration
	// replacedAfter is the time from a loss until its domain gets an empty instance.
	replacedAfter time.Duration
}

const (
	settlingTime     = 10 * time.Second
	scenarioDuration = 36 * time.Second
	// entryLifetime is how long the store keeps the entry of a dead instance.
	entryLifetime = 3600 * time.Millisecond
)

// supplyResult is the supply of a scenario, as an average over its duration.
type supplyResult struct {
	// congestion is the planner's measure relative to a deployment in which all instances serve;
	// idle is the fraction of the instances that are in no serving group.
	congestion, idle float64
}

func (l lossScenario) run(seed uint64) (supplyResult, []string) {
	profile := testProfile()
	profile.Slots, profile.MaxConcurrentLoads, profile.LoadsPerSecond = 26, 6, 4
	profile.Models[0].GroupSize, profile.Models[1].GroupSize = l.large, l.small
	s := newSim(profile, seed)
	s.cheapLoads = true
	s.demand["big"], s.demand["small"] = l.demandLarge, 1-l.demandLarge
	for d := range l.domains {
		name := fmt.Sprintf("d%d", d)
		for range l.perDomain {
			s.add(s.newID(name), models.Domain(name), models.Zone(fmt.Sprintf("z%d", d%3)))
		}
	}
	s.newPlanner(1)
	s.run(settlingTime)
	s.traffic = true
	type arrival struct {
		at     time.Time
		domain models.Domain
		id     models.InstanceID
	}
	var arrivals []arrival
	var dead []arrival
	var sum supplyResult
	samples, next := 0, s.now.Add(l.lossEvery)
	for end := s.now.Add(scenarioDuration); s.now.Before(end); {
		s.run(2 * simStep)
		if s.now.After(next) {
			next = next.Add(l.lossEvery)
			killed := s.killMember()
			dead = append(dead, arrival{s.now.Add(entryLifetime), killed.Domain, killed.ID})
			arrivals = append(arrivals, arrival{s.now.Add(l.replacedAfter), killed.Domain, ""})
		}
		for len(dead) > 0 && s.now.After(dead[0].at) {
			delete(s.instances, dead[0].id)
			dead = dead[1:]
		}
		for len(arrivals) > 0 && s.now.After(arrivals[0].at) {
			d := arrivals[0].domain
			s.add(s.newID(string(d)), d, "z")
			arrivals = arrivals[1:]
		}
		now := s.measureSupply(l.domains * l.perDomain)
		sum.congestion += now.congestion
		sum.idle += now.idle
		samples++
	}
	return supplyResult{sum.congestion / float64(samples), sum.idle / float64(samples)}, s.violations
}

// killMember kills a random member of a serving group.
func (s *sim) killMember() *simInstance {
	var members []models.InstanceID
	for _, id := range slices.Sorted(maps.Keys(s.instances)) {
		i := s.instances[id]
		if !i.dead && (i.Group.State == models.MemberOpen || i.Group.State == models.MemberReady) {
			members = append(members, id)
		}
	}
	killed := s.instances[members[s.rand.IntN(len(members))]]
	killed.dead = true
	return killed
}

func (s *sim) measureSupply(total int) supplyResult {
	serving := 0
	ideal, sum := 0.0, 0.0
	for _, m := range s.profile.Models {
		n := s.serving(m.Name) * m.GroupSize
		serving += n
		need := s.demand[m.Name]
		ideal += need / float64(total)
		sum += need * need / max(float64(n), float64(m.GroupSize)/2)
	}
	return supplyResult{sum / ideal, 1 - float64(serving)/float64(total)}
}

// TestSupplyUnderLosses bounds congestion and idle instances while instances are lost continuously.
// The comment at each bound gives both as means over eight seeds, with each domain dedicated to one
// model and with the layout as computed now.
func TestSupplyUnderLosses(t *testing.T) {
	const seeds = 3
	for _, test := range []struct {
		site lossScenario
		most supplyResult
	}{
		// Dedicated 1.367 and 0.235, computed 1.311 and 0.196.
		{lossScenario{6, 8, 4, 2, 0.66, 3 * time.Second, 12 * time.Second}, supplyResult{congestion: 1.34, idle: 0.215}},
		// Dedicated 1.264 and 0.202, computed 1.258 and 0.197.
		{lossScenario{6, 10, 4, 2, 0.66, 3 * time.Second, 12 * time.Second}, supplyResult{congestion: 1.29, idle: 0.215}},
		// Dedicated 1.248 and 0.196, computed 1.250 and 0.196.
		{lossScenario{9, 19, 8, 4, 0.66, 1500 * time.Millisecond, 12 * time.Second}, supplyResult{congestion: 1.28, idle: 0.215}},
		// Dedicated 1.361 and 0.211, computed the same.
		{lossScenario{5, 12, 4, 4, 0.5, 3 * time.Second, 12 * time.Second}, supplyResult{congestion: 1.40, idle: 0.23}},
		// Dedicated 1.304 and 0.200, computed 1.293 and 0.193.
		{lossScenario{6, 8, 4, 2, 0.33, 3 * time.Second, 12 * time.Second}, supplyResult{congestion: 1.33, idle: 0.215}},
	} {
		l := test.site
		t.Run(fmt.Sprintf("%d_of_%d_large_%d_small_%d_need_%.2f", l.domains, l.perDomain, l.large, l.small, l.demandLarge), func(t *testing.T) {
			var sum supplyResult
			for seed := range uint64(seeds) {
				got, broken := l.run(seed + 1)
				qt.Assert(t, broken, qt.HasLen, 0, qt.Commentf("seed %d", seed+1))
				sum.congestion += got.congestion / seeds
				sum.idle += got.idle / seeds
			}
			t.Logf("congestion %.3f, idle %.3f", sum.congestion, sum.idle)
			qt.Check(t, sum.congestion <= test.most.congestion, qt.IsTrue, qt.Commentf("congestion %.3f", sum.congestion))
			qt.Check(t, sum.idle <= test.most.idle, qt.IsTrue, qt.Commentf("idle %.3f", sum.idle))
		})
	}
}
