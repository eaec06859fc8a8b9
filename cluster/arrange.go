package cluster

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// The roster and heartbeats tell which daemons there are. From that follows whom
// this one tells what.

// arrangeEvery is how often a daemon looks, without news, whether others fell
// silent or need no longer be passed over.
const arrangeEvery = 300 * time.Millisecond

// handleRoster takes in entries of the roster.
func (o *owner) handleRoster(records []platform.KeyedRecord) {
	defer o.tellPart()
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

// tellPart has those parts of the node go on that wait to know whether it relies on
// relays.
func (o *owner) tellPart() {
	select {
	case <-o.n.partKnown:
	default:
		o.arrange(time.Now())
		o.publish()
		close(o.n.partKnown)
	}
}

// knowsPart reports whether the roster was read.
func (n *Node) knowsPart() bool {
	select {
	case <-n.partKnown:
		return true
	default:
		return false
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
	if _, known := o.peers.entries[id]; !known {
		o.peers.metAt = time.Now()
	}
	o.peers.entries[id] = peerAddr{addr: addr, zone: entry.Zone, incarnation: entry.Incarnation, unpacks: entry.Unpacks}
	o.peers.roster.Add(membership.Daemon{ID: id, Zone: entry.Zone, CPUCores: entry.Power})
	o.peers.stale = true
	return nil
}

// membership is what a heartbeat tells of its sender's part among the daemons.
func (b Heartbeat) membership() membership.Heartbeat {
	return membership.Heartbeat{
		Daemon: membership.Daemon{ID: b.From, Zone: b.Zone, CPUCores: b.Power}, Interval: cmp.Or(b.Every, heartbeatEvery),
		UsesRelay: b.Relies, UsesLoads: b.RelaysFirst, Size: b.Size,
		Votes: b.Grants, Granters: b.Granters,
	}
}

// arrange finds whom this daemon is to tell what, and has links to these.
func (o *owner) arrange(now time.Time) {
	p := &o.peers
	if !p.stale && now.Sub(p.arrangedAt) < arrangeEvery {
		return
	}
	a := p.roster.Topology(now)
	if a.LoadRelay != p.arranged.LoadRelay || a.IsRelay != p.arranged.IsRelay || a.IsMesh != p.arranged.IsMesh {
		o.n.log.Info().Str("first", string(a.LoadRelay)).Bool("relay", a.IsRelay).Bool("mesh", a.IsMesh).Int("daemons", a.Size).Msg("arranged")
	}
	if a.LoadRelay != p.arranged.LoadRelay {
		o.n.peerLoads.dropSums()
	}
	p.arranged, p.arrangedAt, p.stale, o.viewStale = a, now, false, true
	targets := make(map[models.DaemonID]target, len(a.Links))
	for id, link := range a.Links {
		e, known := p.entries[id]
		if !known {
			continue
		}
		targets[id] = target{peerAddr: e, link: link}
	}
	o.n.links.arrange(o.ctx, a, targets)
}
