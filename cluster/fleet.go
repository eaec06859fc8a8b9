package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/lib/inflight"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// fleetState is the known state of the upstream instances.
type fleetState struct {
	instances map[models.InstanceID]*knownInstance
	// groups are the serving groups that the instances form.
	groups groupIndex
	// entries is how far the store's entry records are known, broadcastEnd the end of the records
	// that have been broadcast.
	entries      entriesProgress
	broadcastEnd models.Position
	// services are the configured services, nil until there is a configuration.
	services map[models.ServiceName]models.UpstreamService
	// restarted are the members that restarted while they were in a group, by group. Such a group
	// is stalled.
	restarted map[models.GroupKey][]models.InstanceID
	// ended are the instances whose entries were removed within endedRetention.
	ended map[models.InstanceID]endedInstance
	// restoredAt is when the store was restored, zero once all entries of its new era are known.
	restoredAt time.Time
	// unreadable holds a hash of each entry that can't be decoded.
	unreadable map[models.InstanceID]uint64
	// scannedAt is when all instances were last checked for missing entries.
	scannedAt time.Time
	// listStale is set if instances were added or removed, or began to leave, since the last view.
	listStale bool
	// planners is set while this node is the planner, which its lease allows until leaseUntil.
	planners   *fleet.Planners
	leaseUntil time.Time
	// heldTerm is the term of the lease.
	heldTerm int64
	// termBegan is when this node became planner in the term.
	termBegan time.Time
	// orders are the planned orders that have not been sent, ordersInFlight the number of those
	// that were sent and not answered. probes and probesInFlight are the same for probes.
	orders         []types.GroupOrder
	ordersInFlight int
	probes         []queuedProbe
	probesInFlight int
	// callLimit bounds the orders and probes in flight.
	callLimit *inflight.Limit
	// lastPlan throttles planning.
	lastPlan throttle
	// suspects are the suspected stalls, by head.
	suspects map[models.InstanceID]suspicion
	// hasTraffic is set once any daemon has had requests.
	hasTraffic bool
	// probeAt is when instances with a scheduled probe are to be probed.
	probeAt map[models.InstanceID]time.Time
	// pendingUpdates are the updates to be sent with the next broadcast.
	pendingUpdates []queuedUpdate
	// updateSeq numbers the broadcasts, lastBroadcastAt is the time of the last one.
	updateSeq       int64
	lastBroadcastAt time.Time
	// averages are those of each service of engines.
	averages map[models.ServiceName]*serviceAverages
}

// serviceAverages are moving averages of what the planner is told of a service of engines, by model.
type serviceAverages struct {
	// demandShares is the share of the service's instances that a model needs.
	demandShares map[models.ModelName]float64
	// inFlight is the number of requests at a model's groups, withheld the number of their slots that
	// rate limits and backoff withhold.
	inFlight, withheld map[models.ModelName]float64
	// loggedAt is when the supply was last logged.
	loggedAt time.Time
}

// averagesOf returns the averages of a service.
func (f *fleetState) averagesOf(service models.ServiceName) *serviceAverages {
	a := f.averages[service]
	if a == nil {
		a = &serviceAverages{inFlight: map[models.ModelName]float64{}, withheld: map[models.ModelName]float64{}}
		f.averages[service] = a
	}
	return a
}

// knownInstance is an upstream instance, with the ages of what is known of it.
type knownInstance struct {
	models.UpstreamInstance
	// incarnationKnownAt is when the entry or report was requested that contained StartedAt.
	incarnationKnownAt time.Time
	// stateAt is when the newest entry or report was requested.
	stateAt time.Time
	// entrySeenAt is when a new entry was last read.
	entrySeenAt time.Time
	// lostSince is since when the instance has not answered; zero while it does.
	lostSince time.Time
	// probeFailedAt is when the first of the failed probes since the last response failed.
	probeFailedAt time.Time
	// unlisted is set if the entry is gone but the instance is a member of a serving group.
	unlisted bool
	// knownThrough is the position up to which the source of this state knew the store's entry
	// records, including this instance's.
	knownThrough models.Position
	// contradicted is the first of the entries that contradict this state, zero if none do.
	// correctedThrough is the position up to which the store's records were known that last corrected it.
	contradicted     contradiction
	correctedThrough models.Position
	// missingSince is since when a restored store has lacked the entry.
	missingSince time.Time
	// probedAt is when the instance was last probed, probeQueued is set while a probe is queued.
	probedAt    time.Time
	probeQueued bool
	// coldUntil is until when the instance is cold.
	coldUntil time.Time
	// lastBroadcast is the state as last broadcast, lastColdUntil the coldUntil in it.
	lastBroadcast models.UpstreamInstance
	lastColdUntil time.Time
}

func newFleetState() fleetState {
	return fleetState{
		instances:  map[models.InstanceID]*knownInstance{},
		groups:     newGroupIndex(),
		restarted:  map[models.GroupKey][]models.InstanceID{},
		ended:      map[models.InstanceID]endedInstance{},
		unreadable: map[models.InstanceID]uint64{},
		suspects:   map[models.InstanceID]suspicion{},
		probeAt:    map[models.InstanceID]time.Time{},
		averages:   map[models.ServiceName]*serviceAverages{},
		callLimit:  inflight.New(minCalls, maxCalls, maxCallQueueing),
	}
}

// term returns the term in which this node is planner, 0 if it is not.
func (f *fleetState) term() int64 {
	if f.planners == nil {
		return 0
	}
	return f.heldTerm
}

// copyInstances returns a copy of the instances for other goroutines.
func (f *fleetState) copyInstances() map[models.InstanceID]models.UpstreamInstance {
	out := make(map[models.InstanceID]models.UpstreamInstance, len(f.instances))
	for id, i := range f.instances {
		out[id] = i.UpstreamInstance
	}
	return out
}

// serving returns the groups that accept requests without suspects.
func (f *fleetState) serving(now time.Time) map[models.ServedModel][]Group {
	groups := f.healthyGroups()
	return withoutSuspects(groups, f.suspectedHeads(groups, now))
}

// plainInstances returns the usable instances of plain services outside the evacuated zones, as of the
// last call of healthyGroups.
func (f *fleetState) plainInstances(evacuated map[models.Zone]bool) map[models.ServiceName][]models.UpstreamInstance {
	services := map[models.ServiceName][]models.UpstreamInstance{}
	for id := range f.groups.plain {
		if i := f.instances[id]; i.usable() && !evacuated[i.Zone] {
			services[i.Service] = append(services[i.Service], i.UpstreamInstance)
		}
	}
	return services
}

// usable reports whether the instance may get requests.
func (i *knownInstance) usable() bool { return !i.Draining && !i.unlisted && i.lostSince.IsZero() }
