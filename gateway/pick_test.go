package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// idlePeersNode is a fakeNode whose other daemons have no requests.
type idlePeersNode struct{ *fakeNode }

func (idlePeersNode) PeersLoad(models.InstanceID) cluster.Load { return cluster.Load{} }

// served returns the model m of a service.
func served(service models.ServiceName) models.ServedModel {
	return models.ServedModel{Service: service, Model: "m"}
}

// newPickNode returns a node with three groups of one model, each in its own zone, and as many
// instances of a plain service.
func newPickNode() idlePeersNode {
	view := &cluster.View{Groups: map[models.ServedModel][]cluster.Group{}, Services: map[models.ServiceName][]models.UpstreamInstance{}}
	for _, zone := range []models.Zone{"a", "b", "c"} {
		i := models.UpstreamInstance{ID: models.InstanceID(zone), Zone: zone}
		view.Groups[served("")] = append(view.Groups[served("")], cluster.Group{Head: i})
		view.Services["s"] = append(view.Services["s"], i)
	}
	return idlePeersNode{&fakeNode{view: view, clock: timer.New(time.Now())}}
}

// TestPrefersOwnZone checks that of equal groups and instances the one in the daemon's own zone is
// picked, that a less loaded instance in another zone is preferred to it, and so is a group in
// another zone if it answers sooner by a fifth of the latency target.
func TestPrefersOwnZone(t *testing.T) {
	c := qt.New(t)
	b := newScheduler()
	b.zone = "b"
	node := newPickNode()
	engine := &models.EngineProfile{Slots: 17, PrefillTokensPerSecond: 45900}
	group := func(latencyTarget time.Duration) models.InstanceID {
		g, _, found := b.pickGroup(node, engine, groupCriteria{head: models.RequestHead{Model: "m"}, latencyTarget: latencyTarget, routeTarget: 300 * time.Millisecond})
		c.Assert(found, qt.IsTrue)
		return g.Head.ID
	}
	instance := func() models.InstanceID {
		i, found := b.pickInstance(node, node.View().Services["s"], nil)
		c.Assert(found, qt.IsTrue)
		return i.ID
	}
	for range 20 {
		c.Assert(group(200*time.Millisecond), qt.Equals, models.InstanceID("b"))
		c.Assert(instance(), qt.Equals, models.InstanceID("b"))
	}
	// The group in the own zone now answers 52 ms later than the others.
	b.addLoad("b", 4, 2000)
	for range 20 {
		c.Assert(group(200*time.Millisecond), qt.Not(qt.Equals), models.InstanceID("b"))
		c.Assert(group(0), qt.Not(qt.Equals), models.InstanceID("b"))
		c.Assert(group(300*time.Millisecond), qt.Equals, models.InstanceID("b"), qt.Commentf("52 ms is less than a fifth of the latency target"))
		c.Assert(instance(), qt.Not(qt.Equals), models.InstanceID("b"))
	}
}

// TestFailoverSpreadsStreams checks that streams which fail over at the same moment do not all pick
// the least loaded group. Six prompts were once prefilled one after the other at such a group.
func TestFailoverSpreadsStreams(t *testing.T) {
	c := qt.New(t)
	b := newScheduler()
	b.addLoad("b", 1, 0)
	b.addLoad("c", 2, 0)
	b.addLoad("lost", 9, 0)
	engine := &models.EngineProfile{Slots: 17, PrefillTokensPerSecond: 45900}
	head := models.RequestHead{Model: "m", PromptTokens: 1400}
	pick := func(tried ...models.InstanceID) map[models.InstanceID]int {
		picked := map[models.InstanceID]int{}
		for range 300 {
			g, _, _ := b.pickGroup(newPickNode(), engine, groupCriteria{head: head, tried: tried})
			picked[g.Head.ID]++
		}
		return picked
	}
	picked := pick("lost")
	for id, n := range picked {
		c.Check(n > 50 && n < 200, qt.IsTrue, qt.Commentf("%s was picked %d times", id, n))
	}
	c.Assert(picked, qt.HasLen, 3)

	// Nine prompts of 30 ms, while two groups have one prompt to prefill already. Half of the
	// streams were once placed on the third group.
	b.addLoad("b", 0, 1400)
	b.addLoad("c", 0, 1400)
	picked = pick("lost")
	c.Check(picked["a"] > 90 && picked["a"] < 160, qt.IsTrue, qt.Commentf("%v", picked))
	c.Check(picked["b"] > 50 && picked["c"] > 50, qt.IsTrue, qt.Commentf("%v", picked))

	// With many daemons, requests that other daemons place at the same moment count as well:
	// prompts of 12,000 tokens were once placed on one of eight groups.
	many := newPickNode()
	many.view.Topology = &membership.Topology{ZoneSize: 59}
	b.addLoad("b", 0, -1400)
	picked = map[models.InstanceID]int{}
	for range 300 {
		g, _, _ := b.pickGroup(many, engine, groupCriteria{head: head})
		picked[g.Head.ID]++
	}
	c.Check(picked["a"] > 100 && picked["b"] > 100, qt.IsTrue, qt.Commentf("%v", picked))
	b.addLoad("b", 0, 1400)

	// A group that stays the slowest in any case gets none, and a request that fails over alone is
	// sent where it is answered first.
	b.addLoad("c", 0, 40000)
	c.Check(pick("lost")["c"], qt.Equals, 0)
	b.addLoad("lost", -8, 0)
	c.Check(pick("lost"), qt.DeepEquals, map[models.InstanceID]int{"a": 300})
}

