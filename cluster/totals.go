package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// The first relay of each zone gathers the loads of the zone's daemons, tells the
// relays of other zones their sum, and tells the daemons of its zone the sum over
// all zones.

const (
	// totalsEvery is how often a relay tells the loads of all daemons. With 59
	// daemons in a zone that place 160 requests a second on 28 groups, some eight
	// are placed between two of them; each daemon reckons with these.
	totalsInterval = 50 * time.Millisecond
	// zoneTotalsEvery is how often it tells those of its zone to the others, in
	// totalsEvery: few requests leave their zone.
	zoneTotalsRounds = 3
	// wholeEvery is how often everything is told rather than what has changed, in
	// totalsEvery, so that nothing stays wrong for long. It is a multiple of
	// zoneTotalsEvery.
	fullTotalsRounds = 39
	// totalsAge is how old the loads of all daemons are when they are used, on
	// average: half of totalsEvery, sparseDelay, and the ways of two messages.
	typicalTotalsAge = totalsInterval/2 + relayLoadsDelay + 10*time.Millisecond
)

// tellTotals keeps telling the sums of loads, if any daemon relies on this one
// for them.
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

// totals is what was told of the sums of loads.
type totalsSender struct {
	n *Node
	// rounds counts the tellings; it numbers what is told.
	rounds uint64
	// all and zone are what was told last.
	lastAll  map[models.InstanceID]Load
	lastZone map[models.InstanceID]Load
}

// tell tells those who rely on this daemon what has changed since the last time.
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

// send sends the change between two sums, or the whole of the later one to those
// that do not know the earlier one.
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

// once encodes news when they are first asked for. There are none where nothing
// has changed.
func (t *totalsSender) encodeOnce(update Update) func() (sharedFrame, bool) {
	return sync.OnceValues(func() (sharedFrame, bool) {
		if len(update.Loads) == 0 && !update.Full {
			return sharedFrame{}, false
		}
		return t.n.links.encode(frameLoads, update)
	})
}

// changes are the loads that differ from those before.
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
