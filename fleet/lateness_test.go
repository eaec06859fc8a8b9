package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// wideSlotEngine and narrowSlotEngine are the profiles of two deployments whose late requests were
// observed by the load of their groups.
func wideSlotEngine() *models.EngineProfile {
	return &models.EngineProfile{
		Slots: 34, LoadsPerSecond: 14, MaxConcurrentLoads: 21, FormTime: 300 * time.Millisecond, PrefillTokensPerSecond: 46000,
		StepTime: 6070 * time.Microsecond, StepTimePerRequest: 241 * time.Microsecond, StepsPerSend: 5,
		Models: []models.ModelProfile{
			{Name: "big", GroupSize: 8, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", GroupSize: 4, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}
}

func narrowSlotEngine() *models.EngineProfile {
	e := wideSlotEngine()
	e.Slots, e.MaxConcurrentLoads, e.PrefillTokensPerSecond = 20, 20, 45900
	e.StepTime, e.StepTimePerRequest, e.StepsPerSend = 7800*time.Microsecond, 95*time.Microsecond, 6
	e.Models[1].GroupSize = 2
	return e
}

const observedBase = 120 * time.Millisecond

// TestLateByLoad compares the expected fraction of late requests with the observed one, by the load
// of the group. The emptiest groups are left out: often they have just been formed, are cold or are
// slow, which the estimate does not know. Where the slots are full, the estimate may only be
// higher: it takes every request as having to wait for two others, and the observed ones were sent
// to the group that was expected to answer first. An estimate that is lower leaves an overloaded
// model without supply.
func TestLateByLoad(t *testing.T) {
	small250 := latencyEstimate{
		engine: wideSlotEngine(), model: wideSlotEngine().Models[1], outputTokens: 23 * 5,
		demand: Demand{Prompt: 714, Target: 250 * time.Millisecond, Base: observedBase},
	}
	small300 := latencyEstimate{
		engine: narrowSlotEngine(), model: narrowSlotEngine().Models[1], outputTokens: 28 * 6,
		demand: Demand{Prompt: 714, Target: 300 * time.Millisecond, Base: observedBase},
	}
	large500 := latencyEstimate{
		engine: narrowSlotEngine(), model: narrowSlotEngine().Models[0], outputTokens: (36*28*6 + 31*4*6) / 67,
		demand: Demand{Prompt: (36*1460 + 31*2000) / 67, Target: 500 * time.Millisecond, Base: observedBase},
	}
	// nearlyFullTolerance is for groups that are full before the next loads are known.
	const smallTolerance, largeTolerance, nearlyFullTolerance = 0.05, 0.1, 0.08
	for _, test := range []struct {
		name      string
		estimate  latencyEstimate
		from, to  int
		late      float64
		tolerance float64
		full      bool
	}{
		{"small, 250 ms", small250, 8, 11, 0.01, smallTolerance, false},
		{"small, 250 ms", small250, 16, 19, 0.05, smallTolerance, false},
		{"small, 250 ms", small250, 20, 23, 0.09, smallTolerance, false},
		{"small, 250 ms", small250, 24, 27, 0.16, smallTolerance, false},
		{"small, 250 ms", small250, 28, 31, 0.31, nearlyFullTolerance, false},
		{"small, 250 ms", small250, 32, 35, 0.66, smallTolerance, true},
		{"small, 300 ms", small300, 8, 11, 0.03, smallTolerance, false},
		{"small, 300 ms", small300, 16, 19, 0.08, smallTolerance, false},
		{"small, 300 ms", small300, 20, 23, 0.52, smallTolerance, true},
		{"large, 500 ms", large500, 8, 11, 0.07, largeTolerance, false},
		{"large, 500 ms", large500, 16, 19, 0.22, largeTolerance, false},
		{"large, 500 ms", large500, 20, 23, 0.49, largeTolerance, true},
	} {
		t.Run(fmt.Sprintf("%s, load %d to %d", test.name, test.from, test.to), func(t *testing.T) {
			e, late := test.estimate, 0.0
			for load := test.from; load <= test.to; load++ {
				l := float64(load)
				running := min(l, float64(e.engine.Slots))
				late += e.lateAt(l, running/(e.outputTokens*e.step(running)+running*e.prefill()))
			}
			late /= float64(test.to - test.from + 1)
			t.Logf("late %.3f, observed %.2f", late, test.late)
			qt.Check(t, late > test.late-test.tolerance, qt.IsTrue, qt.Commentf("%.3f", late))
			qt.Check(t, test.full || late < test.late+test.tolerance, qt.IsTrue, qt.Commentf("%.3f", late))
		})
	}
}

// TestLateByGroups checks that the expected fraction of late requests falls with each group, from 1
// without any group, also across the number of groups that serve all requests with full slots: where
// it did not, no single move of instances would have a gain.
func TestLateByGroups(t *testing.T) {
	c := qt.New(t)
	engine := wideSlotEngine()
	e := latencyEstimate{
		engine: engine, model: engine.Models[1], outputTokens: 23 * 5,
		demand: Demand{Rate: 348, Prompt: 714, Target: 250 * time.Millisecond, Base: observedBase},
	}
	c.Assert(e.late(0), qt.Equals, 1.0)
	last := 1.0
	for groups := 1.0; groups <= 30; groups++ {
		late := e.late(groups)
		c.Assert(late < last, qt.IsTrue, qt.Commentf("%.0f groups: %.3f, and %.3f with one less", groups, late, last))
		last = late
	}
	c.Assert(last < 0.05, qt.IsTrue, qt.Commentf("%.3f", last))
	full := e.fullGroups()
	c.Assert(full > 12 && full < 15, qt.IsTrue, qt.Commentf("a full group completes 26 requests/s: %.1f", full))
	e.demand.Rate = 0
	c.Assert(e.late(0) > e.late(1), qt.IsTrue, qt.Commentf("a model without requests keeps a group"))
	c.Assert(e.late(1), qt.Equals, 0.0)
}

// TestNoTarget checks that without a latency target requests count as late once they find no free
// slot, rather than always: then no supply would differ from another.
func TestNoTarget(t *testing.T) {
	c := qt.New(t)
	engine := wideSlotEngine()
	e := latencyEstimate{engine: engine, model: engine.Models[1], outputTokens: 23 * 5, demand: Demand{Rate: 348, Prompt: 714}}
	c.Assert(e.late(40) < 0.05, qt.IsTrue, qt.Commentf("%.3f", e.late(40)))
	c.Assert(e.late(14) > 0.4, qt.IsTrue, qt.Commentf("%.3f", e.late(14)))
}

// TestCalibration checks that the length of responses is found by Little's law, that it is not
// learned from overloaded groups, whose requests in flight include waiting ones, and not before the
// averages have settled.
func TestCalibration(t *testing.T) {
	c := qt.New(t)
	engine := wideSlotEngine()
	small := engine.Models[1]
	demand := Demand{Rate: 200, Prompt: 714, Output: 400, Target: 250 * time.Millisecond, Base: observedBase}
	now := time.Unix(1000, 0)
	cal := newCalibration()
	observe := func(inFlight float64, d time.Duration) float64 {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			cal.observe(Snapshot{
				Now: now, Profile: engine, HasTraffic: true, Demand: map[models.ModelName]Demand{"small": demand},
				Serving: map[models.ModelName]int{"small": 20}, InFlight: map[models.ModelName]float64{"small": inFlight},
			})
		}
		return cal.outputFraction("small")
	}
	actual := latencyEstimate{engine: engine, model: small, demand: demand, outputTokens: 0.3 * 400}
	inFlight := 20 * actual.load(10)
	c.Assert(observe(inFlight, 3*time.Second), qt.Equals, assumedOutputFraction)
	settled := observe(inFlight, 25*time.Second)
	c.Assert(settled > 0.29 && settled < 0.32, qt.IsTrue, qt.Commentf("%.3f", settled))
	c.Assert(observe(0.9*20*34, 10*time.Second), qt.Equals, settled, qt.Commentf("overloaded"))
}
