package fleet

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// formation is a group that is being made.
type formation struct {
	key     models.GroupKey
	model   models.ModelName
	members []models.InstanceID
	// joined are members that took the order to join.
	joined map[models.InstanceID]bool
	// opened tells that the head may have been ordered to open, by this planner
	// or the one before.
	opened   bool
	deadline time.Time
	// loading are members whose weights come from the weight store.
	loading map[models.InstanceID]bool
}

// advanceForming takes each formation a step further, or gives it up.
func (r *round) advanceForming() {
	for key, f := range r.forming {
		if !r.intact(f) || r.Now.After(f.deadline) {
			delete(r.forming, key)
			if f.opened {
				// A head that is about to open does not forget it when it is
				// told to close.
				r.end(key, f.members[0], types.GroupLeave)
			} else {
				r.ending[key] = &ending{key: key, head: f.members[0], closed: true}
			}
			continue
		}
		if r.Instances[f.members[0]].Group.Key == key && r.Instances[f.members[0]].Group.State == models.MemberOpen {
			delete(r.forming, key)
			continue
		}
		r.take(f)
		r.advance(f)
	}
}

// intact reports whether every member can still become one.
func (r *round) intact(f *formation) bool {
	for _, id := range f.members {
		_, held := r.held[id]
		if !r.usable(id) || held {
			return false
		}
		if i := r.Instances[id]; i.Group.Key.Epoch > f.key.Epoch {
			return false
		}
	}
	return true
}

// take counts a formation's members as settled.
func (r *round) take(f *formation) {
	r.settle(f.model, f.members)
	for _, id := range f.members {
		if f.loading[id] && !r.ready(f, id) {
			r.loading++
		}
	}
}

// ready reports whether the instance has told that it is ready in this
// formation.
func (r *round) ready(f *formation, id models.InstanceID) bool {
	m := r.Instances[id].Group
	return m.Key == f.key && m.State != models.MemberJoining && m.State != models.MemberNone
}

// advance gives the orders to join that are due, and the one to open once all
// members are ready.
func (r *round) advance(f *formation) {
	whole := true
	for _, id := range f.members {
		m := r.Instances[id].Group
		if !r.ready(f, id) || !f.joined[id] {
			whole = false
		}
		if (f.joined[id] && m.Key == f.key) || !r.due(id, types.GroupJoin, f.key) {
			continue
		}
		r.order(types.GroupOrder{Kind: types.GroupJoin, Instance: id, Group: f.key, Model: f.model, Members: f.members})
	}
	head := f.members[0]
	if whole && r.due(head, types.GroupOpen, f.key) {
		f.opened = true
		r.order(types.GroupOrder{Kind: types.GroupOpen, Instance: head, Group: f.key})
	}
}

// adopt makes a formation of a group that another planner began. Its members
// are told to join once more, which costs nothing and makes them deaf to the
// other planner before the group is opened.
func (r *round) adopt(g *Group, profile models.ModelProfile) {
	f := &formation{
		key: g.Key, model: g.Model, opened: true, joined: map[models.InstanceID]bool{}, loading: map[models.InstanceID]bool{},
		deadline: r.givenUp(profile.Load),
	}
	for rank := range profile.Size {
		id := g.Members[rank]
		f.members = append(f.members, id)
		f.loading[id] = r.Instances[id].Group.State == models.MemberJoining
	}
	r.forming[g.Key] = f
	r.take(f)
	r.advance(f)
}
