package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// layout gives every fabric domain to one model. Instances of one model that
// stand together repair each other's groups: what is left of a broken group
// is warm for the next one. Spread thin, every loss would cost a load.
//
// A domain stays with its model; only domains without one are given out.
func (r *round) layout() {
	zones := map[models.Domain]models.Zone{}
	for id, i := range r.Instances {
		if r.usable(id) {
			zones[i.Domain] = i.Zone
		}
	}
	// A domain that is dark for a while keeps its model: its instances come
	// back with the weights on their hosts.
	for domain, model := range r.domains {
		if _, known := r.Profile.Model(model); !known {
			delete(r.domains, domain)
		}
	}
	open := slices.DeleteFunc(slices.Sorted(maps.Keys(zones)), func(d models.Domain) bool { return r.domains[d] != "" })
	for len(open) > 0 {
		model := r.neediest()
		at := r.bestDomain(model, open, zones)
		r.domains[open[at]] = model.Name
		open = slices.Delete(open, at, at+1)
	}
}

// neediest is the model that has the fewest domains for what it needs.
func (r *round) neediest() models.ModelProfile {
	domains := r.domainsOf()
	share := func(m models.ModelProfile) float64 { return (float64(domains[m.Name]) + 0.5) / r.need(m) }
	return slices.MinFunc(r.Profile.Models, func(a, b models.ModelProfile) int { return cmp.Compare(share(a), share(b)) })
}

// domainsOf counts the domains of each model.
func (r *round) domainsOf() map[models.ModelName]int {
	out := map[models.ModelName]int{}
	for _, model := range r.domains {
		out[model]++
	}
	return out
}

// wanted is the model whose weights are loaded in a domain: its own, or one
// that is crowded while its own is not.
func (r *round) wanted(domain models.Domain) (models.ModelProfile, bool) {
	owner, known := r.Profile.Model(r.domains[domain])
	if !known || !r.Traffic || r.use(owner, r.settled[owner.Name]/owner.Size) > calm {
		return owner, known
	}
	for _, m := range r.Profile.Models {
		if m.Name != owner.Name && r.use(m, r.settled[m.Name]/m.Size) >= crowded {
			return m, true
		}
	}
	return owner, true
}

// need is the part of all instances that the model needs.
func (r *round) need(m models.ModelProfile) float64 { return max(minDemand, r.Demand[m.Name]) }

// bestDomain picks the domain with the most instances that have the model at
// hand, and among equals one in a zone that has the fewest of its domains.
func (r *round) bestDomain(model models.ModelProfile, open []models.Domain, zones map[models.Domain]models.Zone) int {
	warm := map[models.Domain]int{}
	for _, i := range r.Instances {
		if IsWarm(i, model.Name) {
			warm[i.Domain]++
		}
	}
	there := map[models.Zone]int{}
	for domain, name := range r.domains {
		if name == model.Name {
			there[zones[domain]]++
		}
	}
	best := 0
	for at, d := range open {
		if cmp.Or(cmp.Compare(warm[d], warm[open[best]]), cmp.Compare(there[zones[open[best]]], there[zones[d]])) > 0 {
			best = at
		}
	}
	return best
}

// IsWarm reports whether an instance has a model's weights at hand, in use or
// on its host.
func IsWarm(i models.UpstreamInstance, model models.ModelName) bool {
	return i.Loaded == model || slices.Contains(i.Staged, model)
}
