package cluster

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestFleetViewRebuild checks that the instances of a view are rebuilt only if one has changed.
// With 90 daemons and 216 instances each rebuild took 0.24 ms and 330 KB, some fifty times a
// second, because heartbeats arrive by the hundred.
func TestFleetViewRebuild(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	o.config.routing = &models.Routing{}
	now := time.Now()
	key := models.GroupKey{Name: "m.1", Epoch: 1}
	o.applyEntry(models.UpstreamInstance{ID: "head", Group: models.Membership{Key: key, State: models.MemberOpen}}, now)
	o.fleetStale = true
	o.publish()
	shown := func() uintptr { return reflect.ValueOf(o.n.View().Instances).Pointer() }
	before := shown()

	o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "d2", Addr: "127.0.0.1:9"}, receivedAt: now})
	c.Assert(o.viewStale, qt.IsTrue)
	o.updateTopology(now)
	o.publish()
	c.Assert(o.n.View().Daemons, qt.Equals, 2)
	c.Assert(shown(), qt.Equals, before)

	o.handleStalled(stallDetected{group: key, head: "head", from: "d2"})
	o.publish()
	c.Assert(o.n.View().Suspects, qt.HasLen, 1)
	o.tick(timer.Tick{At: now.Add(2 * suspicionDuration)})
	c.Assert(o.fleetStale, qt.IsTrue, qt.Commentf("the suspicion has expired"))
	o.publish()
	c.Assert(o.n.View().Suspects, qt.HasLen, 0)
}
