package cluster

import (
	"maps"

	"github.com/lupinkeel/lupinkeel/models"
)

// What callers ask of each model, in seconds of a replica group for each second, is
// summed by zone, for the daemon that plans.

// work sums what the callers of all daemons ask of each model. What those of other
// zones ask is told by the first relay of each that is heard.
func (o *owner) work() map[models.ModelName]float64 {
	sum := o.zoneWork()
	if o.peers.arranged.IsMesh {
		return sum
	}
	told := map[models.Zone]bool{}
	for _, d := range o.peers.arranged.PlannerCandidates {
		p, seen := o.peers.seen[d.ID]
		if d.Zone == o.n.cfg.Zone || !seen || told[d.Zone] || len(p.beat.ZoneWork) == 0 {
			continue
		}
		told[d.Zone] = true
		addWork(sum, p.beat.ZoneWork)
	}
	return sum
}

// zoneWork sums what the callers of the daemons of this one's zone ask of each
// model; in a mesh, of all daemons.
func (o *owner) zoneWork() map[models.ModelName]float64 {
	sum := maps.Clone(o.n.traffic.Work())
	if sum == nil {
		sum = map[models.ModelName]float64{}
	}
	for _, p := range o.peers.seen {
		if o.peers.arranged.IsMesh || p.beat.Zone == o.n.cfg.Zone {
			addWork(sum, p.beat.Work)
		}
	}
	return sum
}

func addWork(sum map[models.ModelName]float64, work map[models.ModelName]float32) {
	for model, w := range work {
		sum[model] += float64(w)
	}
}

// shownZoneWork is what this daemon tells of its zone, as a relay.
func (o *owner) shownZoneWork() map[models.ModelName]float32 {
	if o.peers.arranged.IsMesh || !o.peers.arranged.IsRelay {
		return nil
	}
	out := map[models.ModelName]float32{}
	for model, w := range o.zoneWork() {
		out[model] = float32(w)
	}
	return out
}
