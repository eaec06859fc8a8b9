package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// TestNoModels checks that a service without models gets no orders. Planning for one crashed the
// daemon.
func TestNoModels(t *testing.T) {
	p := NewPlanner(1, time.Now())
	orders := p.Step(Snapshot{
		Now: time.Now(), Profile: &models.EngineProfile{Slots: 1},
		Instances: map[models.InstanceID]models.UpstreamInstance{"i-1": {ID: "i-1", Domain: "a"}},
	})
	qt.Assert(t, orders, qt.HasLen, 0)
}

// TestNoInstances checks that a planner accepts a service without instances, as every service is
// when the system starts.
func TestNoInstances(t *testing.T) {
	p := NewPlanner(1, time.Now())
	qt.Assert(t, p.Step(Snapshot{Now: time.Now(), Profile: testProfile()}), qt.HasLen, 0)
}

// TestTermEnds checks that a planner is superseded before its fences reach those of the next term.
func TestTermEnds(t *testing.T) {
	p := NewPlanner(1, time.Now())
	p.seq = maxOrders - 1
	qt.Assert(t, p.Superseded(), qt.IsFalse)
	last := p.nextFence()
	qt.Assert(t, p.Superseded(), qt.IsTrue)
	qt.Assert(t, last < NewPlanner(2, time.Now()).nextFence(), qt.IsTrue)
}

// TestUnverifiedInstances checks that a planner forms no group of instances whose state may be
// stale. Instances that were cut off from the store had joined a group of the previous planner that
// the new planner did not know of, and were assigned to a second group.
func TestUnverifiedInstances(t *testing.T) {
	w := Snapshot{Now: time.Now(), Profile: testProfile(), Instances: map[models.InstanceID]models.UpstreamInstance{}, Unverified: map[models.InstanceID]bool{}}
	for _, id := range []models.InstanceID{"i-1", "i-2", "i-3", "i-4"} {
		w.Instances[id] = models.UpstreamInstance{ID: id, Domain: "a"}
		w.Unverified[id] = true
	}
	p := NewPlanner(1, w.Now)
	for _, o := range p.Step(w) {
		qt.Assert(t, o.Kind, qt.Not(qt.Equals), types.GroupJoin)
	}
	clear(w.Unverified)
	w.Now = w.Now.Add(time.Second)
	qt.Assert(t, p.Step(w), qt.Not(qt.HasLen), 0)
}

// TestUnlistedMember checks that a group goes on if the entry of a member is gone, and that such a
// member joins no other group.
func TestUnlistedMember(t *testing.T) {
	key := models.GroupKey{Name: "small.1", Epoch: 1}
	w := Snapshot{Now: time.Now(), Profile: testProfile(), HasTraffic: true, Unlisted: map[models.InstanceID]bool{"i-2": true}}
	w.Instances = map[models.InstanceID]models.UpstreamInstance{
		"i-1": {ID: "i-1", Domain: "a", LoadedModel: "small", StagedModels: []models.ModelName{"small", "big"}, Group: models.Membership{Key: key, State: models.MemberOpen}},
		"i-2": {ID: "i-2", Domain: "a", LoadedModel: "small", StagedModels: []models.ModelName{"small"}, Group: models.Membership{Key: key, Rank: 1, State: models.MemberReady}},
	}
	p := NewPlanner(1, w.Now)
	qt.Assert(t, p.Step(w), qt.HasLen, 0)
	w.Unreachable = map[models.InstanceID]bool{"i-2": true}
	orders := p.Step(w)
	qt.Assert(t, orders, qt.HasLen, 1)
	qt.Assert(t, orders[0].Kind, qt.Equals, types.GroupStop)
	qt.Assert(t, orders[0].Instance, qt.Equals, models.InstanceID("i-1"))
}

// TestAdoptedGroupMayOpen checks that an adopted group which is abandoned is dissolved at its head
// before its members are used elsewhere: the previous planner may have ordered the head to open.
// Without that, an instance was in two groups just after another daemon had become the planner.
func TestAdoptedGroupMayOpen(t *testing.T) {
	key := models.GroupKey{Name: "small.1", Epoch: 1}
	w := Snapshot{Now: time.Now(), Profile: testProfile(), HasTraffic: true, Unreachable: map[models.InstanceID]bool{}}
	w.Instances = map[models.InstanceID]models.UpstreamInstance{}
	for _, id := range []models.InstanceID{"i-1", "i-2"} {
		w.Instances[id] = models.UpstreamInstance{ID: id, Domain: "a", LoadedModel: "small", StagedModels: []models.ModelName{"small"}}
	}
	for rank, id := range []models.InstanceID{"i-1", "i-2"} {
		i := w.Instances[id]
		i.Group = models.Membership{Key: key, Rank: rank, State: models.MemberReady}
		w.Instances[id] = i
	}
	// Before that, a group whose members are ready is not adopted.
	p := NewPlanner(1, w.Now.Add(-lateOrderWindow))
	for _, o := range p.Step(w) {
		qt.Assert(t, o.Kind, qt.Equals, types.GroupJoin)
		qt.Assert(t, o.Group, qt.Equals, key)
		p.RecordOutcome(o, types.OrderDone, w.Now)
	}
	w.Unreachable["i-2"] = true
	w.Now = w.Now.Add(time.Second)
	orders := p.Step(w)
	qt.Assert(t, orders, qt.HasLen, 1)
	qt.Assert(t, orders[0].Kind, qt.Equals, types.GroupLeave)
	qt.Assert(t, orders[0].Instance, qt.Equals, models.InstanceID("i-1"))
}

