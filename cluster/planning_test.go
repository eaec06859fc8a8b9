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
func TestOrdersInFlightAreBounded(t *testing.T) {
	c := qt.New(t)
	const many = 3 * minCalls
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	o.handleLease(leaseHeld{term: 1, until: time.Now().Add(time.Minute)})
	for n := range many {
		id := models.InstanceID(fmt.Sprint("i", n))
		o.applyEntry(models.UpstreamInstance{ID: id}, time.Now())
		o.fleet.orders = append(o.fleet.orders, types.GroupOrder{Kind: types.GroupLeave, Instance: id})
	}
	o.sendOrders()
	c.Assert(o.fleet.ordersInFlight, qt.Equals, minCalls)
	c.Assert(o.fleet.orders, qt.HasLen, many-minCalls)
	planned := o.fleet.lastPlan
	o.planGroups(time.Now())
	c.Assert(o.fleet.lastPlan, qt.Equals, planned, qt.Commentf("orders are planned beside those that wait"))
	const answered = 5
	for n := range answered {
		o.handleOrderResult(orderFinished{order: types.GroupOrder{Instance: models.InstanceID(fmt.Sprint("i", n))}, outcome: types.OrderDone, finishedAt: time.Now()})
	}
	c.Assert(o.fleet.ordersInFlight, qt.Equals, minCalls)
	c.Assert(o.fleet.orders, qt.HasLen, many-minCalls-answered)
	o.stopPlanning("the test ends it")
	o.handleOrderResult(orderFinished{order: types.GroupOrder{Instance: "i7"}, finishedAt: time.Now()})
	c.Assert(o.fleet.ordersInFlight, qt.Equals, minCalls-1)
}

// A planner that is heard by its heartbeats alone, since what it does keeps it from telling
// news, is not taken over from; one of an earlier term says nothing.
func TestPlannerHeartbeatsPreventElection(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	receive := func(term int64, plans bool, at time.Time) {
		o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "a", Addr: "127.0.0.1:1", Term: term, IsPlanner: plans}, receivedAt: at})
	}
	receive(3, true, now)
	c.Assert(o.plannerSilence(now.Add(time.Second)), qt.Equals, time.Second)
	receive(3, true, now.Add(time.Second))
	c.Assert(o.plannerSilence(now.Add(time.Second)), qt.Equals, time.Duration(0))
	receive(2, true, now.Add(2*time.Second))
	receive(3, false, now.Add(2*time.Second))
	c.Assert(o.plannerSilence(now.Add(2*time.Second)), qt.Equals, time.Second)
}

// Where hundreds of daemons start at once each hears of others for a second or so. None asks
// for the lease before that is over; few daemons do not wait for it.
func TestElectionWaitsForMassStart(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		daemons   int
		candidate bool
	}{{3, true}, {60, false}} {
		o := newTestOwner(t)
		t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
		o.n.cfg.Power = 1
		o.peers.roster = membership.NewRoster(membership.Daemon{ID: "d1", Zone: "z", Power: 1}, membership.DefaultPolicy())
		started := time.Unix(0, o.n.started)
		for n := range test.daemons {
			c.Assert(o.addPeer(models.DaemonID(fmt.Sprint("e", n)), rosterEntry{Zone: "z", Addr: "127.0.0.1:1", Incarnation: 1, Power: 0.1}), qt.IsNil)
		}
		o.peers.topology = o.peers.roster.Arrange(started)
		o.peers.lastJoinAt = started.Add(peerDiscoveryDelay)
		now := started.Add(peerDiscoveryDelay + time.Millisecond)
		c.Check(o.isCandidate(now), qt.Equals, test.candidate, qt.Commentf("%d daemons", test.daemons))
		c.Check(o.isCandidate(now.Add(peerDiscoveryDelay)), qt.IsTrue, qt.Commentf("%d daemons", test.daemons))
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
	o.config = configState{routing: &models.Routing{Version: 1}, confirmedAt: time.Now()}
	o.handleLease(leaseHeld{term: 1, until: time.Now().Add(o.n.cfg.LeaseMin - leaseMargin)})
	o.publish()
	o.applyEntry(models.UpstreamInstance{ID: "i1"}, time.Now())
	o.planGroups(time.Now())
	c.Assert(o.fleet.planner, qt.IsNotNil)

	suspended = 5 * time.Second
	o.fleet.orders = []types.GroupOrder{{Kind: types.GroupLeave, Instance: "i1"}}
	o.sendOrders()
	c.Assert(o.fleet.ordersInFlight, qt.Equals, 0)
	c.Assert(o.fleet.planner, qt.IsNil)
	c.Assert(o.n.heartbeat("other", membership.Link{}).ConfigAge >= suspended, qt.IsTrue)
}

// The first planner of a store asked each instance for a report before it used it, although
// nobody can have given orders before.
func TestFirstPlannerSendsNoProbes(t *testing.T) {
	for term, probed := range map[int64]bool{firstTerm: false, 2: true, 1<<termEraBits + 1: true} {
		o := newTestOwner(t)
		o.handleLease(leaseHeld{term: term, until: time.Now().Add(time.Minute)})
		o.applyEntry(models.UpstreamInstance{ID: "i1", Service: "s"}, time.Now())
		o.probeUnconfirmed("s", time.Now())
		qt.Check(t, o.n.stats.reports.Get() > 0, qt.Equals, probed, qt.Commentf("term %d", term))
	}
}
