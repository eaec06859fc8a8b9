package cluster

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/breaker"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestSignalPropagation checks that an instance's signals to one daemon reach all daemons,
// including those that start later. A leaving signal applies to all. A backoff request applies to
// the daemon that received it, and the others regard the instance as busy.
func TestSignalPropagation(t *testing.T) {
	for _, test := range []struct {
		name    string
		daemons int
		zones   int
	}{{"mesh", 3, 1}, {"relays", 24, 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peers := startPeers(t, test.daemons, test.zones)
			backingOff, leaving := models.UpstreamInstance{ID: "i1"}, models.UpstreamInstance{ID: "i2"}
			observer := peers[test.daemons-1]
			observer.breakers.Observe(breaker.Signal{Instance: backingOff.ID, ReceivedAt: time.Now(), Backoff: time.Minute})
			observer.breakers.Observe(breaker.Signal{Instance: leaving.ID, ReceivedAt: time.Now(), Leaving: true})
			knows := func(p *testPeer) bool {
				return errors.Is(p.breakers.Blocks(leaving), breaker.ErrLeaving) && p.breakers.IsBusy(backingOff)
			}
			took := waitAll(c, peers, propagationTimeout, "aware of the signals", knows)
			t.Logf("all %d know after %v", test.daemons, took.Round(time.Millisecond))
			late := startNth(t, test.daemons, test.zones, peers)
			waitAll(c, []*testPeer{late}, discoveryTimeout, "aware of the signals after its start", knows)
			for _, p := range append(peers, late) {
				c.Assert(p.breakers.Blocks(backingOff) == nil, qt.Equals, p != observer)
			}
		})
	}
}

// TestWithheldSlotsDuringBackoff checks that the planner counts a group whose head backs off
// neither as idle nor as lost.
func TestWithheldSlotsDuringBackoff(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	for _, id := range []models.InstanceID{"i1", "i2"} {
		key := models.GroupKey{Name: models.GroupID("m." + id), Epoch: 1}
		o.fleet.instances[id] = &knownInstance{UpstreamInstance: models.UpstreamInstance{
			ID: id, Service: "s", LoadedModel: "m", Group: models.Membership{Key: key, State: models.MemberOpen},
		}}
	}
	engine := &models.EngineProfile{Slots: 8, Models: []models.ModelProfile{{Name: "m", GroupSize: 1}}}
	_, withheld := o.requestsInFlight("s", engine, time.Now())
	c.Assert(withheld["m"], qt.Equals, 0.0)
	clear(o.fleet.averages)
	o.n.breakers.Observe(breaker.Signal{Instance: "i1", ReceivedAt: time.Now(), Backoff: time.Minute})
	_, withheld = o.requestsInFlight("s", engine, time.Now())
	c.Assert(withheld["m"], qt.Equals, 8.0)
	c.Assert(o.fleet.serving(time.Now())[served("s")], qt.HasLen, 2)
}

// TestProbesDuringBackoff checks that an instance that backs off is probed once, and again
// afterwards.
func TestProbesDuringBackoff(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	i := models.UpstreamInstance{ID: "i1"}
	probesSent := func() int {
		before := o.n.stats.reports.Get()
		o.n.sendProbe(o.ctx, i, time.Millisecond)
		return int(o.n.stats.reports.Get() - before)
	}
	c.Assert(probesSent(), qt.Equals, 1)
	o.n.breakers.Observe(breaker.Signal{Instance: i.ID, ReceivedAt: time.Now(), Backoff: 30 * time.Millisecond})
	c.Assert(probesSent(), qt.Equals, 1)
	c.Assert(probesSent(), qt.Equals, 0)
	time.Sleep(30 * time.Millisecond)
	c.Assert(probesSent(), qt.Equals, 1)
}
