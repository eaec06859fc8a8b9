package cluster

import (
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// View is an immutable snapshot of a node's state.
type View struct {
	Routing *models.Routing
	// ConfirmedAt is the time as of which Routing was last confirmed to be the newest.
	ConfirmedAt time.Time
	// Groups are the replica groups that accept requests.
	Groups map[models.ServedModel][]Group
	// Services are the instances of plain services that accept requests.
	Services map[models.ServiceName][]models.UpstreamInstance
	// Suspects are the heads that this or another daemon found stalled.
	Suspects map[models.InstanceID]bool
	// Daemons is the number of daemons, including this one; 0 until the roster has been read or
	// another daemon has sent a heartbeat.
	Daemons int
	Term    int64
	// Planner is set if this node is the planner.
	Planner bool
	// Instances are all instances, as of the last time that one was added, removed or began to leave.
	// It is valid for fields that do not change in an instance's incarnation, such as address and
	// service.
	Instances map[models.InstanceID]models.UpstreamInstance
	// Topology is the topology of the peers: the daemons to which this node sends, and what.
	Topology *membership.Topology

	// Evacuated are the zones whose instances get no new requests. Groups and Services do not include
	// them.
	Evacuated map[models.Zone]bool

	// evacuated lists the zones that this daemon tells others are evacuated, according to the
	// operators' records before operatorsEnd.
	evacuated    []models.Zone
	operatorsEnd models.Position
	// config is the encoded routing as the store holds it.
	config []byte
	// configSource is the daemon to be asked for its configuration, configRequesters are those that
	// ask this node.
	configSource     models.DaemonID
	configRequesters map[models.DaemonID]bool
	// gone are the daemons whose roster entries this one is to remove.
	gone []models.DaemonID
	// zoneDemand is the demand of this node's zone that it sends to other zones, if it is a relay.
	zoneDemand map[models.ServedModel]ModelDemand
	// shouldRegister is set if this daemon has to be registered in the roster.
	shouldRegister bool
	// hasPeers is set while heartbeats of other daemons arrive.
	hasPeers bool
	// configBehind is set if another daemon has had a newer configuration for longer than
	// configFetchDelay.
	configBehind bool
	// eligible is set if this node may become planner, candidate if it should ask the store for
	// the planner's lease now. stalled are the heads that this node itself found stalled.
	eligible  bool
	candidate bool
	stalled   []StalledHead
	// granters are the addresses of the daemons that grant permits, votes what this node sends them
	// in heartbeats, shares the part of each limit that it grants itself, by zone of the instances.
	granters map[models.DaemonID]netip.AddrPort
	votes    map[models.DaemonID]map[models.Zone]int
	shares   map[models.Zone]float64
}

// version returns the version of the configuration in force, 0 if there is none.
func (v *View) version() int64 {
	if v.Routing == nil {
		return 0
	}
	return v.Routing.Version
}

// mesh reports whether each daemon sends to every other one directly, without relays.
func (v *View) mesh() bool { return v.Topology == nil || v.Topology.IsMesh }

// relayedZoneSize returns the size of the zone that this daemon reports as its relay.
func (v *View) relayedZoneSize() int {
	if v.Topology == nil {
		return 0
	}
	return v.Topology.RelayedZoneSize()
}

// LoadSharers returns the number of daemons that choose groups by the same load totals, including
// this one.
func (v *View) LoadSharers() int {
	if v.mesh() {
		return 1
	}
	return v.Topology.ZoneSize
}

// LoadsAge returns the typical age of other daemons' loads.
func (v *View) LoadsAge() time.Duration {
	if v.mesh() {
		return 0
	}
	return typicalTotalsAge
}

// Group is a replica group that accepts requests.
type Group struct {
	Key     models.GroupKey
	Model   models.ModelName
	Service models.ServiceName
	Head    models.UpstreamInstance
	Members []models.InstanceID
}

// served returns the model that the group serves.
func (g Group) served() models.ServedModel {
	return models.ServedModel{Service: g.Service, Model: g.Model}
}

// reportedSize returns the number of daemons that this one reports to others.
func (v *View) reportedSize() int {
	if v.Daemons == 0 {
		return 0
	}
	return v.Topology.Known
}
