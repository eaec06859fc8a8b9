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
func TestCandidacy(t *testing.T) {
	c := qt.New(t)
	var o *owner
	start := func(id models.DaemonID, power float64, running time.Duration) {
		o = newRunningOwner(t, id, power, running)
	}
	addPeers := func(term int64, powers ...float64) {
		for i, p := range powers {
			id := models.DaemonID(fmt.Sprintf("d-%d", i))
			o.peers.seen[id] = peerStatus{heartbeat: Heartbeat{From: id, Power: p}, receivedAt: time.Now()}
			o.peers.roster.Hear(o.peers.seen[id].heartbeat.membershipBeat(), time.Now())
		}
		o.peers.topology = o.peers.roster.Arrange(time.Now())
		o.peers.term = term
	}
	setPlannerSeen := func(ago time.Duration) { o.peers.plannerSeenAt = time.Now().Add(-ago) }
	isCandidate := func() bool { return o.isCandidate(time.Now()) }

	start("first", 0.4, peerDiscoveryDelay)
	addPeers(0, 0.2, 0.2)
	c.Assert(isCandidate(), qt.IsTrue, qt.Commentf("all have just started, none plans"))
	start("third", 0.1, peerDiscoveryDelay)
	addPeers(0, 0.2, 0.2)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("two come before this one"))
	start("third", 0.1, peerDiscoveryDelay+2*electionStagger)
	addPeers(0, 0.2, 0.2)
	c.Assert(isCandidate(), qt.IsTrue, qt.Commentf("and did not begin to plan"))

	start("first", 0.4, 0)
	addPeers(5, 0.2, 0.2)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("one plans"))
	start("first", 0.4, plannerDiscoveryTimeout)
	addPeers(5, 0.2, 0.2)
	c.Assert(isCandidate(), qt.IsTrue, qt.Commentf("one planned and is not heard"))
	setPlannerSeen(0)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("one plans, the standing is not known yet"))

	start("first", 0.4, time.Minute)
	addPeers(5, 0.2, 0.2)
	setPlannerSeen(0)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("one plans"))
	setPlannerSeen(electionTimeout)
	c.Assert(isCandidate(), qt.IsTrue)
	start("third", 0.1, time.Minute)
	addPeers(5, 0.2, 0.2)
	setPlannerSeen(electionTimeout + electionStagger)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("two come before this one"))
	setPlannerSeen(electionTimeout + 2*electionStagger)
	c.Assert(isCandidate(), qt.IsTrue)

	start("weak", 0.4, time.Minute)
	addPeers(5, 0.8, 0.8, 0.8)
	setPlannerSeen(electionTimeout + 3*electionStagger)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("others have more processor"))
	setPlannerSeen(weakElectionTimeout + 3*electionStagger)
	c.Assert(isCandidate(), qt.IsTrue, qt.Commentf("nobody else does"))
	o.handleLease(leaseHeld{term: 6, until: time.Now().Add(time.Minute)})
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("those with more processor come first"))

	start("equal", 0.2, time.Minute)
	addPeers(5, 0.2, 0.2, 0.2, 0.2)
	o.handleLease(leaseHeld{term: 6, until: time.Now().Add(time.Minute)})
	c.Assert(isCandidate(), qt.IsTrue, qt.Commentf("one of equals that plans goes on"))
	o.n.StandAside()
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("it is about to stop"))

	start("tenth", 0.05, time.Minute)
	addPeers(5, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1)
	setPlannerSeen(time.Minute)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("nine come before it"))
}

// TestWhoMayPlan checks that where there are many daemons only relays ask for the
// lease: news of a planner goes out by them, and each knows its standing.
func TestOnlyRelaysAreEligible(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		power    float64
		eligible bool
	}{{0.2, false}, {0.8, true}} {
		o := newTestOwner(t)
		o.n.cfg.Power, o.n.cfg.Zone = test.power, "a"
		o.peers = newPeersState(o.n.cfg)
		for i := range 3 * meshLimit {
			zone := models.Zone("abc"[i%3 : i%3+1])
			o.peers.roster.Enter(membership.Daemon{ID: models.DaemonID(fmt.Sprintf("d-%d", i)), Zone: zone, Power: 0.4})
		}
		o.peers.topology = o.peers.roster.Arrange(time.Now())
		c.Check(o.isEligible(), qt.Equals, test.eligible)
		o.n.started = time.Now().Add(-time.Minute).UnixNano()
		o.peers.plannerSeenAt = time.Now().Add(-time.Minute)
		c.Check(o.isCandidate(time.Now()), qt.Equals, test.eligible)
	}
}

// TestEndIsTold checks that the others need not wait to take over from a daemon
// that tells that it plans no more, and that it does not ask at once again.
func TestElectionAfterTermEnd(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.started = time.Now().Add(-time.Minute).UnixNano()
	o.handleUpdate(updateReceived{term: 5, seq: 1, receivedAt: time.Now()})
	c.Assert(o.isCandidate(time.Now()), qt.IsFalse)
	o.handleUpdate(updateReceived{term: 4, termEnded: true, receivedAt: time.Now()})
	c.Assert(o.isCandidate(time.Now()), qt.IsFalse, qt.Commentf("a newer one plans"))
	o.handleUpdate(updateReceived{term: 5, termEnded: true, receivedAt: time.Now()})
	c.Assert(o.isCandidate(time.Now()), qt.IsTrue)

	o.handleLease(leaseHeld{term: 6, until: time.Now().Add(time.Minute)})
	o.stopPlanning("dealt to another")
	c.Assert(o.isCandidate(time.Now()), qt.IsFalse)
}
