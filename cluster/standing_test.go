package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

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

	o.n.links.relay(News{From: "d-28", Loads: map[models.InstanceID]Load{"i-1": {Requests: 1}}})
	passed := 0
	for _, end := range o.n.links.known {
		passed += len(end.news)
	}
	c.Assert(passed, qt.Equals, 10)
}

// TestStandbys checks which daemons ask for the planner's lease. With 61 daemons
// that were restarted one after the other each asked for it at its start, the
// store dealt it anew, and the planner changed seven times in 34 s.
func TestStandbys(t *testing.T) {
	c := qt.New(t)
	var o *owner
	begin := func(power float64, running time.Duration) {
		o = newTestOwner(t)
		o.n.cfg.Power, o.n.started = power, time.Now().Add(-running).UnixNano()
	}
	hear := func(term int64, powers ...float64) {
		for i, p := range powers {
			id := models.DaemonID(fmt.Sprintf("d-%d", i))
			o.peers.seen[id] = seenPeer{beat: Heartbeat{From: id, Power: p}, at: time.Now()}
		}
		o.peers.term = term
	}
	planned := func(ago time.Duration) { o.peers.planned = time.Now().Add(-ago) }
	fed := func() { planned(0) }
	asks := func() bool { return o.candidate(time.Now()) }

	begin(0.4, 0)
	hear(0, 0.2, 0.2)
	c.Assert(asks(), qt.IsTrue, qt.Commentf("all have just started, none plans"))

	begin(0.4, 0)
	hear(5, 0.2, 0.2)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("one plans"))
	begin(0.4, plannerWord)
	hear(5, 0.2, 0.2)
	c.Assert(asks(), qt.IsTrue, qt.Commentf("one planned and is not heard"))
	fed()
	c.Assert(asks(), qt.IsFalse, qt.Commentf("one plans, the standing is not known yet"))

	begin(0.4, time.Minute)
	hear(5, 0.2, 0.2)
	fed()
	c.Assert(asks(), qt.IsTrue, qt.Commentf("the first in standing stands by"))
	begin(0.4, time.Minute)
	hear(5, 0.8, 0.8, 0.8)
	c.Assert(asks(), qt.IsTrue, qt.Commentf("none is heard to plan"))
	planned(strongSilence)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("none plans any more, and others are better"))
	planned(weakSilence)
	c.Assert(asks(), qt.IsTrue, qt.Commentf("nobody else does"))
	fed()
	c.Assert(asks(), qt.IsFalse, qt.Commentf("the others are enough"))
	o.n.leasing.Store(true)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("those with more processor come first"))

	begin(0, time.Minute)
	o.n.cfg.ID = "d-7"
	hear(5, 0, 0, 0, 0, 0, 0)
	fed()
	before, _ := o.rank()
	c.Assert(before >= standbys, qt.IsTrue)
	c.Assert(asks(), qt.IsFalse)
	o.n.leasing.Store(true)
	c.Assert(asks(), qt.IsTrue, qt.Commentf("one of equals that has joined stays"))
	hear(5, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1)
	planned(weakSilence)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("nine come before it"))
}
