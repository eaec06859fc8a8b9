package cluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	rosterTopic = "daemons"
	// heartbeatEvery is how often a daemon tells another of itself. Where
	// there are many, all but the one that plans do so less often.
	heartbeatEvery = 300 * time.Millisecond
	sparseEvery    = 1200 * time.Millisecond
	manyDaemons    = 20
	writeTimeout   = 500 * time.Millisecond
	readTimeout    = 3 * time.Second
	redialPause    = 300 * time.Millisecond
	// mostRedial bounds the pause, which doubles while a daemon does not
	// answer: those that were replaced at another address never will.
	mostRedial = 1200 * time.Millisecond
)

// Kinds of frames between daemons.
const (
	frameHeartbeat frame.Kind = iota + 1
	frameConfig
	frameLoads
)

// followRoster writes the node's own entry and keeps a connection to every
// daemon that has one.
func (n *Node) followRoster(ctx context.Context) error {
	if err := n.enroll(ctx); err != nil {
		return err
	}
	read := func(records []platform.KeyedRecord, _ time.Time) message {
		n.links.update(ctx, records)
		return rosterRead{records}
	}
	f := follower{n: n, topic: rosterTopic, wait: func() time.Duration { return rosterWait }, whole: read, added: read}
	f.every = func() time.Duration { return 0 }
	err := f.run(ctx)
	return errors.Join(err, n.links.wait())
}

// enroll writes the node's entry until the store has taken it.
func (n *Node) enroll(ctx context.Context) error {
	value, err := pack.Marshal(rosterEntry{Zone: n.cfg.Zone, Addr: n.cfg.Peer.String(), Incarnation: n.started})
	if err != nil {
		return err
	}
	for {
		n.stats.storeCalls.Inc()
		limited, cancel := context.WithTimeout(ctx, answerSlack)
		err := n.store.Put(limited, rosterTopic, string(n.cfg.ID), value)
		cancel()
		if err == nil {
			return nil
		}
		n.stats.storeErrors.Inc()
		n.tell(ctx, storeAway{what: rosterTopic, err: err})
		if err := pause(ctx, retryPause); err != nil {
			return err
		}
	}
}

// links are the connections on which a node tells other daemons of itself.
type links struct {
	n      *Node
	ended  []task.Task
	cancel map[models.DaemonID]context.CancelFunc
	addrs  map[models.DaemonID]netip.AddrPort

	mu   sync.Mutex
	news map[models.DaemonID]chan LoadNews
	// woken has a place for each link that is to tell of loads at once.
	woken map[models.DaemonID]chan struct{}
}

// beatEvery is how often a daemon that knows so many others tells of itself.
func beatEvery(peers int) time.Duration {
	if peers > manyDaemons {
		return sparseEvery
	}
	return heartbeatEvery
}

func newLinks(n *Node) *links {
	return &links{
		n: n, cancel: map[models.DaemonID]context.CancelFunc{}, addrs: map[models.DaemonID]netip.AddrPort{}, news: map[models.DaemonID]chan LoadNews{},
		woken: map[models.DaemonID]chan struct{}{},
	}
}

// send hands news to the link of every other daemon.
func (l *links) send(news LoadNews) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, to := range l.news {
		select {
		case to <- news:
		default:
			// The link is behind or down; the next heartbeat tells all.
		}
	}
}

// wake has every link tell at once what has changed of the loads.
func (l *links) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, to := range l.woken {
		select {
		case to <- struct{}{}:
		default:
		}
	}
}

// link is what one connection to another daemon is fed by.
type link struct {
	id    models.DaemonID
	addr  netip.AddrPort
	news  <-chan LoadNews
	woken <-chan struct{}
}

func (l *links) linkTo(id models.DaemonID, addr netip.AddrPort) link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.news[id] == nil {
		l.news[id] = make(chan LoadNews, newsLen)
		l.woken[id] = make(chan struct{}, 1)
	}
	return link{id: id, addr: addr, news: l.news[id], woken: l.woken[id]}
}

func (l *links) update(ctx context.Context, records []platform.KeyedRecord) {
	for _, r := range records {
		id := models.DaemonID(r.Key)
		if id == l.n.cfg.ID {
			continue
		}
		var entry rosterEntry
		addr, err := netip.AddrPort{}, pack.Unmarshal(r.Value, &entry)
		if err == nil {
			addr, err = netip.ParseAddrPort(entry.Addr)
		}
		if err != nil {
			l.n.log.Error().Err(err).Str("peer", r.Key).Msg("roster-entry-unreadable")
			continue
		}
		if l.addrs[id] == addr {
			continue
		}
		if stop := l.cancel[id]; stop != nil {
			stop()
		}
		link := l.linkTo(id, addr)
		linkCtx, cancel := context.WithCancel(ctx)
		l.cancel[id], l.addrs[id] = cancel, addr
		l.ended = append(l.ended, task.Start(linkCtx, "link", func(ctx context.Context) error { return l.n.keepLink(ctx, link) }))
	}
}

func (l *links) wait() error {
	for _, cancel := range l.cancel {
		cancel()
	}
	return task.Wait(l.ended...)
}

