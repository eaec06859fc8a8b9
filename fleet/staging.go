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
	// extraLoadsBeforeTraffic is how many loads beyond the weight store's limit may run to prestage
	// weights before there is traffic, where lateness can't be estimated.
	extraLoadsBeforeTraffic = 20
	// prestagedGroups is the number of groups of a larger model for which weights are staged in
	// domains without a group of that model.
	prestagedGroups = 2
	// prestageUtilization is the utilization from which a smaller model's weights are
	// staged on hosts of larger groups, which are harder to replace.
	prestageUtilization = 0.6
	// reservedLoads is how many of the weight store's concurrent loads are reserved for repairs and
	// not used for prestaging.
	reservedLoads = 2
)

// staging is a load of a model's weights onto an instance's host.
type staging struct {
	model    models.ModelName
	deadline time.Time
}

// advanceStaging counts the stagings in progress and forgets those that ended.
func (r *round) advanceStaging() {
	for _, id := range slices.Sorted(maps.Keys(r.staging)) {
		s := r.staging[id]
		if !r.usable(id) || slices.Contains(r.Instances[id].StagedModels, s.model) || r.Now.After(s.deadline) {
			delete(r.staging, id)
			continue
		}
		r.loading++
		sent := r.sent[id]
		unanswered := sent != nil && sent.order.Kind == types.GroupStage && sent.outcome == types.OrderUnknown
		if unanswered && r.orderDue(id, types.GroupStage, models.GroupKey{}) {
			r.issue(types.GroupOrder{Kind: types.GroupStage, Instance: id, Model: s.model})
		}
	}
}

// prepareSpares gets instances that are in no group ready to join one.
func (r *round) prepareSpares() {
	free := r.freeInstances()
	r.warmSpares(free)
	if r.stageSpares(free) {
		r.prestage()
	}
}

// loadOption is a load that a free instance could start.
type loadOption struct {
	id    models.InstanceID
	model models.ModelProfile
	// gain is the benefit of the load divided by its duration.
	gain float64
}

// stageSpares stages weights on free instances that have none, highest gain first. It reports
// whether all loads were started.
func (r *round) stageSpares(free map[models.Domain][]models.InstanceID) bool {
	var options []loadOption
	for domain, ids := range free {
		if r.HasTraffic || r.layout != nil {
			options = append(options, r.loadOptions(domain, ids)...)
		}
	}
	slices.SortFunc(options, func(a, b loadOption) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.id, b.id))
	})
	for _, w := range options {
		if !r.mayStartLoads(1) {
			return false
		}
		r.stage(w.id, w.model)
	}
	return true
}

// loadOptions picks a model for each free instance of a domain that has no weights.
func (r *round) loadOptions(domain models.Domain, ids []models.InstanceID) []loadOption {
	ready := supply{}
	var cold []models.InstanceID
	for _, id := range ids {
		s, staging := r.staging[id]
		i := r.Instances[id]
		if !staging && i.LoadedModel == "" && len(i.StagedModels) == 0 {
			cold = append(cold, id)
		}
		for _, m := range r.Profile.Models {
			if IsWarm(i, m.Name) || (staging && s.model == m.Name) {
				ready[m.Name]++
			}
		}
	}
	var out []loadOption
	dominant := r.dominantModel(domain)
	for at, id := range cold {
		var best loadOption
		for _, m := range r.Profile.Models {
			if dominant != "" && m.Name != dominant {
				continue
			}
			gain := r.loadGain(m, domain, ready[m.Name], len(cold)-at) * r.marginalGain(m, r.assigned) / m.LoadTime.Seconds()
			if best.id == "" || gain > best.gain {
				best = loadOption{id, m, gain}
			}
		}
		ready[best.model.Name]++
		out = append(out, best)
	}
	return out
}

// dominantFraction is the fraction of a domain's instances with weights that must run the same
// model for it to dominate the domain.
const dominantFraction = 0.75

// dominantModel returns the model that nearly all instances of the domain run, or that the layout
// dedicates the domain to. Members left of its broken groups form new groups only together. Empty
// instances get its weights too, unless another model needs them more.
func (r *round) dominantModel(domain models.Domain) models.ModelName {
	if groups := r.layout[domain]; !r.HasTraffic && len(groups) == 1 {
		for name := range groups {
			return name
		}
	}
	count, all := supply{}, 0
	for id, i := range r.Instances {
		if i.Domain != domain || !r.usable(id) {
			continue
		}
		runs := i.LoadedModel
		if runs == "" && len(i.StagedModels) > 0 {
			runs = i.StagedModels[0]
		}
		if runs != "" {
			count[runs]++
			all++
		}
	}
	for _, m := range r.Profile.Models {
		if all > 0 && float64(count[m.Name]) >= dominantFraction*float64(all) && !r.canYield(m) {
			return m.Name
		}
	}
	return ""
}

