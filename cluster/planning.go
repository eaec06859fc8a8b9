package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// planLeast is the least time between two plannings; what comes in between
	// waits for the next tick.
	minPlanInterval = 20 * time.Millisecond
	// overdueFactor is how many heartbeats an instance may miss in the store
	// before it is asked itself.
	overdueFactor = 2.2
	// leastCalls and mostCalls bound how many orders and questions may be under way,
	// callsWait how much longer than the quickest they may take: then they wait for the
	// node's own processor, and so does the renewal of its lease.
	minCalls        = 8
	maxCalls        = 128
	maxCallQueueing = 40 * time.Millisecond
)

// handleLease has this node plan in a new term, or go on in the one it is in.
func (o *owner) handleLease(m leaseHeld) {
	f := &o.fleet
	if m.term == o.n.lastEndedTerm.Load() {
		// The store is asked for another term at the next renewal.
		return
	}
	f.leaseUntil = m.until
	if f.planner != nil && f.heldTerm == m.term {
		return
	}
	f.termBegan = time.Now()
	f.planner, f.heldTerm, f.busy, f.updateSeq = fleet.NewPlanner(m.term, f.termBegan), m.term, nil, 0
	// What was to be told in an earlier term is outdated.
	f.pendingUpdates, f.broadcastEnd = nil, f.entries.end
	for _, i := range f.instances {
		// What others told may be old; each is asked now.
		i.lostSince, i.probeFailedAt = time.Time{}, time.Time{}
		// Whatever they were told before was told in another term.
		i.lastBroadcast = models.UpstreamInstance{}
	}
	o.n.planning.Store(true)
	o.viewStale = true
	o.n.log.Info().Int64("term", m.term).Msg("planning-begun")
}

// stopPlanning ends the term for good: its fences are not to be used again.
func (o *owner) stopPlanning(reason string) {
	if o.fleet.planner == nil {
		return
	}
	o.n.log.Info().Int64("term", o.fleet.heldTerm).Str("reason", reason).Msg("planning-ended")
	o.n.links.broadcast(Update{From: o.n.cfg.ID, Term: o.fleet.heldTerm, TermEnded: true})
	o.fleet.planner, o.fleet.orders, o.fleet.probes = nil, nil, nil
	for _, k := range o.fleet.instances {
		k.probeQueued = false
	}
	// Whoever took the lease is heard of in a moment.
	o.peers.plannerSeenAt = time.Now()
	o.viewStale = true
	o.n.lastEndedTerm.Store(o.fleet.heldTerm)
	o.n.planning.Store(false)
}

// planGroups gives the orders that are due, if this node plans.
func (o *owner) planGroups(now time.Time) {
	f := &o.fleet
	if f.planner == nil || o.config.routing == nil || len(f.orders) > 0 || !f.lastPlan.ready(now, minPlanInterval) {
		return
	}
	started := time.Now()
	f.lastPlan = throttle{started: now}
	if o.leaseEnded(now) {
		o.stopPlanning("the lease ended")
		return
	}
	if f.planner.Superseded() {
		o.stopPlanning("an instance has seen a newer term")
		return
	}
	for name, service := range o.config.routing.Services {
		if service.Engine != nil {
			o.planService(name, service.Engine, now)
		}
	}
	f.lastPlan.took = time.Since(started)
}

