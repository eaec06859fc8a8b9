package cluster

import (
	"bytes"
	"context"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
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

// configState is the configuration in force.
type configState struct {
	routing *models.Routing
	data    []byte
	proven  time.Time
}

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

type seenPeer struct {
	beat Heartbeat
	at   time.Time
}

// silentBeats is after how many heartbeats that did not come another daemon
// counts as gone.
const silentBeats = 4

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
		o.flushNews()
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
		o.back("op")
		o.handleConfig(m.data, m.asked, "store")
	case instancesRead:
		o.back("servers")
		o.handleInstances(m.records, m.asked, true)
	case instancesChanged:
		o.back("servers")
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

// handleConfig takes a configuration in, or the proof that what is in force
// was the newest at a time.
func (o *owner) handleConfig(data []byte, asked time.Time, from string) {
	if data == nil || bytes.Equal(data, o.config.data) {
		if o.config.routing != nil && asked.After(o.config.proven) {
			o.config.proven = asked
			o.changed = true
		}
		return
	}
	routing, err := platform.DecodeRouting(data)
	if err != nil {
		o.n.log.Error().Err(err).Str("from", from).Msg("config-refused")
		return
	}
	old := int64(0)
	if o.config.routing != nil {
		old = o.config.routing.Version
	}
	if routing.Version <= old {
		o.n.log.Info().Int64("version", routing.Version).Int64("in-force", old).Str("from", from).Msg("config-older")
		return
	}
	o.config = configState{routing: routing, data: data, proven: asked}
	o.changed = true
	o.n.log.Info().Int64("version", routing.Version).Int64("was", old).Str("from", from).Int("keys", len(routing.Keys)).
		Int("hosts", len(routing.Hosts)).Msg("config-in-force")
}

func (o *owner) handleHeartbeat(m heartbeatSeen) {
	before, known := o.peers.seen[m.beat.From]
	if known && m.beat.Incarnation < before.beat.Incarnation {
		return
	}
	if !known || before.beat.Incarnation != m.beat.Incarnation {
		o.n.log.Info().Str("peer", string(m.beat.From)).Int64("incarnation", m.beat.Incarnation).Msg("peer-seen")
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

func (o *owner) tick(tick timer.Tick) {
	if tick.Paused > 0 {
		o.n.log.Warn().Dur("for", tick.Paused).Msg("process-paused")
	}
	for id, p := range o.peers.seen {
		if tick.At.Sub(p.at) > silentBeats*beatEvery(len(o.peers.seen)) {
			delete(o.peers.seen, id)
			o.n.peerLoads.drop(id)
			o.n.log.Warn().Str("peer", string(id)).Dur("silent", tick.At.Sub(p.at)).Msg("peer-silent")
			o.changed = true
		}
	}
	o.catchUp(tick.At)
	o.askDue(tick.At)
	o.planGroups(tick.At)
}

// behindFor is how long another daemon may have a newer configuration before
// it is asked for it: usually this one's own reading of the store comes first.
const behindFor = 500 * time.Millisecond

// catchUp picks a daemon to be asked for a newer configuration.
func (o *owner) catchUp(now time.Time) {
	own := int64(0)
	if r := o.config.routing; r != nil {
		own = r.Version
	}
	var newer []models.DaemonID
	for id, p := range o.peers.seen {
		if p.beat.ConfigVersion > own {
			newer = append(newer, id)
		}
	}
	switch {
	case len(newer) == 0:
		o.peers.behind, o.peers.wants = time.Time{}, ""
	case o.peers.behind.IsZero():
		o.peers.behind = now
	case now.Sub(o.peers.behind) > behindFor && !slices.Contains(newer, o.peers.wants):
		o.peers.wants = newer[rand.IntN(len(newer))]
		o.changed = true
	}
}

// publish shows the others what the owner believes.
func (o *owner) publish() {
	o.changed, o.published = false, time.Now()
	v := &View{
		Routing: o.config.routing, Proven: o.config.proven, Daemons: len(o.peers.seen) + 1,
		Term:    max(o.peers.term, o.fleet.term()),
		Planner: o.fleet.planner != nil, candidate: o.candidate(), wants: o.peers.wants, wantedBy: map[models.DaemonID]bool{}, All: o.fleet.shown(), config: o.config.data, stalled: o.fleet.stalledHeads(),
	}
	for id, p := range o.peers.seen {
		if p.beat.Wants == o.n.cfg.ID {
			v.wantedBy[id] = true
		}
	}
	v.Suspects = o.fleet.suspected(time.Now())
	v.Groups, v.Services = o.fleet.serving(o.config.routing, time.Now())
	o.n.view.Store(v)
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
func (n *Node) heartbeat(stalled []StalledHead) Heartbeat {
	v := n.View()
	b := Heartbeat{
		From: n.cfg.ID, Incarnation: n.started, Term: v.Term,
		Power: n.cfg.Power, Wants: v.wants, Work: n.traffic.Work(), Stalled: stalled,
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
			sum[model] += w
		}
	}
	return sum
}
