package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// earlyLoads is how many loads are begun at once before traffic when all
	// groups are under way.
	earlyLoads = 20
	// aheadGroups is for how many groups of a larger model weights are staged in
	// domains that have none.
	aheadGroups = 2
	// crowded is the part of its places from which on a model is short of
	// instances: at three quarters an engine's pauses begin to grow. lowUse is the
	// part up to which another may do without new ones.
	crowded = 0.8
	lowUse  = 0.62
	// filling is the part of its places from which on a smaller model's weights are
	// staged on hosts of larger groups, which are harder to replace.
	filling = 0.6
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
		if !r.mayLoad(1) {
			return false
		}
		r.stage(w.id, w.model)
	}
	return true
}

// wants picks a model for each of a domain's free instances that have no weights.
func (r *round) wants(domain models.Domain, ids []models.InstanceID) []want {
	ready := supply{}
	var cold []models.InstanceID
	for _, id := range ids {
		s, under := r.staging[id]
		i := r.Instances[id]
		if !under && i.Loaded == "" && len(i.Staged) == 0 {
			cold = append(cold, id)
		}
		for _, m := range r.Profile.Models {
			if IsWarm(i, m.Name) || (under && s.model == m.Name) {
				ready[m.Name]++
			}
		}
	}
	var out []want
	owner := r.owner(domain)
	for at, id := range cold {
		var best want
		for _, m := range r.Profile.Models {
			if owner != "" && m.Name != owner {
				continue
			}
			gain := r.loadGain(m, domain, ready[m.Name], len(cold)-at) * r.weight(m, r.settled) / m.Load.Seconds()
			if best.id == "" || gain > best.gain {
				best = want{id, m, gain}
			}
		}
		ready[best.model.Name]++
		out = append(out, best)
	}
	return out
}

// ownPart is the part of a domain's instances with weights from which on the
// domain counts as one model's.
const ownPart = 0.75

// owner is the model that the domain's instances run, if it is nearly all of them
// that do: what is left of its broken groups makes new ones only together. Empty
// instances get its weights too, unless it has places to spare and another model
// is crowded.
func (r *round) owner(domain models.Domain) models.ModelName {
	if groups := r.layout[domain]; !r.Traffic && len(groups) == 1 {
		for name := range groups {
			return name
		}
	}
	count, all := supply{}, 0
	for id, i := range r.Instances {
		if i.Domain != domain || !r.usable(id) {
			continue
		}
		runs := i.Loaded
		if runs == "" && len(i.Staged) > 0 {
			runs = i.Staged[0]
		}
		if runs != "" {
			count[runs]++
			all++
		}
	}
	for _, m := range r.Profile.Models {
		if all > 0 && float64(count[m.Name]) >= ownPart*float64(all) && !r.givesWay(m) {
			return m.Name
		}
	}
	return ""
}

// givesWay reports whether the model has places to spare while another one is
// crowded.
func (r *round) givesWay(m models.ModelProfile) bool {
	if !r.Traffic || r.use(m, r.settled[m.Name]) > lowUse {
		return false
	}
	return slices.ContainsFunc(r.Profile.Models, func(o models.ModelProfile) bool {
		return o.Name != m.Name && r.use(o, r.settled[o.Name]) >= crowded
	})
}

// spareRisk is how many members each group loses, for each of them, in the time
// that a spare waits. An estimate: 16 of 48 instances in half a minute.
const spareRisk = 0.15

