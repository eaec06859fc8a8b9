package cluster

import (
	"context"
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// owner is the one goroutine that holds what a node believes.
type owner struct {
	n      *Node
	ctx    context.Context
	config configState
	fleet  fleetState
	peers  peersState
	// away holds since when readings of the store fail, by what was read.
	storeFailingSince map[string]time.Time
	// viewStale asks for a new view, fleetStale for one that shows the instances
	// anew as well: that takes many times as long, and heartbeats come by the
	// hundred.
	viewStale   bool
	fleetStale  bool
	lastPublish throttle
}

func newOwner(n *Node) *owner {
	return &owner{
		n: n, fleet: newFleetState(), peers: newPeersState(n.cfg), storeFailingSince: map[string]time.Time{}, fleetStale: true,
	}
}

func (o *owner) run(ctx context.Context) error {
	o.ctx = ctx
	plan := o.n.clock.Subscribe(tickInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-o.n.inbox:
			o.handle(m)
			o.drainInbox()
		case tick := <-plan:
			o.tick(tick)
		}
		o.flushUpdates(time.Now())
		if (o.viewStale || o.fleetStale) && o.lastPublish.ready(time.Now(), minPublishInterval) {
			o.publish()
		}
	}
}

// publishEvery is the least time between two views: one of all instances takes
// a millisecond or so on a small instance with many upstreams.
const minPublishInterval = 15 * time.Millisecond

// handleWaiting handles what has come already, so that one view shows it all.
func (o *owner) drainInbox() {
	for range inboxLen {
		select {
		case m := <-o.n.inbox:
			o.handle(m)
		default:
			return
		}
	}
}

func (o *owner) handle(m message) {
	switch m := m.(type) {
	case configRead:
		o.markStoreRecovered(platform.ConfigTopic)
		o.handleConfigRead(m, time.Now())
	case instancesSnapshot:
		o.markStoreRecovered(platform.InstancesTopic)
		o.handleEntries(m.readResult, true)
	case instancesDelta:
		o.markStoreRecovered(platform.InstancesTopic)
		o.handleEntries(m.readResult, false)
	case rosterRead:
		o.markStoreRecovered(rosterTopic)
		o.observeEra(m.end.Era, time.Now())
		o.handleRoster(m.records)
	case storeCallFailed:
		o.handleStoreFailure(m)
	case leaseHeld:
		o.handleLease(m)
	case leaseLost:
		o.stopPlanning(m.reason)
	case heartbeatReceived:
		o.handleHeartbeat(m)
	case configReceived:
		o.applyConfig(m.config.Data, time.Now().Add(-m.config.Age), "peer")
	case peerDisconnected:
		if o.ctx.Err() != nil {
			return
		}
		o.n.log.Info().Str("peer", string(m.id)).Err(m.err).Msg("peer-lost")
	case orderFinished:
		o.handleOrderResult(m)
	case probeFinished:
		o.handleProbeResult(m)
	case updateReceived:
		o.handleUpdate(m)
	case stallDetected:
		o.handleStalled(m)
	case limitsChanged:
		o.handleLimitsChanged()
	case signalsChanged:
		o.applyLeavingSignals(time.Now())
	}
}

// handleAway notes since when readings of the store fail.
func (o *owner) handleStoreFailure(m storeCallFailed) {
	if _, known := o.storeFailingSince[m.what]; known {
		return
	}
	o.storeFailingSince[m.what] = time.Now()
	o.n.log.Warn().Str("what", m.what).Err(m.err).Msg("store-lost")
}

// back notes that a reading of the store succeeded.
func (o *owner) markStoreRecovered(what string) {
	since, away := o.storeFailingSince[what]
	if !away {
		return
	}
	delete(o.storeFailingSince, what)
	o.n.log.Info().Str("what", what).Dur("for", time.Since(since)).Msg("store-regained")
}

