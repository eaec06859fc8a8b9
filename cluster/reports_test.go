package cluster

import (
	"errors"
	"net/netip"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/reachability"
)

// TestOutOfOrderReports checks that the response to an earlier probe does not revert a later one,
// nor does an entry while this node is planner. With slow instances, a member of an open group was
// once taken for free and joined to another group; responses out of order are the only cause found
// in the code.
func TestOutOfOrderReports(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	now := time.Now()
	member := models.UpstreamInstance{ID: "i-1", Group: models.Membership{Key: models.GroupKey{Name: "m.1", Epoch: 1}, State: models.MemberReady}}
	alone := models.UpstreamInstance{ID: "i-1"}
	group := func() models.MemberState { return o.fleet.instances["i-1"].Group.State }

	o.applyEntry(alone, now)
	o.handleProbeResult(probeFinished{instance: member, sentAt: now.Add(2 * time.Second)})
	o.handleProbeResult(probeFinished{instance: alone, sentAt: now.Add(time.Second)})
	c.Assert(group(), qt.Equals, models.MemberReady)
	o.handleProbeResult(probeFinished{instance: alone, err: platform.ErrInvalidInstance, sentAt: now.Add(time.Second)})
	c.Assert(o.fleet.instances["i-1"].lostSince.IsZero(), qt.IsTrue)

	o.handleLease(leaseHeld{term: 1, until: now.Add(time.Minute)})
	o.applyEntry(alone, now.Add(10*time.Second))
	c.Assert(group(), qt.Equals, models.MemberReady, qt.Commentf("a stale read of the store"))
	o.handleProbeResult(probeFinished{instance: alone, sentAt: now.Add(11 * time.Second)})
	c.Assert(group(), qt.Equals, models.MemberNone)
}

// TestProbeFailuresBeforeLoss checks that an instance is lost after two failed probes in a row, or
// after one if streams found its group stalled.
func TestProbeFailuresBeforeLoss(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	now := time.Now()
	key := models.GroupKey{Name: "m.1", Epoch: 1}
	o.applyEntry(models.UpstreamInstance{ID: "i-1", Group: models.Membership{Key: key, State: models.MemberOpen}}, now)
	i := o.fleet.instances["i-1"]
	failProbe := func(sentAt time.Time) {
		o.handleProbeResult(probeFinished{instance: i.UpstreamInstance, err: platform.ErrInvalidInstance, sentAt: sentAt})
	}
	failProbe(now)
	c.Assert(i.lostSince.IsZero(), qt.IsTrue)
	c.Assert(o.fleet.probeAt, qt.HasLen, 1, qt.Commentf("it is probed again at once"))
	failProbe(now)
	c.Assert(i.lostSince.IsZero(), qt.IsTrue, qt.Commentf("this probe was sent before the first had failed"))
	failProbe(time.Now())
	c.Assert(i.lostSince.IsZero(), qt.IsFalse)

	o.handleProbeResult(probeFinished{instance: i.UpstreamInstance, sentAt: now})
	c.Assert(i.lostSince.IsZero(), qt.IsTrue)
	o.handleStalled(stallDetected{group: key, head: "i-1", from: "d2"})
	failProbe(now)
	c.Assert(i.lostSince.IsZero(), qt.IsFalse)
}

// TestUnchangedReportsAreNotBroadcast checks that a report is broadcast only if it changes the last
// broadcast state, or ends a suspicion or a loss.
func TestUnchangedReportsAreNotBroadcast(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.handleLease(leaseHeld{term: 5, until: time.Now().Add(time.Minute)})
	key := models.GroupKey{Name: "m.1", Epoch: 1}
	i := models.UpstreamInstance{ID: "i-1", Group: models.Membership{Key: key, State: models.MemberOpen}}
	o.applyEntry(i, time.Now())
	broadcasts := func() int {
		o.handleProbeResult(probeFinished{instance: i, sentAt: time.Now()})
		n := len(o.fleet.pendingUpdates)
		o.fleet.pendingUpdates = nil
		return n
	}
	c.Assert(broadcasts(), qt.Equals, 1)
	c.Assert(broadcasts(), qt.Equals, 0)
	i.Group.State = models.MemberReady
	c.Assert(broadcasts(), qt.Equals, 1)
	o.fleet.suspects["i-1"] = suspicion{group: key, until: time.Now().Add(time.Minute)}
	c.Assert(broadcasts(), qt.Equals, 1)
	o.fleet.instances["i-1"].lostSince = time.Now()
	c.Assert(broadcasts(), qt.Equals, 1)
	c.Assert(broadcasts(), qt.Equals, 0)
	o.handleLease(leaseHeld{term: 6, until: time.Now().Add(time.Minute)})
	c.Assert(broadcasts(), qt.Equals, 1, qt.Commentf("a new term began"))
}

