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
	// opened tells that the head was ordered to open at least once.
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

func (r *round) take(f *formation) {
	r.settled[f.model] += len(f.members)
	for _, id := range f.members {
		r.taken[id] = true
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
		key: g.Key, model: g.Model, joined: map[models.InstanceID]bool{}, loading: map[models.InstanceID]bool{},
		deadline: r.Now.Add(formFactor*profile.Load + formSlack),
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

// ending is a group that is being taken apart.
type ending struct {
	key  models.GroupKey
	head models.InstanceID
	kind types.GroupOrderKind
	// closed tells that the head takes no requests any more and will not
	// open again, so that its members may be used elsewhere.
	closed bool
}

// end begins to take a group apart, or hastens it.
func (r *round) end(key models.GroupKey, head models.InstanceID, kind types.GroupOrderKind) {
	e := r.ending[key]
	if e == nil {
		r.ending[key] = &ending{key: key, head: head, kind: kind}
		return
	}
	if kind == types.GroupCut && e.kind == types.GroupFinish {
		e.kind = kind
	}
}

func (r *round) advanceEnding() {
	for key, e := range r.ending {
		if _, told := r.groups[key]; !told {
			delete(r.ending, key)
			continue
		}
		if e.closed {
			continue
		}
		if !r.usableHead(e.head, key) {
			r.leaveAll(r.groups[key])
			continue
		}
		if r.due(e.head, e.kind, key) {
			r.order(types.GroupOrder{Kind: e.kind, Instance: e.head, Group: key})
		}
	}
}

// usableHead reports whether the head can be told to close.
func (r *round) usableHead(head models.InstanceID, key models.GroupKey) bool {
	i, there := r.Instances[head]
	return there && !r.Lost[head] && i.Group.Key == key
}

// leaveAll tells the members of a group without a head to leave it. If the
// head lives on unseen, it is broken by that before its members are used.
func (r *round) leaveAll(g *Group) {
	for _, id := range g.Members {
		if r.usable(id) && id != g.Head && r.due(id, types.GroupLeave, g.Key) {
			r.order(types.GroupOrder{Kind: types.GroupLeave, Instance: id, Group: g.Key})
		}
	}
}

// examineGroups decides for each group that is not being made whether it
// stands.
func (r *round) examineGroups() {
	for key, g := range r.groups {
		if r.forming[key] != nil || r.ending[key] != nil {
			continue
		}
		profile, known := r.Profile.Model(g.Model)
		verdict := r.judge(g, profile, known)
		switch verdict {
		case verdictStands:
			r.settled[g.Model] += len(g.Members)
			for _, id := range g.Members {
				r.taken[id] = true
			}
		case verdictAdopt:
			r.adopt(g, profile)
		case verdictCut:
			r.end(key, g.Head, types.GroupCut)
		case verdictFinish:
			r.end(key, g.Head, types.GroupFinish)
		case verdictDissolve:
			r.end(key, g.Head, types.GroupLeave)
		case verdictLeave:
			r.leaveAll(g)
		case verdictFree:
			r.ending[key] = &ending{key: key, head: g.Head, closed: true}
		}
	}
}

type verdict int

const (
	// verdictStands: the group serves and all its members are there.
	verdictStands verdict = iota
	// verdictAdopt: it does not serve yet and may be brought to.
	verdictAdopt
	// verdictCut: it serves and nothing can come of it.
	verdictCut
	// verdictDissolve: it does not serve, nothing can come of it, and another
	// planner may have told it to open.
	verdictDissolve
	// verdictFinish: a member is leaving; what runs may end.
	verdictFinish
	// verdictLeave: it has no head.
	verdictLeave
	// verdictFree: its head is broken for good.
	verdictFree
)

func (r *round) judge(g *Group, profile models.ModelProfile, known bool) verdict {
	if g.Head == "" || r.Lost[g.Head] {
		return verdictLeave
	}
	if g.State == models.MemberBroken {
		return verdictFree
	}
	whole := known && g.complete(profile.Size)
	leaving := false
	for _, id := range g.Members {
		whole = whole && !r.Lost[id]
		leaving = leaving || r.Instances[id].Draining
	}
	serves := g.State == models.MemberOpen || g.State == models.MemberClosing
	switch {
	case (!whole || leaving) && !serves:
		return verdictDissolve
	case !whole:
		return verdictCut
	case leaving:
		return verdictFinish
	case g.State == models.MemberOpen:
		return verdictStands
	case g.State == models.MemberClosing:
		return verdictCut
	default:
		return verdictAdopt
	}
}
