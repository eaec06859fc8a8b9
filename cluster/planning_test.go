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

// TestOrdersInFlightAreBounded checks that orders are sent only as earlier ones are answered, that
// no others are planned until all are sent, and that a planner that ends its term sends none of the
// remaining ones.
//
// It guards against a planner that sent 3,000 orders to free instances in one round. Other daemons
// got no updates for 1.5 s, another one took over the lease and started again, as did eight within
// 15 s, three of them before the first request. Most weights were loaded after that request.
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
	c.Assert(o.fleet.lastPlan, qt.Equals, planned, qt.Commentf("orders are planned while others are queued"))
	const answered = 5
	for n := range answered {
		o.handleOrderResult(orderFinished{order: types.GroupOrder{Instance: models.InstanceID(fmt.Sprint("i", n))}, outcome: types.OrderDone, finishedAt: time.Now()})
	}
	c.Assert(o.fleet.ordersInFlight, qt.Equals, minCalls)
	c.Assert(o.fleet.orders, qt.HasLen, many-minCalls-answered)
	o.stopPlanning("the test ends the term")
	o.handleOrderResult(orderFinished{order: types.GroupOrder{Instance: "i7"}, finishedAt: time.Now()})
	c.Assert(o.fleet.ordersInFlight, qt.Equals, minCalls-1)
}

// TestPlannerHeartbeatsPreventElection checks that heartbeats alone, without updates, keep other
// daemons from taking over from a busy planner, unless the heartbeats are of an earlier term.
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

// TestElectionWaitsForMassStart checks that no daemon asks for the lease while hundreds start at
// once and are being discovered, which takes a second or so. A few daemons do not wait.
func TestElectionWaitsForMassStart(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		daemons   int
		candidate bool
	}{{3, true}, {60, false}} {
		o := newTestOwner(t)
		t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
		o.n.cfg.CPUCores = 1
		o.peers.roster = membership.NewRoster(membership.Daemon{ID: "d1", Zone: "z", CPUCores: 1}, membership.DefaultPolicy())
		started := o.n.startedAt
		for n := range test.daemons {
			c.Assert(o.addPeer(models.DaemonID(fmt.Sprint("e", n)), rosterEntry{Zone: "z", Addr: "127.0.0.1:1", Incarnation: 1, CPUCores: 0.1}), qt.IsNil)
		}
		o.peers.topology = o.peers.roster.Topology(started)
		o.peers.lastJoinAt = started.Add(peerDiscoveryDelay)
		now := started.Add(peerDiscoveryDelay + time.Millisecond)
		c.Check(o.isCandidate(now), qt.Equals, test.candidate, qt.Commentf("%d daemons", test.daemons))
		c.Check(o.isCandidate(now.Add(peerDiscoveryDelay)), qt.IsTrue, qt.Commentf("%d daemons", test.daemons))
	}
}

// TestPlannerAfterSuspension suspends a planner's machine until its lease has expired and another
// daemon may be planner. The monotonic clock does not count the suspension. After it, the planner
// must not send any order, not even a queued one, and must not report a recent confirmation of the
// configuration.
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
	c.Assert(o.fleet.planners, qt.IsNotNil)

	suspended = 5 * time.Second
	o.fleet.orders = []types.GroupOrder{{Kind: types.GroupLeave, Instance: "i1"}}
	o.sendOrders()
	c.Assert(o.fleet.ordersInFlight, qt.Equals, 0)
	c.Assert(o.fleet.planners, qt.IsNil)
	c.Assert(o.n.heartbeat("other", membership.Link{}).ConfigAge >= suspended, qt.IsTrue)
}

// TestFirstPlannerSendsNoProbes checks that the first planner of a store does not probe each
// instance before using it: no orders can have been sent before.
func TestFirstPlannerSendsNoProbes(t *testing.T) {
	for term, probed := range map[int64]bool{firstTerm: false, 2: true, 1<<termEraBits + 1: true} {
		o := newTestOwner(t)
		o.handleLease(leaseHeld{term: term, until: time.Now().Add(time.Minute)})
		o.applyEntry(models.UpstreamInstance{ID: "i1", Service: "s"}, time.Now())
		o.probeUnverified("s", time.Now())
		qt.Check(t, o.n.stats.reports.Get() > 0, qt.Equals, probed, qt.Commentf("term %d", term))
	}
}
