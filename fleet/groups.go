package fleet

import (
	"iter"

	"github.com/lupinkeel/lupinkeel/models"
)

// Group is a replica group as its members tell of it.
type Group struct {
	Key   models.GroupKey
	Model models.ModelName
	// Members are those that tell that they are in it, by rank; a rank that
	// nobody holds is missing from the map.
	Members map[int]models.InstanceID
	// Head is empty if nobody holds rank 0.
	Head  models.InstanceID
	State models.MemberState
}

// Groups gathers the groups that instances tell of.
func Groups(instances map[models.InstanceID]models.UpstreamInstance) map[models.GroupKey]*Group {
	return GroupsOf(func(yield func(models.InstanceID, models.Membership) bool) {
		for id, i := range instances {
			if !yield(id, i.Group) {
				return
			}
		}
	})
}

// GroupsOf gathers the groups that instances tell of by their memberships.
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

// complete reports whether all members of a group of this size are there.
func (g *Group) complete(size int) bool {
	for rank := range size {
		if _, there := g.Members[rank]; !there {
			return false
		}
	}
	return len(g.Members) == size
}
