package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// links are the connections on which this node sends to other daemons. It is safe for concurrent
// use.
type links struct {
	n *Node

	mu    sync.Mutex
	tasks []task.Task
	peers map[models.DaemonID]*peerLink
	// relay is set if this node is a relay of its zone, isLoadRelay if it is the zone's load relay,
	// mesh if there are no relays.
	relay, isLoadRelay, mesh bool
}

// target is an incarnation of a daemon to link to.
type target struct {
	peerAddr
	role membership.Link
}

// peerLink is the link to a peer, with the queues that feed it.
type peerLink struct {
	target
	cancel context.CancelFunc
	// sharedRole is the target's role, for the link's goroutine.
	sharedRole atomic.Pointer[membership.Link]
	// compress is set if the target reads compressed frames.
	compress atomic.Bool
	// frames, updatesReady, heartbeatDue and peerRestarted stay when the peer's address changes.
	// The last three hold at most one notification each: to send changed loads, crashes, limits and
	// signals at once, to send a heartbeat at once, and to reconnect because a new incarnation of
	// the peer was seen.
	frames        chan sharedFrame
	updatesReady  chan struct{}
	heartbeatDue  chan struct{}
	peerRestarted chan struct{}
	// synced is set if the peer has had the full load totals on this connection and every change
	// since.
	synced bool
}

// enqueue queues a frame for the link, unless the queue is full, and reports whether it did.
// Dropped frames are recovered: a daemon's own loads and stalled heads are sent again with its
// heartbeats, a daemon that missed updates of instances reads the store, and load totals are sent
// in full again.
func (p *peerLink) enqueue(f sharedFrame) bool {
	select {
	case p.frames <- f:
		return true
	default:
		return false
	}
}

// stop closes the link if it was opened.
func (p *peerLink) stop() {
	if p.cancel != nil {
		p.cancel()
	}
}

// notify sends to a channel with a buffer of one, unless the buffer is full.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func newLinks(n *Node) *links {
	return &links{n: n, peers: map[models.DaemonID]*peerLink{}, mesh: true}
}

// reconcile opens and closes links so that there is one to each target and no other.
func (l *links) reconcile(ctx context.Context, a *membership.Topology, targets map[models.DaemonID]target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relay, l.isLoadRelay, l.mesh = a.IsRelay, a.LoadRelay == l.n.cfg.ID, a.IsMesh
	for id, peer := range l.peers {
		if _, wanted := targets[id]; !wanted {
			peer.stop()
			delete(l.peers, id)
		}
	}
	for id, t := range targets {
		l.connect(ctx, id, t)
	}
	l.pruneEnded()
}

// pruneEnded drops the tasks of closed links. The caller must hold the lock.
func (l *links) pruneEnded() {
	running := l.tasks[:0]
	for _, t := range l.tasks {
		select {
		case <-t.Done:
		default:
			running = append(running, t)
		}
	}
	l.tasks = running
}

// connect opens a link to a daemon. It replaces a link to an earlier incarnation at another
// address. The caller must hold the lock.
func (l *links) connect(ctx context.Context, id models.DaemonID, t target) {
	peer := l.peers[id]
	if peer == nil {
		peer = &peerLink{
			frames: make(chan sharedFrame, linkQueueLen), updatesReady: make(chan struct{}, 1), heartbeatDue: make(chan struct{}, 1), peerRestarted: make(chan struct{}, 1),
		}
		l.peers[id] = peer
	}
	before := peer.target
	peer.target = t
	peer.compress.Store(t.acceptsCompressed)
	if before.role != t.role || peer.sharedRole.Load() == nil {
		role := t.role
		peer.sharedRole.Store(&role)
		peer.synced = peer.synced && before.role.SendsTotals == t.role.SendsTotals
		// The peer has to know its new role for this daemon at once.
		notify(peer.heartbeatDue)
	}
	if t.incarnation > before.incarnation {
		notify(peer.peerRestarted)
	}
	if before.addr == t.addr || ctx.Err() != nil {
		return
	}
	peer.stop()
	linkCtx, cancel := context.WithCancel(ctx)
	peer.cancel = cancel
	cfg := linkConfig{id: id, addr: t.addr, zone: "other", peer: peer}
	if t.zone == l.n.cfg.Zone {
		cfg.zone = "own"
	}
	l.tasks = append(l.tasks, task.Start(linkCtx, "link", func(ctx context.Context) error { return l.n.maintainLink(ctx, cfg) }))
}

