package cluster

import (
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// View is what a node believed at one moment. It is never changed.
type View struct {
	Routing *models.Routing
	// Proven is when the routing was last known to be the newest.
	Proven time.Time
	// Groups are the replica groups that take requests, by model.
	Groups map[models.ModelName][]Group
	// Services are the instances of plain services that take requests.
	Services map[models.ServiceName][]models.UpstreamInstance
	// Suspects are heads that this or another daemon found to stand still.
	Suspects map[models.InstanceID]bool
	// Daemons is the number of daemons, this one among them; 0 until the roster was
	// read or another daemon told.
	Daemons int
	Term    int64
	// Planner tells that this node plans the groups.
	Planner bool
	// All are the instances, as they were when the last one came, went or was about
	// to leave: where they are and what they are of does not change.
	All map[models.InstanceID]models.UpstreamInstance
	// Arranged is whom this node tells what.
	Arranged *membership.Topology

	// config is the routing as the store holds it, stalled what this node
	// itself found to stand still.
	config []byte
	// wants is the daemon to be asked for its configuration, wantedBy those
	// that ask this one.
	wants    models.DaemonID
	wantedBy map[models.DaemonID]bool
	// zoneWork is what this node tells other zones of the work of its own, if it is
	// a relay.
	zoneWork map[models.ModelName]float32
	// hears tells that the heartbeats of another daemon come.
	hears bool
	// behind tells that another daemon has had a newer configuration for long.
	behind bool
	// mayPlan tells that this node is one of those that may plan, candidate
	// that it is to ask for the planner's lease.
	mayPlan   bool
	candidate bool
	stalled   []StalledHead
	// granters is where the daemons are reached that grant permits, votes what this node
	// tells them, shares what it grants itself, by zone of the instances.
	granters map[models.DaemonID]netip.AddrPort
	votes    map[models.DaemonID]map[models.Zone]int
	shares   map[models.Zone]float64
}

// version is that of the configuration in force, 0 if there is none.
func (v *View) version() int64 {
	if v.Routing == nil {
		return 0
	}
	return v.Routing.Version
}

// mesh tells that each daemon tells every other one of itself.
func (v *View) mesh() bool { return v.Arranged == nil || v.Arranged.IsMesh }

// Sharers is how many daemons choose among the same groups by the same word of
// loads, this one among them.
func (v *View) Sharers() int {
	if v.mesh() {
		return 1
	}
	return v.Arranged.ZoneSize
}

// LoadsAge is about how old what is known of other daemons' loads is.
func (v *View) LoadsAge() time.Duration {
	if v.mesh() {
		return 0
	}
	return totalsAge
}

// Group is a replica group that takes requests.
type Group struct {
	Key     models.GroupKey
	Model   models.ModelName
	Service models.ServiceName
	Head    models.UpstreamInstance
	Members []models.InstanceID
}
