package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// newRunningOwner returns an owner with an uptime.
func newRunningOwner(t *testing.T, id models.DaemonID, cpuCores float64, uptime time.Duration) *owner {
	o := newTestOwner(t)
	o.n.cfg.ID, o.n.cfg.CPUCores, o.n.startedAt = id, cpuCores, time.Now().Add(-uptime)
	o.peers = newPeersState(o.n.cfg)
	return o
}

// TestCandidacy checks which daemons ask for the planner's lease, and when. The store reassigns the
// lease for each daemon that asks besides its holder: when 61 daemons were restarted one by one,
// the planner changed seven times in 34 s.
func TestCandidacy(t *testing.T) {
	c := qt.New(t)
	var o *owner
	start := func(id models.DaemonID, power float64, uptime time.Duration) {
		o = newRunningOwner(t, id, power, uptime)
	}
	addPeers := func(term int64, powers ...float64) {
		for i, p := range powers {
			id := models.DaemonID(fmt.Sprintf("d-%d", i))
			o.peers.seen[id] = peerStatus{heartbeat: Heartbeat{From: id, CPUCores: p}, receivedAt: time.Now()}
			o.peers.roster.RecordHeartbeat(o.peers.seen[id].heartbeat.membershipBeat(), time.Now())
		}
		o.peers.topology = o.peers.roster.Topology(time.Now())
		o.peers.term = term
	}
	setPlannerSeen := func(ago time.Duration) { o.peers.plannerSeenAt = time.Now().Add(-ago) }
	isCandidate := func() bool { return o.isCandidate(time.Now()) }

	start("first", 0.4, peerDiscoveryDelay)
	addPeers(0, 0.2, 0.2)
	c.Assert(isCandidate(), qt.IsTrue, qt.Commentf("all have just started, there is no planner"))
	start("third", 0.1, peerDiscoveryDelay)
	addPeers(0, 0.2, 0.2)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("two are ranked ahead"))
	start("third", 0.1, peerDiscoveryDelay+2*electionStagger)
	addPeers(0, 0.2, 0.2)
	c.Assert(isCandidate(), qt.IsTrue, qt.Commentf("they did not become planner"))

	start("first", 0.4, 0)
	addPeers(5, 0.2, 0.2)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("there is a planner"))
	start("first", 0.4, plannerDiscoveryTimeout)
	addPeers(5, 0.2, 0.2)
	c.Assert(isCandidate(), qt.IsTrue, qt.Commentf("there was a planner, but no sign of it"))
	setPlannerSeen(0)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("there is a planner, and the rank is not known yet"))

	start("first", 0.4, time.Minute)
	addPeers(5, 0.2, 0.2)
	setPlannerSeen(0)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("there is a planner"))
	setPlannerSeen(electionTimeout)
	c.Assert(isCandidate(), qt.IsTrue)
	start("third", 0.1, time.Minute)
	addPeers(5, 0.2, 0.2)
	setPlannerSeen(electionTimeout + electionStagger)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("two are ranked ahead"))
	setPlannerSeen(electionTimeout + 2*electionStagger)
	c.Assert(isCandidate(), qt.IsTrue)

	start("weak", 0.4, time.Minute)
	addPeers(5, 0.8, 0.8, 0.8)
	setPlannerSeen(electionTimeout + 3*electionStagger)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("others are stronger"))
	setPlannerSeen(weakElectionTimeout + 3*electionStagger)
	c.Assert(isCandidate(), qt.IsTrue, qt.Commentf("no other daemon took over"))
	o.handleLease(leaseHeld{term: 6, until: time.Now().Add(time.Minute)})
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("stronger daemons take precedence"))

	start("equal", 0.2, time.Minute)
	addPeers(5, 0.2, 0.2, 0.2, 0.2)
	o.handleLease(leaseHeld{term: 6, until: time.Now().Add(time.Minute)})
	c.Assert(isCandidate(), qt.IsTrue, qt.Commentf("a planner among equals continues"))
	o.n.Resign()
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("it has resigned"))

	start("tenth", 0.05, time.Minute)
	addPeers(5, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1)
	setPlannerSeen(time.Minute)
	c.Assert(isCandidate(), qt.IsFalse, qt.Commentf("nine are ranked ahead"))
}

// TestOnlyRelaysAreEligible checks that unless daemons form a mesh, only relays ask for the lease:
// updates reach everyone through them, and each knows its rank.
func TestOnlyRelaysAreEligible(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		power    float64
		eligible bool
	}{{0.2, false}, {0.8, true}} {
		o := newTestOwner(t)
		o.n.cfg.CPUCores, o.n.cfg.Zone = test.power, "a"
		o.peers = newPeersState(o.n.cfg)
		for i := range 3 * meshLimit {
			zone := models.Zone("abc"[i%3 : i%3+1])
			o.peers.roster.Add(membership.Daemon{ID: models.DaemonID(fmt.Sprintf("d-%d", i)), Zone: zone, CPUCores: 0.4})
		}
		o.peers.topology = o.peers.roster.Topology(time.Now())
		c.Check(o.isEligible(), qt.Equals, test.eligible)
		o.n.startedAt = time.Now().Add(-time.Minute)
		o.peers.plannerSeenAt = time.Now().Add(-time.Minute)
		c.Check(o.isCandidate(time.Now()), qt.Equals, test.eligible)
	}
}

// TestElectionAfterTermEnd checks that other daemons take over at once when a planner announces the
// end of its term, and that this planner does not ask for the lease at once again.
func TestElectionAfterTermEnd(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.startedAt = time.Now().Add(-time.Minute)
	o.handleUpdate(updateReceived{term: 5, seq: 1, receivedAt: time.Now()})
	c.Assert(o.isCandidate(time.Now()), qt.IsFalse)
	o.handleUpdate(updateReceived{term: 4, termEnded: true, receivedAt: time.Now()})
	c.Assert(o.isCandidate(time.Now()), qt.IsFalse, qt.Commentf("there is a planner of a newer term"))
	o.handleUpdate(updateReceived{term: 5, termEnded: true, receivedAt: time.Now()})
	c.Assert(o.isCandidate(time.Now()), qt.IsTrue)

	o.handleLease(leaseHeld{term: 6, until: time.Now().Add(time.Minute)})
	o.stopPlanning("assigned to another daemon")
	c.Assert(o.isCandidate(time.Now()), qt.IsFalse)
}