// TestEndedPlannerJoinsMemberOfOpenGroup guards against a late order of an ended planner that takes a
// member from a group which it had closed for that, and which the next planner has opened again. The
// instances don't check fences.
func TestEndedPlannerJoinsMemberOfOpenGroup(t *testing.T) {
	c := qt.New(t)
	profile := testProfile()
	profile.Models = profile.Models[1:]
	s := newSim(profile, 1)
	s.ignoreFences = true
	s.demand["small"] = 1
	for _, id := range []models.InstanceID{"a-1", "a-2"} {
		s.add(id, "a", "z1")
	}
	s.newPlanner(1)
	s.run(time.Minute)
	c.Assert(s.serving("small"), qt.Equals, 1)
	s.traffic = true
	ended := s.planners[0]
	head := s.instances["a-1"]
	if head.Group.Rank != 0 {
		head = s.instances["a-2"]
	}
	s.planners = nil
	s.execute(head, types.GroupOrder{Kind: types.GroupStop, Instance: head.ID, Group: head.Group.Key, Fence: ended.nextFence()})
	s.run(time.Second)
	c.Assert(s.serving("small"), qt.Equals, 0)
	next := ended.newKey("small")
	for _, id := range []models.InstanceID{"a-1", "a-2"} {
		s.inFlight = append(s.inFlight, delivery{at: s.now.Add(8 * time.Second), planner: ended, unanswered: true, order: types.GroupOrder{
			Kind: types.GroupJoin, Instance: id, Group: next, Model: "small", Members: []models.InstanceID{"a-1", "a-2"}, Fence: ended.nextFence(),
		}})
	}
	s.newPlanner(2)
	s.run(1500 * time.Millisecond)
	c.Assert(s.serving("small"), qt.Equals, 1, qt.Commentf("its members form a group again at once"))
	s.run(20 * time.Second)
	c.Assert(s.violations, qt.HasLen, 0)
	c.Assert(s.serving("small"), qt.Equals, 1)
}

// TestOldEntryBringsHeadBack guards against a head that counts as back in the group that it has left, because
// its entry is older than its leaving: its members would stay unused.
func TestOldEntryBringsHeadBack(t *testing.T) {
	c := qt.New(t)
	key := models.GroupKey{Name: "small.1", Epoch: 1}
	w := Snapshot{Now: time.Now(), Profile: testProfile(), HasTraffic: true, Instances: map[models.InstanceID]models.UpstreamInstance{}}
	for rank, id := range []models.InstanceID{"i-1", "i-2"} {
		w.Instances[id] = models.UpstreamInstance{
			ID: id, Domain: "a", LoadedModel: "small", StagedModels: []models.ModelName{"small"}, Draining: rank == 1,
			Group: models.Membership{Key: key, Rank: rank, State: []models.MemberState{models.MemberOpen, models.MemberReady}[rank]},
		}
	}
	p := NewPlanner(1, w.Now)
	for _, kind := range []types.GroupOrderKind{types.GroupDrain, types.GroupLeave} {
		orders := p.Step(w)
		c.Assert(orders, qt.HasLen, 1)
		c.Assert(orders[0].Kind, qt.Equals, kind)
		p.RecordOutcome(orders[0], types.OrderDone, w.Now)
	}
	step := func(i models.UpstreamInstance) (closed bool) {
		w.Instances["i-1"] = i
		w.Now = w.Now.Add(50 * time.Millisecond)
		p.Step(w)
		return p.ending[key].closed
	}
	old := w.Instances["i-1"]
	c.Assert(step(old), qt.IsTrue, qt.Commentf("the entry is as before its leaving"))
	outside := old
	outside.Group = models.Membership{}
	c.Assert(step(outside), qt.IsTrue)
	c.Assert(step(old), qt.IsFalse, qt.Commentf("late orders have brought it back"))
}
