package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// peerLoads is the sum of the loads that other daemons cause. It is safe for concurrent use.
type peerLoads struct {
	mu       sync.Mutex
	byDaemon map[models.DaemonID]*daemonLoads
	sum      map[models.InstanceID]Load
}

// daemonLoads are the loads that one daemon sent, its own or the total over several daemons.
type daemonLoads struct {
	loads map[models.InstanceID]Load
	// scope is the set of daemons whose loads these are, zone is the zone of the sender.
	scope loadScope
	zone  models.Zone
	// incarnation is the incarnation of the sender, version the number of its last change.
	incarnation int64
	version     uint64
	// receivedAt is when loads last arrived.
	receivedAt time.Time
}

func newPeerLoads() *peerLoads {
	return &peerLoads{byDaemon: map[models.DaemonID]*daemonLoads{}, sum: map[models.InstanceID]Load{}}
}

// apply applies the loads in an update from a daemon of a zone, unless a newer update was applied.
// own returns this daemon's loads, which are subtracted from the cluster's total.
func (p *peerLoads) apply(update Update, zone models.Zone, own func() map[models.InstanceID]Load) {
	if len(update.Loads) == 0 && !update.Full {
		return
	}
	var mine map[models.InstanceID]Load
	if update.Scope == scopeCluster {
		// Not under the lock: own takes one that its holders keep while they call loadOn.
		mine = own()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byDaemon[update.From]
	if known != nil && (update.Incarnation < known.incarnation || (update.Incarnation == known.incarnation && update.LoadsVersion < known.version)) {
		return
	}
	if known == nil || known.incarnation != update.Incarnation || known.scope != update.Scope {
		if !update.Full {
			// Changes can't be applied without the full loads that they refer to.
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
	for id, load := range update.Loads {
		p.set(known, id, load.without(mine[id]))
	}
}

// replace removes loads that a new sender's loads supersede: its own earlier ones and, for totals,
// those from another relay of the same zone, or those by zone if the new ones cover the cluster,
// and the reverse. The caller must hold the lock.
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

// without subtracts a part of the load, which may have changed since the total was taken.
func (l Load) without(part Load) Load {
	return Load{Requests: max(0, l.Requests-part.Requests), PrefillTokens: max(0, l.PrefillTokens-part.PrefillTokens)}
}

// set replaces a sender's load on one instance. The caller must hold the lock.
func (p *peerLoads) set(from *daemonLoads, id models.InstanceID, load Load) {
	sum, before := p.sum[id], from.loads[id]
	sum.Requests += load.Requests - before.Requests
	sum.PrefillTokens += load.PrefillTokens - before.PrefillTokens
	p.sum[id], from.loads[id] = sum, load
	if load == (Load{}) {
		delete(from.loads, id)
	}
	if sum == (Load{}) {
		delete(p.sum, id)
	}
}

// remove removes the loads that a daemon sent.
func (p *peerLoads) remove(id models.DaemonID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLocked(id)
}

// removeLocked is remove for callers that hold the lock.
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

// removeTotals removes the totals of several daemons from any sender, because this daemon has
// another load relay now.
func (p *peerLoads) removeTotals() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.byDaemon {
		if known.scope != scopeDaemon {
			p.removeLocked(id)
		}
	}
}

// totalsTimeout is the time without new totals after which the last ones are dropped. Requests
// last a second or so.
const totalsTimeout = time.Second

// prune removes totals older than totalsTimeout.
func (p *peerLoads) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.byDaemon {
		if known.scope != scopeDaemon && now.Sub(known.receivedAt) > totalsTimeout {
			p.removeLocked(id)
		}
	}
}

// totalsAge returns the age of the newest totals, 0 if there are none.
func (p *peerLoads) totalsAge(now time.Time) time.Duration {
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

func (p *peerLoads) loadOn(id models.InstanceID) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum[id]
}

// totals returns the sum of this daemon's loads and those of all daemons, and the sum over the
// daemons of its zone.
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
		sum[id] = Load{Requests: s.Requests + load.Requests, PrefillTokens: s.PrefillTokens + load.PrefillTokens}
	}
}

// PeersLoad returns the load of other daemons on an instance, as last received.
func (n *Node) PeersLoad(id models.InstanceID) Load { return n.peerLoads.loadOn(id) }

// LoadsAge returns the age of other daemons' loads: typicalTotalsAge as long as totals arrive, and
// the time since the last ones where it is longer. A relay adds up its zone itself. Once totals are
// dropped, this daemon's own loads count alone, and these have the typical age again.
func (n *Node) LoadsAge() time.Duration {
	v := n.View()
	if v.mesh() || v.Topology.IsRelay {
		return v.LoadsAge()
	}
	return max(v.LoadsAge(), n.peerLoads.totalsAge(time.Now()))
}

const (
	// loadsDelay is how long changed loads are collected before they are sent. It is short against
	// the time that reading a prompt takes.
	loadsDelay = 4 * time.Millisecond
	// relayLoadsDelay is loadsDelay if a relay sums up the loads of many daemons.
	relayLoadsDelay = 15 * time.Millisecond
	// linkQueueLen is how many frames can queue for a slow peer.
	linkQueueLen = 16
)

// notifyLoadChanges makes the links send this daemon's loads when they change.
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
