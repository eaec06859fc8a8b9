package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// peerLoads sums what other daemons tell of the loads that they cause. It is
// safe for use by several goroutines.
type peerLoads struct {
	mu  sync.Mutex
	by  map[models.DaemonID]*toldLoads
	sum map[models.InstanceID]Load
}

// toldLoads is what one daemon told of its loads.
type toldLoads struct {
	loads map[models.InstanceID]Load
	// incarnation is the run of the daemon that told, changes number what it
	// told of each instance: what comes late of one may be new of another.
	incarnation int64
	changes     map[models.InstanceID]uint64
	// heard is when something came last.
	heard time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{by: map[models.DaemonID]*toldLoads{}, sum: map[models.InstanceID]Load{}}
}

// take takes in what a daemon tells of its loads, unless it told something
// newer before.
func (p *peerLoads) take(news News) {
	if len(news.Loads) == 0 && !news.All {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	told := p.by[news.From]
	if told == nil {
		told = &toldLoads{loads: map[models.InstanceID]Load{}, changes: map[models.InstanceID]uint64{}}
		p.by[news.From] = told
	}
	switch {
	case news.Incarnation < told.incarnation:
		return
	case news.Incarnation > told.incarnation:
		clear(told.changes)
	}
	told.incarnation, told.heard = news.Incarnation, time.Now()
	if news.All {
		for id := range told.loads {
			if _, still := news.Loads[id]; !still {
				p.change(told, id, news.Change, Load{})
			}
		}
	}
	for id, load := range news.Loads {
		p.change(told, id, news.Change, load)
	}
}

// change is set unless the daemon told something newer of the instance.
func (p *peerLoads) change(told *toldLoads, id models.InstanceID, number uint64, load Load) {
	if number < told.changes[id] {
		return
	}
	told.changes[id] = number
	p.set(told, id, load)
}

// set puts one load in the place of what the daemon told before. The loads
// must be locked.
func (p *peerLoads) set(told *toldLoads, id models.InstanceID, load Load) {
	sum, before := p.sum[id], told.loads[id]
	sum.Requests += load.Requests - before.Requests
	sum.Unread += load.Unread - before.Unread
	p.sum[id], told.loads[id] = sum, load
	if load == (Load{}) {
		delete(told.loads, id)
	}
	if sum == (Load{}) {
		delete(p.sum, id)
	}
}

// drop forgets what a daemon that is gone told.
func (p *peerLoads) drop(id models.DaemonID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(id)
}

// forget is drop for loads that are locked.
func (p *peerLoads) forget(id models.DaemonID) {
	told := p.by[id]
	if told == nil {
		return
	}
	for instance := range told.loads {
		p.set(told, instance, Load{})
	}
	delete(p.by, id)
}

// relayedLate is how long a daemon that is not known may have told nothing
// before it is forgotten: what it told last may come by way of a relay after it
// was dropped.
const relayedLate = 5 * time.Second

// prune forgets the daemons that are not known and tell nothing any more.
func (p *peerLoads) prune(known map[models.DaemonID]seenPeer, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, told := range p.by {
		if _, there := known[id]; !there && now.Sub(told.heard) > relayedLate {
			p.forget(id)
		}
	}
}

func (p *peerLoads) at(id models.InstanceID) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum[id]
}

// PeersLoad is what other daemons have at an instance, as they told last.
func (n *Node) PeersLoad(id models.InstanceID) Load { return n.peerLoads.at(id) }

const (
	// newsDelay is how long changes of loads are gathered before they are
	// told: short against the time that reading a prompt takes.
	newsDelay = 4 * time.Millisecond
	// sparseDelay is the same where there are many daemons, and each change
	// is a message to all of them.
	sparseDelay = 15 * time.Millisecond
	// newsLen is how much news may wait for a slow daemon.
	newsLen = 16
)

// announce tells all other daemons at once when this one's loads change.
func (n *Node) announce(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.traffic.Changed():
		}
		delay := newsDelay
		if n.View().Daemons > ManyDaemons {
			delay = sparseDelay
		}
		if err := pause(ctx, delay); err != nil {
			return err
		}
		n.links.wake(n.View().relays)
	}
}
