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
	planLeast = 20 * time.Millisecond
	// overdueFactor is how many heartbeats an instance may miss in the store
	// before it is asked itself.
	overdueFactor = 2.2
	// leastCalls and mostCalls bound how many orders and questions may be under way,
	// callsWait how much longer than the quickest they may take: then they wait for the
	// node's own processor, and so does the renewal of its lease.
	leastCalls = 8
	mostCalls  = 128
	callsWait  = 40 * time.Millisecond
)

// handleLease has this node plan in a new term, or go on in the one it is in.
func (o *owner) handleLease(m leaseHeld) {
	f := &o.fleet
	if m.term == o.n.spentTerm.Load() {
		// The store is asked for another term at the next renewal.
		return
	}
	f.until = m.until
	if f.planner != nil && f.heldTerm == m.term {
		return
	}
	f.began = time.Now()
	f.planner, f.heldTerm, f.busy, f.feed = fleet.NewPlanner(m.term, f.began), m.term, nil, 0
	// What was to be told in an earlier term is outdated.
	f.news, f.toldTo = nil, f.entries.end
	for _, i := range f.instances {
		// What others told may be old; each is asked now.
		i.lost, i.failed = time.Time{}, time.Time{}
		// Whatever they were told before was told in another term.
		i.spread = models.UpstreamInstance{}
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
	o.n.links.send(News{From: o.n.cfg.ID, Term: o.fleet.heldTerm, Ended: true})
	o.fleet.planner, o.fleet.orders, o.fleet.questions = nil, nil, nil
	for _, k := range o.fleet.instances {
		k.waits = false
	}
	// Whoever took the lease is heard of in a moment.
	o.peers.planned = time.Now()
	o.viewStale = true
	o.n.spentTerm.Store(o.fleet.heldTerm)
	o.n.planning.Store(false)
}

// planGroups gives the orders that are due, if this node plans.
func (o *owner) planGroups(now time.Time) {
	f := &o.fleet
	if f.planner == nil || o.config.routing == nil || len(f.orders) > 0 || !f.planned.due(now, planLeast) {
		return
	}
	started := time.Now()
	f.planned = spacing{began: now}
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
	f.planned.took = time.Since(started)
}

// leaseEnded reports whether another daemon may plan by now. Time in which the machine was
// suspended counts: a planner that wakes would give orders beside the one that took over.
func (o *owner) leaseEnded(now time.Time) bool {
	// It may have been renewed at any time: a round of planning takes long, and rounds are
	// far apart then.
	if l := o.n.lease.Load(); l != nil && l.term == o.fleet.heldTerm {
		o.fleet.until = l.until
	}
	renewed := o.fleet.until.Add(leaseMargin - o.n.cfg.LeaseMin)
	suspended := o.n.clock.Suspended(renewed)
	if suspended > o.n.cfg.LeaseMin {
		return true
	}
	return now.Add(suspended).After(o.fleet.until) && !o.mayOutlast(now)
}

// mayOutlast reports whether the planner goes on although its lease could not
// be renewed: the store is away for the other daemons as well, so that no
// other can have begun.
func (o *owner) mayOutlast(now time.Time) bool {
	if o.peers.term > o.fleet.heldTerm {
		return false
	}
	for _, p := range o.peers.seen {
		if p.beat.ConfigAge < now.Sub(o.fleet.until) || p.readSince(o.fleet.until) {
			return false
		}
	}
	return len(o.peers.seen) > 0
}

// readSince reports whether the store served another daemon after a time. The word of
// configurations does not tell that soon: all have it from the planner, and read for
// themselves 1.8 s after it last came. A planner that the store had turned away went on
// for 1.6 s after its lease had ended.
func (p seenPeer) readSince(at time.Time) bool {
	return p.beat.EntriesAge > 0 && p.at.Add(-p.beat.EntriesAge).After(at)
}

// planService gives the orders that are due for one service's instances.
func (o *owner) planService(name models.ServiceName, engine *models.EngineProfile, now time.Time) {
	f := &o.fleet
	o.askDoubtful(name, now)
	world := o.world(name, engine, now)
	o.n.stats.plans.Inc()
	o.logSupply(engine, world)
	f.orders = append(f.orders, f.planner.Step(world)...)
	o.giveOrders()
}

// giveOrders gives the orders that are due, unless the lease has ended.
func (o *owner) giveOrders() {
	if o.fleet.planner != nil && o.leaseEnded(time.Now()) {
		o.stopPlanning("the lease ended")
	}
	o.makeCalls()
}

// giveFirst gives the first order that is due.
func (o *owner) giveFirst() {
	f := &o.fleet
	order := f.orders[0]
	f.orders = f.orders[1:]
	k := f.instances[order.Instance]
	if k == nil {
		// Its entry went meanwhile; the next round knows.
		return
	}
	f.underWay++
	o.n.log.Info().Str("order", string(order.Kind)).Str("instance", string(order.Instance)).Str("group", string(order.Group.Name)).
		Int64("fence", order.Fence).Msg("order-given")
	o.n.giveOrder(o.ctx, k.Addr, order)
}

// askDoubtful asks the service's instances that were not heard in this term,
// and those that write no more although the store can be read.
func (o *owner) askDoubtful(name models.ServiceName, now time.Time) {
	_, away := o.away[platform.InstancesTopic]
	overdue := time.Duration(overdueFactor * float64(o.n.cfg.InstanceHeartbeat))
	for _, i := range o.fleet.instances {
		if i.Service != name || !i.lost.IsZero() {
			continue
		}
		silent := !away && now.Sub(i.written) > overdue && now.Sub(i.told) > overdue
		if silent || o.fleet.unproven(i) {
			o.ask(i, now, patientReport)
		}
	}
}

// world is what the planner is told of one service's instances.
func (o *owner) world(name models.ServiceName, engine *models.EngineProfile, now time.Time) fleet.Snapshot {
	busy, withheld := o.busy(engine, now)
	w := fleet.Snapshot{
		Now: now, Profile: engine, Demand: o.demand(engine), InFlight: busy, LimitedSlots: withheld,
		Instances: map[models.InstanceID]models.UpstreamInstance{}, Unreachable: map[models.InstanceID]bool{},
		Unverified: map[models.InstanceID]bool{}, Unlisted: map[models.InstanceID]bool{},
	}
	// Demand has just noted whether there is traffic.
	w.HasTraffic = o.fleet.traffic
	for id, i := range o.fleet.instances {
		if i.Service != name {
			continue
		}
		w.Instances[id] = i.UpstreamInstance
		if !i.lost.IsZero() {
			w.Unreachable[id] = true
		}
		if i.unlisted {
			w.Unlisted[id] = true
		}
		if o.fleet.unproven(i) {
			w.Unverified[id] = true
		}
	}
	return w
}

// firstTerm is that of the first planner that the store ever knew.
const firstTerm = 1

// unproven reports whether the instance was not heard since this node began to
// plan. In the first term nobody has given orders that its entry might not tell yet.
func (f *fleetState) unproven(i *knownInstance) bool {
	return f.heldTerm != firstTerm && !i.told.After(f.began)
}

// handleOrderEnded takes in what came of an order, and sees to it that the
// instance is asked where the planner needs to know more.
func (o *owner) handleOrderEnded(m orderEnded) {
	event := o.n.log.Info()
	if m.err != nil {
		event = o.n.log.Warn().Err(m.err)
	}
	event.Str("order", string(m.order.Kind)).Str("instance", string(m.order.Instance)).Str("group", string(m.order.Group.Name)).
		Int64("fence", m.order.Fence).Str("outcome", string(m.outcome)).Dur("took", m.took).Msg("order-ended")
	o.fleet.underWay--
	o.fleet.calls.Note(m.took)
	o.giveOrders()
	if p := o.fleet.planner; p != nil && fleet.TermOf(m.order.Fence) == o.fleet.heldTerm {
		p.RecordOutcome(m.order, m.outcome, m.at)
	}
	k := o.fleet.instances[m.order.Instance]
	if k == nil || k.CompareIncarnation(m.order.Born) != models.SameIncarnation {
		// An earlier life's order is void.
		return
	}
	if m.outcome == types.OrderUnknown {
		o.ask(k, m.at, patientReport)
	} else if d, known := o.expected(m.order, k.UpstreamInstance); known {
		o.fleet.due[k.ID] = m.at.Add(d)
	}
	o.planGroups(m.at)
}
