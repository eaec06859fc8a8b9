package cluster

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestOutOfOrderLoads checks that late loads from a replaced connection do not undo newer ones,
// that changes without the full loads they refer to are ignored, and that the loads of a removed
// daemon are removed.
func TestOutOfOrderLoads(t *testing.T) {
	c := qt.New(t)
	p := newPeerLoads()
	apply := func(incarnation int64, change uint64, all bool, requests int) {
		p.apply(Update{From: "d2", Incarnation: incarnation, LoadsVersion: change, Full: all, Loads: map[models.InstanceID]Load{"i-1": {Requests: requests}}}, "a", nil)
	}
	requests := func() int { return p.loadOn("i-1").Requests }

	apply(1, 5, true, 3)
	apply(1, 7, false, 4)
	apply(1, 6, false, 9)
	c.Assert(requests(), qt.Equals, 4, qt.Commentf("an older change is late"))
	p.apply(Update{From: "d2", Term: 3, Seq: 1}, "a", nil)
	c.Assert(requests(), qt.Equals, 4, qt.Commentf("an update without loads"))
	apply(2, 1, true, 2)
	c.Assert(requests(), qt.Equals, 2, qt.Commentf("the daemon restarted"))
	apply(1, 8, false, 9)
	c.Assert(requests(), qt.Equals, 2)

	p.apply(Update{From: "d2", Incarnation: 2, LoadsVersion: 3, Loads: map[models.InstanceID]Load{"i-2": {Requests: 5}}}, "a", nil)
	apply(2, 2, false, 6)
	c.Assert(requests(), qt.Equals, 2, qt.Commentf("an older change is late"))
	c.Assert(p.loadOn("i-2").Requests, qt.Equals, 5)

	p.remove("d2")
	c.Assert(requests(), qt.Equals, 0)
	apply(2, 9, false, 1)
	c.Assert(requests(), qt.Equals, 0, qt.Commentf("a change arrives after the daemon was removed"))
	apply(2, 10, true, 1)
	c.Assert(requests(), qt.Equals, 1)
	p.apply(Update{From: "d2", Incarnation: 2, LoadsVersion: 11, Full: true}, "a", nil)
	c.Assert(requests(), qt.Equals, 0, qt.Commentf("it sends its loads to another relay now"))
}

// TestLoadsAgeWithoutTotals guards against admission by loads that are taken for fresh although the
// relay that sends totals is gone: their age grows until they are dropped, and after that the
// daemon's own loads decide.
func TestLoadsAgeWithoutTotals(t *testing.T) {
	c := qt.New(t)
	n := newTestOwner(t).n
	view := *n.View()
	view.Topology = &membership.Topology{Size: 30, ZoneSize: 10, LoadRelay: "r1"}
	n.view.Store(&view)
	c.Assert(n.LoadsAge(), qt.Equals, typicalTotalsAge, qt.Commentf("no totals yet"))
	n.peerLoads.apply(Update{From: "r1", LoadsVersion: 1, Scope: scopeCluster, Full: true, Loads: map[models.InstanceID]Load{"i-1": {Requests: 3}}}, "a", n.traffic.Loads)
	c.Assert(n.LoadsAge(), qt.Equals, typicalTotalsAge)
	n.peerLoads.byDaemon["r1"].receivedAt = time.Now().Add(-800 * time.Millisecond)
	age := n.LoadsAge()
	c.Assert(age >= 800*time.Millisecond && age < totalsTimeout, qt.IsTrue, qt.Commentf("%v", age))
	c.Assert(n.PeersLoad("i-1").Requests, qt.Equals, 3)
	n.peerLoads.prune(time.Now().Add(totalsTimeout))
	c.Assert(n.PeersLoad("i-1").Requests, qt.Equals, 0)
	c.Assert(n.LoadsAge(), qt.Equals, typicalTotalsAge)
}

// TestLoadTotals checks that a daemon subtracts its own loads from the cluster's total, that a
// relay sums up its zone and the totals of other zones, and that totals are replaced by those of
// another relay and dropped when they are too old.
func TestLoadTotals(t *testing.T) {
	c := qt.New(t)
	p := newPeerLoads()
	own := map[models.InstanceID]Load{"i-1": {Requests: 1, PrefillTokens: 100}}
	loads := func(requests int) map[models.InstanceID]Load {
		return map[models.InstanceID]Load{"i-1": {Requests: requests, PrefillTokens: 100 * requests}}
	}
	apply := func(from models.DaemonID, zone models.Zone, of loadScope, change uint64, requests int) {
		update := Update{From: from, LoadsVersion: change, Scope: of, Full: change == 1, Loads: loads(requests)}
		p.apply(update, zone, func() map[models.InstanceID]Load { return own })
	}

	apply("r1", "a", scopeCluster, 1, 7)
	c.Assert(p.loadOn("i-1"), qt.Equals, Load{Requests: 6, PrefillTokens: 600})
	apply("r2", "a", scopeCluster, 2, 9)
	c.Assert(p.loadOn("i-1").Requests, qt.Equals, 6, qt.Commentf("a change to another relay's totals"))
	apply("r2", "a", scopeCluster, 1, 9)
	c.Assert(p.loadOn("i-1").Requests, qt.Equals, 8, qt.Commentf("another relay takes over"))
	apply("r1", "a", scopeCluster, 8, 3)
	c.Assert(p.loadOn("i-1").Requests, qt.Equals, 8)

	p.removeTotals()
	apply("d2", "a", scopeDaemon, 1, 2)
	apply("d3", "a", scopeDaemon, 1, 3)
	apply("r3", "b", scopeZone, 1, 10)
	apply("r5", "c", scopeZone, 1, 20)
	all, zone := p.totals(own)
	c.Assert(all["i-1"].Requests, qt.Equals, 36)
	c.Assert(zone["i-1"].Requests, qt.Equals, 6)
	apply("r4", "b", scopeZone, 1, 11)
	all, _ = p.totals(own)
	c.Assert(all["i-1"].Requests, qt.Equals, 37, qt.Commentf("the other zone has another relay"))

	p.prune(time.Now().Add(2 * totalsTimeout))
	all, _ = p.totals(own)
	c.Assert(all["i-1"].Requests, qt.Equals, 6, qt.Commentf("only loads of single daemons stay"))
}

// TestClusterTotalsDeadlock guards against two locks taken in opposite order: the gateway calls PeersLoad
// under the lock that its Loads takes.
func TestClusterTotalsDeadlock(t *testing.T) {
	c := qt.New(t)
	p := newPeerLoads()
	var scheduler sync.Mutex
	own := func() map[models.InstanceID]Load {
		scheduler.Lock()
		defer scheduler.Unlock()
		return nil
	}
	const updates = 2000
	applied, read := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(applied)
		for n := range uint64(updates) {
			p.apply(Update{From: "r1", Incarnation: 1, LoadsVersion: n, Scope: scopeCluster, Full: true, Loads: map[models.InstanceID]Load{"i-1": {Requests: 1}}}, "a", own)
		}
	}()
	go func() {
		defer close(read)
		for range updates {
			scheduler.Lock()
			p.loadOn("i-1")
			scheduler.Unlock()
		}
	}()
	for _, done := range []chan struct{}{applied, read} {
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			c.Fatal("apply and loadOn wait for each other")
		}
	}
}
