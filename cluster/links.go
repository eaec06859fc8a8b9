package cluster

import (
	"context"
	"net/netip"
	"sync"

	"github.com/gravitational/trace"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// links are the connections on which a node tells other daemons of itself. It
// is safe for use by several goroutines.
type links struct {
	n *Node

	mu    sync.Mutex
	ended []task.Task
	known map[models.DaemonID]*linkEnd
}

// linkEnd is the other end of a link: the run of a daemon that is known there.
type linkEnd struct {
	addr        netip.AddrPort
	zone        models.Zone
	incarnation int64
	cancel      context.CancelFunc
	// news, woken and back outlast a change of address. woken has a place for
	// the word that loads are to be told at once, back for the word that the
	// daemon was heard of anew.
	news  chan News
	woken chan struct{}
	back  chan struct{}
}

// offer hands news to the link unless that is behind or down. What is left out
// comes otherwise: a daemon tells its own loads and stalled heads with its
// heartbeats, and one that missed news of instances reads the store.
func (e *linkEnd) offer(news News) {
	select {
	case e.news <- news:
	default:
	}
}

// signal leaves a word in a channel that has a place for one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func newLinks(n *Node) *links { return &links{n: n, known: map[models.DaemonID]*linkEnd{}} }

// update begins a link to each daemon that the records of the roster name.
func (l *links) update(ctx context.Context, records []platform.KeyedRecord) {
	for _, r := range records {
		var entry rosterEntry
		err := pack.Unmarshal(r.Value, &entry)
		if err == nil {
			err = l.connect(ctx, models.DaemonID(r.Key), entry)
		}
		if err != nil {
			l.n.log.Error().Err(err).Str("peer", r.Key).Msg("roster-entry-unreadable")
		}
	}
}

// meet begins a link to a daemon that told of itself: it may have entered
// itself in the roster since that was read.
func (l *links) meet(ctx context.Context, b Heartbeat) {
	if err := l.connect(ctx, b.From, rosterEntry{Zone: b.Zone, Addr: b.Addr, Incarnation: b.Incarnation}); err != nil {
		l.n.log.Error().Err(err).Str("peer", string(b.From)).Msg("heartbeat-unreadable")
	}
}

// connect begins a link to a run of a daemon, in the place of one to an
// earlier run at another address.
func (l *links) connect(ctx context.Context, id models.DaemonID, entry rosterEntry) error {
	if id == l.n.cfg.ID {
		return nil
	}
	addr, err := netip.ParseAddrPort(entry.Addr)
	if err != nil {
		return trace.Wrap(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	end := l.known[id]
	if end == nil {
		end = &linkEnd{news: make(chan News, newsLen), woken: make(chan struct{}, 1), back: make(chan struct{}, 1)}
		l.known[id] = end
	}
	if entry.Incarnation < end.incarnation {
		return nil
	}
	if entry.Incarnation > end.incarnation {
		signal(end.back)
	}
	end.incarnation, end.zone = entry.Incarnation, entry.Zone
	if end.addr == addr || ctx.Err() != nil {
		return nil
	}
	if end.cancel != nil {
		end.cancel()
	}
	linkCtx, cancel := context.WithCancel(ctx)
	end.addr, end.cancel = addr, cancel
	made := link{id: id, addr: addr, zone: "other", news: end.news, woken: end.woken, back: end.back}
	if entry.Zone == l.n.cfg.Zone {
		made.zone = "own"
	}
	l.ended = append(l.ended, task.Start(linkCtx, "link", func(ctx context.Context) error { return l.n.keepLink(ctx, made) }))
	return nil
}

// send hands news to the link of every other daemon.
func (l *links) send(news News) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, end := range l.known {
		end.offer(news)
	}
}

// wake has the links tell at once what has changed of the loads: all of them,
// or those in the daemon's own zone and to one relay in each other zone.
func (l *links) wake(relays map[models.DaemonID]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, end := range l.known {
		if relays != nil && end.zone != l.n.cfg.Zone && !relays[id] {
			continue
		}
		signal(end.woken)
	}
}

// relay passes another daemon's loads on within this one's zone.
func (l *links) relay(news News) {
	l.mu.Lock()
	defer l.mu.Unlock()
	passed := News{From: news.From, Incarnation: news.Incarnation, Change: news.Change, Loads: news.Loads}
	for id, end := range l.known {
		if id != news.From && end.zone == l.n.cfg.Zone {
			end.offer(passed)
		}
	}
}

// wait ends all links and waits for their ends.
func (l *links) wait() error {
	l.mu.Lock()
	for _, end := range l.known {
		if end.cancel != nil {
			end.cancel()
		}
	}
	ended := l.ended
	l.mu.Unlock()
	return task.Wait(ended...)
}