// TestAvoidsFailingInstance checks that an instance which fails requests at once, and so has none
// in flight, is not taken for the least loaded one; that it is tried again after a while, or once
// it answers; and that it is used if there is no other.
func TestAvoidsFailingInstance(t *testing.T) {
	c := qt.New(t)
	b := newScheduler()
	b.zone = "b"
	node := newPickNode()
	engine := &models.EngineProfile{Slots: 17, PrefillTokensPerSecond: 45900}
	picks := func(tried ...models.InstanceID) (group, instance models.InstanceID) {
		criteria := groupCriteria{head: models.RequestHead{Model: "m"}, latencyTarget: 300 * time.Millisecond, routeTarget: 300 * time.Millisecond, tried: tried}
		g, _, _ := b.pickGroup(node, engine, criteria)
		i, _ := b.pickInstance(node, node.View().Services["s"], tried)
		return g.Head.ID, i.ID
	}
	b.addLoad("a", 3, 0)
	b.addLoad("c", 3, 0)
	for range 2 {
		b.addFailure(models.UpstreamInstance{ID: "b"})
	}
	group, instance := picks()
	c.Assert(group, qt.Not(qt.Equals), models.InstanceID("b"))
	c.Assert(instance, qt.Not(qt.Equals), models.InstanceID("b"))
	group, instance = picks("a", "c")
	c.Assert(group, qt.Equals, models.InstanceID("b"))
	c.Assert(instance, qt.Equals, models.InstanceID("b"))

	for range 20 {
		b.addFailure(models.UpstreamInstance{ID: "b"})
	}
	b.failures["b"] = failureCount{time.Time{}, b.failures["b"].count, time.Now().Add(-6 * time.Second)}
	group, instance = picks()
	c.Assert(group, qt.Equals, models.InstanceID("b"))
	c.Assert(instance, qt.Equals, models.InstanceID("b"))

	b.addFailure(models.UpstreamInstance{ID: "b"})
	for range 3 {
		b.addSuccess("b")
	}
	group, _ = picks()
	c.Assert(group, qt.Equals, models.InstanceID("b"))
}

// TestRestartForgetsFailures checks that failures before a restart do not count against the
// instance.
func TestRestartForgetsFailures(t *testing.T) {
	c := qt.New(t)
	b := newScheduler()
	before := models.UpstreamInstance{ID: "i-1", StartedAt: time.Unix(1, 0)}
	after := models.UpstreamInstance{ID: "i-1", StartedAt: time.Unix(2, 0)}
	b.addFailure(before)
	c.Assert(b.recentFailures(before) > 0.9, qt.IsTrue)
	c.Assert(b.recentFailures(after), qt.Equals, 0.0)
}

// TestOtherServiceRunsRequest guards against a request that runs at another service, which serves a model
// of the same name.
func TestOtherServiceRunsRequest(t *testing.T) {
	c := qt.New(t)
	node := newPickNode()
	groups := node.view.Groups[served("")]
	node.view.Groups[served("")], node.view.Groups[served("other")] = groups[1:], groups[:1]
	engine := &models.EngineProfile{Slots: 17}
	s := newScheduler()
	for service, zones := range map[models.ServiceName]string{"": "bc", "other": "a", "third": ""} {
		e := &exchange{g: &Gateway{node: node, scheduler: s}, service: service, head: models.RequestHead{Model: "m"}}
		criteria, picked := groupCriteria{head: e.head, service: service}, map[models.Zone]bool{}
		for range 50 {
			if g, _, found := s.pickGroup(node, engine, criteria); found {
				picked[g.Head.Zone] = true
			}
		}
		heads := ""
		for _, head := range e.heads() {
			heads += string(head.Zone)
		}
		c.Assert(heads, qt.Equals, zones)
		c.Assert(picked, qt.HasLen, len(zones))
		for zone := range picked {
			c.Assert(zones, qt.Contains, string(zone))
		}
		c.Assert(s.capacity(node, engine, criteria, horizon(time.Second)).groups, qt.Equals, len(zones))
	}
}
