package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// candidate is a group that could be formed.
type candidate struct {
	model   models.ModelProfile
	members []models.InstanceID
	loading map[models.InstanceID]bool
	// readyIn is how long the slowest member takes to join.
	readyIn time.Duration
	// takenFrom are the other models that members ran last.
	takenFrom []models.ModelProfile
}

// formGroups forms groups of free instances, most needed model first.
func (r *round) formGroups() {
	if !r.HasTraffic {
		r.updateLayout()
	}
	cache := newCandidateCache(r.freeInstances())
	for {
		domain, c, found := r.bestCandidate(cache)
		if !found {
			return
		}
		r.startFormation(c)
		cache.remove(domain, c.members)
	}
}

// candidateCache caches the groups that could be formed next. The candidates of a domain change
// only when a group is formed in it. Computed again for each group, they kept a planner with
// thousands of free instances silent until another daemon took over.
type candidateCache struct {
	domains []models.Domain
	free    map[models.Domain][]models.InstanceID
	entries map[models.Domain]map[models.ModelName]cachedCandidate
}

// cachedCandidate is the group of a model that a domain could form, if feasible is set.
type cachedCandidate struct {
	candidate
	feasible bool
}

func newCandidateCache(free map[models.Domain][]models.InstanceID) *candidateCache {
	return &candidateCache{domains: slices.Sorted(maps.Keys(free)), free: free, entries: map[models.Domain]map[models.ModelName]cachedCandidate{}}
}

// get returns the candidate of a model in a domain.
func (c *candidateCache) get(r *round, model models.ModelProfile, domain models.Domain) cachedCandidate {
	entry, cached := c.entries[domain][model.Name]
	if cached {
		return entry
	}
	if c.entries[domain] == nil {
		c.entries[domain] = map[models.ModelName]cachedCandidate{}
	}
	entry.candidate, entry.feasible = r.buildCandidate(model, domain, c.free[domain])
	c.entries[domain][model.Name] = entry
	return entry
}

// remove takes the members of a new group out of the free instances of their domain.
func (c *candidateCache) remove(domain models.Domain, members []models.InstanceID) {
	c.free[domain] = slices.DeleteFunc(c.free[domain], func(id models.InstanceID) bool { return slices.Contains(members, id) })
	delete(c.entries, domain)
}

// freeInstances lists the instances that may join a group, by fabric domain.
func (r *round) freeInstances() map[models.Domain][]models.InstanceID {
	out := map[models.Domain][]models.InstanceID{}
	for _, id := range slices.Sorted(maps.Keys(r.Instances)) {
		_, backingOff := r.backoffUntil[id]
		if !r.usable(id) || r.Unverified[id] || r.reserved[id] || backingOff || !r.released(id) || r.Evacuated[r.Instances[id].Zone] {
			continue
		}
		out[r.Instances[id].Domain] = append(out[r.Instances[id].Domain], id)
	}
	return out
}

// released reports whether an instance is in no group, or in a group whose head has closed for
// good.
func (r *round) released(id models.InstanceID) bool {
	m := r.Instances[id].Group
	if m.State == models.MemberNone {
		return true
	}
	e := r.ending[m.Key]
	return e != nil && e.closed
}

// bestCandidate picks the group to form next and its domain: of the most needed model, in the domain
// where it is ready soonest.
func (r *round) bestCandidate(c *candidateCache) (models.Domain, candidate, bool) {
	for _, model := range r.modelsByNeed() {
		var best cachedCandidate
		var at models.Domain
		for _, domain := range c.domains {
			next := c.get(r, model, domain)
			if next.feasible && r.mayTakeOver(next.candidate, domain) && (!best.feasible || next.readyBefore(best.candidate)) {
				best, at = next, domain
			}
		}
		if best.feasible {
			return at, best.candidate, true
		}
	}
	return "", candidate{}, false
}

func (c candidate) readyBefore(o candidate) bool {
	if c.readyIn != o.readyIn {
		return c.readyIn < o.readyIn
	}
	return len(c.loading) < len(o.loading)
}

// modelsByNeed lists the models by the gain from one more group, for each of its instances, the
// greatest first. While the demand is unknown, it lists them by the ratio of supply to their shares,
// the lowest first. Models that lack a group come before all others.
func (r *round) modelsByNeed() []models.ModelProfile {
	out := slices.Clone(r.Profile.Models)
	supply := func(m models.ModelProfile) float64 {
		// Adding half a group puts models without any group first.
		return (float64(r.assigned[m.Name]) + float64(m.GroupSize)/2) / r.demandOf(m)
	}
	slices.SortStableFunc(out, func(a, b models.ModelProfile) int { return cmp.Compare(supply(a), supply(b)) })
	if r.demandKnown() {
		slices.SortStableFunc(out, func(a, b models.ModelProfile) int { return cmp.Compare(r.groupGain(b), r.groupGain(a)) })
	}
	order := func(m models.ModelProfile) int {
		if r.lacksGroup(m) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b models.ModelProfile) int { return cmp.Compare(order(a), order(b)) })
	return out
}

