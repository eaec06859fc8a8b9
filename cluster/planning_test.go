package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// A planner that found 3,000 instances free gave 3,000 orders in one round. Other daemons
// heard nothing of it from -5.49 to -3.97 s, another one took the lease over ("planning-ended
// reason=dealt to another term=3") and began anew; so did eight within 15 s, three of them
// before the first request came, and most weights were loaded after it.
//
// So orders are given as they are answered, so many at a time, and no others are planned
// before they are all given. A planner that ends gives none of those that are left.
func TestOrdersAreSpaced(t *testing.T) {
	c := qt.New(t)
	const many = 3 * leastCalls
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	o.handleLease(leaseHeld{term: 1, until: time.Now().Add(time.Minute)})
	for n := range many {
		id := models.InstanceID(fmt.Sprint("i", n))
		o.noteEntry(models.UpstreamInstance{ID: id}, time.Now())
		o.fleet.orders = append(o.fleet.orders, types.GroupOrder{Kind: types.GroupLeave, Instance: id})
	}
	o.giveOrders()
	c.Assert(o.fleet.underWay, qt.Equals, leastCalls)
	c.Assert(o.fleet.orders, qt.HasLen, many-leastCalls)
	planned := o.fleet.planned
	o.planGroups(time.Now())
	c.Assert(o.fleet.planned, qt.Equals, planned, qt.Commentf("orders are planned beside those that wait"))
	const answered = 5
	for n := range answered {
		o.handleOrderEnded(orderEnded{order: types.GroupOrder{Instance: models.InstanceID(fmt.Sprint("i", n))}, outcome: types.OrderDone, at: time.Now()})
	}
	c.Assert(o.fleet.underWay, qt.Equals, leastCalls)
	c.Assert(o.fleet.orders, qt.HasLen, many-leastCalls-answered)
	o.stopPlanning("the test ends it")
	o.handleOrderEnded(orderEnded{order: types.GroupOrder{Instance: "i7"}, at: time.Now()})
	c.Assert(o.fleet.underWay, qt.Equals, leastCalls-1)
}

// A planner that is heard by its heartbeats alone, since what it does keeps it from telling
// news, is not taken over from; one of an earlier term says nothing.
func TestPlannerIsHeardByHeartbeats(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	hear := func(term int64, plans bool, at time.Time) {
		o.handleHeartbeat(heartbeatSeen{beat: Heartbeat{From: "a", Addr: "127.0.0.1:1", Term: term, Plans: plans}, at: at})
	}
	hear(3, true, now)
	c.Assert(o.silence(now.Add(time.Second)), qt.Equals, time.Second)
	hear(3, true, now.Add(time.Second))
	c.Assert(o.silence(now.Add(time.Second)), qt.Equals, time.Duration(0))
	hear(2, true, now.Add(2*time.Second))
	hear(3, false, now.Add(2*time.Second))
	c.Assert(o.silence(now.Add(2*time.Second)), qt.Equals, time.Second)
}

// Where hundreds of daemons start at once each hears of others for a second or so. None asks
// for the lease before that is over; few daemons do not wait for it.
func TestStartOfManyIsAwaited(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		daemons int
		asks    bool
	}{{3, true}, {60, false}} {
		o := newTestOwner(t)
		t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
		o.n.cfg.Power = 1
		o.peers.roster = membership.NewRoster(membership.Daemon{ID: "d1", Zone: "z", CPUCores: 1}, membership.DefaultPolicy())
		started := time.Unix(0, o.n.started)
		for n := range test.daemons {
			c.Assert(o.enter(models.DaemonID(fmt.Sprint("e", n)), rosterEntry{Zone: "z", Addr: "127.0.0.1:1", Incarnation: 1, Power: 0.1}), qt.IsNil)
		}
		o.peers.arranged = o.peers.roster.Topology(started)
		o.peers.metAt = started.Add(meetOthers)
		now := started.Add(meetOthers + time.Millisecond)
		c.Check(o.candidate(now), qt.Equals, test.asks, qt.Commentf("%d daemons", test.daemons))
		c.Check(o.candidate(now.Add(meetOthers)), qt.IsTrue, qt.Commentf("%d daemons", test.daemons))
	}
}

// A planner's machine is suspended until its lease is over and another daemon plans. By the
// steady clock the lease would go on for as long as it had left. The planner gives no order
// when it wakes, not even one that waited, and tells others no young proof.
func TestPlannerAfterSuspension(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	start := time.Now()
	var suspended time.Duration
	c.Assert(o.n.clock.CountSuspensions(func() (time.Duration, error) { return time.Since(start) + suspended, nil }), qt.IsNil)
	o.config = configState{routing: &models.Routing{Version: 1}, proven: time.Now()}
	o.handleLease(leaseHeld{term: 1, until: time.Now().Add(o.n.cfg.LeaseMin - leaseMargin)})
	o.publish()
	o.noteEntry(models.UpstreamInstance{ID: "i1"}, time.Now())
	o.planGroups(time.Now())
	c.Assert(o.fleet.planner, qt.IsNotNil)

	suspended = 5 * time.Second
	o.fleet.orders = []types.GroupOrder{{Kind: types.GroupLeave, Instance: "i1"}}
	o.giveOrders()
	c.Assert(o.fleet.underWay, qt.Equals, 0)
	c.Assert(o.fleet.planner, qt.IsNil)
	c.Assert(o.n.heartbeat("other", membership.Link{}).ConfigAge >= suspended, qt.IsTrue)
}

// The first planner of a store asked each instance for a report before it used it, although
// nobody can have given orders before.
func TestFirstPlannerAsksNobody(t *testing.T) {
	for term, asked := range map[int64]bool{firstTerm: false, 2: true, 1<<termEraBits + 1: true} {
		o := newTestOwner(t)
		o.handleLease(leaseHeld{term: term, until: time.Now().Add(time.Minute)})
		o.noteEntry(models.UpstreamInstance{ID: "i1", Service: "s"}, time.Now())
		o.askDoubtful("s", time.Now())
		qt.Check(t, o.n.stats.reports.Get() > 0, qt.Equals, asked, qt.Commentf("term %d", term))
	}
}
