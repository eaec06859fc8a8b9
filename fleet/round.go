package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// round is one call of Step.
type round struct {
	*Planner
	World
	groups map[models.GroupKey]*Group
	orders []types.GroupOrder
	// taken are instances that stay where they are or are going somewhere.
	taken map[models.InstanceID]bool
	// settled counts the instances of each model in groups that stand or
	// are being made.
	settled supply
	// settledIn counts the same in each fabric domain.
	settledIn map[models.Domain]supply
	// loading counts instances that are loading weights.
	loading int
}

// settle counts instances of a group that stands or is being made, and leaves
// them where they are.
func (r *round) settle(model models.ModelName, ids []models.InstanceID) {
	for _, id := range ids {
		r.taken[id] = true
		r.settled[model]++
		domain := r.Instances[id].Domain
		if r.settledIn[domain] == nil {
			r.settledIn[domain] = supply{}
		}
		r.settledIn[domain][model]++
	}
}

// allDomains lists the fabric domains.
func (r *round) allDomains() []models.Domain {
	domains := map[models.Domain]bool{}
	for _, i := range r.Instances {
		domains[i.Domain] = true
	}
	return slices.Sorted(maps.Keys(domains))
}

// forget drops what is kept of instances that are gone.
func (r *round) forget() {
	for id := range r.sent {
		if _, there := r.Instances[id]; !there {
			delete(r.sent, id)
		}
	}
	for id, until := range r.held {
		if r.Now.After(until) {
			delete(r.held, id)
		}
	}
	maps.DeleteFunc(r.unheardOpens, func(_ models.GroupKey, at time.Time) bool { return r.Now.Sub(at) >= lateOrders })
	kept := r.loads[:0]
	for _, at := range r.loads {
		if r.Now.Sub(at) < loadWindow {
			kept = append(kept, at)
		}
	}
	r.loads = kept
}

// givenUp is when something that begins now and should take so long is given
// up.
func (r *round) givenUp(takes time.Duration) time.Time {
	return r.Now.Add(formFactor*takes + formSlack)
}

// due reports whether an order of this kind may be given to the instance
// now: not while the same one is under way.
func (r *round) due(id models.InstanceID, kind types.GroupOrderKind, key models.GroupKey) bool {
	s := r.sent[id]
	if s == nil {
		return true
	}
	if s.outcome == pending && r.Now.Sub(s.at) < repeatAfter {
		// Orders that cross on the way could arrive in the wrong order.
		return false
	}
	if s.order.Kind != kind || s.order.Group != key {
		return true
	}
	if s.outcome == types.OrderBegun && kind == types.GroupCut {
		return r.Now.Sub(s.at) >= repeatClose
	}
	if s.outcome == types.OrderBegun && kind == types.GroupFinish {
		return r.Now.Sub(s.at) >= repeatFinish
	}
	return r.Now.Sub(s.at) >= repeatAfter
}

// order gives an order under a new fence.
func (r *round) order(o types.GroupOrder) {
	o.Fence, o.Born = r.next(), r.Instances[o.Instance].Born
	r.sent[o.Instance] = &sentOrder{order: o, at: r.Now, outcome: pending}
	r.orders = append(r.orders, o)
}
