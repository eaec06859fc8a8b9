package fleet

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Members are the members of groups that have been seen complete. A group with other members never has
// the same key, so that another instance with the key is none of them: another writer has left its
// entry. The zero value is ready to use. Members is not safe for concurrent use.
type Members struct {
	groups map[models.GroupKey]sealedGroup
}

type sealedGroup struct {
	members map[models.InstanceID]bool
	seenAt  time.Time
}

// sealedRetention is how long the members of a group are kept after it was last seen.
const sealedRetention = time.Minute

// Includes reports whether an instance may be a member of a group.
func (s *Members) Includes(key models.GroupKey, id models.InstanceID) bool {
	g, sealed := s.groups[key]
	return !sealed || g.members[id]
}

// Observe seals a group if it is complete, and records that it was seen.
func (s *Members) Observe(g *Group, size int, now time.Time) {
	sealed, known := s.groups[g.Key]
	if !known && !g.complete(size) {
		return
	}
	if !known {
		sealed.members = make(map[models.InstanceID]bool, len(g.Members))
		for _, id := range g.Members {
			sealed.members[id] = true
		}
	}
	sealed.seenAt = now
	if s.groups == nil {
		s.groups = map[models.GroupKey]sealedGroup{}
	}
	s.groups[g.Key] = sealed
}

// Prune forgets the groups that do not exist any more and were not observed for some time.
func (s *Members) Prune(exists func(models.GroupKey) bool, now time.Time) {
	for key, g := range s.groups {
		if now.Sub(g.seenAt) > sealedRetention && !exists(key) {
			delete(s.groups, key)
		}
	}
}

// groupsOf collects the groups of instances, without those that are no members.
func (p *Planner) groupsOf(s Snapshot) map[models.GroupKey]*Group {
	groups := GroupsOf(func(yield func(models.InstanceID, models.Membership) bool) {
		for id, i := range s.Instances {
			if p.members.Includes(i.Group.Key, id) && !yield(id, i.Group) {
				return
			}
		}
	})
	for _, g := range groups {
		if profile, known := s.Profile.Model(g.Model); known {
			p.members.Observe(g, profile.GroupSize, s.Now)
		}
	}
	p.members.Prune(func(key models.GroupKey) bool { return groups[key] != nil }, s.Now)
	return groups
}
