package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestLastModelIsKept checks that an instance that has left its group, and whose entry names no
// model any more, still counts as having loaded the group's model: it joins the next group of that
// model in a fifth of a second. Without this, spares were warmed again and again, and the members
// of a broken group were assumed to be slower than they are.
func TestLastModelIsKept(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	instance := func(loaded models.ModelName) models.UpstreamInstance {
		return models.UpstreamInstance{ID: "i-1", LoadedModel: loaded}
	}
	loaded := func() models.ModelName { return o.fleet.instances["i-1"].LoadedModel }

	o.applyEntry(instance("m0"), now)
	o.applyEntry(instance(""), now)
	c.Assert(loaded(), qt.Equals, models.ModelName("m0"))
	o.handleProbeResult(probeFinished{instance: instance("m1"), sentAt: now})
	o.handleProbeResult(probeFinished{instance: instance(""), sentAt: now})
	c.Assert(loaded(), qt.Equals, models.ModelName("m1"))
	o.handleUpdate(updateReceived{term: 1, seq: 1, receivedAt: now.Add(time.Second), instances: []InstanceUpdate{{Instance: instance("")}}})
	c.Assert(loaded(), qt.Equals, models.ModelName("m1"))
}

// TestLostInstanceRecovers checks that a daemon that missed an instance's recovery detects it by
// the instance's writes, and that a new planner probes lost instances. A daemon that had been cut
// off regarded 46 of 165 instances as lost when it became planner, and closed all groups of eight.
func TestLostInstanceRecovers(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	instance := func(writes int64) models.UpstreamInstance {
		return models.UpstreamInstance{ID: "i-1", HeartbeatSeq: writes}
	}
	lost := func() bool { return !o.fleet.instances["i-1"].lostSince.IsZero() }
	reportLost := func(seq, writes int64) {
		updates := []InstanceUpdate{{Instance: instance(writes), Lost: true}}
		o.handleUpdate(updateReceived{term: 1, seq: seq, receivedAt: now.Add(time.Duration(seq) * time.Second), instances: updates})
	}

	o.applyEntry(instance(7), now)
	reportLost(1, 8)
	c.Assert(lost(), qt.IsTrue)
	o.applyEntry(instance(9), now)
	c.Assert(lost(), qt.IsTrue, qt.Commentf("this write may have been in flight"))
	o.applyEntry(instance(10), now)
	c.Assert(lost(), qt.IsFalse)

	delete(o.fleet.instances, "i-1")
	reportLost(2, 10)
	c.Assert(lost(), qt.IsTrue, qt.Commentf("even if the instance was not known"))
	o.handleLease(leaseHeld{term: 2, until: now.Add(time.Minute)})
	c.Assert(lost(), qt.IsFalse)
}
