package fleet

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// ending is a group that is being taken apart.
type ending struct {
	key  models.GroupKey
	head models.InstanceID
	kind types.GroupOrderKind
	// closed tells that the head takes no requests any more and will not
	// open again, so that its members may be used elsewhere.
	closed bool
}

// lateOrders is for how long an order without an answer may still be carried out.
const lateOrders = 13 * time.Second

// mayReopen reports whether an order to open the group may still be under way: one
// of this planner's that got no answer, or one of its predecessor's.
func (p *Planner) mayReopen(key models.GroupKey, now time.Time) bool {
	return TermOf(key.Epoch) != p.term || now.Sub(p.unheardOpens[key]) < lateOrders
}

// took notes that the head has carried out an order. One that has closed is told
// to leave the group as well if it could be opened again: where instances don't
// check fences, members were taken for others while such a head was open.
func (e *ending) took(kind types.GroupOrderKind, mayReopen bool) {
	switch {
	case kind == types.GroupLeave:
		e.closed = true
	case kind == e.kind && mayReopen:
		e.kind = types.GroupLeave
	case kind == e.kind:
		e.closed = true
	}
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

// advanceEnding tells the heads of groups that are to end so, until the members
// have let go.
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
