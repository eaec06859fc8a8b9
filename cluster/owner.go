package cluster

import (
	"context"
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
	away map[string]time.Time
	// changed asks for a new view.
	changed   bool
	published time.Time
}

func newOwner(n *Node) *owner {
	return &owner{
		n: n, fleet: newFleetState(), peers: peersState{seen: map[models.DaemonID]seenPeer{}}, away: map[string]time.Time{}, changed: true,
	}
}

func (o *owner) run(ctx context.Context) error {
	o.ctx = ctx
	plan := o.n.clock.Subscribe(planEvery)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-o.n.inbox:
			o.handle(m)
			o.handleWaiting()
		case tick := <-plan:
			o.tick(tick)
		}
		o.flushNews(time.Now())
		if o.changed && time.Since(o.published) >= publishEvery {
			o.publish()
		}
	}
}

// publishEvery is the least time between two views: one takes a millisecond
// or so on a small instance with many upstreams, and heartbeats come by the
// hundred.
const publishEvery = 15 * time.Millisecond

// handleWaiting handles what has come already, so that one view shows it all.
func (o *owner) handleWaiting() {
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
		o.back(platform.ConfigTopic)
		o.handleConfig(m.data, m.asked, "store")
	case instancesRead:
		o.back(platform.InstancesTopic)
		o.handleInstances(m.records, m.asked, true)
	case instancesChanged:
		o.back(platform.InstancesTopic)
		o.handleInstances(m.records, m.asked, false)
	case rosterRead:
		o.back(rosterTopic)
	case storeAway:
		o.handleAway(m)
	case leaseHeld:
		o.handleLease(m)
	case leaseLost:
		o.stopPlanning(m.reason)
	case heartbeatSeen:
		o.handleHeartbeat(m)
	case peerConfig:
		o.handleConfig(m.config.Data, time.Now().Add(-m.config.Age), "peer")
	case peerLost:
		if o.ctx.Err() != nil {
			return
		}
		o.n.log.Info().Str("peer", string(m.id)).Err(m.err).Msg("peer-lost")
	case orderEnded:
		o.handleOrderEnded(m)
	case reportEnded:
		o.handleReport(m)
	case newsSeen:
		o.handleNews(m)
	case stalled:
		o.handleStalled(m)
	}
}

// handleAway notes since when readings of the store fail.
func (o *owner) handleAway(m storeAway) {
	if _, known := o.away[m.what]; known {
		return
	}
	o.away[m.what] = time.Now()
	o.n.log.Warn().Str("what", m.what).Err(m.err).Msg("store-lost")
}

// back notes that a reading of the store succeeded.
func (o *owner) back(what string) {
	since, away := o.away[what]
	if !away {
		return
	}
	delete(o.away, what)
	o.n.log.Info().Str("what", what).Dur("for", time.Since(since)).Msg("store-regained")
}

func (o *owner) tick(tick timer.Tick) {
	if tick.Paused > 0 {
		o.n.log.Warn().Dur("for", tick.Paused).Msg("process-paused")
	}
	o.dropSilent(tick.At)
	if o.candidate(tick.At) != o.n.View().candidate {
		o.changed = true
	}
	o.catchUp(tick.At)
	o.askDue(tick.At)
	o.watchUnlisted(tick.At)
	o.planGroups(tick.At)
}

// publish shows the others what the owner believes.
func (o *owner) publish() {
	now := time.Now()
	o.changed, o.published = false, now
	v := &View{
		Routing: o.config.routing, Proven: o.config.proven, Daemons: len(o.peers.seen) + 1,
		Term:    max(o.peers.term, o.fleet.term()),
		Planner: o.fleet.planner != nil, All: o.fleet.shown(), config: o.config.data, stalled: o.fleet.stalledHeads(now),
		mayPlan: o.mayPlan(), candidate: o.candidate(now), wants: o.peers.wants, wantedBy: map[models.DaemonID]bool{},
		behind: len(o.ahead()) > 0, relays: o.relays(),
	}
	for id, p := range o.peers.seen {
		if p.beat.Wants == o.n.cfg.ID {
			v.wantedBy[id] = true
		}
	}
	if o.config.routing != nil {
		groups := o.fleet.sound()
		v.Suspects = o.fleet.suspected(groups, now)
		v.Groups, v.Services = trusted(groups, v.Suspects), o.fleet.plain(o.config.routing)
	}
	o.n.view.Store(v)
}
