package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// filling is the part at which weights of the smaller model are staged
	// ahead; those of larger ones always are, since their groups are harder
	// to replace.
	filling = 0.6
	// flexibleGroups is for how many groups of another model the weights are
	// staged on the hosts of instances that serve.
	flexibleGroups = 2
	// earlyFlexible is how many loads are begun at once before traffic when
	// all groups are under way.
	earlyFlexible = 20
	// keptLoads is how many of the weight store's places are left to repairs
	// by stagings ahead of need.
	keptLoads = 2
)

// staging is a model that an instance is loading onto its host.
type staging struct {
	model models.ModelName
	until time.Time
}

// advanceStaging counts the stagings that are under way and forgets those
// that ended.
func (r *round) advanceStaging() {
	for id, s := range r.staging {
		if !r.usable(id) || slices.Contains(r.Instances[id].Staged, s.model) || r.Now.After(s.until) {
			delete(r.staging, id)
			continue
		}
		r.loading++
		sent := r.sent[id]
		unheard := sent != nil && sent.order.Kind == types.GroupStage && sent.outcome == types.OrderUnknown
		if unheard && r.due(id, types.GroupStage, models.GroupKey{}) {
			r.order(types.GroupOrder{Kind: types.GroupStage, Instance: id, Model: s.model})
		}
	}
}

// stageAll has weights staged on free instances that have none of their
// domain's model, first where a load brings the most instances to use. It
// reports whether nothing was left to be staged.
func (r *round) stageAll(free map[models.Domain][]models.InstanceID) bool {
	type want struct {
		id    models.InstanceID
		model models.ModelProfile
		// gain is how many instances are brought to use for each load.
		gain float64
	}
	var wants []want
	for domain, ids := range free {
		model, known := r.wanted(domain)
		if !known {
			continue
		}
		warm := 0
		var cold []models.InstanceID
		for _, id := range ids {
			if _, under := r.staging[id]; under || IsWarm(r.Instances[id], model.Name) {
				warm++
			} else {
				cold = append(cold, id)
			}
		}
		for n, id := range cold {
			missing := model.Size - (warm+n)%model.Size
			wants = append(wants, want{id, model, float64(model.Size) / float64(missing)})
		}
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.id, b.id))
	})
	for _, w := range wants {
		if !r.mayLoad(1) {
			return false
		}
		r.stage(w.id, w.model)
	}
	return true
}

// stage has an instance load a model onto its host.
func (r *round) stage(id models.InstanceID, model models.ModelProfile) {
	if !r.due(id, types.GroupStage, models.GroupKey{}) {
		return
	}
	r.loading++
	r.loads = append(r.loads, r.Now)
	r.staging[id] = staging{model: model.Name, until: r.givenUp(model.Load)}
	r.order(types.GroupOrder{Kind: types.GroupStage, Instance: id, Model: model.Name})
}

// stageFlexible stages a larger or filling model's weights on the hosts of
// instances that serve another, so that they can be converted within seconds.
// It is done only while the weight store has nothing better to do.
func (r *round) stageFlexible() {
	byUse := slices.Clone(r.Profile.Models)
	slices.SortStableFunc(byUse, func(a, b models.ModelProfile) int {
		return cmp.Compare(r.use(b, r.settled[b.Name]/b.Size), r.use(a, r.settled[a.Name]/a.Size))
	})
	for _, to := range byUse {
		if to.Size == r.smallest() && r.use(to, r.settled[to.Name]/to.Size) < filling {
			continue
		}
		ids := r.flexible(to)
		// Only whole groups are converted, whatever their size.
		want := max(flexibleGroups*to.Size, r.largest()) - r.stagedAhead(to)
		for _, id := range ids {
			if want <= 0 || !r.mayStageAhead() {
				return
			}
			want--
			r.stage(id, to)
		}
	}
}

func (r *round) smallest() int {
	least := r.Profile.Models[0].Size
	for _, m := range r.Profile.Models {
		least = min(least, m.Size)
	}
	return least
}

func (r *round) largest() int {
	most := 0
	for _, m := range r.Profile.Models {
		most = max(most, m.Size)
	}
	return most
}

// mayStageAhead reports whether the weight store has a place for a load that
// nothing waits for.
func (r *round) mayStageAhead() bool {
	if !r.Traffic {
		return r.loading < r.Profile.LoadsAtOnce+earlyFlexible
	}
	return r.loading < r.Profile.LoadsAtOnce-keptLoads && r.mayLoad(1)
}

// stagedAhead counts the instances of other models whose hosts have this
// one's weights, or are getting them.
func (r *round) stagedAhead(to models.ModelProfile) int {
	n := 0
	for id, i := range r.Instances {
		s, under := r.staging[id]
		if r.usable(id) && r.domains[i.Domain] != to.Name && (slices.Contains(i.Staged, to.Name) || (under && s.model == to.Name)) {
			n++
		}
	}
	return n
}

// flexible lists the instances that could be given the model's weights, whole
// groups at a time, the domain that has the most of them already first.
func (r *round) flexible(to models.ModelProfile) []models.InstanceID {
	var groups []*Group
	have := map[models.Domain]int{}
	for _, g := range r.groups {
		domain := r.Instances[g.Head].Domain
		if !g.Serving() || g.Model == to.Name || r.domains[domain] == to.Name {
			continue
		}
		groups = append(groups, g)
		for _, id := range g.Members {
			if _, under := r.staging[id]; under || slices.Contains(r.Instances[id].Staged, to.Name) {
				have[domain]++
			}
		}
	}
	slices.SortFunc(groups, func(a, b *Group) int {
		da, db := r.Instances[a.Head].Domain, r.Instances[b.Head].Domain
		return cmp.Or(cmp.Compare(have[db], have[da]), cmp.Compare(da, db), cmp.Compare(a.Key.Epoch, b.Key.Epoch))
	})
	var out []models.InstanceID
	for _, g := range groups {
		for _, id := range slices.Sorted(maps.Values(g.Members)) {
			if _, under := r.staging[id]; !under && r.usable(id) && !slices.Contains(r.Instances[id].Staged, to.Name) {
				out = append(out, id)
			}
		}
	}
	return out
}
