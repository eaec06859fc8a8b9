package cluster

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestGroupIndex checks that for any changes of instances the index holds the same groups as one
// that is computed from all instances again.
func TestGroupIndex(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetState()
		shown := func(groups map[models.ServedModel][]Group) string {
			var out []string
			for model, all := range groups {
				for _, g := range all {
					out = append(out, fmt.Sprint(model, g.Key, g.Head.ID, slices.Sorted(slices.Values(g.Members))))
				}
			}
			return fmt.Sprint(slices.Sorted(slices.Values(out)))
		}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := models.InstanceID(fmt.Sprint("i", rapid.IntRange(0, 7).Draw(t, "instance")))
			k := f.instances[id]
			switch change := rapid.IntRange(0, 8).Draw(t, "change"); {
			case k == nil:
				k = &knownInstance{UpstreamInstance: models.UpstreamInstance{ID: id, Service: "engines"}}
				f.instances[id] = k
			case change == 0:
				delete(f.instances, id)
			case change == 1:
				k.lostSince = now
			case change == 2:
				k.lostSince = time.Time{}
			case change == 3:
				k.Draining = !k.Draining
			case change == 4:
				k.unlisted = !k.unlisted
			case change == 5:
				f.restarted[k.Group.Key] = append(f.restarted[k.Group.Key], id)
			case change == 6:
				f.pruneRestarted()
			case change == 7:
				f.services = map[models.ServiceName]models.UpstreamService{rapid.SampledFrom([]models.ServiceName{"engines", "others"}).Draw(t, "service"): {}}
			default:
				n := rapid.IntRange(1, 3).Draw(t, "group")
				state := rapid.SampledFrom([]models.MemberState{models.MemberNone, models.MemberReady, models.MemberOpen, models.MemberClosing}).Draw(t, "state")
				k.Group = models.Membership{Key: models.GroupKey{Name: models.GroupID(fmt.Sprint("m.", n)), Epoch: int64(n)}, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), State: state}
			}
			if rapid.Bool().Draw(t, "view") {
				f.healthyGroups()
			}
		}
		anew := newFleetState()
		anew.instances, anew.services, anew.restarted = maps.Clone(f.instances), f.services, f.restarted
		if got, want := shown(f.healthyGroups()), shown(anew.healthyGroups()); got != want {
			t.Fatalf("%s rather than %s", got, want)
		}
	})
	c.Assert(t.Failed(), qt.IsFalse)
}

// TestOddMemberTakesRequests guards against an entry of another writer that claims to be a member of a
// serving group, and so gets its requests or keeps it from getting any.
func TestOddMemberTakesRequests(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	key := models.GroupKey{Name: "m.1", Epoch: 1}
	member := func(id models.InstanceID, rank int, state models.MemberState) models.UpstreamInstance {
		return models.UpstreamInstance{ID: id, Service: "engines", Group: models.Membership{Key: key, Rank: rank, State: state}}
	}
	for _, rank := range []int{0, 1, 2, 7} {
		for _, state := range []models.MemberState{models.MemberReady, models.MemberOpen, models.MemberBroken} {
			for _, lost := range []bool{false, true} {
				o := newTestOwner(t)
				c.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
				o.fleet.services = map[models.ServiceName]models.UpstreamService{
					"engines": {Name: "engines", Engine: &models.EngineProfile{Models: []models.ModelProfile{{Name: "m", GroupSize: 2}}}},
				}
				o.applyEntry(member("i-1", 0, models.MemberOpen), now)
				o.applyEntry(member("i-2", 1, models.MemberReady), now)
				c.Assert(o.fleet.healthyGroups()[served("engines")], qt.HasLen, 1)
				o.applyEntry(member("odd", rank, state), now)
				if lost {
					o.fleet.instances["odd"].lostSince = now
				}
				groups := o.fleet.healthyGroups()[served("engines")]
				comment := qt.Commentf("rank %d, %s, lost: %t", rank, state, lost)
				c.Assert(groups, qt.HasLen, 1, comment)
				c.Check(groups[0].Head.ID, qt.Equals, models.InstanceID("i-1"), comment)
				c.Check(groups[0].Members, qt.HasLen, 2, comment)
				o.fleet.instances["i-2"].lostSince = now
				c.Check(o.fleet.healthyGroups()[served("engines")], qt.HasLen, 0, qt.Commentf("a true member is lost"))
			}
		}
	}
}

// served returns the model m of a service.
func served(service models.ServiceName) models.ServedModel {
	return models.ServedModel{Service: service, Model: "m"}
}
