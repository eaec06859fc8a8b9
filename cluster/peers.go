package cluster

import (
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
	// planned is when any news of a planner came last.
	planned time.Time
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
	o.viewStale = true
}

// dropSilent forgets the daemons whose heartbeats no longer come.
func (o *owner) dropSilent(now time.Time) {
	for id, p := range o.peers.seen {
		if now.Sub(p.at) > silentBeats*beatEvery(len(o.peers.seen)+1) {
			delete(o.peers.seen, id)
			o.n.peerLoads.drop(id)
			o.n.log.Warn().Str("peer", string(id)).Dur("silent", now.Sub(p.at)).Msg("peer-silent")
			o.viewStale = true
		}
	}
	o.n.peerLoads.prune(o.peers.seen, now)
}

// heartbeat is what the node tells others now.
func (n *Node) heartbeat() Heartbeat {
	v := n.View()
	b := Heartbeat{
		From: n.cfg.ID, Incarnation: n.started, Addr: n.cfg.Peer.String(), Zone: n.cfg.Zone, Term: v.Term,
		Power: n.cfg.Power, Wants: v.wants, Work: map[models.ModelName]float32{}, Stalled: v.stalled,
	}
	for model, work := range n.traffic.Work() {
		b.Work[model] = float32(work)
	}
	if v.Routing != nil {
		b.ConfigVersion, b.ConfigAge = v.Routing.Version, time.Since(v.Proven)
	}
	return b
}

// work sums what the callers of all daemons ask of each model.
func (o *owner) work() map[models.ModelName]float64 {
	sum := maps.Clone(o.n.traffic.Work())
	if sum == nil {
		sum = map[models.ModelName]float64{}
	}
	for _, p := range o.peers.seen {
		for model, w := range p.beat.Work {
			sum[model] += float64(w)
		}
	}
	return sum
}
