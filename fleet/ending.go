package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// ending is a group that is being dissolved.
type ending struct {
	key  models.GroupKey
	head models.InstanceID
	kind types.GroupOrderKind
	// closed is set once the head takes no requests and can't open again, so that the members may
	// join other groups.
	closed bool
	// left is set once the head has been seen outside the group.
	left bool
}

// lateOrderWindow is how long an unanswered order may still be executed.
const lateOrderWindow = 13 * time.Second

// mayReopen reports whether an order to open the group may still arrive at the head: an unanswered
// order of this planner, or any order of an earlier term.
func (p *Planner) mayReopen(key models.GroupKey, now time.Time) bool {
	return TermOf(key.Epoch) != p.term || now.Sub(p.unansweredOpens[key]) < lateOrderWindow
}

// confirm records that the head has executed an order. A head that has closed is also ordered to
// leave the group if it may be opened again. Without that, on instances that don't check fences,
// members joined other groups while such a head was open.
func (e *ending) confirm(kind types.GroupOrderKind, mayReopen bool) {
	switch {
	case kind == types.GroupLeave:
		e.closed = true
	case kind == e.kind && mayReopen:
		e.kind = types.GroupLeave
	case kind == e.kind:
		e.closed = true
	}
}

// endGroup starts to dissolve a group. If the group is already draining, an immediate
// stop replaces the drain.
func (r *round) endGroup(key models.GroupKey, head models.InstanceID, kind types.GroupOrderKind) {
	e := r.ending[key]
	if e == nil {
		r.ending[key] = &ending{key: key, head: head, kind: kind}
		return
	}
	if kind == types.GroupStop && e.kind == types.GroupDrain {
		e.kind = kind
	}
}

// advanceEndings orders the heads of groups that are being dissolved to close, until all members
// have left.
func (r *round) advanceEndings() {
	for _, key := range sortedKeys(r.ending) {
		e := r.ending[key]
		if _, present := r.groups[key]; !present {
			delete(r.ending, key)
			continue
		}
		r.noteReturn(e)
		if e.closed {
			continue
		}
		if !r.usableHead(e.head, key) {
			r.orderMembersToLeave(r.groups[key])
			continue
		}
		if r.orderDue(e.head, e.kind, key) {
			r.issue(types.GroupOrder{Kind: e.kind, Instance: e.head, Group: key})
		}
	}
}

// noteReturn notes that orders of another planner have brought the head of a closed group back into it. An
// entry that is older than its leaving doesn't count.
func (r *round) noteReturn(e *ending) {
	i, present := r.Instances[e.head]
	switch inside := present && i.Group.Key == e.key; {
	case e.kind != types.GroupLeave || !e.closed:
	case !inside:
		e.left = true
	case e.left:
		e.closed, e.left = false, false
	}
}

// usableHead reports whether the head can be ordered to close.
func (r *round) usableHead(head models.InstanceID, key models.GroupKey) bool {
	i, present := r.Instances[head]
	return present && !r.Unreachable[head] && i.Group.Key == key
}

// orderMembersToLeave orders the members of a group without a reachable head to leave it. If the
// head is alive but unreachable, their leaving breaks the group before they are used elsewhere.
func (r *round) orderMembersToLeave(g *Group) {
	for _, id := range slices.Sorted(maps.Values(g.Members)) {
		if r.usable(id) && id != g.Head && r.orderDue(id, types.GroupLeave, g.Key) {
			r.issue(types.GroupOrder{Kind: types.GroupLeave, Instance: id, Group: g.Key})
		}
	}
}
