package cluster

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// links are the connections on which a node tells other daemons of itself. It
// is safe for use by several goroutines.
type links struct {
	n *Node

	mu    sync.Mutex
	tasks []task.Task
	peers map[models.DaemonID]*peerLink
	// relay tells that this node is a relay of its zone, first that it is the first
	// one, mesh that there are none.
	relay, primary, mesh bool
}

// target is the run of a daemon that is to be told of this one.
type target struct {
	peerAddr
	role membership.Link
}

// linkEnd is the other end of a link.
type peerLink struct {
	target
	cancel context.CancelFunc
	// attrs is what the link's goroutine reads of the target's link.
	sharedRole atomic.Pointer[membership.Link]
	// packs tells the link's goroutine to send what is compressed as it is, since the
	// target reads that.
	compress atomic.Bool
	// frames, woken, beat and back outlast a change of address. woken has a place
	// for the word that loads, crashes and limits are to be told at once, beat for the word
	// that a heartbeat is, back for the word that the daemon was heard of anew.
	frames        chan sharedFrame
	updatesReady  chan struct{}
	heartbeatDue  chan struct{}
	peerRestarted chan struct{}
	// synced tells that the other end was told all loads of several daemons on
	// this connection, and that none were left out since.
	synced bool
}

// offer hands a frame to the link unless that is behind or down, and reports
// whether it did. What is left out comes otherwise: a daemon tells its own loads
// and stalled heads with its heartbeats, one that missed news of instances reads
// the store, and loads of several daemons are told whole again.
func (p *peerLink) enqueue(f sharedFrame) bool {
	select {
	case p.frames <- f:
		return true
	default:
		return false
	}
}

// stop ends the link, if one was begun.
func (p *peerLink) stop() {
	if p.cancel != nil {
		p.cancel()
	}
}

// signal leaves a word in a channel that has a place for one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func newLinks(n *Node) *links {
	return &links{n: n, peers: map[models.DaemonID]*peerLink{}, mesh: true}
}

// arrange has links to these daemons and no others.
func (l *links) reconcile(ctx context.Context, a *membership.Arrangement, targets map[models.DaemonID]target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relay, l.primary, l.mesh = a.Relay, a.First == l.n.cfg.ID, a.Mesh
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

// forgetEnded drops the links that have ended. The links must be locked.
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

// connect begins a link to a run of a daemon, in the place of one to an
// earlier run at another address. The links must be locked.
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
		link := t.role
		peer.sharedRole.Store(&link)
		peer.synced = peer.synced && before.role.Totals == t.role.Totals
		// The other one is to know at once what it is to this daemon.
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
	made := linkConfig{id: id, addr: t.addr, zone: "other", peer: peer}
	if t.zone == l.n.cfg.Zone {
		made.zone = "own"
	}
	l.tasks = append(l.tasks, task.Start(linkCtx, "link", func(ctx context.Context) error { return l.n.maintainLink(ctx, made) }))
}

// send has every other daemon told: each one in a mesh, else those that this one
// is linked to, which pass it on.
func (l *links) broadcast(update Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update.Forward = !l.relay && !l.mesh
	f, ok := l.encode(frameUpdate, update)
	if !ok {
		return
	}
	for _, peer := range l.peers {
		if !update.Forward || peer.role.RelaysFirst {
			peer.enqueue(f)
		}
	}
}

// passOn passes on news that a daemon of a zone told: to those who rely on this
// one what comes from other zones, and everywhere what comes from one that is no
// relay.
func (l *links) forward(from models.DaemonID, zone models.Zone, update Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mesh || (zone == l.n.cfg.Zone && !update.Forward) {
		return
	}
	toOtherZones := update.Forward
	update.Forward = false
	f, ok := l.encode(frameUpdate, update)
	if !ok {
		return
	}
	for id, peer := range l.peers {
		if id != from && (peer.role.Member || (toOtherZones && peer.role.Across)) {
			peer.enqueue(f)
		}
	}
}

// sharedFrame is a frame for several links, of which those take the compressed
// form whose other end reads it.
type sharedFrame struct {
	plain, compressed frame.Frame
}

// forEnd is the form that the other end of a link reads.
func (f sharedFrame) forPeer(p *peerLink) frame.Frame {
	if p.compress.Load() {
		return f.compressed
	}
	return f.plain
}

// encode makes a frame for several links. All that is told of instances and loads
// is compressed: news of 3,000 instances, which 97 daemons ask a relay for at once
// when they start, take 86 KB rather than 640. Uncompressed they filled 200 Mbit/s
// for 2.5 s, so that the daemons took their relay for dead, asked the next one, and
// came back with the same question.
func (l *links) encode(kind frame.Kind, value any) (sharedFrame, bool) {
	f, err := frame.Encode(kind, value)
	if err != nil {
		l.n.log.Error().Err(err).Msg("news-not-encoded")
		return sharedFrame{}, false
	}
	return sharedFrame{plain: f, compressed: f.Packed()}, true
}

// wake has the daemons that are told of this one's loads told at once.
func (l *links) notifyLoads() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, peer := range l.peers {
		if l.mesh || peer.role.RelaysFirst {
			notify(peer.updatesReady)
		}
	}
}

// wakeAll has all daemons that this one is linked to told what is new.
func (l *links) notifyAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, peer := range l.peers {
		notify(peer.updatesReady)
	}
}

// beat has a heartbeat sent at once: to one daemon, or to all if none is named.
func (l *links) sendHeartbeat(to models.DaemonID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, peer := range l.peers {
		if to == "" || id == to {
			notify(peer.heartbeatDue)
		}
	}
}

// listeners are the daemons that use this one's word of the loads of all daemons,
// and the relays that use its word of those of its zone. These are there only for
// the first relay of a zone.
func (l *links) totalsReceivers() (members, relays []*peerLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, peer := range l.peers {
		switch {
		case peer.role.Totals:
			members = append(members, peer)
		case l.primary && peer.role.Across:
			relays = append(relays, peer)
		}
	}
	return members, relays
}

// tell hands a frame to the link to one daemon, and reports whether it did.
func (l *links) sendTo(to models.DaemonID, f sharedFrame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := l.peers[to]
	return peer != nil && peer.enqueue(f)
}

// unsync notes that a link begins anew, and drops what waited for it.
func (l *links) resetQueue(peer *peerLink) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer.synced = false
	for len(peer.frames) > 0 {
		<-peer.frames
	}
}

// wait ends all links and waits for their ends.
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