// buildCandidate returns the group of the model that would be ready soonest in the domain. Once
// there is traffic, only instances that have the weights become members: an empty instance would
// load them first, and another model may need it more by then. Before traffic, loads are cheap, and
// the layout decides which groups are formed with loads.
func (r *round) buildCandidate(model models.ModelProfile, domain models.Domain, ids []models.InstanceID) (candidate, bool) {
	sorted := slices.DeleteFunc(slices.Clone(ids), func(id models.InstanceID) bool { return r.isKeptFor(id, model.Name) })
	if len(sorted) < model.GroupSize {
		return candidate{}, false
	}
	rank := func(id models.InstanceID) int {
		if r.isFormerHead(id) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(sorted, func(a, b models.InstanceID) int {
		return cmp.Or(cmp.Compare(r.joinTime(a, model), r.joinTime(b, model)), cmp.Compare(rank(a), rank(b)))
	})
	c := candidate{model: model, members: sorted[:model.GroupSize:model.GroupSize], loading: map[models.InstanceID]bool{}}
	for _, id := range c.members {
		joinTime := r.joinTime(id, model)
		if _, staging := r.staging[id]; staging && joinTime >= model.LoadTime {
			// The instance becomes a candidate once its weights are staged.
			return candidate{}, false
		}
		c.readyIn = max(c.readyIn, joinTime)
		if joinTime >= model.LoadTime {
			c.loading[id] = true
		}
	}
	c.takenFrom = r.modelsTaken(c)
	if len(c.loading) == 0 {
		return c, true
	}
	planned := r.layout[domain][model.Name] * model.GroupSize
	return c, !r.HasTraffic && r.assignedByDomain[domain][model.Name] < planned && r.mayStartLoads(len(c.loading))
}

// modelsTaken lists the other models that members of the candidate ran last.
func (r *round) modelsTaken(c candidate) []models.ModelProfile {
	var out []models.ModelProfile
	for _, m := range r.Profile.Models {
		if m.Name != c.model.Name && slices.ContainsFunc(c.members, func(id models.InstanceID) bool { return r.Instances[id].LoadedModel == m.Name }) {
			out = append(out, m)
		}
	}
	return out
}

// minTakeoverGain is how much a group must lower the cost to take members that ran another model
// last, since they lose its weights. Without this rule, spares of large groups formed small groups
// that nobody needed, and large groups could not be repaired.
const minTakeoverGain = 0.002

// mayTakeOver reports whether the members that ran another model last are better used by this one:
// by the cost, or before traffic by the layout. Without an estimate of lateness they always are.
func (r *round) mayTakeOver(c candidate, domain models.Domain) bool {
	if len(c.takenFrom) == 0 || !r.estimatesLateness() || r.lacksGroup(c.model) {
		return true
	}
	if !r.HasTraffic {
		return r.assignedByDomain[domain][c.model.Name] < r.layout[domain][c.model.Name]*c.model.GroupSize
	}
	if !r.demandKnown() {
		return false
	}
	gain := r.groupGain(c.model)
	if gain*float64(c.model.GroupSize) < minTakeoverGain {
		return false
	}
	return !slices.ContainsFunc(c.takenFrom, func(m models.ModelProfile) bool { return r.groupGain(m) > gain })
}

// joinTime is how long the instance takes to join a group of the model.
func (r *round) joinTime(id models.InstanceID, model models.ModelProfile) time.Duration {
	i := r.Instances[id]
	switch {
	case i.LoadedModel == model.Name:
		return RejoinTime
	case slices.Contains(i.StagedModels, model.Name):
		return model.WarmLoadTime
	default:
		return model.LoadTime
	}
}

// mayStartLoads reports whether n loads may start now.
func (r *round) mayStartLoads(n int) bool {
	if !r.HasTraffic {
		// Before traffic, loads don't slow each other down: 44 concurrent loads took no longer
		// each.
		return true
	}
	limit := r.Profile.MaxConcurrentLoads
	windowLimit := r.Profile.LoadsPerSecond * loadWindow.Seconds() * loadRateFraction
	return (r.loading == 0 || r.loading+n <= limit) && float64(len(r.loadStarts)+n) <= windowLimit
}

func (r *round) startFormation(c candidate) {
	f := &formation{
		key: r.newKey(c.model.Name), model: c.model.Name, members: c.members,
		joined: map[models.InstanceID]bool{}, loading: c.loading, deadline: r.deadlineAfter(c.readyIn),
	}
	for range c.loading {
		r.loadStarts = append(r.loadStarts, r.Now)
	}
	r.forming[f.key] = f
	r.assignMembers(f)
	r.advanceFormation(f)
}
