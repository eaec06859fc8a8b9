package cluster

import (
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// minPlanInterval is the minimum time between two planning rounds. Changes in between wait for
	// the next tick.
	minPlanInterval = 20 * time.Millisecond
	// overdueFactor is how many heartbeats of an instance the store may lack before the instance is
	// probed.
	overdueFactor = 2.2
	// lostProbeInterval is the time between two probes of a lost instance. Its entry does not show
	// that it answers again: an entry is written only when it changes.
	lostProbeInterval = time.Second
	// minCalls and maxCalls bound the limit on orders and probes in flight. The limit is lowered
	// when calls take longer than the fastest by maxCallQueueing: then they queue for this node's
	// processor, and so does the renewal of its lease.
	minCalls        = 8
	maxCalls        = 128
	maxCallQueueing = 40 * time.Millisecond
)

// handleLease makes this node planner in a new term, or extends the current one.
func (o *owner) handleLease(m leaseHeld) {
	f := &o.fleet
	if m.term == o.n.lastEndedTerm.Load() {
		// The next renewal asks the store for another term.
		return
	}
	f.leaseUntil = m.until
	if f.planners != nil && f.heldTerm == m.term {
		return
	}
	f.termBegan = time.Now()
	f.planners, f.heldTerm, f.updateSeq = fleet.NewPlanners(m.term, f.termBegan), m.term, 0
	clear(f.averages)
	// Updates pending from an earlier term are outdated.
	f.pendingUpdates, f.broadcastEnd = nil, f.entries.end
	for _, i := range f.instances {
		// The state from other daemons may be old; each instance is probed now.
		i.lostSince, i.probeFailedAt = time.Time{}, time.Time{}
		// Earlier broadcasts belong to another term.
		i.lastBroadcast = models.UpstreamInstance{}
	}
	o.n.planning.Store(true)
	o.publish()
	// Others wait for a sign of the new planner, and it sends heartbeats more often from now on.
	o.n.links.sendHeartbeat("")
	o.n.log.Info().Int64("term", m.term).Msg("planning-begun")
}

// stopPlanning ends the term permanently: its fences must not be used again.
func (o *owner) stopPlanning(reason string) {
	if o.fleet.planners == nil {
		return
	}
	o.n.log.Info().Int64("term", o.fleet.heldTerm).Str("reason", reason).Msg("planning-ended")
	o.n.links.broadcast(Update{From: o.n.cfg.ID, Term: o.fleet.heldTerm, TermEnded: true})
	o.fleet.planners, o.fleet.orders, o.fleet.probes = nil, nil, nil
	for _, k := range o.fleet.instances {
		k.probeQueued = false
	}
	// The next planner will be seen shortly.
	o.peers.plannerSeenAt = time.Now()
	o.viewStale = true
	o.n.lastEndedTerm.Store(o.fleet.heldTerm)
	o.n.planning.Store(false)
}

// planGroups runs a planning round, if this node is the planner and a round is due.
func (o *owner) planGroups(now time.Time) {
	f := &o.fleet
	if f.planners == nil || o.config.routing == nil || len(f.orders) > 0 || !f.lastPlan.ready(now, minPlanInterval) {
		return
	}
	started := time.Now()
	f.lastPlan = throttle{started: now}
	if o.leaseExpired(now) {
		o.stopPlanning("the lease ended")
		return
	}
	if f.planners.Superseded() {
		o.stopPlanning("an instance has seen a newer term")
		return
	}
	hasEngines := func(service models.ServiceName) bool { return o.config.routing.Services[service].Engine != nil }
	f.planners.Retain(hasEngines)
	maps.DeleteFunc(f.averages, func(service models.ServiceName, _ *serviceAverages) bool { return !hasEngines(service) })
	for name := range engineServices(o.config.routing) {
		o.planService(name, o.config.routing.Services[name].Engine, now)
	}
	f.lastPlan.took = time.Since(started)
}

// leaseExpired reports whether another daemon may have become planner. Time in which the machine
// was suspended counts: a planner that resumes would send orders in parallel to its successor.
func (o *owner) leaseExpired(now time.Time) bool {
	// The lease may have been renewed during the last round, which can take long.
	if l := o.n.lease.Load(); l != nil && l.term == o.fleet.heldTerm {
		o.fleet.leaseUntil = l.until
	}
	renewed := o.fleet.leaseUntil.Add(leaseMargin - o.n.cfg.LeaseMin)
	suspended := o.n.clock.Suspended(renewed)
	if suspended > o.n.cfg.LeaseMin {
		return true
	}
	return now.Add(suspended).After(o.fleet.leaseUntil) && !o.mayOutliveLease(now)
}

// mayOutliveLease reports whether the planner continues although its lease could not be renewed. It
// does while the store is down for the other daemons too, so that none can have become planner.
func (o *owner) mayOutliveLease(now time.Time) bool {
	if o.peers.term > o.fleet.heldTerm {
		return false
	}
	for _, p := range o.peers.seen {
		if p.heartbeat.ConfigAge < now.Sub(o.fleet.leaseUntil) || p.storeServedSince(o.fleet.leaseUntil) {
			return false
		}
	}
	return len(o.peers.seen) > 0
}

// storeServedSince reports whether the store has answered a peer since a time. The age of the
// peer's configuration does not show that soon enough: all peers get their confirmation from the
// planner, and read the store 1.8 s after the last one. By that alone, a planner that was cut off
// from the store continued for 1.6 s after its lease had ended.
func (p peerStatus) storeServedSince(at time.Time) bool {
	return p.heartbeat.EntriesAge > 0 && p.receivedAt.Add(-p.heartbeat.EntriesAge).After(at)
}

