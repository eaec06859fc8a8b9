package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// earlyLoads is by how many more than the weight store gives at once stagings ahead
	// of need may be under way before traffic, when loads are cheap. An estimate.
	earlyLoads = 20
	// aheadPart is the part of the weight store's places that stagings ahead of need
	// take, of those that are not needed otherwise as a rule. An estimate.
	aheadPart = 0.5
)

// staging is a model that an instance is loading onto its host.
type staging struct {
	model models.ModelName
	until time.Time
	// ahead tells that nothing waits for it.
	ahead bool
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

// prepareSpares has instances that are in no group get ready to join one.
func (r *round) prepareSpares() {
	free := r.free()
	r.warmAll(free)
	if r.stageAll(free) {
		r.stageAhead()
	}
}

// want is a load that a free instance could begin.
type want struct {
	id    models.InstanceID
	model models.ModelProfile
	// gain is what the load brings for the time that it takes.
	gain float64
}

// stageAll has weights staged on free instances that have none, first where a
// load brings the most. It reports whether nothing was left to be staged.
func (r *round) stageAll(free map[models.Domain][]models.InstanceID) bool {
	var wants []want
	for domain, ids := range free {
		if r.Traffic || r.layout != nil {
			wants = append(wants, r.wants(domain, ids)...)
		}
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.id, b.id))
	})
	for _, w := range wants {
		// One that could join a group already waits for the others.
		ahead := r.hasAny(w.id)
		switch {
		case ahead && !r.mayStageAhead():
		case !r.mayLoad(1):
			return false
		default:
			r.stage(w.id, w.model, ahead)
		}
	}
	return true
}

// hasAny reports whether the instance has any model's weights.
func (r *round) hasAny(id models.InstanceID) bool {
	i := r.Instances[id]
	return i.Loaded != "" || len(i.Staged) > 0
}

// wants picks a model for each of a domain's free instances that have no weights, and
// then another one for those that have only those that they ran last.
func (r *round) wants(domain models.Domain, ids []models.InstanceID) []want {
	ready := supply{}
	var may []models.InstanceID
	for _, id := range ids {
		s, under := r.staging[id]
		if !under && len(r.otherStaged(id)) == 0 {
			may = append(may, id)
		}
		for _, m := range r.Profile.Models {
			if IsWarm(r.Instances[id], m.Name) || (under && s.model == m.Name) {
				ready[m.Name]++
			}
		}
	}
	slices.SortStableFunc(may, func(a, b models.InstanceID) int { return cmp.Compare(r.Instances[a].Loaded, r.Instances[b].Loaded) })
	var out []want
	for at, id := range may {
		var best want
		for _, m := range r.Profile.Models {
			if IsWarm(r.Instances[id], m.Name) {
				continue
			}
			gain := r.loadGain(m, domain, ready[m.Name], len(may)-at) * r.benefit(m, r.settled) / m.Load.Seconds()
			if best.id == "" || gain > best.gain {
				best = want{id, m, gain}
			}
		}
		if best.gain > 0 {
			ready[best.model.Name]++
			out = append(out, best)
		}
	}
	return out
}

// otherStaged lists the models on an instance's host besides the one that it ran last.
func (r *round) otherStaged(id models.InstanceID) []models.ModelName {
	i := r.Instances[id]
	return slices.DeleteFunc(slices.Clone(i.Staged), func(name models.ModelName) bool { return name == i.Loaded })
}

// loadGain is how many instances come to use by the model's weights on one of so
// many instances of a domain, where some have them already: in the next group, if
// there are enough for that, or as the first spare of a group.
func (r *round) loadGain(m models.ModelProfile, domain models.Domain, ready, may int) float64 {
	size := float64(m.Size)
	missing := m.Size - ready%m.Size
	gain := 0.0
	if missing <= may {
		gain = size / float64(missing)
	}
	if ready < r.settledIn[domain][m.Name]/m.Size {
		gain = max(gain, size*size*r.spareRisk())
	}
	return gain
}

// stage has an instance load a model onto its host.
func (r *round) stage(id models.InstanceID, model models.ModelProfile, ahead bool) {
	if !r.due(id, types.GroupStage, models.GroupKey{}) {
		return
	}
	r.loading++
	r.loads = append(r.loads, r.Now)
	if !ahead {
		r.needed = append(r.needed, r.Now)
	}
	r.staging[id] = staging{model: model.Name, until: r.givenUp(model.Load), ahead: ahead}
	r.order(types.GroupOrder{Kind: types.GroupStage, Instance: id, Model: model.Name})
}

// stageAhead stages the weights of another model on every host besides the one that
// its instance runs, so that each instance can join a group of either within two
// seconds: a model that gets crowded, or loses a domain, can be given groups of others
// at once. The model whose callers gain most comes first, on the hosts of those who
// lose least by it, whole groups one after another. It is done only while the weight
// store has nothing better to do.
func (r *round) stageAhead() {
	if !r.mayStageAhead() {
		return
	}
	models := r.byBenefit(r.settled)
	for at := range models {
		from := models[len(models)-1-at]
		to := models[0]
		if from.Name == to.Name && len(models) > 1 {
			to = models[1]
		}
		for _, id := range r.running(from) {
			if !r.takesAhead(id, from, to) {
				continue
			}
			if !r.mayStageAhead() {
				return
			}
			r.stage(id, to, true)
		}
	}
}

// mayStageAhead reports whether the weight store has a place for a load that
// nothing waits for.
func (r *round) mayStageAhead() bool {
	if !r.Traffic {
		return r.loading < r.Profile.LoadsAtOnce+earlyLoads
	}
	ahead := 0
	for _, s := range r.staging {
		if s.ahead {
			ahead++
		}
	}
	return ahead < r.aheadPlaces() && r.mayLoad(1)
}

// aheadPlaces is how many of the weight store's places stagings ahead of need may take:
// what instances without weights leave, which come one after another, and each of which
// is of no use until it has been loaded.
func (r *round) aheadPlaces() int {
	r.needed = slices.DeleteFunc(r.needed, func(at time.Time) bool { return r.Now.Sub(at) > lossWindow })
	longest := 0.0
	for _, m := range r.Profile.Models {
		longest = max(longest, m.Load.Seconds())
	}
	busy := float64(len(r.needed)) / lossWindow.Seconds() * longest
	return int(aheadPart * (float64(r.Profile.LoadsAtOnce) - busy))
}

// running lists the instances in groups of the model that serve, and those in none
// that ran it last.
func (r *round) running(from models.ModelProfile) []models.InstanceID {
	var groups []*Group
	for _, g := range r.groups {
		if g.Model == from.Name && g.Serving() {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(r.Instances[a.Head].Domain, r.Instances[b.Head].Domain), cmp.Compare(a.Key.Epoch, b.Key.Epoch))
	})
	var out []models.InstanceID
	for _, g := range groups {
		out = append(out, r.usableOf(g)...)
	}
	for _, ids := range r.free() {
		for _, id := range ids {
			if r.Instances[id].Loaded == from.Name {
				out = append(out, id)
			}
		}
	}
	return out
}

// takesAhead reports whether an instance's host may get the weights of another
// model than it runs: it has none but those.
func (r *round) takesAhead(id models.InstanceID, runs, to models.ModelProfile) bool {
	if _, under := r.staging[id]; under || to.Name == runs.Name {
		return false
	}
	return !slices.ContainsFunc(r.Instances[id].Staged, func(name models.ModelName) bool { return name != runs.Name })
}
