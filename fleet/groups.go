package fleet

import (
	"iter"

	"github.com/lupinkeel/lupinkeel/models"
)

// Group is a replica group as reported by its members.
type Group struct {
	Key   models.GroupKey
	Model models.ModelName
	// Members holds the instances that report membership, by rank. Ranks without an instance are
	// missing from the map.
	Members map[int]models.InstanceID
	// Head is the member of rank 0, empty if there is none.
	Head  models.InstanceID
	State models.MemberState
}

// Groups collects the groups that the instances report.
func Groups(instances map[models.InstanceID]models.UpstreamInstance) map[models.GroupKey]*Group {
	return GroupsOf(func(yield func(models.InstanceID, models.Membership) bool) {
		for id, i := range instances {
			if !yield(id, i.Group) {
				return
			}
		}
	})
}

// GroupsOf collects the groups from the memberships that instances report.
func GroupsOf(memberships iter.Seq2[models.InstanceID, models.Membership]) map[models.GroupKey]*Group {
	out := map[models.GroupKey]*Group{}
	for id, m := range memberships {
		if m.State == models.MemberNone {
			continue
		}
		g := out[m.Key]
		if g == nil {
			g = &Group{Key: m.Key, Model: ModelOf(m.Key.Name), Members: map[int]models.InstanceID{}}
			out[g.Key] = g
		}
		g.Members[m.Rank] = id
		if m.Rank == 0 {
			g.Head, g.State = id, m.State
		}
	}
	return out
}

// Serving reports whether the group's head takes requests.
func (g *Group) Serving() bool { return g.State == models.MemberOpen }

// complete reports whether the group has exactly the members of ranks 0 to size-1.
func (g *Group) complete(size int) bool {
	for rank := range size {
		if _, present := g.Members[rank]; !present {
			return false
		}
	}
	return len(g.Members) == size
}
