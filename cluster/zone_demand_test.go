package cluster

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/models"
)

// demandTraffic is the Traffic of a daemon with this demand.
type demandTraffic struct {
	noTraffic
	demand map[models.ServedModel]ModelDemand
}

func (d demandTraffic) Demand() map[models.ServedModel]ModelDemand { return d.demand }

// TestMeanDemand checks that means are taken over the requests of all daemons, and that the base
// latency is the mean over those requests only for which one is known: a daemon that has just
// started would else halve it.
func TestMeanDemand(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.traffic = demandTraffic{demand: map[models.ServedModel]ModelDemand{served("s"): {Requests: 10, Prompt: 1000, Output: 500, Target: 5}}}
	o.peers.topology.IsMesh = true
	o.config.routing = &models.Routing{Services: map[models.ServiceName]models.UpstreamService{"s": {Engine: &models.EngineProfile{}}}}
	o.peers.seen["d2"] = peerStatus{heartbeat: Heartbeat{Demand: map[models.ModelName]ModelDemand{
		"m": {Requests: 30, Prompt: 9000, Output: 1500, Target: 7.5, Base: 3.75, Observed: 30}, "unrequested": {},
	}}}
	means := o.meanDemand("s")
	c.Assert(means, qt.HasLen, 1)
	got := means["m"]
	c.Assert([]float64{got.Rate, got.Prompt, got.Output}, qt.DeepEquals, []float64{40, 250, 50})
	c.Assert(got.Target, qt.Equals, seconds(0.3125))
	c.Assert(got.Base, qt.Equals, seconds(0.125))
}

// TestDemandOfOlderVersion checks that heartbeats of versions that send a single number for each
// model are read: a daemon that can't read them takes their senders for lost during an update.
func TestDemandOfOlderVersion(t *testing.T) {
	c := qt.New(t)
	body, err := pack.Marshal(map[string]any{"t": 4, "w": map[string]float32{"m": 1.5}, "zw": map[string]float32{"m": 4}})
	c.Assert(err, qt.IsNil)
	var b Heartbeat
	c.Assert(pack.Unmarshal(body, &b), qt.IsNil)
	c.Assert(b.Term, qt.Equals, int64(4))
	c.Assert(b.Demand, qt.HasLen, 0)
}
