package cluster

import (
	"context"
	"net/netip"
	"sync"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

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

func newLinks(n *Node) *links {
	return &links{
		n: n, cancel: map[models.DaemonID]context.CancelFunc{}, addrs: map[models.DaemonID]netip.AddrPort{}, news: map[models.DaemonID]chan LoadNews{},
		woken: map[models.DaemonID]chan struct{}{},
	}
}

// update begins a link to each daemon that the records name at a new address,
// in place of the link to its former one.
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

// linkTo returns a link with the daemon's queues, which outlast its address.
func (l *links) linkTo(id models.DaemonID, addr netip.AddrPort) link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.news[id] == nil {
		l.news[id] = make(chan LoadNews, newsLen)
		l.woken[id] = make(chan struct{}, 1)
	}
	return link{id: id, addr: addr, news: l.news[id], woken: l.woken[id]}
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

// wait ends all links and waits for their ends.
func (l *links) wait() error {
	for _, cancel := range l.cancel {
		cancel()
	}
	return task.Wait(l.ended...)
}
