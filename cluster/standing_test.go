package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// newRunningOwner is an owner that has run for some time.
func newRunningOwner(t *testing.T, id models.DaemonID, power float64, running time.Duration) *owner {
	o := newTestOwner(t)
	o.n.cfg.ID, o.n.cfg.Power, o.n.started = id, power, time.Now().Add(-running).UnixNano()
	o.peers = newPeersState(o.n.cfg)
	return o
}

// TestWhoAsks checks which daemons ask for the planner's lease, and when: the
// store deals it anew for each one that asks beside its holder. With 61 daemons
// that were restarted one after the other the planner changed seven times in
// 34 s.
func TestWhoAsks(t *testing.T) {
	c := qt.New(t)
	var o *owner
	begin := func(id models.DaemonID, power float64, running time.Duration) {
		o = newRunningOwner(t, id, power, running)
	}
	hear := func(term int64, powers ...float64) {
		for i, p := range powers {
			id := models.DaemonID(fmt.Sprintf("d-%d", i))
			o.peers.seen[id] = seenPeer{beat: Heartbeat{From: id, Power: p}, at: time.Now()}
			o.peers.roster.RecordHeartbeat(o.peers.seen[id].beat.membership(), time.Now())
		}
		o.peers.arranged = o.peers.roster.Topology(time.Now())
		o.peers.term = term
	}
	planned := func(ago time.Duration) { o.peers.planned = time.Now().Add(-ago) }
	asks := func() bool { return o.candidate(time.Now()) }

	begin("first", 0.4, meetOthers)
	hear(0, 0.2, 0.2)
	c.Assert(asks(), qt.IsTrue, qt.Commentf("all have just started, none plans"))
	begin("third", 0.1, meetOthers)
	hear(0, 0.2, 0.2)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("two come before this one"))
	begin("third", 0.1, meetOthers+2*askStep)
	hear(0, 0.2, 0.2)
	c.Assert(asks(), qt.IsTrue, qt.Commentf("and did not begin to plan"))

	begin("first", 0.4, 0)
	hear(5, 0.2, 0.2)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("one plans"))
	begin("first", 0.4, plannerWord)
	hear(5, 0.2, 0.2)
	c.Assert(asks(), qt.IsTrue, qt.Commentf("one planned and is not heard"))
	planned(0)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("one plans, the standing is not known yet"))

	begin("first", 0.4, time.Minute)
	hear(5, 0.2, 0.2)
	planned(0)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("one plans"))
	planned(strongSilence)
	c.Assert(asks(), qt.IsTrue)
	begin("third", 0.1, time.Minute)
	hear(5, 0.2, 0.2)
	planned(strongSilence + askStep)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("two come before this one"))
	planned(strongSilence + 2*askStep)
	c.Assert(asks(), qt.IsTrue)

	begin("weak", 0.4, time.Minute)
	hear(5, 0.8, 0.8, 0.8)
	planned(strongSilence + 3*askStep)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("others have more processor"))
	planned(weakSilence + 3*askStep)
	c.Assert(asks(), qt.IsTrue, qt.Commentf("nobody else does"))
	o.handleLease(leaseHeld{term: 6, until: time.Now().Add(time.Minute)})
	c.Assert(asks(), qt.IsFalse, qt.Commentf("those with more processor come first"))

	begin("equal", 0.2, time.Minute)
	hear(5, 0.2, 0.2, 0.2, 0.2)
	o.handleLease(leaseHeld{term: 6, until: time.Now().Add(time.Minute)})
	c.Assert(asks(), qt.IsTrue, qt.Commentf("one of equals that plans goes on"))
	o.n.StandAside()
	c.Assert(asks(), qt.IsFalse, qt.Commentf("it is about to stop"))

	begin("tenth", 0.05, time.Minute)
	hear(5, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1)
	planned(time.Minute)
	c.Assert(asks(), qt.IsFalse, qt.Commentf("nine come before it"))
}

// TestWhoMayPlan checks that where there are many daemons only relays ask for the
// lease: news of a planner goes out by them, and each knows its standing.
func TestWhoMayPlan(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		power float64
		may   bool
	}{{0.2, false}, {0.8, true}} {
		o := newTestOwner(t)
		o.n.cfg.Power, o.n.cfg.Zone = test.power, "a"
		o.peers = newPeersState(o.n.cfg)
		for i := range 3 * few {
			zone := models.Zone("abc"[i%3 : i%3+1])
			o.peers.roster.Add(membership.Daemon{ID: models.DaemonID(fmt.Sprintf("d-%d", i)), Zone: zone, CPUCores: 0.4})
		}
		o.peers.arranged = o.peers.roster.Topology(time.Now())
		c.Check(o.mayPlan(), qt.Equals, test.may)
		o.n.started = time.Now().Add(-time.Minute).UnixNano()
		o.peers.planned = time.Now().Add(-time.Minute)
		c.Check(o.candidate(time.Now()), qt.Equals, test.may)
	}
}

// TestEndIsTold checks that the others need not wait to take over from a daemon
// that tells that it plans no more, and that it does not ask at once again.
func TestEndIsTold(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.started = time.Now().Add(-time.Minute).UnixNano()
	o.handleNews(newsSeen{term: 5, feed: 1, at: time.Now()})
	c.Assert(o.candidate(time.Now()), qt.IsFalse)
	o.handleNews(newsSeen{term: 4, ended: true, at: time.Now()})
	c.Assert(o.candidate(time.Now()), qt.IsFalse, qt.Commentf("a newer one plans"))
	o.handleNews(newsSeen{term: 5, ended: true, at: time.Now()})
	c.Assert(o.candidate(time.Now()), qt.IsTrue)

	o.handleLease(leaseHeld{term: 6, until: time.Now().Add(time.Minute)})
	o.stopPlanning("dealt to another")
	c.Assert(o.candidate(time.Now()), qt.IsFalse)
}