// keepLink tells one other daemon of this one, on one connection after the
// other.
func (n *Node) keepLink(ctx context.Context, l link) error {
	wait := redialPause
	for ctx.Err() == nil {
		began := time.Now()
		err := n.runLink(ctx, l)
		n.log.Debug().Str("peer", string(l.id)).Err(err).Msg("link-ended")
		if time.Since(began) > mostRedial {
			wait = redialPause
		}
		if err := pause(ctx, wait); err != nil {
			return nil
		}
		wait = min(mostRedial, 2*wait)
	}
	return nil
}

func (n *Node) runLink(ctx context.Context, l link) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", l.addr.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	beats := time.NewTicker(heartbeatEvery)
	defer beats.Stop()
	told, err := n.beat(conn, l.id, 0)
	beaten := time.Now()
	if err != nil {
		return err
	}
	seen, err := n.tellLoads(conn, 0)
	for err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-beats.C:
			if !n.planning.Load() && now.Sub(beaten) < beatEvery(n.View().Daemons) {
				continue
			}
			beaten = now
			if told, err = n.beat(conn, l.id, told); err == nil {
				seen, err = n.tellLoads(conn, seen)
			}
		case <-l.woken:
			seen, err = n.tellLoads(conn, seen)
		case m := <-l.news:
			err = errors.Join(conn.SetWriteDeadline(time.Now().Add(writeTimeout)), frame.Write(conn, frameLoads, m))
		}
	}
	return err
}

// tellLoads tells the loads that have changed since an earlier call; the
// first one tells all.
func (n *Node) tellLoads(conn net.Conn, seen uint64) (uint64, error) {
	loads, last := n.traffic.LoadsSince(seen)
	if len(loads) == 0 && seen > 0 {
		return last, nil
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return seen, err
	}
	return last, frame.Write(conn, frameLoads, LoadNews{From: n.cfg.ID, All: seen == 0, Loads: loads})
}

// beat sends a heartbeat, and the configuration if the other daemon asks for
// it.
func (n *Node) beat(conn net.Conn, to models.DaemonID, told int64) (int64, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return told, err
	}
	if err := frame.Write(conn, frameHeartbeat, n.heartbeat(n.stalledHeads())); err != nil {
		return told, err
	}
	return n.tellConfig(conn, to, told)
}

// tellConfig hands the configuration over to a daemon that asks for it.
func (n *Node) tellConfig(conn net.Conn, to models.DaemonID, told int64) (int64, error) {
	v := n.View()
	if !v.wantedBy[to] || v.Routing == nil || v.Routing.Version <= told {
		return told, nil
	}
	c := ConfigCopy{Version: v.Routing.Version, Age: time.Since(v.Proven), Data: v.config}
	return c.Version, frame.Write(conn, frameConfig, c)
}

// peerServer takes in what other daemons tell.
type peerServer struct {
	n        *Node
	listener net.Listener
}

func listenPeers(n *Node) (*peerServer, error) {
	l, err := net.Listen("tcp4", n.cfg.Peer.String())
	if err != nil {
		return nil, fmt.Errorf("listen for daemons: %w", err)
	}
	return &peerServer{n: n, listener: l}, nil
}

func (s *peerServer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("accept a daemon: %w", err)
		}
		task.Start(ctx, "peer", func(ctx context.Context) error { return s.serve(ctx, conn) })
	}
}

func (s *peerServer) serve(ctx context.Context, conn net.Conn) error {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	var from models.DaemonID
	r := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return err
		}
		kind, body, err := frame.Read(r)
		if err == nil {
			from, err = s.take(ctx, kind, body, from)
		}
		if err != nil {
			s.n.tell(ctx, peerLost{id: from, err: err})
			return err
		}
	}
}

func (s *peerServer) take(ctx context.Context, kind frame.Kind, body []byte, from models.DaemonID) (models.DaemonID, error) {
	switch kind {
	case frameHeartbeat:
		var b Heartbeat
		if err := frame.Decode(body, &b); err != nil {
			return from, err
		}
		s.n.tell(ctx, heartbeatSeen{beat: b, at: time.Now()})
		return b.From, nil
	case frameLoads:
		var news LoadNews
		if err := frame.Decode(body, &news); err != nil {
			return from, err
		}
		s.n.peerLoads.take(news)
		if news.Term > 0 {
			s.n.tell(ctx, newsSeen{term: news.Term, feed: news.Feed, instances: news.Instances, at: time.Now()})
		}
		for _, head := range news.Stalled {
			s.n.tell(ctx, stalled{group: head.Group, head: head.Head, from: news.From})
		}
		return from, nil
	case frameConfig:
		var c ConfigCopy
		if err := frame.Decode(body, &c); err != nil {
			return from, err
		}
		s.n.tell(ctx, peerConfig{config: c})
		return from, nil
	default:
		return from, fmt.Errorf("%w: kind %d", frame.ErrFormat, kind)
	}
}

// stalledHeads lists the heads that this node itself found stalled.
func (n *Node) stalledHeads() []StalledHead { return n.View().stalled }