// leaseEnded reports whether another daemon may plan by now. Time in which the machine was
// suspended counts: a planner that wakes would give orders beside the one that took over.
func (o *owner) leaseEnded(now time.Time) bool {
	// It may have been renewed at any time: a round of planning takes long, and rounds are
	// far apart then.
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

// mayOutlast reports whether the planner goes on although its lease could not
// be renewed: the store is away for the other daemons as well, so that no
// other can have begun.
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

// readSince reports whether the store served another daemon after a time. The word of
// configurations does not tell that soon: all have it from the planner, and read for
// themselves 1.8 s after it last came. A planner that the store had turned away went on
// for 1.6 s after its lease had ended.
func (p peerStatus) storeServedSince(at time.Time) bool {
	return p.heartbeat.EntriesAge > 0 && p.receivedAt.Add(-p.heartbeat.EntriesAge).After(at)
}

// planService gives the orders that are due for one service's instances.
func (o *owner) planService(name models.ServiceName, engine *models.EngineProfile, now time.Time) {
	f := &o.fleet
	o.probeUnconfirmed(name, now)
	world := o.world(name, engine, now)
	o.n.stats.plans.Inc()
	o.logSupply(engine, world)
	f.orders = append(f.orders, f.planner.Step(world)...)
	o.sendOrders()
}

// giveOrders gives the orders that are due, unless the lease has ended.
func (o *owner) sendOrders() {
	if o.fleet.planner != nil && o.leaseEnded(time.Now()) {
		o.stopPlanning("the lease ended")
	}
	o.startCalls()
}

// giveFirst gives the first order that is due.
func (o *owner) sendFirstOrder() {
	f := &o.fleet
	order := f.orders[0]
	f.orders = f.orders[1:]
	k := f.instances[order.Instance]
	if k == nil {
		// Its entry went meanwhile; the next round knows.
		return
	}
	f.ordersInFlight++
	o.n.log.Info().Str("order", string(order.Kind)).Str("instance", string(order.Instance)).Str("group", string(order.Group.Name)).
		Int64("fence", order.Fence).Msg("order-given")
	o.n.sendOrder(o.ctx, k.Addr, order)
}

// askDoubtful asks the service's instances that were not heard in this term,
// and those that write no more although the store can be read.
func (o *owner) probeUnconfirmed(name models.ServiceName, now time.Time) {
	_, away := o.storeFailingSince[platform.InstancesTopic]
	overdue := time.Duration(overdueFactor * float64(o.n.cfg.InstanceHeartbeat))
	for _, i := range o.fleet.instances {
		if i.Service != name || !i.lostSince.IsZero() {
			continue
		}
		overdueEntry := !away && now.Sub(i.entrySeenAt) > overdue && now.Sub(i.stateAt) > overdue
		if overdueEntry || o.fleet.unconfirmed(i) {
			o.probe(i, now, probeTimeout)
		}
	}
}

// world is what the planner is told of one service's instances.
func (o *owner) world(name models.ServiceName, engine *models.EngineProfile, now time.Time) fleet.World {
	busy, withheld := o.busy(engine, now)
	w := fleet.World{
		Now: now, Profile: engine, Demand: o.demand(engine), Busy: busy, Withheld: withheld,
		Instances: map[models.InstanceID]models.UpstreamInstance{}, Lost: map[models.InstanceID]bool{},
		Unproven: map[models.InstanceID]bool{}, Unlisted: map[models.InstanceID]bool{},
	}
	// Demand has just noted whether there is traffic.
	w.Traffic = o.fleet.hasTraffic
	for id, i := range o.fleet.instances {
		if i.Service != name {
			continue
		}
		w.Instances[id] = i.UpstreamInstance
		if !i.lostSince.IsZero() {
			w.Lost[id] = true
		}
		if i.unlisted {
			w.Unlisted[id] = true
		}
		if o.fleet.unconfirmed(i) {
			w.Unproven[id] = true
		}
	}
	return w
}

// firstTerm is that of the first planner that the store ever knew.
const firstTerm = 1

// unproven reports whether the instance was not heard since this node began to
// plan. In the first term nobody has given orders that its entry might not tell yet.
func (f *fleetState) unconfirmed(i *knownInstance) bool {
	return f.heldTerm != firstTerm && !i.stateAt.After(f.termBegan)
}

// handleOrderEnded takes in what came of an order, and sees to it that the
// instance is asked where the planner needs to know more.
func (o *owner) handleOrderResult(m orderFinished) {
	event := o.n.log.Info()
	if m.err != nil {
		event = o.n.log.Warn().Err(m.err)
	}
	event.Str("order", string(m.order.Kind)).Str("instance", string(m.order.Instance)).Str("group", string(m.order.Group.Name)).
		Int64("fence", m.order.Fence).Str("outcome", string(m.outcome)).Dur("took", m.took).Msg("order-ended")
	o.fleet.ordersInFlight--
	o.fleet.callLimit.Note(m.took)
	o.sendOrders()
	if p := o.fleet.planner; p != nil && fleet.TermOf(m.order.Fence) == o.fleet.heldTerm {
		p.Note(m.order, m.outcome, m.finishedAt)
	}
	k := o.fleet.instances[m.order.Instance]
	if k == nil || k.LifeOf(m.order.Born) != models.SameLife {
		// An earlier life's order is void.
		return
	}
	if m.outcome == types.OrderUnknown {
		o.probe(k, m.finishedAt, probeTimeout)
	} else if d, known := o.expectedDuration(m.order, k.UpstreamInstance); known {
		o.fleet.probeAt[k.ID] = m.finishedAt.Add(d)
	}
	o.planGroups(m.finishedAt)
}
