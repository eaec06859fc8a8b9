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
	if o.peers.topology.Mesh {
		return sum
	}
	counted := map[models.Zone]bool{}
	for _, d := range o.peers.topology.Planners {
		p, seen := o.peers.seen[d.ID]
		if d.Zone == o.n.cfg.Zone || !seen || counted[d.Zone] || len(p.heartbeat.ZoneWork) == 0 {
			continue
		}
		counted[d.Zone] = true
		addWork(sum, p.heartbeat.ZoneWork)
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
		if o.peers.topology.Mesh || p.heartbeat.Zone == o.n.cfg.Zone {
			addWork(sum, p.heartbeat.Work)
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
func (o *owner) zoneWorkUpdate() map[models.ModelName]float32 {
	if o.peers.topology.Mesh || !o.peers.topology.Relay {
		return nil
	}
	out := map[models.ModelName]float32{}
	for model, w := range o.zoneWork() {
		out[model] = float32(w)
	}
	return out
}
