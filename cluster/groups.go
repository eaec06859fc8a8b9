package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/models"
)

// groupIndex keeps the serving groups that have no lost or restarted member. Only the groups of
// instances that have changed are computed again: with 3,000 instances, computing all took 2.5 ms
// of a core, at each daemon and for each update of the planner.
type groupIndex struct {
	// members holds what is known of each instance, as of the last update.
	members map[models.InstanceID]memberState
	// byKey holds the members of each group.
	byKey map[models.GroupKey]map[models.InstanceID]bool
	// healthy holds the groups that serve.
	healthy map[models.GroupKey]Group
	// sealed are the members of the groups that have been complete.
	sealed fleet.Members
	// plain holds the instances of plain services.
	plain map[models.InstanceID]bool
}

// memberState is what a group's health depends on.
type memberState struct {
	membership models.Membership
	// startedAt is the instance's start time in Unix nanoseconds.
	startedAt    int64
	usable, lost bool
	// plain is set if the instance's service has no engines.
	plain bool
}

func newGroupIndex() groupIndex {
	return groupIndex{members: map[models.InstanceID]memberState{}, byKey: map[models.GroupKey]map[models.InstanceID]bool{}, healthy: map[models.GroupKey]Group{}, plain: map[models.InstanceID]bool{}}
}

// memberState returns the state of an instance for the index. An instance of a service that is not
// configured is a member of no group.
func (f *fleetState) memberState(i *knownInstance) memberState {
	s := memberState{membership: i.Group, startedAt: i.StartedAt.UnixNano(), usable: i.usable(), lost: !i.lostSince.IsZero()}
	service, configured := f.services[i.Service]
	if !configured && f.services != nil {
		s.membership = models.Membership{}
	}
	s.plain = service.Engine == nil
	return s
}

// healthyGroups returns the serving groups that have no lost or restarted member.
func (f *fleetState) healthyGroups() map[models.ServedModel][]Group {
	changed := f.updateIndex()
	for key := range f.restarted {
		changed[key] = true
	}
	for key := range changed {
		if g, healthy := f.buildGroup(key); healthy {
			f.groups.healthy[key] = g
		} else {
			delete(f.groups.healthy, key)
		}
	}
	if len(changed) > 0 {
		f.groups.sealed.Prune(func(key models.GroupKey) bool { return f.groups.byKey[key] != nil }, time.Now())
	}
	return f.groups.byModel()
}

// byModel returns the healthy groups by model.
func (x *groupIndex) byModel() map[models.ServedModel][]Group {
	counts := map[models.ServedModel]int{}
	for _, g := range x.healthy {
		counts[g.served()]++
	}
	groups := make(map[models.ServedModel][]Group, len(counts))
	for model, n := range counts {
		groups[model] = make([]Group, 0, n)
	}
	for _, g := range x.healthy {
		groups[g.served()] = append(groups[g.served()], g)
	}
	return groups
}

// updateIndex updates the members and returns the groups of those that have changed.
func (f *fleetState) updateIndex() map[models.GroupKey]bool {
	x, changed := &f.groups, map[models.GroupKey]bool{}
	for id, i := range f.instances {
		before, now := x.members[id], f.memberState(i)
		if before == now {
			continue
		}
		x.remove(id, before, changed)
		x.add(id, now, changed)
	}
	if len(x.members) > len(f.instances) {
		for id, before := range x.members {
			if _, known := f.instances[id]; !known {
				x.remove(id, before, changed)
			}
		}
	}
	return changed
}

// add adds a member and marks its group as changed.
func (x *groupIndex) add(id models.InstanceID, s memberState, changed map[models.GroupKey]bool) {
	x.members[id] = s
	if s.plain {
		x.plain[id] = true
	}
	if s.membership.State == models.MemberNone {
		return
	}
	key := s.membership.Key
	if x.byKey[key] == nil {
		x.byKey[key] = map[models.InstanceID]bool{}
	}
	x.byKey[key][id] = true
	changed[key] = true
}

// remove removes a member and marks its group as changed.
func (x *groupIndex) remove(id models.InstanceID, s memberState, changed map[models.GroupKey]bool) {
	delete(x.members, id)
	delete(x.plain, id)
	if s.membership.State == models.MemberNone {
		return
	}
	key := s.membership.Key
	delete(x.byKey[key], id)
	if len(x.byKey[key]) == 0 {
		delete(x.byKey, key)
	}
	changed[key] = true
}

// buildGroup returns a group, and whether it serves and has no lost or restarted member.
func (f *fleetState) buildGroup(key models.GroupKey) (Group, bool) {
	g := fleet.GroupsOf(func(yield func(models.InstanceID, models.Membership) bool) {
		// Sorted, so that of two members with the same rank it is always the same one that counts.
		for _, id := range slices.Sorted(maps.Keys(f.groups.byKey[key])) {
			if f.groups.sealed.Includes(key, id) && !yield(id, f.groups.members[id].membership) {
				return
			}
		}
	})[key]
	if g == nil || !g.Serving() || f.hasRestartedMember(key) {
		return Group{}, false
	}
	head, there := f.instances[g.Head]
	if !there || !head.usable() {
		return Group{}, false
	}
	f.sealGroup(g, head.Service)
	members := make([]models.InstanceID, 0, len(g.Members))
	for id := range maps.Values(g.Members) {
		members = append(members, id)
		if f.groups.members[id].lost {
			return Group{}, false
		}
	}
	return Group{Key: g.Key, Model: g.Model, Service: head.Service, Head: head.UpstreamInstance, Members: members}, true
}

// sealGroup records the members of a complete group.
func (f *fleetState) sealGroup(g *fleet.Group, service models.ServiceName) {
	engine := f.services[service].Engine
	if engine == nil {
		return
	}
	if profile, known := engine.Model(g.Model); known {
		f.groups.sealed.Observe(g, profile.GroupSize, time.Now())
	}
}