// canYield reports whether another model gains more from instances than this one; without an
// estimate of lateness, whether this one has low utilization and another one high utilization.
func (r *round) canYield(m models.ModelProfile) bool {
	if !r.estimatesLateness() {
		return r.HasTraffic && r.utilization(m, r.assigned[m.Name]) <= lowUtilization &&
			slices.ContainsFunc(r.Profile.Models, func(o models.ModelProfile) bool {
				return o.Name != m.Name && r.utilization(o, r.assigned[o.Name]) >= highUtilization
			})
	}
	if !r.demandKnown() {
		return false
	}
	own := r.groupGain(m)
	return slices.ContainsFunc(r.Profile.Models, func(o models.ModelProfile) bool {
		gain := r.groupGain(o)
		return gain > own && gain*float64(o.GroupSize) >= minTakeoverGain
	})
}

// lossesPerMember is the expected number of losses per group member while a spare waits, for a loss
// of 16 of 48 instances in 30 s.
const lossesPerMember = 0.15

// loadGain is the number of instances that become useful if one of the given number of empty
// instances of a domain, where some others already have the weights, loads the model: in the next
// group, if there are enough instances for it, or as the replacement of a lost member.
func (r *round) loadGain(m models.ModelProfile, domain models.Domain, ready, cold int) float64 {
	size := float64(m.GroupSize)
	missing := m.GroupSize - ready%m.GroupSize
	gain := 0.0
	if missing <= cold {
		gain = size / float64(missing)
	}
	expectedLosses := lossesPerMember * float64(r.assignedByDomain[domain][m.Name])
	return max(gain, size*expectedLosses/float64(1+ready))
}

// stage orders an instance to load a model onto its host.
func (r *round) stage(id models.InstanceID, model models.ModelProfile) {
	if !r.orderDue(id, types.GroupStage, models.GroupKey{}) {
		return
	}
	r.loading++
	r.loadStarts = append(r.loadStarts, r.Now)
	r.staging[id] = staging{model: model.Name, deadline: r.deadlineAfter(model.LoadTime)}
	r.issue(types.GroupOrder{Kind: types.GroupStage, Instance: id, Model: model.Name})
}

// prestage stages weights on the hosts of instances that run another model, so that the instances
// can be converted within seconds. It runs only while the weight store has no other loads to do.
func (r *round) prestage() {
	if !r.HasTraffic && r.estimatesLateness() {
		r.prestageAll()
		return
	}
	bySize := r.bySize()
	for _, to := range bySize {
		if to.GroupSize > bySize[len(bySize)-1].GroupSize {
			r.prestageLarger(to)
		}
	}
	for _, to := range bySize {
		if r.utilization(to, r.assigned[to.Name]) >= prestageUtilization {
			r.prestageSmaller(to)
		}
	}
}

// prestageAll stages a model on every host whose instance runs another one, of serving groups and
// spares: before traffic loads are free, and a host's one staged model is worth nothing if it is the
// one that the instance has already loaded. Of several models, each gets hosts by its demand.
func (r *round) prestageAll() {
	spare := map[models.InstanceID]bool{}
	for _, ids := range r.freeInstances() {
		for _, id := range ids {
			spare[id] = true
		}
	}
	staged := supply{}
	for _, m := range r.Profile.Models {
		staged[m.Name] = r.countPrestaged(m)
	}
	for _, id := range slices.Sorted(maps.Keys(r.Instances)) {
		i := r.Instances[id]
		g := r.groups[i.Group.Key]
		from, known := r.Profile.Model(i.LoadedModel)
		if !known || !r.usable(id) || !(spare[id] || g != nil && g.Serving()) || !r.lacksOtherModel(id, from) {
			continue
		}
		if to, found := r.modelToPrestage(from, staged); found {
			staged[to.Name]++
			r.stage(id, to)
		}
	}
}

// lacksOtherModel reports whether an instance's host has, and is loading, no model but the one that
// the instance runs.
func (r *round) lacksOtherModel(id models.InstanceID, current models.ModelProfile) bool {
	_, staging := r.staging[id]
	return !staging && !slices.ContainsFunc(r.Instances[id].StagedModels, func(name models.ModelName) bool {
		_, known := r.Profile.Model(name)
		return known && name != current.Name
	})
}

// modelToPrestage returns the model other than the current one that has been staged on the fewest
// hosts for its demand.
func (r *round) modelToPrestage(current models.ModelProfile, staged supply) (best models.ModelProfile, found bool) {
	ratio := func(m models.ModelProfile) float64 { return float64(staged[m.Name]+1) / r.demandOf(m) }
	for _, m := range r.bySize() {
		if m.Name != current.Name && (!found || ratio(m) < ratio(best)) {
			best, found = m, true
		}
	}
	return best, found
}

