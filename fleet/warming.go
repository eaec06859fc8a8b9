package fleet

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// warming is a spare that joins a group of its own, which is never opened, and
// leaves it again. An instance joins a group of the model that it ran last in
// Rejoin, where the weights on its host alone would take it Warm: a broken
// group is whole again by so much sooner.
type warming struct {
	key   models.GroupKey
	model models.ModelName
	until time.Time
}

// advanceWarming has spares that are ready, or won't be, leave their own
// groups.
func (r *round) advanceWarming() {
	for id, w := range r.warming {
		i := r.Instances[id]
		inside := i.Group.Key == w.key && i.Group.State != models.MemberNone
		ready := inside && i.Group.State == models.MemberReady
		_, refused := r.held[id]
		if !ready && !refused && r.usable(id) && !r.Now.After(w.until) {
			r.taken[id] = true
			r.joinOwn(id, w)
			continue
		}
		delete(r.warming, id)
		if inside {
			r.end(w.key, id, types.GroupLeave)
		}
	}
}

// joinOwn orders a spare to join its own group unless it has taken the order.
func (r *round) joinOwn(id models.InstanceID, w warming) {
	s := r.sent[id]
	taken := s != nil && s.order.Group == w.key && (s.outcome == types.OrderBegun || s.outcome == types.OrderDone)
	if !taken && r.due(id, types.GroupJoin, w.key) {
		r.order(types.GroupOrder{Kind: types.GroupJoin, Instance: id, Group: w.key, Model: w.model, Members: []models.InstanceID{id}})
	}
}

// warms reports whether the group is a spare's own.
func (r *round) warms(g *Group) bool {
	w, under := r.warming[g.Head]
	return under && w.key == g.Key
}

// warmAll begins to warm the spares that have run no model since their start,
// where too few have the weights of the one on their hosts to form a group.
func (r *round) warmAll(free map[models.Domain][]models.InstanceID) {
	for _, ids := range free {
		for _, m := range r.Profile.Models {
			var cold []models.InstanceID
			warm := 0
			for _, id := range ids {
				i := r.Instances[id]
				if _, under := r.staging[id]; under || !IsWarm(i, m.Name) {
					continue
				}
				warm++
				if i.Loaded == "" {
					cold = append(cold, id)
				}
			}
			if warm >= m.Size {
				continue
			}
			for _, id := range cold {
				w := warming{key: r.newKey(m.Name), model: m.Name, until: r.givenUp(m.Warm)}
				r.warming[id] = w
				r.joinOwn(id, w)
			}
		}
	}
}
