package cluster

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/breaker"
	"github.com/lupinkeel/lupinkeel/models"
)

// An instance says to one daemon that it leaves, and asks it for rest. All know soon that it
// leaves, also those that start later; the rest binds the one alone, and the others take the
// instance for busy.
func TestSignalsAreTold(t *testing.T) {
	for _, test := range []struct {
		name    string
		daemons int
		zones   int
	}{{"mesh", 3, 1}, {"relays", 24, 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peers := startPeers(t, test.daemons, test.zones)
			rests, leaves := models.UpstreamInstance{ID: "i1"}, models.UpstreamInstance{ID: "i2"}
			heard := peers[test.daemons-1]
			heard.breakers.Heard(breaker.Signal{Instance: rests.ID, ReceivedAt: time.Now(), Backoff: time.Minute})
			heard.breakers.Heard(breaker.Signal{Instance: leaves.ID, ReceivedAt: time.Now(), Leaving: true})
			knows := func(p *peerNode) bool {
				return errors.Is(p.breakers.Blocks(leaves), breaker.ErrLeaving) && p.breakers.IsBusy(rests)
			}
			took := waitAll(c, peers, toldWithin, "told", knows)
			t.Logf("all %d know after %v", test.daemons, took.Round(time.Millisecond))
			late := startNth(t, test.daemons, test.zones, peers)
			waitAll(c, []*peerNode{late}, met, "told at its start", knows)
			for _, p := range append(peers, late) {
				c.Assert(p.breakers.Blocks(rests) == nil, qt.Equals, p != heard)
			}
		})
	}
}

// The planner does not take groups whose heads rest for idle, nor for lost.
func TestPlacesOfRestingGroups(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	for _, id := range []models.InstanceID{"i1", "i2"} {
		key := models.GroupKey{Name: models.GroupID("m." + id), Epoch: 1}
		o.fleet.instances[id] = &knownInstance{UpstreamInstance: models.UpstreamInstance{
			ID: id, Service: "s", LoadedModel: "m", Group: models.Membership{Key: key, State: models.MemberOpen},
		}}
	}
	engine := &models.EngineProfile{Slots: 8, Models: []models.ModelProfile{{Name: "m", GroupSize: 1}}}
	_, withheld := o.busy(engine, time.Now())
	c.Assert(withheld["m"], qt.Equals, 0.0)
	o.fleet.busy = nil
	o.n.breakers.Heard(breaker.Signal{Instance: "i1", ReceivedAt: time.Now(), Backoff: time.Minute})
	_, withheld = o.busy(engine, time.Now())
	c.Assert(withheld["m"], qt.Equals, 8.0)
	c.Assert(o.fleet.serving(time.Now())["m"], qt.HasLen, 2)
}

// An instance that rests is asked for one report, and for more after the rest.
func TestReportsDuringRest(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	i := models.UpstreamInstance{ID: "i1"}
	asked := func() int {
		before := o.n.stats.reports.Get()
		o.n.askReport(o.ctx, i, time.Millisecond)
		return int(o.n.stats.reports.Get() - before)
	}
	c.Assert(asked(), qt.Equals, 1)
	o.n.breakers.Heard(breaker.Signal{Instance: i.ID, ReceivedAt: time.Now(), Backoff: 30 * time.Millisecond})
	c.Assert(asked(), qt.Equals, 1)
	c.Assert(asked(), qt.Equals, 0)
	time.Sleep(30 * time.Millisecond)
	c.Assert(asked(), qt.Equals, 1)
}
