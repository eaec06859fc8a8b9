package cluster

import (
	"maps"
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
		total += work[m.Name] * float64(m.Size)
	}
	if total > 0 {
		o.fleet.traffic = true
	}
	want := map[models.ModelName]float64{}
	for _, m := range engine.Models {
		want[m.Name] = m.Share
		if total > leastWork {
			want[m.Name] = work[m.Name] * float64(m.Size) / total
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

// busy averages how many requests the groups of each model have.
func (o *owner) busy(engine *models.EngineProfile, now time.Time) map[models.ModelName]float64 {
	if o.fleet.busy == nil {
		o.fleet.busy = map[models.ModelName]float64{}
	}
	groups := o.fleet.serving(now)
	own := o.n.traffic.Loads()
	for _, m := range engine.Models {
		sum := 0
		for _, g := range groups[m.Name] {
			sum += own[g.Head.ID].Requests + o.n.PeersLoad(g.Head.ID).Requests
		}
		if _, known := o.fleet.busy[m.Name]; !known {
			o.fleet.busy[m.Name] = float64(sum)
		}
		o.fleet.busy[m.Name] = busyKept*o.fleet.busy[m.Name] + (1-busyKept)*float64(sum)
	}
	return maps.Clone(o.fleet.busy)
}

// supplyEvery is how often the planner tells what serves.
const supplyEvery = 2 * time.Second

// logSupply tells what each model has and needs.
func (o *owner) logSupply(engine *models.EngineProfile, w fleet.World) {
	if w.Now.Sub(o.fleet.supplyLogged) < supplyEvery {
		return
	}
	o.fleet.supplyLogged = w.Now
	groups := o.fleet.serving(w.Now)
	work := o.work()
	for _, m := range engine.Models {
		busy := int(w.Busy[m.Name])
		o.n.log.Info().Str("model", string(m.Name)).Int("groups", len(groups[m.Name])).Int("size", m.Size).Int("in-flight", busy).
			Float64("demand", w.Demand[m.Name]).Float64("work", work[m.Name]).Int("instances", len(w.Instances)).
			Int("lost", len(w.Lost)).Msg("supply")
	}
	c := o.fleet.planner.Counts()
	o.n.log.Info().Int("forming", c.Forming).Int("ending", c.Ending).Int("staging", c.Staging).Int("loading", c.Loading).
		Int("free", c.Free).Msg("plan")
}
