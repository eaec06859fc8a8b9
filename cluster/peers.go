package cluster

import (
	"cmp"
	"maps"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// peersState is what other daemons tell.
type peersState struct {
	seen map[models.DaemonID]seenPeer
	// roster knows all daemons, arranged is whom this one tells what, as of
	// arrangedAt; it is stale if the roster has changed since. entries tells where
	// they are reached.
	roster     *membership.Roster
	entries    map[models.DaemonID]peerAddr
	arranged   *membership.Arrangement
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
	// planned is when any news of a planner came last.
	planned time.Time
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
}

// seenPeer is the last heartbeat of another daemon and when it came.
type seenPeer struct {
	beat Heartbeat
	at   time.Time
	// answered tells that it was told what it missed.
	answered bool
}

// arrangeEvery is how often a daemon looks, without news, whether others fell
// silent or need no longer be passed over.
const arrangeEvery = 300 * time.Millisecond

func newPeersState(cfg Settings) peersState {
	self := membership.Daemon{ID: cfg.ID, Zone: cfg.Zone, Power: cfg.Power}
	roster := membership.NewRoster(self, membership.DefaultPolicy())
	return peersState{
		seen: map[models.DaemonID]seenPeer{}, entries: map[models.DaemonID]peerAddr{}, roster: roster, arranged: roster.Arrange(time.Now()),
	}
}

// handleRoster takes in entries of the roster.
func (o *owner) handleRoster(records []platform.KeyedRecord) {
	if !o.n.rosterRead.Swap(true) {
		defer func() {
			o.arrange(time.Now())
			o.publish()
		}()
	}
	for _, r := range records {
		var entry rosterEntry
		err := pack.Unmarshal(r.Value, &entry)
		if err == nil {
			err = o.enter(models.DaemonID(r.Key), entry)
		}
		if err != nil {
			o.n.log.Error().Err(err).Str("peer", r.Key).Msg("roster-entry-unreadable")
		}
	}
}

// enter notes where a run of a daemon is reached, unless a later one is known.
func (o *owner) enter(id models.DaemonID, entry rosterEntry) error {
	addr, err := netip.ParseAddrPort(entry.Addr)
	if err != nil {
		return trace.Wrap(err)
	}
	if id == o.n.cfg.ID || entry.Incarnation < o.peers.entries[id].incarnation {
		return nil
	}
	o.peers.entries[id] = peerAddr{addr: addr, zone: entry.Zone, incarnation: entry.Incarnation}
	o.peers.roster.Enter(membership.Daemon{ID: id, Zone: entry.Zone, Power: entry.Power})
	o.peers.stale = true
	return nil
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
		err := o.enter(b.From, rosterEntry{Zone: b.Zone, Addr: b.Addr, Incarnation: b.Incarnation, Power: b.Power})
		if err != nil {
			o.n.log.Error().Err(err).Str("peer", string(b.From)).Msg("heartbeat-unreadable")
		}
	}
	o.peers.stale = o.peers.roster.Hear(b.membership(), m.at) || o.peers.stale
	o.peers.seen[b.From] = seenPeer{beat: b, at: m.at}
	o.peers.term = max(o.peers.term, b.Term)
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

// membership is what a heartbeat tells of its sender's part among the daemons.
func (b Heartbeat) membership() membership.Beat {
	return membership.Beat{
		Daemon: membership.Daemon{ID: b.From, Zone: b.Zone, Power: b.Power}, Every: cmp.Or(b.Every, heartbeatEvery),
		Relies: b.Relies, RelaysFirst: b.RelaysFirst, Size: b.Size,
	}
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
	for _, id := range o.peers.roster.Notice(now) {
		o.n.log.Warn().Str("peer", string(id)).Dur("silent", now.Sub(o.peers.seen[id].at)).Msg("peer-silent")
		delete(o.peers.seen, id)
		o.n.peerLoads.drop(id)
		o.viewStale, o.peers.stale = true, true
	}
	o.n.peerLoads.prune(now)
}

// arrange finds whom this daemon is to tell what, and has links to these.
func (o *owner) arrange(now time.Time) {
	p := &o.peers
	if !p.stale && now.Sub(p.arrangedAt) < arrangeEvery {
		return
	}
	a := p.roster.Arrange(now)
	if a.First != p.arranged.First || a.Relay != p.arranged.Relay || a.Mesh != p.arranged.Mesh {
		o.n.log.Info().Str("first", string(a.First)).Bool("relay", a.Relay).Bool("mesh", a.Mesh).Int("daemons", a.Size).Msg("arranged")
	}
	if a.First != p.arranged.First {
		o.n.peerLoads.dropSums()
	}
	p.arranged, p.arrangedAt, p.stale, o.viewStale = a, now, false, true
	targets := make(map[models.DaemonID]target, len(a.Links))
	for id, link := range a.Links {
		e, known := p.entries[id]
		if !known {
			continue
		}
		targets[id] = target{addr: e.addr, zone: e.zone, incarnation: e.incarnation, link: link}
	}
	o.n.links.arrange(o.ctx, a, targets)
}

// heartbeat is what the node tells one other daemon now.
func (n *Node) heartbeat(l membership.Link) Heartbeat {
	v := n.View()
	b := Heartbeat{
		From: n.cfg.ID, Incarnation: n.started, Addr: n.cfg.Peer.String(), Zone: n.cfg.Zone, Term: v.Term,
		Power: n.cfg.Power, Wants: v.wants, Work: map[models.ModelName]float32{}, Stalled: v.stalled,
		Relies: l.Relies, RelaysFirst: l.RelaysFirst, Size: v.Daemons,
		Missed: l.RelaysFirst && n.missedNews.Load(),
	}
	if every := n.beatEvery(l); every != heartbeatEvery {
		b.Every = every
	}
	if l.Across {
		b.ZoneWork = v.zoneWork
	}
	for model, work := range n.traffic.Work() {
		b.Work[model] = float32(work)
	}
	if v.Routing != nil {
		b.ConfigVersion, b.ConfigAge = v.Routing.Version, time.Since(v.Proven)
	}
	return b
}

// work sums what the callers of all daemons ask of each model. What those of other
// zones ask is told by the first relay of each that is heard.
func (o *owner) work() map[models.ModelName]float64 {
	sum := o.zoneWork()
	if o.peers.arranged.Mesh {
		return sum
	}
	told := map[models.Zone]bool{}
	for _, d := range o.peers.arranged.Planners {
		p, seen := o.peers.seen[d.ID]
		if d.Zone == o.n.cfg.Zone || !seen || told[d.Zone] || len(p.beat.ZoneWork) == 0 {
			continue
		}
		told[d.Zone] = true
		addWork(sum, p.beat.ZoneWork)
	}
	return sum
}

// zoneWork sums what the callers of the daemons of this one's zone ask of each
// model; in a mesh, of all daemons.
func (o *owner) zoneWork() map[models.ModelName]float64 {
	sum := maps.Clone(o.n.traffic.Work())
	if sum == nil {
		sum = map[models.ModelName]float64{}
	}
	for _, p := range o.peers.seen {
		if o.peers.arranged.Mesh || p.beat.Zone == o.n.cfg.Zone {
			addWork(sum, p.beat.Work)
		}
	}
	return sum
}

func addWork(sum map[models.ModelName]float64, work map[models.ModelName]float32) {
	for model, w := range work {
		sum[model] += float64(w)
	}
}
