package cluster

import (
	"net/netip"
	"time"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// peersState is what other daemons tell.
type peersState struct {
	seen map[models.DaemonID]seenPeer
	// roster knows all daemons, arranged is whom this one tells what, as of
	// arrangedAt; it is stale if the roster has changed since. entries tells where
	// they are reached.
	roster     *membership.Roster
	entries    map[models.DaemonID]peerAddr
	arranged   *membership.Topology
	arrangedAt time.Time
	stale      bool
	// term is the newest term that any daemon tells of, feedTerm and feed
	// number the news of the planner that came last.
	term     int64
	feedTerm int64
	feed     int64
	// missedTo is the number of the newest that was missed, whole what others were
	// told last of all instances.
	missedTo int64
	whole    wholeNews
	// planned is when a planner was heard of last.
	planned time.Time
	// metAt is when a daemon was heard of for the first time, the last one that was.
	metAt time.Time
	// behind is since when another daemon has a newer configuration, wants
	// the one that is asked for it.
	behind time.Time
	wants  models.DaemonID
}

// peerAddr is where a run of a daemon is reached.
type peerAddr struct {
	addr        netip.AddrPort
	zone        models.Zone
	incarnation int64
	// unpacks tells that it reads compressed frames.
	unpacks bool
}

// seenPeer is the last heartbeat of another daemon and when it came.
type seenPeer struct {
	beat Heartbeat
	at   time.Time
	// answered tells that it was told what it missed.
	answered bool
}

func newPeersState(cfg Settings) peersState {
	self := membership.Daemon{ID: cfg.ID, Zone: cfg.Zone, CPUCores: cfg.Power}
	roster := membership.NewRoster(self, membership.DefaultPolicy())
	return peersState{
		seen: map[models.DaemonID]seenPeer{}, entries: map[models.DaemonID]peerAddr{}, roster: roster, arranged: roster.Topology(time.Now()),
	}
}

// handleHeartbeat takes in what another daemon tells, unless a later run of the
// same daemon has told already.
func (o *owner) handleHeartbeat(m heartbeatSeen) {
	b := m.beat
	before, known := o.peers.seen[b.From]
	if known && b.Incarnation < before.beat.Incarnation {
		return
	}
	if !known || before.beat.Incarnation != b.Incarnation {
		o.n.log.Info().Str("peer", string(b.From)).Int64("incarnation", b.Incarnation).Msg("peer-seen")
	}
	if !known || before.beat.Addr != b.Addr || before.beat.Incarnation != b.Incarnation {
		err := o.enter(b.From, rosterEntry{Zone: b.Zone, Addr: b.Addr, Incarnation: b.Incarnation, Power: b.Power, Unpacks: b.Unpacks})
		if err != nil {
			o.n.log.Error().Err(err).Str("peer", string(b.From)).Msg("heartbeat-unreadable")
		}
	}
	o.peers.stale = o.peers.roster.RecordHeartbeat(b.membership(), m.at) || o.peers.stale
	o.peers.seen[b.From] = seenPeer{beat: b, at: m.at}
	if b.Plans && b.Term >= o.peers.term && m.at.After(o.peers.planned) {
		o.peers.planned = m.at
	}
	o.peers.term = max(o.peers.term, b.Term)
	o.noteEra(b.Era, m.at)
	o.proveBy(m)
	for _, s := range b.Stalled {
		o.handleStalled(stalled{group: s.Group, head: s.Head, from: b.From})
	}
	if b.Wants == o.n.cfg.ID && before.beat.Wants != b.Wants {
		o.publish()
		o.n.links.beat(b.From)
	}
	o.viewStale = true
}

// proveBy takes a heartbeat as proof that the configuration is the newest, and
// looks at once for a newer one that it tells of.
func (o *owner) proveBy(m heartbeatSeen) {
	r := o.config.routing
	switch {
	case r != nil && r.Version == m.beat.ConfigVersion:
		if proven := m.at.Add(-m.beat.ConfigAge); proven.After(o.config.proven) {
			o.config.proven = proven
		}
	case m.beat.ConfigVersion > 0 && (r == nil || r.Version < m.beat.ConfigVersion):
		o.catchUp(m.at)
	}
}

// dropSilent forgets the daemons whose heartbeats no longer come.
func (o *owner) dropSilent(now time.Time) {
	for _, id := range o.peers.roster.MarkSilent(now) {
		o.n.log.Warn().Str("peer", string(id)).Dur("silent", now.Sub(o.peers.seen[id].at)).Msg("peer-silent")
		delete(o.peers.seen, id)
		o.n.peerLoads.drop(id)
		o.viewStale, o.peers.stale = true, true
	}
	o.n.peerLoads.prune(now)
}

// heartbeat is what the node tells one other daemon now.
func (n *Node) heartbeat(to models.DaemonID, l membership.Link) Heartbeat {
	v := n.View()
	b := Heartbeat{
		From: n.cfg.ID, Incarnation: n.started, Addr: n.cfg.Peer.String(), Zone: n.cfg.Zone, Term: v.Term,
		Plans: n.planning.Load(),
		Power: n.cfg.Power, Unpacks: true, Wants: v.wants, Work: map[models.ModelName]float32{}, Stalled: v.stalled,
		Relies: l.UsesRelay, RelaysFirst: l.UsesLoads, Size: v.Daemons,
		Missed: n.missed.pending() && n.asks(to, l), EntriesAge: n.entriesAge(), Era: n.era.Load(),
	}
	if every := n.beatEvery(l); every != heartbeatEvery {
		b.Every = every
	}
	if l.CrossZone {
		b.ZoneWork = v.zoneWork
	}
	if n.limits.Any() {
		b.Grants = v.votes[to]
		if l.Forwards {
			b.Granters = v.Arranged.Granters
		}
	}
	for model, work := range n.traffic.Work() {
		b.Work[model] = float32(work)
	}
	if v.Routing != nil {
		b.ConfigVersion, b.ConfigAge = v.Routing.Version, n.clock.Since(v.Proven)
	}
	return b
}

// asks reports whether a daemon is the relay that is asked for what was missed: at the
// start, the one whose word of loads is used.
func (n *Node) asks(to models.DaemonID, l membership.Link) bool {
	asked := *n.asked.Load()
	return to == asked || (asked == anyRelay && l.UsesLoads)
}