// broadcast sends an update to every other daemon: directly in a mesh, otherwise to the linked
// daemons, which forward it.
func (l *links) broadcast(update Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update.Forward = !l.relay && !l.mesh
	f, ok := l.encode(frameUpdate, update)
	if !ok {
		return
	}
	for _, peer := range l.peers {
		if !update.Forward || peer.role.UsesLoads {
			peer.enqueue(f)
		}
	}
}

// forward forwards an update from a daemon: to the daemons that use this one as a relay if it comes
// from another zone, and to these and the relays of other zones if its sender is no relay. The ages in
// the update are as of writtenAfter or later.
func (l *links) forward(from models.DaemonID, zone models.Zone, update Update, writtenAfter time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mesh || (zone == l.n.cfg.Zone && !update.Forward) {
		return
	}
	toOtherZones := update.Forward
	update.Forward, update.Clock, update.Delay = false, 0, 0
	if !writtenAfter.IsZero() {
		now := time.Now()
		update.Clock, update.Delay = l.n.echoes.own.Read(now), now.Sub(writtenAfter)
	}
	f, ok := l.encode(frameUpdate, update)
	if !ok {
		return
	}
	for id, peer := range l.peers {
		if id != from && (peer.role.Forwards || (toOtherZones && peer.role.CrossZone)) {
			peer.enqueue(f)
		}
	}
}

// sharedFrame is a frame for several links, plain and compressed.
type sharedFrame struct {
	plain, compressed frame.Frame
}

// forPeer returns the form of the frame that a peer reads.
func (f sharedFrame) forPeer(p *peerLink) frame.Frame {
	if p.compress.Load() {
		return f.compressed
	}
	return f.plain
}

// encode encodes a frame for several links. It is compressed because updates are large: a snapshot
// of 3,000 instances, which 97 starting daemons request from a relay at once, takes 86 KB and not
// 640. Uncompressed, the snapshots filled 200 Mbit/s for 2.5 s, so that the daemons took their
// relay for dead, asked the next one, and later sent the same request again.
func (l *links) encode(kind frame.Kind, value any) (sharedFrame, bool) {
	f, err := frame.Encode(kind, value)
	if err != nil {
		l.n.log.Error().Err(err).Msg("news-not-encoded")
		return sharedFrame{}, false
	}
	return sharedFrame{plain: f, compressed: f.Compressed()}, true
}

// notifyLoads makes the links to daemons that get this one's loads send them at once.
func (l *links) notifyLoads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, peer := range l.peers {
		if l.mesh || peer.role.UsesLoads {
			notify(peer.updatesReady)
		}
	}
}

// notifyAll makes all links send their changes at once.
func (l *links) notifyAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, peer := range l.peers {
		notify(peer.updatesReady)
	}
}

// sendHeartbeat makes the link to one daemon send a heartbeat at once, or all links if to is empty.
func (l *links) sendHeartbeat(to models.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, peer := range l.peers {
		if to == "" || id == to {
			notify(peer.heartbeatDue)
		}
	}
}

// totalsReceivers returns the daemons that get the cluster's load totals from this one, and the
// relays that get those of this zone. Only the load relay of a zone sends to relays.
func (l *links) totalsReceivers() (members, relays []*peerLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, peer := range l.peers {
		switch {
		case peer.role.SendsTotals:
			members = append(members, peer)
		case l.isLoadRelay && peer.role.CrossZone:
			relays = append(relays, peer)
		}
	}
	return members, relays
}

// sendTo queues a frame for the link to one daemon, and reports whether it did.
func (l *links) sendTo(to models.DaemonID, f sharedFrame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[to]
	return peer != nil && peer.enqueue(f)
}

// resetQueue drops queued frames and marks the link as not synced, for a new connection.
func (l *links) resetQueue(peer *peerLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer.synced = false
	for {
		// The link to an earlier address may take the last frame meanwhile.
		select {
		case <-peer.frames:
		default:
			return
		}
	}
}

// stopAndWait closes all links and waits for their goroutines.
func (l *links) stopAndWait() error {
	l.mu.Lock()
	for _, peer := range l.peers {
		peer.stop()
	}
	tasks := l.tasks
	l.tasks = nil
	l.mu.Unlock()
	return task.Wait(tasks...)
}
