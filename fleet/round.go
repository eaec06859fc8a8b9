package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// round is the state of one call of Step.
type round struct {
	*Planner
	Snapshot
	groups map[models.GroupKey]*Group
	orders []types.GroupOrder
	// reserved holds the instances that are in a group or assigned to one, and can't be used
	// otherwise.
	reserved map[models.InstanceID]bool
	// assigned counts the instances of each model in groups that serve or are being formed.
	assigned supply
	// assignedByDomain is assigned for each fabric domain.
	assignedByDomain map[models.Domain]supply
	// loading counts the instances that are loading weights.
	loading int
}

// assign reserves the instances of a group that serves or is being formed, and counts them for its
// model.
func (r *round) assign(model models.ModelName, ids []models.InstanceID) {
	for _, id := range ids {
		r.reserved[id] = true
		if r.Evacuated[r.Instances[id].Zone] {
			continue
		}
		r.assigned[model]++
		domain := r.Instances[id].Domain
		if r.assignedByDomain[domain] == nil {
			r.assignedByDomain[domain] = supply{}
		}
		r.assignedByDomain[domain][model]++
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

// pruneState drops orders to instances that are gone, expired backoffs, and open orders and load
// starts that are out of their windows.
func (r *round) pruneState() {
	for id := range r.sent {
		if _, present := r.Instances[id]; !present {
			delete(r.sent, id)
		}
	}
	for id, until := range r.backoffUntil {
		if r.Now.After(until) {
			delete(r.backoffUntil, id)
		}
	}
	maps.DeleteFunc(r.unansweredOpens, func(_ models.GroupKey, at time.Time) bool { return r.Now.Sub(at) >= lateOrderWindow })
	recent := r.loadStarts[:0]
	for _, at := range r.loadStarts {
		if r.Now.Sub(at) < loadWindow {
			recent = append(recent, at)
		}
	}
	r.loadStarts = recent
}

// deadlineAfter returns the deadline for an operation that starts now and is expected to take this
// long.
func (r *round) deadlineAfter(expected time.Duration) time.Time {
	return r.Now.Add(deadlineFactor*expected + deadlineSlack)
}

// orderDue reports whether an order of this kind may be sent to the instance now. It is not due
// while the same order is in progress.
func (r *round) orderDue(id models.InstanceID, kind types.GroupOrderKind, key models.GroupKey) bool {
	s := r.sent[id]
	if s == nil {
		return true
	}
	if s.outcome == pending && r.Now.Sub(s.at) < orderRetryInterval {
		// Two orders in flight could arrive out of order.
		return false
	}
	if s.order.Kind != kind || s.order.Group != key {
		return true
	}
	if s.outcome == types.OrderStarted && kind == types.GroupStop {
		return r.Now.Sub(s.at) >= stopRetryInterval
	}
	if s.outcome == types.OrderStarted && kind == types.GroupDrain {
		return r.Now.Sub(s.at) >= drainRetryInterval
	}
	return r.Now.Sub(s.at) >= orderRetryInterval
}

// issue queues an order under a new fence.
func (r *round) issue(o types.GroupOrder) {
	o.Fence, o.StartedAt = r.nextFence(), r.Instances[o.Instance].StartedAt
	r.sent[o.Instance] = &sentOrder{order: o, at: r.Now, outcome: pending}
	r.orders = append(r.orders, o)
}

// sortedKeys lists the keys of groups, oldest first.
func sortedKeys[V any](groups map[models.GroupKey]V) []models.GroupKey {
	return slices.SortedFunc(maps.Keys(groups), func(a, b models.GroupKey) int {
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Name, b.Name))
	})
}