// prestageLarger stages a model's weights on the hosts of smaller groups: on all hosts in domains
// that have groups of the model, and elsewhere on enough hosts for prestagedGroups groups.
func (r *round) prestageLarger(to models.ModelProfile) {
	elsewhere := prestagedGroups*to.GroupSize - r.countStagedElsewhere(to)
	for _, id := range r.prestageCandidates(to, func(from models.ModelProfile) bool { return from.GroupSize < to.GroupSize }) {
		ownDomain := r.assignedByDomain[r.Instances[id].Domain][to.Name] > 0
		if !ownDomain && elsewhere <= 0 || !r.mayPrestage() {
			return
		}
		if !ownDomain {
			elsewhere--
		}
		r.stage(id, to)
	}
}

// prestageSmaller stages the weights of a model with rising utilization on the hosts of larger
// groups, at least on one whole group.
func (r *round) prestageSmaller(to models.ModelProfile) {
	missing := max(prestagedGroups*to.GroupSize, r.bySize()[0].GroupSize) - r.countPrestaged(to)
	for _, id := range r.prestageCandidates(to, func(from models.ModelProfile) bool { return from.GroupSize > to.GroupSize }) {
		if missing <= 0 || !r.mayPrestage() {
			return
		}
		missing--
		r.stage(id, to)
	}
}

// countStagedElsewhere counts the instances in domains without groups of the model whose hosts have
// its weights or are loading them.
func (r *round) countStagedElsewhere(to models.ModelProfile) int {
	return r.countStaged(to, func(i models.UpstreamInstance) bool { return r.assignedByDomain[i.Domain][to.Name] == 0 })
}

// countPrestaged counts the instances that run another model and whose hosts have the model's
// weights or are loading them.
func (r *round) countPrestaged(to models.ModelProfile) int {
	return r.countStaged(to, func(i models.UpstreamInstance) bool { return i.LoadedModel != to.Name })
}

func (r *round) countStaged(to models.ModelProfile, match func(models.UpstreamInstance) bool) int {
	n := 0
	for id, i := range r.Instances {
		s, staging := r.staging[id]
		staged := slices.Contains(i.StagedModels, to.Name) || (staging && s.model == to.Name)
		if staged && r.usable(id) && match(i) {
			n++
		}
	}
	return n
}

// mayPrestage reports whether the weight store has capacity for a load that no group is waiting
// for.
func (r *round) mayPrestage() bool {
	if !r.HasTraffic {
		return r.loading < r.Profile.MaxConcurrentLoads+extraLoadsBeforeTraffic
	}
	return r.loading < r.Profile.MaxConcurrentLoads-reservedLoads && r.mayStartLoads(1)
}

// prestageCandidates lists the instances in groups of matching models whose hosts could get the
// model's weights. Domains with groups of the model come first, then domains where most hosts have
// its weights already, group by group.
func (r *round) prestageCandidates(to models.ModelProfile, match func(from models.ModelProfile) bool) []models.InstanceID {
	var groups []*Group
	staged := map[models.Domain]int{}
	for id, i := range r.Instances {
		if s, staging := r.staging[id]; slices.Contains(i.StagedModels, to.Name) || (staging && s.model == to.Name) {
			staged[i.Domain]++
		}
	}
	for _, g := range r.groups {
		if from, known := r.Profile.Model(g.Model); known && match(from) && g.Serving() {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b *Group) int {
		da, db := r.Instances[a.Head].Domain, r.Instances[b.Head].Domain
		return cmp.Or(cmp.Compare(min(1, r.assignedByDomain[db][to.Name]), min(1, r.assignedByDomain[da][to.Name])),
			cmp.Compare(staged[db], staged[da]), cmp.Compare(da, db), cmp.Compare(a.Key.Epoch, b.Key.Epoch))
	})
	var out []models.InstanceID
	for _, g := range groups {
		from, _ := r.Profile.Model(g.Model)
		for rank := range from.GroupSize {
			id, present := g.Members[rank]
			if present && r.usable(id) && r.canPrestage(id, from, to) {
				out = append(out, id)
			}
		}
	}
	return out
}

// canPrestage reports whether an instance's host may get the weights of another model than its
// current one: the host has neither these weights nor those of a model with larger groups than the
// current one.
func (r *round) canPrestage(id models.InstanceID, current, to models.ModelProfile) bool {
	if _, staging := r.staging[id]; staging {
		return false
	}
	for _, name := range r.Instances[id].StagedModels {
		m, known := r.Profile.Model(name)
		if name == to.Name || (known && m.GroupSize > current.GroupSize) {
			return false
		}
	}
	return true
}
