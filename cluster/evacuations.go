package cluster

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Operators evacuate an availability zone by a record beside the configuration. A daemon learns of it
// in the same way and as soon: from the store, or from the heartbeats by which it confirms its
// configuration.

// handleEvacuationsRead applies the operators' records about zones.
func (o *owner) handleEvacuationsRead(m configRead, now time.Time) {
	if !m.snapshot {
		o.markEvacuations(o.config.evacuations.Apply(m.evacuations, m.end))
		return
	}
	var zones []models.Zone
	for _, c := range m.evacuations {
		if c.Evacuated {
			zones = append(zones, c.Zone)
		}
	}
	o.markEvacuations(o.config.evacuations.Replace(zones, m.end, now))
}

// markEvacuations publishes the evacuated zones if they have changed. A relay sends them on at once.
func (o *owner) markEvacuations(changed bool) {
	if !changed {
		return
	}
	o.fleetStale = true
	zones := o.config.evacuations.List()
	o.n.log.Info().Str("zones", joinZones(zones)).Int64("position", o.config.evacuations.End().Offset).Msg("zones-evacuated")
	o.publish()
	if o.peers.topology.IsRelay {
		o.n.links.sendHeartbeat("")
	}
}

// evacuated returns the set of evacuated zones.
func (o *owner) evacuated() map[models.Zone]bool {
	out := map[models.Zone]bool{}
	for _, zone := range o.config.evacuations.List() {
		out[zone] = true
	}
	return out
}

// withoutZones returns the groups whose heads are in other zones.
func withoutZones(groups map[models.ServedModel][]Group, zones map[models.Zone]bool) map[models.ServedModel][]Group {
	if len(zones) == 0 {
		return groups
	}
	out := make(map[models.ServedModel][]Group, len(groups))
	for model, all := range groups {
		out[model] = slices.DeleteFunc(slices.Clone(all), func(g Group) bool { return zones[g.Head.Zone] })
	}
	return out
}

// requestsInEvacuatedZones returns the number of this daemon's requests in flight at instances of
// evacuated zones.
func (n *Node) requestsInEvacuatedZones() int {
	v, sum := n.View(), 0
	if len(v.Evacuated) == 0 {
		return 0
	}
	for id, load := range n.traffic.Loads() {
		if v.Evacuated[v.Instances[id].Zone] {
			sum += load.Requests
		}
	}
	return sum
}

// joinZones lists zones for the log.
func joinZones(zones []models.Zone) string {
	out := ""
	for i, zone := range zones {
		if i > 0 {
			out += ","
		}
		out += string(zone)
	}
	return out
}
