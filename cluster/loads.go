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

// toldLoads is what one daemon told of its loads, or of those of several.
type toldLoads struct {
	loads map[models.InstanceID]Load
	// of tells whose loads they are, zone the zone of the daemon that told them.
	of   loadsOf
	zone models.Zone
	// incarnation is the run of the daemon that told, change numbers what it told
	// last.
	incarnation int64
	change      uint64
	// heard is when something came last.
	heard time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{by: map[models.DaemonID]*toldLoads{}, sum: map[models.InstanceID]Load{}}
}

// take takes in what a daemon of a zone tells of loads, unless it told something
// newer before. Of the loads of all daemons this one's own are left out.
func (p *peerLoads) take(news News, zone models.Zone, own func() map[models.InstanceID]Load) {
	if len(news.Loads) == 0 && !news.All {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	told := p.by[news.From]
	if told != nil && (news.Incarnation < told.incarnation || (news.Incarnation == told.incarnation && news.Change < told.change)) {
		return
	}
	if told == nil || told.incarnation != news.Incarnation || told.of != news.Of {
		if !news.All {
			// Changes of what was not told say nothing.
			return
		}
		p.replace(news.From, news.Of, zone)
		told = &toldLoads{loads: map[models.InstanceID]Load{}, of: news.Of, zone: zone, incarnation: news.Incarnation}
		p.by[news.From] = told
	}
	told.change, told.heard = news.Change, time.Now()
	if news.All {
		for id := range told.loads {
			if _, still := news.Loads[id]; !still {
				p.set(told, id, Load{})
			}
		}
	}
	var mine map[models.InstanceID]Load
	if news.Of == loadsOfAll {
		mine = own()
	}
	for id, load := range news.Loads {
		p.set(told, id, load.without(mine[id]))
	}
}

// replace forgets what a new word of the loads of several daemons takes the place
// of: another relay of the same zone told it before, or this daemon was told
// zone by zone. The loads must be locked.
func (p *peerLoads) replace(from models.DaemonID, of loadsOf, zone models.Zone) {
	p.forget(from)
	for id, told := range p.by {
		switch {
		case of == loadsOfOne, told.of == loadsOfOne:
		case of == loadsOfAll, told.of == loadsOfAll, told.zone == zone:
			p.forget(id)
		}
	}
}

// without is the load less a part of it that may have changed since.
func (l Load) without(part Load) Load {
	return Load{Requests: max(0, l.Requests-part.Requests), Unread: max(0, l.Unread-part.Unread)}
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

// dropSums forgets the loads of several daemons, whoever told them: this daemon
// relies on another relay from now on.
func (p *peerLoads) dropSums() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, told := range p.by {
		if told.of != loadsOfOne {
			p.forget(id)
		}
	}
}

// staleSums is for how long no loads of several daemons may come until what was
// told before counts for nothing: requests last a second or so.
const staleSums = time.Second

// prune forgets sums that are old.
func (p *peerLoads) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, told := range p.by {
		if told.of != loadsOfOne && now.Sub(told.heard) > staleSums {
			p.forget(id)
		}
	}
}

// age is how old the newest word of several daemons' loads is, 0 if there is none.
func (p *peerLoads) age(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var newest time.Time
	for _, told := range p.by {
		if told.of != loadsOfOne && told.heard.After(newest) {
			newest = told.heard
		}
	}
	if newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}

func (p *peerLoads) at(id models.InstanceID) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum[id]
}

// totals adds the loads of one daemon to those that others told: all of them, and
// those of its zone alone.
func (p *peerLoads) totals(own map[models.InstanceID]Load) (all, zone map[models.InstanceID]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, zone = sumOf(own, p.sum), sumOf(own, nil)
	for _, told := range p.by {
		if told.of == loadsOfOne {
			addTo(zone, told.loads)
		}
	}
	return all, zone
}

func sumOf(a, b map[models.InstanceID]Load) map[models.InstanceID]Load {
	out := make(map[models.InstanceID]Load, len(a)+len(b))
	addTo(out, a)
	addTo(out, b)
	return out
}

func addTo(sum, loads map[models.InstanceID]Load) {
	for id, load := range loads {
		s := sum[id]
		sum[id] = Load{Requests: s.Requests + load.Requests, Unread: s.Unread + load.Unread}
	}
}

// PeersLoad is what other daemons have at an instance, as they told last.
func (n *Node) PeersLoad(id models.InstanceID) Load { return n.peerLoads.at(id) }

const (
	// newsDelay is how long changes of loads are gathered before they are
	// told: short against the time that reading a prompt takes.
	newsDelay = 4 * time.Millisecond
	// sparseDelay is the same where a relay gathers them from many.
	sparseDelay = 15 * time.Millisecond
	// newsLen is how much news may wait for a slow daemon.
	newsLen = 16
)

// announce tells the other daemons at once when this one's loads change.
func (n *Node) announce(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.traffic.Changed():
		}
		delay := newsDelay
		if !n.View().mesh() {
			delay = sparseDelay
		}
		if err := pause(ctx, delay); err != nil {
			return err
		}
		n.links.wake()
	}
}
