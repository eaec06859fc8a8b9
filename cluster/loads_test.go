package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestLoadsOvertake checks that loads which come late by way of another daemon
// do not undo newer ones, and that a daemon which is gone leaves none behind.
func TestLoadsOvertake(t *testing.T) {
	c := qt.New(t)
	p := newPeerLoads()
	tell := func(incarnation int64, change uint64, all bool, requests int) {
		p.take(LoadNews{From: "d2", Incarnation: incarnation, Change: change, All: all, Loads: map[models.InstanceID]Load{"i-1": {Requests: requests}}})
	}
	requests := func() int { return p.at("i-1").Requests }

	tell(1, 5, true, 3)
	tell(1, 7, false, 4)
	tell(1, 6, false, 9)
	c.Assert(requests(), qt.Equals, 4, qt.Commentf("an older change comes late"))
	p.take(LoadNews{From: "d2", Term: 3, Feed: 1})
	c.Assert(requests(), qt.Equals, 4, qt.Commentf("news without loads"))
	tell(2, 1, true, 2)
	c.Assert(requests(), qt.Equals, 2, qt.Commentf("the daemon was started again"))
	tell(1, 8, false, 9)
	c.Assert(requests(), qt.Equals, 2)

	p.drop("d2")
	c.Assert(requests(), qt.Equals, 0)
	tell(2, 9, false, 1)
	now := time.Now()
	p.prune(nil, now)
	c.Assert(requests(), qt.Equals, 1)
	p.prune(map[models.DaemonID]seenPeer{"d2": {}}, now.Add(2*relayedLate))
	c.Assert(requests(), qt.Equals, 1)
	p.prune(nil, now.Add(2*relayedLate))
	c.Assert(requests(), qt.Equals, 0)
}

// TestRelays checks that where there are many daemons a change of loads goes to
// those of the same zone and to one in each other zone, which passes it on: with
// 61 daemons most of the bytes between zones were such changes.
func TestRelays(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.cfg.Zone = "a"
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	meet := func(n int) {
		for i := range n {
			beat := Heartbeat{From: models.DaemonID(fmt.Sprintf("d-%d", i)), Addr: "127.0.0.1:9", Power: float64(i), Zone: models.Zone("abc"[i%3 : i%3+1])}
			o.handleHeartbeat(heartbeatSeen{beat: beat, at: time.Now()})
		}
		o.publish()
	}
	woken := func() int {
		o.n.links.wake(o.n.View().relays)
		n := 0
		for _, end := range o.n.links.known {
			n += len(end.woken)
			for len(end.woken) > 0 {
				<-end.woken
			}
		}
		return n
	}
	meet(3)
	c.Assert(o.n.View().relays, qt.IsNil)
	c.Assert(woken(), qt.Equals, 3)

	meet(30)
	c.Assert(o.n.View().relays, qt.DeepEquals, map[models.DaemonID]bool{"d-28": true, "d-29": true})
	c.Assert(woken(), qt.Equals, 10+2)

	o.n.links.relay(LoadNews{From: "d-28", Loads: map[models.InstanceID]Load{"i-1": {Requests: 1}}})
	passed := 0
	for _, end := range o.n.links.known {
		passed += len(end.news)
	}
	c.Assert(passed, qt.Equals, 10)
}
