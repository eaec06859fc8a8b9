package cluster

import (
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// peersState is the known state of the other daemons.
type peersState struct {
	seen map[models.DaemonID]peerStatus
	// roster holds all daemons, topology is computed from it at topologyAt, topologyStale is set if
	// the roster has changed since. addrs are the addresses of the daemons.
	roster        *membership.Roster
	addrs         map[models.DaemonID]peerAddr
	topology      *membership.Topology
	topologyAt    time.Time
	topologyStale bool
	// listed is set if the store's roster holds an entry of this daemon.
	listed bool
	// term is the newest term that any daemon knows of, updateTerm and updateSeq are the term and
	// number of the planner's last received update.
	term       int64
	updateTerm int64
	updateSeq  int64
	// missedSeq is the number of the newest missed update, snapshot the last snapshot sent to
	// others.
	missedSeq int64
	snapshot  encodedSnapshot
	// plannerSeenAt is when the planner last sent an update or a heartbeat.
	plannerSeenAt time.Time
	// lastJoinAt is when a daemon was last discovered.
	lastJoinAt time.Time
	// configBehindSince is since when another daemon has had a newer configuration, configSource
	// the daemon that is asked for it.
	configBehindSince time.Time
	configSource      models.DaemonID
}

// peerAddr is the address of an incarnation of a daemon.
type peerAddr struct {
	addr        netip.AddrPort
	zone        models.Zone
	incarnation int64
	// learnedAt is when the incarnation became known.
	learnedAt time.Time
	// acceptsCompressed is set if it reads compressed frames.
	acceptsCompressed bool
}

// peerStatus is the last heartbeat of another daemon.
type peerStatus struct {
	heartbeat  Heartbeat
	receivedAt time.Time
	// snapshotSent is set if the snapshot that the heartbeat requests was sent.
	snapshotSent bool
}

func newPeersState(cfg Settings) peersState {
	self := membership.Daemon{ID: cfg.ID, Zone: cfg.Zone, CPUCores: cfg.CPUCores}
	roster := membership.NewRoster(self, membership.DefaultPolicy())
	return peersState{
		seen: map[models.DaemonID]peerStatus{}, addrs: map[models.DaemonID]peerAddr{}, roster: roster, topology: roster.Topology(time.Now()),
	}
}

// lateHeartbeatBound is how long after a later incarnation of a daemon became known heartbeats of an
// earlier one may arrive that was replaced by it.
const lateHeartbeatBound = 3 * time.Second

// handleHeartbeat applies a heartbeat, unless one of a later incarnation of the daemon was
// received.
func (o *owner) handleHeartbeat(m heartbeatReceived) {
	b := m.heartbeat
	before, known := o.peers.seen[b.From]
	if known && b.Incarnation < before.heartbeat.Incarnation {
		return
	}
	if b.Leaving {
		o.forgetPeer(b.From)
		return
	}
	if !known || before.heartbeat.Incarnation != b.Incarnation {
		o.n.log.Info().Str("peer", string(b.From)).Int64("incarnation", b.Incarnation).Msg("peer-seen")
	}
	a := o.peers.addrs[b.From]
	overstated := a.incarnation > b.Incarnation && m.receivedAt.Sub(a.learnedAt) >= lateHeartbeatBound
	if overstated {
		// The process of this heartbeat still runs. Another writer may have left the roster entry.
		o.n.log.Warn().Str("peer", string(b.From)).Int64("incarnation", b.Incarnation).Int64("listed", a.incarnation).Msg("peer-corrected")
		a.incarnation = b.Incarnation
		o.peers.addrs[b.From] = a
	}
	if overstated || !known || before.heartbeat.Addr != b.Addr || before.heartbeat.Incarnation != b.Incarnation {
		err := o.addPeer(b.From, rosterEntry{Zone: b.Zone, Addr: b.Addr, Incarnation: b.Incarnation, CPUCores: b.CPUCores, AcceptsCompressed: b.AcceptsCompressed})
		if err != nil {
			o.n.log.Error().Err(err).Str("peer", string(b.From)).Msg("heartbeat-unreadable")
		}
	}
	o.peers.topologyStale = o.peers.roster.RecordHeartbeat(b.membershipBeat(), m.receivedAt) || o.peers.topologyStale
	o.peers.seen[b.From] = peerStatus{heartbeat: b, receivedAt: m.receivedAt}
	if !known || before.heartbeat.isImpaired() != b.isImpaired() || before.heartbeat.Addr != b.Addr {
		o.updateTunnelPeers()
	}
	// A relay may have found this daemon before it could read the roster.
	o.markRosterReady()
	if b.IsPlanner && b.Term >= o.peers.term && m.receivedAt.After(o.peers.plannerSeenAt) {
		o.peers.plannerSeenAt = m.receivedAt
	}
	o.peers.term = max(o.peers.term, b.Term)
	o.observeEra(b.Era, m.receivedAt)
	o.markEvacuations(o.config.evacuations.Replace(b.Evacuated, b.OperatorsEnd, m.receivedAt))
	o.confirmConfigBy(m)
	for _, s := range b.Stalled {
		o.handleStalled(stallDetected{group: s.Group, head: s.Head, from: b.From})
	}
	if b.ConfigSource == o.n.cfg.ID && before.heartbeat.ConfigSource != b.ConfigSource {
		o.publish()
		o.n.links.sendHeartbeat(b.From)
	}
	o.viewStale = true
}

// forgetPeer forgets a daemon that has announced its end. One that only became silent stays known: it may be
// cut off.
func (o *owner) forgetPeer(id models.DaemonID) {
	if !o.peers.roster.Knows(id) {
		return
	}
	o.n.log.Info().Str("peer", string(id)).Msg("peer-left")
	o.peers.roster.Forget(id)
	o.dropPeer(id)
}

// dropPeer drops what was known of a daemon that is silent or has left.
func (o *owner) dropPeer(id models.DaemonID) {
	delete(o.peers.seen, id)
	o.n.echoes.forget(id)
	o.updateTunnelPeers()
	o.n.peerLoads.remove(id)
	o.viewStale, o.peers.topologyStale = true, true
}

// confirmConfigBy confirms the configuration by a heartbeat with the same version, and requests a
// newer one if the heartbeat has a newer version.
func (o *owner) confirmConfigBy(m heartbeatReceived) {
	r := o.config.routing
	switch {
	case r != nil && r.Version == m.heartbeat.ConfigVersion:
		if confirmedAt := dateOf(m.writtenAfter, m.heartbeat.ConfigAge); confirmedAt.After(o.config.confirmedAt) {
			o.config.confirmedAt = confirmedAt
		}
	case m.heartbeat.ConfigVersion > 0 && (r == nil || r.Version < m.heartbeat.ConfigVersion):
		o.requestNewerConfig(m.receivedAt)
	}
}

// removeTimedOutPeers removes the daemons whose heartbeats have timed out.
func (o *owner) removeTimedOutPeers(now time.Time) {
	for _, id := range o.peers.roster.MarkSilent(now) {
		o.n.log.Warn().Str("peer", string(id)).Dur("silent", now.Sub(o.peers.seen[id].receivedAt)).Msg("peer-silent")
		o.dropPeer(id)
	}
	o.n.peerLoads.prune(now)
}

// heartbeat returns the current heartbeat to a peer.
func (n *Node) heartbeat(to models.DaemonID, l membership.Link) Heartbeat {
	// Ages must not be read before the time that dates them.
	now := time.Now()
	v := n.View()
	b := Heartbeat{
		Clock: n.echoes.own.Read(now), Echo: n.echoes.echo(to, now),
		From: n.cfg.ID, Incarnation: n.incarnation(), Addr: n.cfg.Peer.String(), Zone: n.cfg.Zone, Term: v.Term,
		IsPlanner: n.planning.Load(), Partitioned: n.paths.partitioned(), Overloaded: n.overloaded.Load(),
		CPUCores: n.cfg.CPUCores, AcceptsCompressed: true, ConfigSource: v.configSource, Stalled: v.stalled,
		UsesRelay: l.UsesRelay, UsesLoads: l.UsesLoads, Size: v.reportedSize(), ZoneSize: v.relayedZoneSize(), Registered: n.registered.Load(),
		Evacuated: v.evacuated, OperatorsEnd: v.operatorsEnd,
		MissedUpdates: n.missedUpdates.pending() && n.requestsSnapshotFrom(to, l), EntriesAge: n.entriesAge(), Era: n.era.Load(), Leaving: n.leaving.Load(),
	}
	if every := n.heartbeatIntervalFor(l); every != heartbeatInterval {
		b.Interval = every
	}
	b.Demand, b.ServiceDemand = demandToSend(n.traffic.Demand(), v.Routing)
	if l.CrossZone {
		b.ZoneDemand, b.ZoneServiceDemand = demandToSend(v.zoneDemand, v.Routing)
	}
	if n.limits.Any() {
		b.Grants = v.votes[to]
		if l.Forwards {
			b.Granters = v.Topology.Granters
		}
	}
	if v.Routing != nil {
		b.ConfigVersion, b.ConfigAge = v.Routing.Version, n.clock.Since(v.ConfirmedAt)
	}
	return b
}

// requestsSnapshotFrom reports whether a peer is the relay that is asked for a snapshot; at the
// start, the load relay.
func (n *Node) requestsSnapshotFrom(to models.DaemonID, l membership.Link) bool {
	relay := *n.snapshotRelay.Load()
	return to == relay || (relay == anyRelay && l.UsesLoads)
}
