package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// The load relay of each zone sums up the loads of the zone's daemons. It sends the zone's total
// to the relays of other zones, and the total over all zones to the daemons of its zone.

const (
	// totalsInterval is how often a relay sends the cluster's total. With 59 daemons in a zone that
	// place 160 requests a second on 28 groups, some eight are placed between two totals; each
	// daemon allows for these.
	totalsInterval = 50 * time.Millisecond
	// zoneTotalsRounds is how often a zone's total is sent to other zones, in rounds of
	// totalsInterval. It is rarer because few requests leave their zone.
	zoneTotalsRounds = 3
	// fullTotalsRounds is how often full totals are sent and not just changes, in rounds of
	// totalsInterval, so that errors do not last. It is a multiple of zoneTotalsRounds.
	fullTotalsRounds = 39
	// typicalTotalsAge is the average age of the cluster's total when it is used: half of
	// totalsInterval, relayLoadsDelay and the latency of two messages.
	typicalTotalsAge = totalsInterval/2 + relayLoadsDelay + 10*time.Millisecond
)

// broadcastTotals sends load totals until the context ends, if any daemon gets them from this one.
func (n *Node) broadcastTotals(ctx context.Context) error {
	ticks := n.clock.Subscribe(totalsInterval)
	t := totalsSender{n: n}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			t.sendRound()
		}
	}
}

// totalsSender sends load totals and keeps the last ones.
type totalsSender struct {
	n *Node
	// rounds counts the rounds, and is the version number of the totals.
	rounds uint64
	// lastAll and lastZone are the totals sent last.
	lastAll  map[models.InstanceID]Load
	lastZone map[models.InstanceID]Load
}

// sendRound sends the totals that have changed since the last round.
func (t *totalsSender) sendRound() {
	t.rounds++
	members, relays := t.n.links.totalsReceivers()
	if len(members) == 0 && len(relays) == 0 {
		return
	}
	all, zone := t.n.peerLoads.totals(t.n.traffic.Loads())
	if len(members) > 0 {
		t.send(members, scopeCluster, t.lastAll, all)
		t.lastAll = all
	}
	if len(relays) > 0 && t.rounds%zoneTotalsRounds == 0 {
		t.send(relays, scopeZone, t.lastZone, zone)
		t.lastZone = zone
	}
}

// send sends the changed loads between two totals, or the full totals to peers that are not synced.
func (t *totalsSender) send(to []*peerLink, scope loadScope, before, now map[models.InstanceID]Load) {
	links := t.n.links
	links.mu.Lock()
	defer links.mu.Unlock()
	full := t.encodeOnce(Update{LoadsVersion: t.rounds, Scope: scope, Full: true, Loads: now})
	delta := t.encodeOnce(Update{LoadsVersion: t.rounds, Scope: scope, Loads: changedLoads(before, now)})
	for _, peer := range to {
		next := delta
		if !peer.synced || t.rounds%fullTotalsRounds == 0 {
			next = full
		}
		f, changed := next()
		peer.synced = !changed || peer.enqueue(f)
	}
}

// encodeOnce returns a function that encodes an update at its first call. It returns false if the
// update has no changes.
func (t *totalsSender) encodeOnce(update Update) func() (sharedFrame, bool) {
	return sync.OnceValues(func() (sharedFrame, bool) {
		if len(update.Loads) == 0 && !update.Full {
			return sharedFrame{}, false
		}
		return t.n.links.encode(frameLoads, update)
	})
}

// changedLoads returns the loads in now that differ from before.
func changedLoads(before, now map[models.InstanceID]Load) map[models.InstanceID]Load {
	out := map[models.InstanceID]Load{}
	for id, load := range now {
		if before[id] != load {
			out[id] = load
		}
	}
	for id := range before {
		if _, still := now[id]; !still {
			out[id] = Load{}
		}
	}
	return out
}
