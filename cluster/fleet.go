package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/lib/inflight"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// fleetState is what is known of the upstream instances.
type fleetState struct {
	instances map[models.InstanceID]*knownInstance
	// entries is how far they are known, toldTo how far the others were told of them.
	entries      entriesProgress
	broadcastEnd models.Position
	// services are those of the configuration, nil until there is one.
	services map[models.ServiceName]models.UpstreamService
	// restarted are the members of groups that started again since: such a group
	// stands still.
	restarted map[models.GroupKey][]models.InstanceID
	// ended are instances whose entries went, and not long ago.
	ended map[models.InstanceID]endedInstance
	// restored is when the store came back, if not all is known since.
	restoredAt time.Time
	// unreadable holds a sum of each entry that can't be read.
	unreadable map[models.InstanceID]uint64
	// listed tells that instances came or went since the last view.
	listStale bool
	// planner is set while this node plans, which its lease lets it until.
	planner    *fleet.Planner
	leaseUntil time.Time
	// heldTerm is the term of the lease.
	heldTerm int64
	// began is when this node began to plan in the term.
	termBegan time.Time
	// orders are those that are due and not given yet, underWay counts those that were
	// given and not answered. questions and asking are the same of reports.
	orders         []types.GroupOrder
	ordersInFlight int
	probes         []queuedProbe
	probesInFlight int
	// calls bounds how many of both are under way.
	callLimit *inflight.Limit
	// planned is when orders were last planned.
	lastPlan throttle
	// suspects are stalled heads, until when.
	suspects map[models.InstanceID]suspicion
	// traffic tells that requests have come to any daemon.
	hasTraffic bool
	// due are instances to be asked for a report, and when.
	probeAt map[models.InstanceID]time.Time
	// news is what is to be told to the other daemons.
	pendingUpdates []InstanceUpdate
	// feed counts what was sent of it, fedOthers is when that was last.
	updateSeq       int64
	lastBroadcastAt time.Time
	// supplyLogged is when the supply was last told in the log.
	supplyLoggedAt time.Time
	// demand is the part of all instances that each model needs, busy how many
	// requests its groups have, withheld how many of their places limits withhold, all
	// averaged.
	demand   map[models.ModelName]float64
	busy     map[models.ModelName]float64
	withheld map[models.ModelName]float64
}

// knownInstance is an upstream instance and how fresh what is known of it is.
type knownInstance struct {
	models.UpstreamInstance
	// bornKnown is when that was asked for which told its birth.
	bornKnownAt time.Time
	// told is when the newest entry or report was asked for.
	stateAt time.Time
	// written is when a new entry was last seen.
	entrySeenAt time.Time
	// lost is since when it does not answer; zero while it does.
	lostSince time.Time
	// failed is when a question was asked that went unanswered, if the one
	// before was answered.
	probeFailedAt time.Time
	// unlisted tells that its entry is gone and its group still serves.
	unlisted bool
	// listed is how far who told of the instance last knew the store's records of entries,
	// this one's among them.
	knownThrough models.Position
	// missing is since when a store that came back from a copy lacks its entry.
	missingSince time.Time
	// asked is when it was last asked for a report, waits tells that it is to be.
	probedAt    time.Time
	probeQueued bool
	// spread is what the other daemons were told last.
	lastBroadcast models.UpstreamInstance
}

func newFleetState() fleetState {
	return fleetState{
		instances:  map[models.InstanceID]*knownInstance{},
		restarted:  map[models.GroupKey][]models.InstanceID{},
		ended:      map[models.InstanceID]endedInstance{},
		unreadable: map[models.InstanceID]uint64{},
		suspects:   map[models.InstanceID]suspicion{},
		probeAt:    map[models.InstanceID]time.Time{},
		callLimit:  inflight.New(minCalls, maxCalls, maxCallQueueing),
	}
}

// term is the term in which this node plans, 0 if it does not.
func (f *fleetState) term() int64 {
	if f.planner == nil {
		return 0
	}
	return f.heldTerm
}

// shown copies the instances for those who do not own the state.
func (f *fleetState) copyInstances() map[models.InstanceID]models.UpstreamInstance {
	out := make(map[models.InstanceID]models.UpstreamInstance, len(f.instances))
	for id, i := range f.instances {
		out[id] = i.UpstreamInstance
	}
	return out
}

// memberships yields each instance and what it tells of its group. The word of one
// of a service that the configuration does not name counts for nothing.
func (f *fleetState) memberships(yield func(models.InstanceID, models.Membership) bool) {
	for id, i := range f.instances {
		if _, named := f.services[i.Service]; !named && f.services != nil {
			continue
		}
		if !yield(id, i.Group) {
			return
		}
	}
}

// serving lists the groups that take requests, by model.
func (f *fleetState) serving(now time.Time) map[models.ModelName][]Group {
	groups := f.healthyGroups()
	return withoutSuspects(groups, f.suspectedHeads(groups, now))
}

// sound lists the groups that serve and of which no member is known to be lost or to
// have started again, by model.
func (f *fleetState) healthyGroups() map[models.ModelName][]Group {
	groups := map[models.ModelName][]Group{}
	for _, g := range fleet.GroupsOf(f.memberships) {
		head, there := f.instances[g.Head]
		if !there || !g.Serving() || !head.usable() {
			continue
		}
		members := make([]models.InstanceID, 0, len(g.Members))
		healthy := !f.hasRestartedMember(g.Key)
		for _, id := range g.Members {
			members = append(members, id)
			healthy = healthy && f.instances[id].lostSince.IsZero()
		}
		if healthy {
			groups[g.Model] = append(groups[g.Model], Group{
				Key: g.Key, Model: g.Model, Service: head.Service, Head: head.UpstreamInstance, Members: members,
			})
		}
	}
	return groups
}

// plain lists the instances of plain services that take requests.
func (f *fleetState) plainInstances(routing *models.Routing) map[models.ServiceName][]models.UpstreamInstance {
	services := map[models.ServiceName][]models.UpstreamInstance{}
	for _, i := range f.instances {
		if s := routing.Services[i.Service]; s.Engine == nil && i.usable() {
			services[i.Service] = append(services[i.Service], i.UpstreamInstance)
		}
	}
	return services
}

// usable reports whether requests may be sent to the instance.
func (i *knownInstance) usable() bool { return !i.Draining && !i.unlisted && i.lostSince.IsZero() }