// TestLostInstanceIsNeverProbedAgain guards against an instance that stays lost although it
// answers: its entry in the store does not change, and nothing else made the planner probe it.
func TestLostInstanceIsNeverProbedAgain(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.handleLease(leaseHeld{term: 2, until: time.Now().Add(time.Minute)})
	now := time.Now()
	o.fleet.instances["i1"] = &knownInstance{
		UpstreamInstance: models.UpstreamInstance{ID: "i1", Service: "s"}, stateAt: now, entrySeenAt: now, lostSince: now, probedAt: now,
	}
	probed := func(at time.Time) int {
		before := int(o.n.stats.reports.Get())
		o.probeUnverified("s", at)
		return int(o.n.stats.reports.Get()) - before
	}
	c.Assert(probed(now.Add(lostProbeInterval/2)), qt.Equals, 0)
	c.Assert(probed(now.Add(lostProbeInterval)), qt.Equals, 1)
}

// TestPartitionedPlannerLosesInstances guards against a planner that takes its own partition for
// the loss of instances, or a failure that no other daemon could confirm.
func TestPartitionedPlannerLosesInstances(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	o.handleLease(leaseHeld{term: 2, until: time.Now().Add(time.Minute)})
	o.applyEntry(models.UpstreamInstance{ID: "i-1"}, time.Now())
	i := o.fleet.instances["i-1"]
	failTwice := func(err error) bool {
		for range 2 {
			o.handleProbeResult(probeFinished{instance: i.UpstreamInstance, err: err, sentAt: time.Now()})
		}
		return !i.lostSince.IsZero()
	}
	c.Assert(failTwice(errors.Join(syscall.ECONNREFUSED, ErrUnconfirmed)), qt.IsFalse)
	record := func(outcome reachability.Outcome) {
		for n := range byte(4) {
			o.n.paths.record(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80), outcome)
		}
	}
	record(reachability.Bypassed)
	c.Assert(failTwice(syscall.ECONNREFUSED), qt.IsFalse)
	record(reachability.Connected)
	c.Assert(failTwice(syscall.ECONNREFUSED), qt.IsTrue)
}

// TestPartitionedDaemonPlans guards against a planner that keeps the lease although it cannot reach
// the instances and another daemon can.
func TestPartitionedDaemonPlans(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.handleLease(leaseHeld{term: 2, until: time.Now().Add(time.Minute)})
	receive := func(partitioned bool) {
		b := Heartbeat{From: "a", Addr: "127.0.0.1:1", Zone: "z", Partitioned: partitioned}
		o.handleHeartbeat(heartbeatReceived{heartbeat: b, receivedAt: time.Now()})
		o.updateTopology(time.Now().Add(time.Minute))
	}
	receive(false)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	c.Assert(o.isCandidate(time.Now()), qt.IsTrue)
	for n := range byte(4) {
		o.n.paths.record(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80), reachability.Bypassed)
	}
	c.Assert(o.isCandidate(time.Now()), qt.IsFalse)
	receive(true)
	c.Assert(o.isCandidate(time.Now()), qt.IsTrue, qt.Commentf("no other daemon reaches the instances either"))
}

// TestOverloadedDaemonPlans guards against a planner that keeps the lease although callers take its
// processor and another daemon has room.
func TestOverloadedDaemonPlans(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.handleLease(leaseHeld{term: 2, until: time.Now().Add(time.Minute)})
	receive := func(overloaded bool) {
		b := Heartbeat{From: "a", Addr: "127.0.0.1:1", Zone: "z", Overloaded: overloaded}
		o.handleHeartbeat(heartbeatReceived{heartbeat: b, receivedAt: time.Now()})
		o.updateTopology(time.Now().Add(time.Minute))
	}
	receive(false)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	c.Assert(o.isCandidate(time.Now()), qt.IsTrue)
	c.Assert(*o.n.tunnelPeers.Load(), qt.HasLen, 1)
	o.n.SetOverloaded(true)
	c.Assert(o.isCandidate(time.Now()), qt.IsFalse)
	_, err := (&peerServer{n: o.n}).tunnelTarget(tunnelRequest{Addr: "127.0.0.1:1"})
	c.Assert(err, qt.ErrorMatches, "the daemon is overloaded")
	receive(true)
	c.Assert(o.isCandidate(time.Now()), qt.IsTrue, qt.Commentf("the other daemon is overloaded as well"))
	c.Assert(*o.n.tunnelPeers.Load(), qt.HasLen, 0)
}