// planService plans one service's instances and sends the orders that are due.
func (o *owner) planService(name models.ServiceName, engine *models.EngineProfile, now time.Time) {
	f := &o.fleet
	o.probeUnverified(name, now)
	snapshot := o.planningSnapshot(name, engine, now)
	o.n.stats.plans.Inc()
	planner := f.planners.Of(name)
	before := planner.Conversions()
	f.orders = append(f.orders, planner.Step(snapshot)...)
	o.n.stats.countConversions(before, planner.Conversions())
	o.logSupply(name, engine, snapshot)
	o.sendOrders()
}

// sendOrders sends queued orders, unless the lease has ended.
func (o *owner) sendOrders() {
	if o.fleet.planners != nil && o.leaseExpired(time.Now()) {
		o.stopPlanning("the lease ended")
	}
	o.startCalls()
}

// sendFirstOrder sends the first queued order.
func (o *owner) sendFirstOrder() {
	f := &o.fleet
	order := f.orders[0]
	f.orders = f.orders[1:]
	k := f.instances[order.Instance]
	if k == nil {
		// The instance was removed meanwhile; the next round takes that into account.
		return
	}
	f.ordersInFlight++
	o.n.log.Info().Str("order", string(order.Kind)).Str("instance", string(order.Instance)).Str("group", string(order.Group.Name)).
		Int64("fence", order.Fence).Msg("order-given")
	o.n.sendOrder(o.ctx, k.Addr, order)
}

// probeUnverified probes the service's instances that have not been seen in this term, those
// whose entries are overdue although the store is up, and lost ones to find out whether they answer
// again.
func (o *owner) probeUnverified(name models.ServiceName, now time.Time) {
	_, storeDown := o.storeFailingSince[platform.InstancesTopic]
	overdue := time.Duration(overdueFactor * float64(o.n.cfg.InstanceHeartbeat))
	for _, i := range o.fleet.instances {
		if i.Service != name {
			continue
		}
		if !i.lostSince.IsZero() {
			if now.Sub(i.probedAt) >= lostProbeInterval {
				o.probe(i, now, probeTimeout)
			}
			continue
		}
		overdueEntry := !storeDown && now.Sub(i.entrySeenAt) > overdue && now.Sub(i.stateAt) > overdue
		if overdueEntry || o.fleet.unverified(i) {
			o.probe(i, now, probeTimeout)
		}
	}
}

// planningSnapshot returns the planner's input for one service.
func (o *owner) planningSnapshot(name models.ServiceName, engine *models.EngineProfile, now time.Time) fleet.Snapshot {
	inFlight, withheld := o.requestsInFlight(name, engine, now)
	w := fleet.Snapshot{
		Now: now, Profile: engine, DemandShares: o.demandShares(name, engine), InFlight: inFlight, LimitedSlots: withheld,
		Instances: map[models.InstanceID]models.UpstreamInstance{}, Unreachable: map[models.InstanceID]bool{},
		Unverified: map[models.InstanceID]bool{}, Unlisted: map[models.InstanceID]bool{}, Evacuated: o.evacuated(),
	}
	w.Demand, w.Serving = o.meanDemand(name), map[models.ModelName]int{}
	for served, groups := range o.fleet.serving(now) {
		if served.Service == name {
			w.Serving[served.Model] = len(groups)
		}
	}
	// demandShares has updated hasTraffic.
	w.HasTraffic = o.fleet.hasTraffic
	for id, i := range o.fleet.instances {
		if i.Service != name {
			continue
		}
		w.Instances[id] = i.UpstreamInstance
		if !i.lostSince.IsZero() {
			w.Unreachable[id] = true
		}
		if i.unlisted {
			w.Unlisted[id] = true
		}
		if o.fleet.unverified(i) {
			w.Unverified[id] = true
		}
	}
	return w
}

// firstTerm is the term of the first planner in a new store.
const firstTerm = 1

// unverified reports whether the instance's state is older than this term. In the first term
// entries are current, because no planner has sent orders before.
func (f *fleetState) unverified(i *knownInstance) bool {
	return f.heldTerm != firstTerm && !i.stateAt.After(f.termBegan)
}

// handleOrderResult passes the result of an order to the planner, and schedules a probe of the
// instance where its state is needed.
func (o *owner) handleOrderResult(m orderFinished) {
	event := o.n.log.Info()
	if m.err != nil {
		event = o.n.log.Warn().Err(m.err)
	}
	event.Str("order", string(m.order.Kind)).Str("instance", string(m.order.Instance)).Str("group", string(m.order.Group.Name)).
		Int64("fence", m.order.Fence).Str("outcome", string(m.outcome)).Dur("took", m.took).Msg("order-ended")
	o.fleet.ordersInFlight--
	o.fleet.callLimit.Observe(m.took)
	o.sendOrders()
	if p := o.fleet.planners; p != nil && fleet.TermOf(m.order.Fence) == o.fleet.heldTerm {
		p.RecordOutcome(m.order, m.outcome, m.finishedAt)
	}
	k := o.fleet.instances[m.order.Instance]
	if k == nil || k.CompareIncarnation(m.order.StartedAt) != models.SameIncarnation {
		// The order was for an earlier incarnation.
		return
	}
	if m.outcome == types.OrderUnknown {
		o.probe(k, m.finishedAt, probeTimeout)
	} else if d, known := o.expectedDuration(m.order, k.UpstreamInstance); known {
		o.fleet.probeAt[k.ID] = m.finishedAt.Add(d)
	}
	o.planGroups(m.finishedAt)
}
