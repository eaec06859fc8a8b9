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
	totalsEvery = 50 * time.Millisecond
	// zoneTotalsEvery is how often it tells those of its zone to the others, in
	// totalsEvery: few requests leave their zone.
	zoneTotalsEvery = 3
	// wholeEvery is how often everything is told rather than what has changed, in
	// totalsEvery, so that nothing stays wrong for long. It is a multiple of
	// zoneTotalsEvery.
	wholeEvery = 39
	// totalsAge is how old the loads of all daemons are when they are used, on
	// average: half of totalsEvery, sparseDelay, and the ways of two messages.
	totalsAge = totalsEvery/2 + sparseDelay + 10*time.Millisecond
)

// tellTotals keeps telling the sums of loads, if any daemon relies on this one
// for them.
func (n *Node) tellTotals(ctx context.Context) error {
	ticks := n.clock.Subscribe(totalsEvery)
	t := totals{n: n}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			t.tell()
		}
	}
}

// totals is what was told of the sums of loads.
type totals struct {
	n *Node
	// rounds counts the tellings; it numbers what is told.
	rounds uint64
	// all and zone are what was told last.
	all  map[models.InstanceID]Load
	zone map[models.InstanceID]Load
}

// tell tells those who rely on this daemon what has changed since the last time.
func (t *totals) tell() {
	t.rounds++
	members, relays := t.n.links.listeners()
	if len(members) == 0 && len(relays) == 0 {
		return
	}
	all, zone := t.n.peerLoads.totals(t.n.traffic.Loads())
	if len(members) > 0 {
		t.send(members, loadsOfAll, t.all, all)
		t.all = all
	}
	if len(relays) > 0 && t.rounds%zoneTotalsEvery == 0 {
		t.send(relays, loadsOfZone, t.zone, zone)
		t.zone = zone
	}
}

// send sends the change between two sums, or the whole of the later one to those
// that do not know the earlier one.
func (t *totals) send(to []*linkEnd, of loadsOf, before, now map[models.InstanceID]Load) {
	links := t.n.links
	links.mu.Lock()
	defer links.mu.Unlock()
	whole := t.once(News{Change: t.rounds, Of: of, All: true, Loads: now})
	change := t.once(News{Change: t.rounds, Of: of, Loads: changes(before, now)})
	for _, end := range to {
		news := change
		if !end.synced || t.rounds%wholeEvery == 0 {
			news = whole
		}
		f, some := news()
		end.synced = !some || end.offer(f)
	}
}

// once encodes news when they are first asked for. There are none where nothing
// has changed.
func (t *totals) once(news News) func() (sharedFrame, bool) {
	return sync.OnceValues(func() (sharedFrame, bool) {
		if len(news.Loads) == 0 && !news.All {
			return sharedFrame{}, false
		}
		return t.n.links.encode(frameLoads, news)
	})
}

// changes are the loads that differ from those before.
func changes(before, now map[models.InstanceID]Load) map[models.InstanceID]Load {
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
