package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
)

// idlePeers are beliefs in which other daemons have no requests.
type idlePeers struct{ *fixedBeliefs }

func (idlePeers) PeersLoad(models.InstanceID) cluster.Load { return cluster.Load{} }

// pickBeliefs are beliefs with three groups of one model, one of them in the
// daemon's zone, and as many instances of a plain service.
func pickBeliefs() idlePeers {
	view := &cluster.View{Groups: map[models.ModelName][]cluster.Group{}, Services: map[models.ServiceName][]models.UpstreamInstance{}}
	for _, zone := range []models.Zone{"a", "b", "c"} {
		i := models.UpstreamInstance{ID: models.InstanceID(zone), Zone: zone}
		view.Groups["m"] = append(view.Groups["m"], cluster.Group{Head: i})
		view.Services["s"] = append(view.Services["s"], i)
	}
	return idlePeers{&fixedBeliefs{view: view, clock: timer.New(time.Now())}}
}

// TestNearestOfEquals checks that of equal groups and instances one in the
// daemon's own zone is picked, and a less busy one elsewhere before that.
func TestNearestOfEquals(t *testing.T) {
	c := qt.New(t)
	b := newBalance()
	b.zone = "b"
	beliefs := pickBeliefs()
	engine := &models.EngineProfile{Slots: 17, ReadPerSecond: 45900}
	group := func(tried ...models.InstanceID) models.InstanceID {
		g, _, found := b.pickGroup(beliefs, engine, "m", tried)
		c.Assert(found, qt.IsTrue)
		return g.Head.ID
	}
	instance := func() models.InstanceID {
		i, found := b.pickInstance(beliefs, "s", nil)
		c.Assert(found, qt.IsTrue)
		return i.ID
	}
	for range 20 {
		c.Assert(group(), qt.Equals, models.InstanceID("b"))
		c.Assert(instance(), qt.Equals, models.InstanceID("b"))
	}
	b.add("b", 4, 2000, false)
	for range 20 {
		c.Assert(group(), qt.Not(qt.Equals), models.InstanceID("b"))
		c.Assert(instance(), qt.Not(qt.Equals), models.InstanceID("b"))
	}
}

// TestMovedStreamsScatter checks that streams which are moved at the same
// moment do not all go to the group that was the least busy one: in a play of
// the users' bench six prompts met there and were read one after the other.
func TestMovedStreamsScatter(t *testing.T) {
	c := qt.New(t)
	b := newBalance()
	b.add("b", 1, 0, false)
	b.add("c", 2, 0, false)
	engine := &models.EngineProfile{Slots: 17, ReadPerSecond: 45900}
	picked := map[models.InstanceID]int{}
	for range 300 {
		g, _, _ := b.pickGroup(pickBeliefs(), engine, "m", []models.InstanceID{"lost"})
		picked[g.Head.ID]++
	}
	for id, n := range picked {
		c.Check(n > 50 && n < 200, qt.IsTrue, qt.Commentf("%s was picked %d times", id, n))
	}
	c.Assert(picked, qt.HasLen, 3)
}
