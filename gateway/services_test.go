package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestOtherServiceSpoilsPredictions guards against a service's requests that are predicted by what was
// observed of another service, which serves a model of the same name at another speed.
func TestOtherServiceSpoilsPredictions(t *testing.T) {
	c := qt.New(t)
	f := newQueueFixture(t)
	engine := f.node.view.Routing.Services["s"].Engine
	f.node.view.Routing.Services["slow"] = models.UpstreamService{Engine: engine}
	slow := f.node.view.Groups[served("s")][0]
	slow.Service, slow.Key.Name, slow.Head.ID = "slow", "slow-g", "slow-g1"
	f.node.view.Groups[served("slow")] = []cluster.Group{slow}

	stream := func(service models.ServiceName) *stream {
		s := f.stream(t.Context(), time.Second)
		s.service = service
		return s
	}
	capacity := func(service models.ServiceName) groupsCapacity {
		s := stream(service)
		_, _, joined := f.queues.join(s)
		c.Assert(joined, qt.IsTrue)
		return f.queues.byKey[s.queueKey()].capacity
	}
	for range 20 {
		s := stream("slow")
		s.addDemand()
		s.firstByte, s.tried = s.started.Add(5*time.Second), []models.InstanceID{slow.Head.ID}
		s.observeBase()
		f.scheduler.addPause(s.servedModel(), time.Second, 10*time.Millisecond)
		f.queues.requestEnded(s.servedModel())
	}
	c.Assert(capacity("slow").FirstEvent > time.Second, qt.IsTrue)
	c.Assert(capacity("slow").Rate > 0, qt.IsTrue)
	c.Assert(capacity("slow").Completions > 0, qt.IsTrue)

	got := capacity("s")
	c.Check(got.FirstEvent, qt.Equals, time.Duration(0), qt.Commentf("nothing has been observed of the service"))
	c.Check(got.Rate, qt.Equals, 0.0)
	c.Check(got.Completions, qt.Equals, 0.0)
	_, known := f.scheduler.pauses[served("s")]
	c.Check(known, qt.IsFalse)
	_, _, found := f.scheduler.pickGroup(f.node, engine, groupCriteria{head: models.RequestHead{Model: "m"}, service: "s"})
	c.Assert(found, qt.IsTrue)
}
