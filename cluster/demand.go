package cluster

import (
	"maps"
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// demandKept is the part of the former estimate that is kept at each
	// planning, twenty times a second: the estimate follows within two
	// seconds.
	demandKept = 0.95
	// leastWork is the work, in groups, below which the shares declared in
	// the configuration are used.
	leastWork = 0.5
)

// demand is the part of all instances that each model needs.
func (o *owner) demand(engine *models.EngineProfile) map[models.ModelName]float64 {
	work := o.work()
	total := 0.0
	for _, m := range engine.Models {
		total += work[m.Name] * float64(m.GroupSize)
	}
	if total > 0 {
		o.fleet.traffic = true
	}
	want := map[models.ModelName]float64{}
	for _, m := range engine.Models {
		want[m.Name] = m.Share
		if total > leastWork {
			want[m.Name] = work[m.Name] * float64(m.GroupSize) / total
		}
	}
	if o.fleet.demand == nil || total <= leastWork {
		o.fleet.demand = want
	}
	for name, w := range want {
		o.fleet.demand[name] = demandKept*o.fleet.demand[name] + (1-demandKept)*w
	}
	return maps.Clone(o.fleet.demand)
}

// busyKept is the part of the former average that is kept at each planning,
// twenty times a second: the average follows within two seconds.
const busyKept = 0.97

// busy averages how many requests the groups of each model have, and how many of their
// places limits and rests withhold.
func (o *owner) busy(engine *models.EngineProfile, now time.Time) (busy, withheld map[models.ModelName]float64) {
	if o.fleet.busy == nil {
		o.fleet.busy, o.fleet.withheld = map[models.ModelName]float64{}, map[models.ModelName]float64{}
	}
	groups := o.fleet.serving(now)
	own := o.n.traffic.Loads()
	for _, m := range engine.Models {
		sum, kept := 0, 0
		for _, g := range groups[m.Name] {
			requests := own[g.Head.ID].Requests + o.n.PeersLoad(g.Head.ID).Requests
			sum += requests
			rate := o.n.limits.Rate(g.Head, now)
			if o.n.breakers.IsBusy(g.Head) {
				rate = 0
			}
			kept += engine.Slots - places(engine, rate, requests)
		}
		average(o.fleet.busy, m.Name, sum)
		average(o.fleet.withheld, m.Name, kept)
	}
	return maps.Clone(o.fleet.busy), maps.Clone(o.fleet.withheld)
}

// typicalStay is about how long a request stays at a group.
const typicalStay = time.Second

// places is how many of a group's places can be used whose head may get requests at some
// rate.
func places(engine *models.EngineProfile, rate float64, requests int) int {
	if rate >= float64(engine.Slots)/typicalStay.Seconds() {
		return engine.Slots
	}
	return min(engine.Slots, max(requests, int(math.Ceil(rate*typicalStay.Seconds()))))
}

// average takes one more count into the average of a model.
func average(averages map[models.ModelName]float64, model models.ModelName, count int) {
	if _, known := averages[model]; !known {
		averages[model] = float64(count)
	}
	averages[model] = busyKept*averages[model] + (1-busyKept)*float64(count)
}

// supplyEvery is how often the planner tells what serves.
const supplyEvery = 2 * time.Second

// logSupply tells what each model has and needs.
func (o *owner) logSupply(engine *models.EngineProfile, w fleet.Snapshot) {
	if w.Now.Sub(o.fleet.supplyLogged) < supplyEvery {
		return
	}
	o.fleet.supplyLogged = w.Now
	groups := o.fleet.serving(w.Now)
	work := o.work()
	for _, m := range engine.Models {
		busy := int(w.InFlight[m.Name])
		o.n.log.Info().Str("model", string(m.Name)).Int("groups", len(groups[m.Name])).Int("size", m.GroupSize).Int("in-flight", busy).
			Float64("demand", w.Demand[m.Name]).Float64("work", work[m.Name]).Int("instances", len(w.Instances)).
			Int("lost", len(w.Unreachable)).Msg("supply")
	}
	c := o.fleet.planner.Counts()
	o.n.log.Info().Int("forming", c.Forming).Int("ending", c.Ending).Int("staging", c.Staging).Int("loading", c.Loading).
		Int("free", c.Free).Int("orders", o.fleet.underWay).Int("questions", o.fleet.asking).Int("calls-most", o.fleet.calls.Most()).Msg("plan")
}
