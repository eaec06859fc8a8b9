package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// warming is a spare that joins a group of its own, which is never opened, and leaves it again. An
// instance joins a group of the model that it ran last within RejoinTime rather than within
// WarmLoadTime, the time with the weights only on its host, so a broken group is repaired faster.
type warming struct {
	key      models.GroupKey
	model    models.ModelName
	deadline time.Time
}

// advanceWarming orders spares that are ready, or that failed to get ready, to leave their own
// groups.
func (r *round) advanceWarming() {
	for _, id := range slices.Sorted(maps.Keys(r.warming)) {
		w := r.warming[id]
		i := r.Instances[id]
		member := i.Group.Key == w.key && i.Group.State != models.MemberNone
		ready := member && i.Group.State == models.MemberReady
		_, rejected := r.backoffUntil[id]
		if !ready && !rejected && r.usable(id) && !r.Now.After(w.deadline) {
			r.reserved[id] = true
			r.orderWarmingJoin(id, w)
			continue
		}
		delete(r.warming, id)
		if member {
			r.endGroup(w.key, id, types.GroupLeave)
		}
	}
}

// orderWarmingJoin orders a spare to join its own group unless it has accepted the order.
func (r *round) orderWarmingJoin(id models.InstanceID, w warming) {
	s := r.sent[id]
	accepted := s != nil && s.order.Group == w.key && (s.outcome == types.OrderStarted || s.outcome == types.OrderDone)
	if !accepted && r.orderDue(id, types.GroupJoin, w.key) {
		r.issue(types.GroupOrder{Kind: types.GroupJoin, Instance: id, Group: w.key, Model: w.model, Members: []models.InstanceID{id}})
	}
}

// isWarming reports whether the group is a spare's own.
func (r *round) isWarming(g *Group) bool {
	w, warming := r.warming[g.Head]
	return warming && w.key == g.Key
}

// warmSpares warms the spares that have not run a model since their start, if too few spares have
// the model's weights to form a group.
func (r *round) warmSpares(free map[models.Domain][]models.InstanceID) {
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		ids := free[domain]
		for _, m := range r.Profile.Models {
			var unwarmed []models.InstanceID
			warm := 0
			for _, id := range ids {
				i := r.Instances[id]
				if _, staging := r.staging[id]; staging || !IsWarm(i, m.Name) {
					continue
				}
				warm++
				if i.LoadedModel == "" {
					unwarmed = append(unwarmed, id)
				}
			}
			if warm >= m.GroupSize {
				continue
			}
			for _, id := range unwarmed {
				w := warming{key: r.newKey(m.Name), model: m.Name, deadline: r.deadlineAfter(m.WarmLoadTime)}
				r.warming[id] = w
				r.orderWarmingJoin(id, w)
			}
		}
	}
}
