package cluster

import (
	"hash/fnv"
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// peersState is what other daemons tell.
type peersState struct {
	seen map[models.DaemonID]seenPeer
	// term is the newest term that any daemon tells of, feedTerm and feed
	// number the news of the planner that came last.
	term     int64
	feedTerm int64
	feed     int64
	// behind is since when another daemon has a newer configuration, wants
	// the one that is asked for it.
	behind time.Time
	wants  models.DaemonID
}

// seenPeer is the last heartbeat of another daemon and when it came.
type seenPeer struct {
	beat Heartbeat
	at   time.Time
}

// silentBeats is after how many heartbeats that did not come another daemon
// counts as gone.
const silentBeats = 4

// handleHeartbeat takes in what another daemon tells, unless a later run of the
// same daemon has told already.
func (o *owner) handleHeartbeat(m heartbeatSeen) {
	before, known := o.peers.seen[m.beat.From]
	if known && m.beat.Incarnation < before.beat.Incarnation {
		return
	}
	if !known || before.beat.Incarnation != m.beat.Incarnation {
		o.n.log.Info().Str("peer", string(m.beat.From)).Int64("incarnation", m.beat.Incarnation).Msg("peer-seen")
	}
	if !known || before.beat.Addr != m.beat.Addr {
		o.n.links.meet(o.ctx, m.beat)
	}
	o.peers.seen[m.beat.From] = seenPeer(m)
	o.peers.term = max(o.peers.term, m.beat.Term)
	if r := o.config.routing; r != nil && r.Version == m.beat.ConfigVersion {
		if proven := m.at.Add(-m.beat.ConfigAge); proven.After(o.config.proven) {
			o.config.proven = proven
		}
	}
	for _, s := range m.beat.Stalled {
		o.handleStalled(stalled{group: s.Group, head: s.Head, from: m.beat.From})
	}
	o.changed = true
}

// dropSilent forgets the daemons whose heartbeats no longer come.
func (o *owner) dropSilent(now time.Time) {
	for id, p := range o.peers.seen {
		if now.Sub(p.at) > silentBeats*beatEvery(len(o.peers.seen)) {
			delete(o.peers.seen, id)
			o.n.peerLoads.drop(id)
			o.n.log.Warn().Str("peer", string(id)).Dur("silent", now.Sub(p.at)).Msg("peer-silent")
			o.changed = true
		}
	}
	o.n.peerLoads.prune(o.peers.seen, now)
}

// candidates is how many daemons ask the store for the planner's lease: enough
// that some are left after any loss, and few against the store's price.
const candidates = 9

// candidate reports whether this node is one of those that may plan: those
// with the most processor, and among equals by a hash of their names.
func (o *owner) candidate() bool {
	before := 0
	power, hash := o.n.cfg.Power, hashOf(o.n.cfg.ID)
	for id, p := range o.peers.seen {
		if p.beat.Power > power || (p.beat.Power == power && hashOf(id) < hash) {
			before++
		}
	}
	return before < candidates
}

func hashOf(id models.DaemonID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// heartbeat is what the node tells others now.
func (n *Node) heartbeat() Heartbeat {
	v := n.View()
	b := Heartbeat{
		From: n.cfg.ID, Incarnation: n.started, Addr: n.cfg.Peer.String(), Zone: n.cfg.Zone, Term: v.Term,
		Power: n.cfg.Power, Wants: v.wants, Work: n.traffic.Work(), Stalled: v.stalled,
	}
	if v.Routing != nil {
		b.ConfigVersion, b.ConfigAge = v.Routing.Version, time.Since(v.Proven)
	}
	return b
}

// relays picks one daemon of each other zone, where there are many daemons:
// the one with the most processor, and among equals by a hash of their names.
// It passes on what is to be known at once, so that each change crosses to a
// zone once.
func (o *owner) relays() map[models.DaemonID]bool {
	if len(o.peers.seen) < manyDaemons {
		return nil
	}
	best := map[models.Zone]Heartbeat{}
	for id, p := range o.peers.seen {
		b, there := best[p.beat.Zone]
		if !there || p.beat.Power > b.Power || (p.beat.Power == b.Power && hashOf(id) < hashOf(b.From)) {
			best[p.beat.Zone] = p.beat
		}
	}
	out := map[models.DaemonID]bool{}
	for zone, b := range best {
		if zone != o.n.cfg.Zone {
			out[b.From] = true
		}
	}
	return out
}

// work sums what the callers of all daemons ask of each model.
func (o *owner) work() map[models.ModelName]float64 {
	sum := maps.Clone(o.n.traffic.Work())
	if sum == nil {
		sum = map[models.ModelName]float64{}
	}
	for _, p := range o.peers.seen {
		for model, w := range p.beat.Work {
			sum[model] += w
		}
	}
	return sum
}
