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
	mu       sync.Mutex
	byDaemon map[models.DaemonID]*daemonLoads
	sum      map[models.InstanceID]Load
}

// toldLoads is what one daemon told of its loads, or of those of several.
type daemonLoads struct {
	loads map[models.InstanceID]Load
	// of tells whose loads they are, zone the zone of the daemon that told them.
	scope loadScope
	zone  models.Zone
	// incarnation is the run of the daemon that told, change numbers what it told
	// last.
	incarnation int64
	version     uint64
	// heard is when something came last.
	receivedAt time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{byDaemon: map[models.DaemonID]*daemonLoads{}, sum: map[models.InstanceID]Load{}}
}

// take takes in what a daemon of a zone tells of loads, unless it told something
// newer before. Of the loads of all daemons this one's own are left out.
func (p *peerLoads) apply(update Update, zone models.Zone, own func() map[models.InstanceID]Load) {
	if len(update.Loads) == 0 && !update.Full {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byDaemon[update.From]
	if known != nil && (update.Incarnation < known.incarnation || (update.Incarnation == known.incarnation && update.LoadsVersion < known.version)) {
		return
	}
	if known == nil || known.incarnation != update.Incarnation || known.scope != update.Scope {
		if !update.Full {
			// Changes of what was not told say nothing.
			return
		}
		p.replace(update.From, update.Scope, zone)
		known = &daemonLoads{loads: map[models.InstanceID]Load{}, scope: update.Scope, zone: zone, incarnation: update.Incarnation}
		p.byDaemon[update.From] = known
	}
	known.version, known.receivedAt = update.LoadsVersion, time.Now()
	if update.Full {
		for id := range known.loads {
			if _, still := update.Loads[id]; !still {
				p.set(known, id, Load{})
			}
		}
	}
	var mine map[models.InstanceID]Load
	if update.Scope == scopeCluster {
		mine = own()
	}
	for id, load := range update.Loads {
		p.set(known, id, load.without(mine[id]))
	}
}

// replace forgets what a new word of the loads of several daemons takes the place
// of: another relay of the same zone told it before, or this daemon was told
// zone by zone. The loads must be locked.
func (p *peerLoads) replace(from models.DaemonID, scope loadScope, zone models.Zone) {
	p.removeLocked(from)
	for id, known := range p.byDaemon {
		switch {
		case scope == scopeDaemon, known.scope == scopeDaemon:
		case scope == scopeCluster, known.scope == scopeCluster, known.zone == zone:
			p.removeLocked(id)
		}
	}
}

// without is the load less a part of it that may have changed since.
func (l Load) without(part Load) Load {
	return Load{Requests: max(0, l.Requests-part.Requests), Unread: max(0, l.Unread-part.Unread)}
}

// set puts one load in the place of what the daemon told before. The loads
// must be locked.
func (p *peerLoads) set(from *daemonLoads, id models.InstanceID, load Load) {
	sum, before := p.sum[id], from.loads[id]
	sum.Requests += load.Requests - before.Requests
	sum.Unread += load.Unread - before.Unread
	p.sum[id], from.loads[id] = sum, load
	if load == (Load{}) {
		delete(from.loads, id)
	}
	if sum == (Load{}) {
		delete(p.sum, id)
	}
}

// drop forgets what a daemon that is gone told.
func (p *peerLoads) remove(id models.DaemonID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLocked(id)
}

// forget is drop for loads that are locked.
func (p *peerLoads) removeLocked(id models.DaemonID) {
	known := p.byDaemon[id]
	if known == nil {
		return
	}
	for instance := range known.loads {
		p.set(known, instance, Load{})
	}
	delete(p.byDaemon, id)
}

// dropSums forgets the loads of several daemons, whoever told them: this daemon
// relies on another relay from now on.
func (p *peerLoads) removeAggregates() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.byDaemon {
		if known.scope != scopeDaemon {
			p.removeLocked(id)
		}
	}
}

// staleSums is for how long no loads of several daemons may come until what was
// told before counts for nothing: requests last a second or so.
const aggregateTimeout = time.Second

// prune forgets sums that are old.
func (p *peerLoads) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.byDaemon {
		if known.scope != scopeDaemon && now.Sub(known.receivedAt) > aggregateTimeout {
			p.removeLocked(id)
		}
	}
}

// age is how old the newest word of several daemons' loads is, 0 if there is none.
func (p *peerLoads) aggregateAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var newest time.Time
	for _, known := range p.byDaemon {
		if known.scope != scopeDaemon && known.receivedAt.After(newest) {
			newest = known.receivedAt
		}
	}
	if newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}

func (p *peerLoads) total(id models.InstanceID) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum[id]
}

// totals adds the loads of one daemon to those that others told: all of them, and
// those of its zone alone.
func (p *peerLoads) totals(own map[models.InstanceID]Load) (all, zone map[models.InstanceID]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, zone = sumLoads(own, p.sum), sumLoads(own, nil)
	for _, known := range p.byDaemon {
		if known.scope == scopeDaemon {
			addLoads(zone, known.loads)
		}
	}
	return all, zone
}

func sumLoads(a, b map[models.InstanceID]Load) map[models.InstanceID]Load {
	out := make(map[models.InstanceID]Load, len(a)+len(b))
	addLoads(out, a)
	addLoads(out, b)
	return out
}

func addLoads(sum, loads map[models.InstanceID]Load) {
	for id, load := range loads {
		s := sum[id]
		sum[id] = Load{Requests: s.Requests + load.Requests, Unread: s.Unread + load.Unread}
	}
}

// PeersLoad is what other daemons have at an instance, as they told last.
func (n *Node) PeersLoad(id models.InstanceID) Load { return n.peerLoads.total(id) }

const (
	// newsDelay is how long changes of loads are gathered before they are
	// told: short against the time that reading a prompt takes.
	loadsDelay = 4 * time.Millisecond
	// sparseDelay is the same where a relay gathers them from many.
	relayLoadsDelay = 15 * time.Millisecond
	// newsLen is how much news may wait for a slow daemon.
	linkQueueLen = 16
)

// announce tells the other daemons at once when this one's loads change.
func (n *Node) notifyLoadChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.traffic.Changed():
		}
		delay := loadsDelay
		if !n.View().mesh() {
			delay = relayLoadsDelay
		}
		if err := sleep(ctx, delay); err != nil {
			return err
		}
		n.links.notifyLoads()
	}
}
