package fleet

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// formation is a group that is being formed.
type formation struct {
	key     models.GroupKey
	model   models.ModelName
	members []models.InstanceID
	// joined holds the members that accepted the order to join.
	joined map[models.InstanceID]bool
	// openOrdered is set if the head may have been ordered to open, by this planner or the previous
	// one.
	openOrdered bool
	deadline    time.Time
	// loading holds the members whose weights come from the weight store.
	loading map[models.InstanceID]bool
}

// advanceFormations advances each formation, or abandons it.
func (r *round) advanceFormations() {
	for _, key := range sortedKeys(r.forming) {
		f := r.forming[key]
		if !r.viable(f) || r.Now.After(f.deadline) || r.isReadyTooSoon(f) {
			delete(r.forming, key)
			if f.openOrdered {
				// A head that is about to open ignores an order to close, so it is ordered to
				// leave.
				r.endGroup(key, f.members[0], types.GroupLeave)
			} else {
				r.ending[key] = &ending{key: key, head: f.members[0], closed: true}
			}
			continue
		}
		if r.Instances[f.members[0]].Group.Key == key && r.Instances[f.members[0]].Group.State == models.MemberOpen {
			delete(r.forming, key)
			continue
		}
		r.assignMembers(f)
		r.advanceFormation(f)
	}
}

// viable reports whether every member can still join.
func (r *round) viable(f *formation) bool {
	for _, id := range f.members {
		_, backingOff := r.backoffUntil[id]
		if !r.usable(id) || backingOff {
			return false
		}
		if i := r.Instances[id]; i.Group.Key.Epoch > f.key.Epoch {
			return false
		}
	}
	return true
}

// lateJoinsPossible reports whether orders of the planner that formed a group may still be executed. If
// it closed the group, its members may yet get an order to join another one, of a newer epoch; unless
// they check fences, they execute it, also while the group is open again.
func (r *round) lateJoinsPossible(key models.GroupKey) bool {
	return TermOf(key.Epoch) != r.term && r.Now.Sub(r.began) < lateOrderWindow
}

// headMayReturn reports whether late orders may bring the head of the group that an instance was in back
// into it and open it. They can't once the head has joined a group of a newer epoch.
func (r *round) headMayReturn(f *formation, id models.InstanceID) bool {
	m := r.Instances[id].Group
	if m.State == models.MemberNone || m.Key == f.key || !r.lateJoinsPossible(m.Key) {
		return false
	}
	head := r.ending[m.Key].head
	i, present := r.Instances[head]
	return id != head && present && !r.Unreachable[head] && !f.joined[head] && i.Group.Key.Epoch <= m.Key.Epoch
}

// isFormerHead reports whether other instances can't join a group before this one does, by headMayReturn.
func (r *round) isFormerHead(id models.InstanceID) bool {
	for key, e := range r.ending {
		if e.head == id && r.lateJoinsPossible(key) {
			return true
		}
	}
	return false
}

// isReadyTooSoon reports whether a formation is only to be opened, while late orders may take members
// from the open group. Its members then form a group of this term, whose epoch makes them reject such
// orders: that takes a fraction of a second, since they have the weights.
func (r *round) isReadyTooSoon(f *formation) bool {
	if !r.lateJoinsPossible(f.key) {
		return false
	}
	for _, id := range f.members {
		if !r.memberReady(f, id) {
			return false
		}
	}
	return true
}

// assignMembers counts the members of a formation as assigned to its model.
func (r *round) assignMembers(f *formation) {
	r.assign(f.model, f.members)
	for _, id := range f.members {
		if f.loading[id] && !r.memberReady(f, id) {
			r.loading++
		}
	}
}

// memberReady reports whether the instance reports that it is ready in this formation.
func (r *round) memberReady(f *formation, id models.InstanceID) bool {
	m := r.Instances[id].Group
	return m.Key == f.key && m.State != models.MemberJoining && m.State != models.MemberNone
}

// advanceFormation issues the due orders to join, and the order to open once all members are ready.
func (r *round) advanceFormation(f *formation) {
	allReady := true
	for _, id := range f.members {
		m := r.Instances[id].Group
		if !r.memberReady(f, id) || !f.joined[id] {
			allReady = false
		}
		if (f.joined[id] && m.Key == f.key) || !r.orderDue(id, types.GroupJoin, f.key) {
			continue
		}
		if m.Key != f.key && !r.released(id) {
			// Another planner has used it, and the head of its group may be open.
			continue
		}
		if r.headMayReturn(f, id) {
			continue
		}
		r.issue(types.GroupOrder{Kind: types.GroupJoin, Instance: id, Group: f.key, Model: f.model, Members: f.members})
	}
	head := f.members[0]
	if allReady && r.orderDue(head, types.GroupOpen, f.key) {
		f.openOrdered = true
		r.issue(types.GroupOrder{Kind: types.GroupOpen, Instance: head, Group: f.key})
	}
}

// mayAdopt reports whether a group that does not serve may be opened by this planner: no member is to
// join another group, and late orders can't take one, at the latest when those that are joining now are
// ready.
func (r *round) mayAdopt(g *Group) bool {
	joining := false
	for _, id := range g.Members {
		if r.reserved[id] {
			return false
		}
		joining = joining || r.Instances[id].Group.State == models.MemberJoining
	}
	return joining || !r.lateJoinsPossible(g.Key)
}

// adopt turns a group that another planner began to form into a formation. Its members are ordered
// to join again. That takes no time, and the newer fence makes those that check fences reject orders of
// the other planner before the group is opened.
func (r *round) adopt(g *Group, profile models.ModelProfile) {
	f := &formation{
		key: g.Key, model: g.Model, openOrdered: true, joined: map[models.InstanceID]bool{}, loading: map[models.InstanceID]bool{},
		deadline: r.deadlineAfter(profile.LoadTime),
	}
	for rank := range profile.GroupSize {
		id := g.Members[rank]
		f.members = append(f.members, id)
		f.loading[id] = r.Instances[id].Group.State == models.MemberJoining
	}
	r.forming[g.Key] = f
	r.assignMembers(f)
	r.advanceFormation(f)
}
