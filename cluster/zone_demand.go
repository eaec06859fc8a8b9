package cluster

import (
	"maps"

	"github.com/lupinkeel/lupinkeel/models"
)

// The demand for each model, in group-seconds per second, is summed up by zone for the planner.

// clusterDemand returns the demand of all daemons' callers for each model. The demand of another
// zone comes from the first of its relays that sends it.
func (o *owner) clusterDemand() map[models.ModelName]float64 {
	sum := o.zoneDemand()
	if o.peers.topology.IsMesh {
		return sum
	}
	counted := map[models.Zone]bool{}
	for _, d := range o.peers.topology.PlannerCandidates {
		p, seen := o.peers.seen[d.ID]
		if d.Zone == o.n.cfg.Zone || !seen || counted[d.Zone] || len(p.heartbeat.ZoneDemand) == 0 {
			continue
		}
		counted[d.Zone] = true
		addDemand(sum, p.heartbeat.ZoneDemand)
	}
	return sum
}

// zoneDemand returns the demand of the callers of this zone's daemons for each model; in a mesh, of
// all daemons.
func (o *owner) zoneDemand() map[models.ModelName]float64 {
	sum := maps.Clone(o.n.traffic.Demand())
	if sum == nil {
		sum = map[models.ModelName]float64{}
	}
	for _, p := range o.peers.seen {
		if o.peers.topology.IsMesh || p.heartbeat.Zone == o.n.cfg.Zone {
			addDemand(sum, p.heartbeat.Demand)
		}
	}
	return sum
}

func addDemand(sum map[models.ModelName]float64, demand map[models.ModelName]float32) {
	for model, w := range demand {
		sum[model] += float64(w)
	}
}

// zoneDemandUpdate returns the zone's demand to be sent to other zones, if this daemon is a relay.
func (o *owner) zoneDemandUpdate() map[models.ModelName]float32 {
	if o.peers.topology.IsMesh || !o.peers.topology.IsRelay {
		return nil
	}
	out := map[models.ModelName]float32{}
	for model, w := range o.zoneDemand() {
		out[model] = float32(w)
	}
	return out
}