func (o *owner) tick(tick timer.Tick) {
	if tick.Paused > 0 {
		o.n.log.Warn().Dur("for", tick.Paused).Msg("process-paused")
	}
	o.removeTimedOutPeers(tick.At)
	o.updateTopology(tick.At)
	o.applyLeavingSignals(tick.At)
	if o.isCandidate(tick.At) != o.n.View().candidate {
		o.viewStale = true
	}
	if o.fleet.expireSuspicions(tick.At) {
		o.fleetStale = true
	}
	o.requestIfStale(tick.At)
	o.answerSnapshotRequests(tick.At)
	o.requestNewerConfig(tick.At)
	o.sendDueProbes(tick.At)
	o.checkUnlisted(tick.At)
	o.removeMissing(tick.At)
	o.applyPendingConfig(tick.At)
	o.fleet.pruneEnded(tick.At)
	o.fleet.pruneRestarted()
	o.planGroups(tick.At)
}

// publish shows what the owner believes as a new view. It keeps the instances of
// the one before unless they are out of date.
func (o *owner) publish() {
	now := time.Now()
	v := *o.n.View()
	if o.fleetStale {
		o.updateFleetView(&v, now)
	}
	o.updatePeersView(&v, now)
	o.viewStale, o.fleetStale = false, false
	o.n.view.Store(&v)
	o.lastPublish = throttle{started: now, took: time.Since(now)}
}

// showFleet shows the instances and what they serve.
func (o *owner) updateFleetView(v *View, now time.Time) {
	if o.fleet.listStale || v.All == nil {
		// What is shown of single instances does not change. With 766 of them a view
		// took 1.2 ms and 1.0 MB, and comes a dozen times a second.
		v.All, o.fleet.listStale = o.fleet.copyInstances(), false
	}
	v.stalled = o.fleet.stalledHeads(now)
	if o.config.routing == nil {
		return
	}
	groups := o.fleet.healthyGroups()
	v.Suspects = o.fleet.suspectedHeads(groups, now)
	v.Groups, v.Services = withoutSuspects(groups, v.Suspects), o.fleet.plainInstances(o.config.routing)
}

// showPeers shows the configuration, the other daemons, and this one's part in
// planning.
func (o *owner) updatePeersView(v *View, now time.Time) {
	v.Routing, v.Proven, v.config = o.config.routing, o.config.confirmedAt, o.config.data
	v.Arranged, v.Daemons = o.peers.topology, 0
	if o.n.isRosterReady() || v.Arranged.Size > 1 {
		v.Daemons = v.Arranged.Size
	}
	v.zoneWork = o.zoneWorkUpdate()
	v.Planner, v.Term = o.fleet.planner != nil, max(o.peers.term, o.fleet.term())
	v.eligible, v.candidate = o.isEligible(), o.isCandidate(now)
	v.configSource, v.configRequesters = o.peers.configSource, map[models.DaemonID]bool{}
	for id, p := range o.peers.seen {
		if p.heartbeat.ConfigSource == o.n.cfg.ID {
			v.configRequesters[id] = true
		}
	}
	v.hasPeers = len(o.peers.seen) > 0
	v.configBehind = !o.peers.configBehindSince.IsZero() && now.Sub(o.peers.configBehindSince) > configFetchDelay
	v.granters, v.votes, v.shares = nil, nil, nil
	if o.n.limits.Any() {
		o.updateGrantersView(v)
	}
}

// handleLimits has the daemons that this one asks for permits know of it at once, when the
// first instance names a limit.
func (o *owner) handleLimitsChanged() {
	if o.n.View().granters == nil {
		o.publish()
		o.n.links.sendHeartbeat("")
	}
}

// showGranters shows who grants permits for instances that name a limit, and what this node
// itself may grant. Until it knows its part among the daemons that is nothing.
func (o *owner) updateGrantersView(v *View) {
	a := o.peers.topology
	v.granters, v.votes = map[models.DaemonID]netip.AddrPort{}, map[models.DaemonID]map[models.Zone]int{}
	for _, id := range a.Granters {
		if e, known := o.peers.addrs[id]; known {
			v.granters[id], v.votes[id] = e.addr, o.peers.roster.Votes(a, id)
		}
	}
	if o.n.isRosterReady() {
		v.shares = o.peers.roster.Shares(a, time.Now())
	}
}
