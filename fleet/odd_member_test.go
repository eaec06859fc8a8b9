package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestOddMemberEndsGroup guards against groups that are ended because another writer's entry claims to be
// a member of theirs.
func TestOddMemberEndsGroup(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	key := models.GroupKey{Name: "m.1", Epoch: 1<<20 | 1}
	instances := map[models.InstanceID]models.UpstreamInstance{}
	for rank := range 2 {
		state := models.MemberReady
		if rank == 0 {
			state = models.MemberOpen
		}
		id := models.InstanceID(fmt.Sprintf("i-%d", rank))
		instances[id] = models.UpstreamInstance{ID: id, Service: "s", LoadedModel: "m", Group: models.Membership{Key: key, Rank: rank, State: state}}
	}
	snapshot := Snapshot{
		Now: now, Profile: &models.EngineProfile{Slots: 1, MaxConcurrentLoads: 1, LoadsPerSecond: 1, Models: []models.ModelProfile{
			{Name: "m", GroupSize: 2, Share: 1, TimeFactor: 1, LoadTime: time.Second, WarmLoadTime: time.Second},
		}},
		Instances: instances, HasTraffic: true, Serving: map[models.ModelName]int{"m": 1},
	}
	p := NewPlanner(1, now)
	c.Assert(p.Step(snapshot), qt.HasLen, 0)
	for _, rank := range []int{0, 1, 2, 7, 65536} {
		for _, state := range []models.MemberState{models.MemberJoining, models.MemberReady, models.MemberOpen, models.MemberBroken} {
			for _, lost := range []bool{false, true} {
				snapshot.Now = snapshot.Now.Add(time.Second)
				instances["odd"] = models.UpstreamInstance{ID: "odd", Service: "s", Group: models.Membership{Key: key, Rank: rank, State: state}}
				snapshot.Unreachable = map[models.InstanceID]bool{"odd": lost}
				orders := p.Step(snapshot)
				c.Check(orders, qt.HasLen, 0, qt.Commentf("rank %d, %s: %+v", rank, state, orders))
				c.Check(p.Counts().Ending, qt.Equals, 0)
			}
		}
	}
	delete(instances, "i-1")
	c.Check(p.Step(snapshot), qt.Not(qt.HasLen), 0, qt.Commentf("a true member is gone"))
}
