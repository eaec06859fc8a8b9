package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// A model that callers ask for keeps at least one group, or gets one, whatever else its instances would
// gain. Otherwise its demand may never show: its callers are rejected and come back rarely, so that few
// requests are weighed against those of the other models.

// minRequestedRate is the decaying peak of a model's rate of requests above which callers ask for the
// model. A single request counts for most of a minute.
const minRequestedRate = 0.05

// isRequested reports whether callers ask for a model. Rejected requests count too.
func (r *round) isRequested(m models.ModelName) bool {
	return r.HasTraffic && r.calibration.peaks[m] >= minRequestedRate
}

// lacksGroup reports whether callers ask for a model that has no group and for which none is being
// formed.
func (r *round) lacksGroup(m models.ModelProfile) bool {
	if r.assigned[m.Name] >= m.GroupSize || !r.isRequested(m.Name) {
		return false
	}
	// A planner that has just taken over has not seen all groups.
	if r.term != firstTerm && r.Now.Sub(r.began) < takeoverDelay {
		return false
	}
	for _, c := range r.converting {
		if c.model.Name == m.Name {
			return false
		}
	}
	return true
}

// isLastGroup reports whether a model that callers ask for would be left without a group if it lost
// this number of instances.
func (r *round) isLastGroup(m models.ModelName, lost int) bool {
	profile, known := r.Profile.Model(m)
	return known && r.isRequested(m) && r.assigned[m]-lost < profile.GroupSize
}

// formFirstGroups gets a group for each model that lacks one: by closing a group of another model, if
// enough hosts of a domain have the weights, otherwise by staging these first.
func (r *round) formFirstGroups() {
	for _, m := range r.Profile.Models {
		if !r.lacksGroup(m) || r.anyReleasePending(m.Name) {
			continue
		}
		if c := r.firstGroupConversion(m); c != nil {
			r.beginConversion(c)
			continue
		}
		r.stageFirstGroup(m)
	}
}

// anyReleasePending reports whether members of broken groups of a model are about to become free.
func (r *round) anyReleasePending(m models.ModelName) bool {
	for id := range r.Instances {
		if r.isReleasePending(id, m) {
			return true
		}
	}
	return false
}

// firstGroupConversion returns the conversion to a model that costs least, nil if there is none.
func (r *round) firstGroupConversion(m models.ModelProfile) *conversion {
	var best *conversion
	lowest := 0.0
	for _, c := range r.conversionOptions() {
		if c.model.Name != m.Name {
			continue
		}
		cost := r.congestion(r.supplyAfter(c))
		if r.estimatesLateness() {
			cost = -r.gain(c)
		}
		if best == nil || cost < lowest {
			best, lowest = c, cost
		}
	}
	return best
}

// stageFirstGroup stages a model's weights on the hosts of one domain until they suffice for a group:
// in the domain where the fewest are missing, on free instances first.
func (r *round) stageFirstGroup(m models.ModelProfile) {
	var best []models.InstanceID
	lowest := 0
	free, donors := r.freeInstances(), r.donors()
	for _, domain := range r.allDomains() {
		hosts, ready := r.firstGroupHosts(m, free[domain], donors[domain])
		missing := m.GroupSize - ready
		if len(hosts) < missing {
			continue
		}
		if best == nil || missing < lowest {
			best, lowest = hosts[:max(0, missing)], missing
		}
	}
	for _, id := range best {
		if !r.mayStartLoads(1) {
			return
		}
		r.stage(id, m)
	}
}

// firstGroupHosts lists the instances of a domain that could load a model's weights for its first
// group, in the order in which they should, and counts those whose hosts have the weights or are
// loading them.
func (r *round) firstGroupHosts(m models.ModelProfile, free []models.InstanceID, donors []*Group) (hosts []models.InstanceID, ready int) {
	add := func(id models.InstanceID) {
		s, staging := r.staging[id]
		switch {
		case staging && s.model == m.Name, !staging && IsWarm(r.Instances[id], m.Name):
			ready++
		case !staging && r.usable(id) && !r.Unverified[id]:
			hosts = append(hosts, id)
		}
	}
	for _, id := range free {
		add(id)
	}
	smallest := slices.Clone(donors)
	slices.SortStableFunc(smallest, func(a, b *Group) int { return cmp.Compare(len(a.Members), len(b.Members)) })
	for _, g := range smallest {
		if g.Model == m.Name || r.isLastGroup(g.Model, len(g.Members)) {
			continue
		}
		for _, rank := range slices.Sorted(maps.Keys(g.Members)) {
			add(g.Members[rank])
		}
	}
	return hosts, ready
}

// isKeptFor reports whether a free instance is kept for the first group of another model than this
// one: its host has that model's weights, or is loading them, and further hosts of its domain are.
func (r *round) isKeptFor(id models.InstanceID, other models.ModelName) bool {
	for _, m := range r.Profile.Models {
		if m.Name == other || !r.lacksGroup(m) {
			continue
		}
		if s, staging := r.staging[id]; staging && s.model == m.Name {
			return true
		}
		if IsWarm(r.Instances[id], m.Name) && r.isStaging(r.Instances[id].Domain, m.Name) {
			return true
		}
	}
	return false
}

// isStaging reports whether hosts of a domain are loading a model's weights.
func (r *round) isStaging(domain models.Domain, m models.ModelName) bool {
	for id, s := range r.staging {
		if s.model == m && r.Instances[id].Domain == domain {
			return true
		}
	}
	return false
}