// loadGain is how many instances come to use by the model's weights on one of so
// many empty instances of a domain, where some have them already: in the next
// group, if there are enough for that, or in place of a member that is lost.
func (r *round) loadGain(m models.ModelProfile, domain models.Domain, ready, empty int) float64 {
	size := float64(m.Size)
	missing := m.Size - ready%m.Size
	gain := 0.0
	if missing <= empty {
		gain = size / float64(missing)
	}
	losses := spareRisk * float64(r.settledIn[domain][m.Name])
	return max(gain, size*losses/float64(1+ready))
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

// stageAhead stages weights on the hosts of instances that run another model, so
// that they can be converted within seconds. It is done only while the weight store
// has nothing better to do.
func (r *round) stageAhead() {
	bySize := r.bySize()
	for _, to := range bySize {
		if to.Size > bySize[len(bySize)-1].Size {
			r.stageLarger(to)
		}
	}
	for _, to := range bySize {
		if r.use(to, r.settled[to.Name]) >= filling {
			r.stageSmaller(to)
		}
	}
}

// stageLarger stages a model's weights on the hosts of smaller groups: in the
// domains of its own groups on all of them, and then in others on enough for some
// groups.
func (r *round) stageLarger(to models.ModelProfile) {
	elsewhere := aheadGroups*to.Size - r.stagedElsewhere(to)
	for _, id := range r.runOther(to, func(from models.ModelProfile) bool { return from.Size < to.Size }) {
		near := r.settledIn[r.Instances[id].Domain][to.Name] > 0
		if !near && elsewhere <= 0 || !r.mayStageAhead() {
			return
		}
		if !near {
			elsewhere--
		}
		r.stage(id, to)
	}
}

// stageSmaller stages the weights of a model that fills up on the hosts of larger
// groups, a whole group at least.
func (r *round) stageSmaller(to models.ModelProfile) {
	want := max(aheadGroups*to.Size, r.bySize()[0].Size) - r.stagedAhead(to)
	for _, id := range r.runOther(to, func(from models.ModelProfile) bool { return from.Size > to.Size }) {
		if want <= 0 || !r.mayStageAhead() {
			return
		}
		want--
		r.stage(id, to)
	}
}

// stagedElsewhere counts the instances in domains without groups of the model
// whose hosts have its weights, or are getting them.
func (r *round) stagedElsewhere(to models.ModelProfile) int {
	return r.stagedWhere(to, func(i models.UpstreamInstance) bool { return r.settledIn[i.Domain][to.Name] == 0 })
}

// stagedAhead counts those that run another model.
func (r *round) stagedAhead(to models.ModelProfile) int {
	return r.stagedWhere(to, func(i models.UpstreamInstance) bool { return i.Loaded != to.Name })
}

func (r *round) stagedWhere(to models.ModelProfile, counts func(models.UpstreamInstance) bool) int {
	n := 0
	for id, i := range r.Instances {
		s, under := r.staging[id]
		staged := slices.Contains(i.Staged, to.Name) || (under && s.model == to.Name)
		if staged && r.usable(id) && counts(i) {
			n++
		}
	}
	return n
}

// mayStageAhead reports whether the weight store has a place for a load that
// nothing waits for.
func (r *round) mayStageAhead() bool {
	if !r.Traffic {
		return r.loading < r.Profile.LoadsAtOnce+earlyLoads
	}
	return r.loading < r.Profile.LoadsAtOnce-keptLoads && r.mayLoad(1)
}

// runOther lists the instances in groups of such models whose hosts could get the
// model's weights, first those in domains with groups of the model, and then whole
// groups of the domains that have its weights already.
func (r *round) runOther(to models.ModelProfile, such func(from models.ModelProfile) bool) []models.InstanceID {
	var groups []*Group
	staged := map[models.Domain]int{}
	for id, i := range r.Instances {
		if s, under := r.staging[id]; slices.Contains(i.Staged, to.Name) || (under && s.model == to.Name) {
			staged[i.Domain]++
		}
	}
	for _, g := range r.groups {
		if from, known := r.Profile.Model(g.Model); known && such(from) && g.Serving() {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b *Group) int {
		da, db := r.Instances[a.Head].Domain, r.Instances[b.Head].Domain
		return cmp.Or(cmp.Compare(min(1, r.settledIn[db][to.Name]), min(1, r.settledIn[da][to.Name])),
			cmp.Compare(staged[db], staged[da]), cmp.Compare(da, db), cmp.Compare(a.Key.Epoch, b.Key.Epoch))
	})
	var out []models.InstanceID
	for _, g := range groups {
		from, _ := r.Profile.Model(g.Model)
		for rank := range from.Size {
			id, there := g.Members[rank]
			if there && r.usable(id) && r.takesAhead(id, from, to) {
				out = append(out, id)
			}
		}
	}
	return out
}

// takesAhead reports whether an instance's host may get the weights of another
// model than it runs: it has them not yet, nor those of one with larger groups.
func (r *round) takesAhead(id models.InstanceID, runs, to models.ModelProfile) bool {
	if _, under := r.staging[id]; under {
		return false
	}
	for _, name := range r.Instances[id].Staged {
		m, known := r.Profile.Model(name)
		if name == to.Name || (known && m.Size > runs.Size) {
			return false
		}
	}
	return true
}
