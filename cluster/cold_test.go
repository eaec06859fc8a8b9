package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestColdInstance checks that a cold instance has the service's rate at the daemon that reads its
// entry and at one that gets the planner's update, until its entry says that it is warm; and that an
// instance which answers again after it was lost counts as cold until its next entry.
func TestColdInstance(t *testing.T) {
	c := qt.New(t)
	planner, member := newTestOwner(t), newTestOwner(t)
	for _, o := range []*owner{planner, member} {
		t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
		o.applyConfig([]byte(`{"Version":7,"Services":[{"Name":"engines","ColdPerS":14,"Engine":{"Slots":4}}]}`), time.Now(), "store")
	}
	planner.handleLease(leaseHeld{term: 1, until: time.Now().Add(time.Minute)})
	now := time.Now()
	i := models.UpstreamInstance{ID: "i1", Service: "engines", HeartbeatSeq: 1, ColdFor: 3 * time.Second}
	rate := func(o *owner) float64 { return o.n.limits.Rate(i, now) }
	tell := func() {
		k := planner.fleet.instances["i1"]
		c.Assert(k.needsBroadcast(), qt.IsTrue)
		k.markBroadcast()
		member.handleUpdate(updateReceived{term: 1, seq: member.peers.updateSeq + 1, instances: []InstanceUpdate{k.toUpdate(now).asOf(now)}, receivedAt: now})
	}
	planner.applyEntry(i, now)
	c.Assert(rate(planner), qt.Equals, 14.0)
	c.Assert(rate(member), qt.Equals, models.NoRateLimit)
	tell()
	c.Assert(rate(member), qt.Equals, 14.0)

	i.HeartbeatSeq, i.ColdFor = 2, 2900*time.Millisecond
	planner.applyEntry(i, now)
	c.Assert(planner.fleet.instances["i1"].coldUntil.Before(now.Add(2950*time.Millisecond)), qt.IsTrue)
	i.HeartbeatSeq, i.ColdFor = 3, 0
	planner.applyEntry(i, now)
	tell()
	c.Assert(rate(planner), qt.Equals, models.NoRateLimit)
	c.Assert(rate(member), qt.Equals, models.NoRateLimit)

	k := planner.fleet.instances["i1"]
	k.lostSince, k.lastBroadcast = now.Add(-time.Second), models.UpstreamInstance{}
	planner.handleProbeResult(probeFinished{instance: i, sentAt: time.Now()})
	c.Assert(rate(planner), qt.Equals, 14.0)
	i.HeartbeatSeq = 4
	planner.applyEntry(i, now)
	c.Assert(rate(planner), qt.Equals, models.NoRateLimit)
}
