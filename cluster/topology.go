package cluster

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// The topology follows from the roster and the heartbeats: which daemons are relays, and to which
// daemons this one sends what.

// topologyInterval is how often the topology is computed when no roster entry or heartbeat has
// changed it: peers may have timed out, or not be excluded after a timeout any more.
const topologyInterval = 300 * time.Millisecond

// relayedClockStep is the interval of the periodic checks of a daemon that uses a relay. Most of what
// such a daemon does follows messages; at a thousand daemons, checks every 50 ms cost more than all
// else at rest.
const relayedClockStep = 200 * time.Millisecond

// clockStep returns the interval of periodic checks.
func (o *owner) clockStep() time.Duration {
	if t := o.peers.topology; t.IsMesh || t.IsRelay || o.fleet.planners != nil {
		return timer.Step
	}
	return relayedClockStep
}

// handleRosterRead applies a read of the roster.
func (o *owner) handleRosterRead(m rosterRead) {
	if m.applied != nil {
		o.updateTopology(time.Now())
		o.publish()
		close(m.applied)
		return
	}
	o.markStoreRecovered(rosterTopic)
	o.observeEra(m.end.Era, time.Now())
	o.handleRoster(m.records)
}

// handleRoster applies roster entries read from the store.
func (o *owner) handleRoster(records []platform.KeyedRecord) {
	for _, r := range records {
		if models.DaemonID(r.Key) == o.n.cfg.ID {
			o.handleOwnRosterEntry(r.Value)
			continue
		}
		if len(r.Value) == 0 {
			o.peers.roster.RemoveRegistered(models.DaemonID(r.Key))
			o.peers.topologyStale = true
			continue
		}
		var entry rosterEntry
		err := pack.Unmarshal(r.Value, &entry)
		if err == nil {
			err = entry.check(r.Key)
		}
		if err == nil {
			err = o.addPeer(models.DaemonID(r.Key), entry)
		}
		if err != nil {
			o.n.log.Error().Err(err).Str("peer", r.Key).Msg("roster-entry-unreadable")
			continue
		}
		o.peers.roster.AddRegistered(membership.Daemon{ID: models.DaemonID(r.Key), Zone: entry.Zone, CPUCores: entry.CPUCores})
	}
}

// handleOwnRosterEntry applies the entry of this daemon. Another daemon removes it if this one has been
// silent for long, or a late call of an earlier process does; the daemon then registers again.
func (o *owner) handleOwnRosterEntry(value []byte) {
	o.peers.listed = len(value) > 0
	if !o.peers.listed {
		o.n.registered.Store(false)
	}
}

// maxCPUCores bounds the cores of a daemon, by which daemons rank each other.
const maxCPUCores = 1 << 16

// errOddRosterEntry: no daemon wrote the entry.
var errOddRosterEntry = errors.New("no entry of a daemon")

// check returns an error for a roster entry that no daemon wrote.
func (e rosterEntry) check(id string) error {
	addr, err := netip.ParseAddrPort(e.Addr)
	switch {
	case err != nil:
		return errors.Join(errOddRosterEntry, err)
	case id == "", addr.Port() == 0, addr.Addr().IsUnspecified(), addr.Addr().IsMulticast(), e.Incarnation < 0, !(e.CPUCores >= 0 && e.CPUCores <= maxCPUCores):
		return fmt.Errorf("%w: address %s, start %d, %g cores", errOddRosterEntry, addr, e.Incarnation, e.CPUCores)
	}
	return nil
}

// markRosterReady releases the loops that wait to know whether this node uses a relay.
func (o *owner) markRosterReady() {
	select {
	case <-o.n.rosterReady:
	default:
		o.updateTopology(time.Now())
		o.publish()
		close(o.n.rosterReady)
	}
}

// isRosterReady reports whether enough daemons are known to tell whether this node uses a relay.
func (n *Node) isRosterReady() bool {
	select {
	case <-n.rosterReady:
		return true
	default:
		return false
	}
}

// addPeer records the address of a daemon, unless a later incarnation of it is known.
func (o *owner) addPeer(id models.DaemonID, entry rosterEntry) error {
	addr, err := netip.ParseAddrPort(entry.Addr)
	if err != nil {
		return trace.Wrap(err)
	}
	if id == o.n.cfg.ID || entry.Incarnation < o.peers.addrs[id].incarnation {
		return nil
	}
	before, known := o.peers.addrs[id]
	learnedAt := before.learnedAt
	if !known {
		o.peers.lastJoinAt = time.Now()
	}
	if !known || before.incarnation != entry.Incarnation {
		learnedAt = time.Now()
	}
	o.peers.addrs[id] = peerAddr{addr: addr, zone: entry.Zone, incarnation: entry.Incarnation, learnedAt: learnedAt, acceptsCompressed: entry.AcceptsCompressed}
	o.peers.roster.Add(membership.Daemon{ID: id, Zone: entry.Zone, CPUCores: entry.CPUCores})
	o.peers.topologyStale = true
	return nil
}

// membershipBeat returns the part of a heartbeat from which the topology is computed.
func (b Heartbeat) membershipBeat() membership.Heartbeat {
	return membership.Heartbeat{
		Daemon: membership.Daemon{ID: b.From, Zone: b.Zone, CPUCores: b.CPUCores}, Interval: cmp.Or(b.Interval, heartbeatInterval),
		UsesRelay: b.UsesRelay, UsesLoads: b.UsesLoads, Size: b.Size, ZoneSize: b.ZoneSize, Registered: b.Registered,
		Votes: b.Grants, Granters: b.Granters,
	}
}

// updateTopology computes the topology and opens and closes links accordingly.
func (o *owner) updateTopology(now time.Time) {
	p := &o.peers
	if registered := o.n.registered.Load(); registered != p.roster.IsRegistered() {
		p.roster.SetRegistered(registered)
		p.topologyStale = true
	}
	if !p.topologyStale && now.Sub(p.topologyAt) < topologyInterval {
		return
	}
	a := p.roster.Topology(now)
	maps.DeleteFunc(p.addrs, func(id models.DaemonID, _ peerAddr) bool { return !p.roster.Knows(id) })
	if a.LoadRelay != p.topology.LoadRelay || a.IsRelay != p.topology.IsRelay || a.IsMesh != p.topology.IsMesh {
		o.n.log.Info().Str("first", string(a.LoadRelay)).Bool("relay", a.IsRelay).Bool("mesh", a.IsMesh).Int("daemons", a.Size).Msg("arranged")
	}
	if a.LoadRelay != p.topology.LoadRelay {
		o.n.peerLoads.removeTotals()
	}
	p.topology, p.topologyAt, p.topologyStale, o.viewStale = a, now, false, true
	o.updateTunnelPeers()
	o.n.clock.SetStep(o.clockStep())
	targets := make(map[models.DaemonID]target, len(a.Links))
	for id, link := range a.Links {
		e, known := p.addrs[id]
		if !known {
			continue
		}
		targets[id] = target{peerAddr: e, role: link}
	}
	o.n.links.reconcile(o.ctx, a, targets)
}
