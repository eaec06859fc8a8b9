package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// layout is the planned number of groups of each model in each fabric domain before there is
// traffic.
//
// If a domain filled with the largest groups has instances left over, these are spares, and each
// domain is dedicated to one model: the members left of two broken groups then form a new one. If
// nothing is left over, each loss would leave all other members of a group idle until an empty
// instance has loaded the weights. In that case large groups are spread over all domains and
// smaller groups fill the rest. A lost member of a large group is then replaced within seconds by a
// member of a small group on whose host the large model's weights were staged.
//
// With 48 instances in domains of 8, groups of 4 and 2 and a loss every 3 s, 21 of 100 instances
// are idle rather than 24 (TestSupplyUnderLosses).
type layout map[models.Domain]map[models.ModelName]int

// layoutInput is what a layout is computed from.
type layoutInput struct {
	// sizes is the number of instances of each domain.
	sizes  map[models.Domain]int
	zones  map[models.Domain]models.Zone
	demand map[models.ModelName]float64
}

func (i layoutInput) equal(o layoutInput) bool {
	return maps.Equal(i.sizes, o.sizes) && maps.Equal(i.demand, o.demand)
}

// updateLayout computes the layout again if its input has changed. There is no layout while
// instances are still arriving: the groups that fit a domain depend on its size.
func (r *round) updateLayout() {
	if r.arrivals.recent(r.Now) && r.Now.Sub(r.began) < maxArrivalWait {
		r.layout = nil
		return
	}
	in := r.layoutInput()
	if r.layout != nil && in.equal(r.layoutBasis) {
		return
	}
	r.layout, r.layoutBasis = r.Snapshot.computeLayout(in), in
}

// layoutInput returns the present sizes and zones of the domains and the demand of the models.
func (r *round) layoutInput() layoutInput {
	in := layoutInput{sizes: map[models.Domain]int{}, zones: map[models.Domain]models.Zone{}, demand: map[models.ModelName]float64{}}
	for id, i := range r.Instances {
		if r.usable(id) {
			in.sizes[i.Domain]++
			in.zones[i.Domain] = i.Zone
		}
	}
	for _, m := range r.Profile.Models {
		in.demand[m.Name] = r.demandOf(m)
	}
	return in
}

// computeLayout computes a layout for the given domains and demand.
func (s Snapshot) computeLayout(in layoutInput) layout {
	if len(in.sizes) == 0 {
		return layout{}
	}
	if s.hasSpares(in) {
		return s.dedicateDomains(in)
	}
	return s.spreadGroups(in)
}

// hasSpares reports whether the largest domain has instances left over when filled with the largest
// groups.
func (s Snapshot) hasSpares(in layoutInput) bool {
	largest := 0
	for _, size := range in.sizes {
		largest = max(largest, size)
	}
	bySize := s.bySize()
	return largest%bySize[0].GroupSize != 0 || bySize[0].GroupSize == bySize[len(bySize)-1].GroupSize
}

// dedicateDomains assigns each domain to one model, always to the model with the fewest instances
// for its demand.
func (s Snapshot) dedicateDomains(in layoutInput) layout {
	out, supplied := layout{}, supply{}
	room := maps.Clone(in.sizes)
	for len(room) > 0 {
		m := slices.MinFunc(s.bySize(), func(a, b models.ModelProfile) int {
			return cmp.Compare(float64(supplied[a.Name])/in.demand[a.Name], float64(supplied[b.Name])/in.demand[b.Name])
		})
		domain := in.domainWithMostRoom(room, out, m)
		out[domain] = map[models.ModelName]int{m.Name: in.sizes[domain] / m.GroupSize}
		// Spares count as supply too: they replace lost members.
		supplied[m.Name] += in.sizes[domain]
		delete(room, domain)
	}
	return out
}

// spreadGroups computes the layout that is best after every domain has lost an instance, unless a
// model would have no group in it.
func (s Snapshot) spreadGroups(in layoutInput) layout {
	reduced := in
	reduced.sizes = map[models.Domain]int{}
	for domain, size := range in.sizes {
		reduced.sizes[domain] = size - 1
	}
	counts := s.optimizeFill(reduced).groupCounts()
	for _, m := range s.Profile.Models {
		if counts[m.Name] == 0 {
			return s.optimizeFill(in)
		}
	}
	out, _ := s.fillDomains(in, counts)
	return out
}

// optimizeFill searches for the number of groups of each model with the lowest congestion. It
// starts with numbers proportional to the demand and changes them one group at a time.
func (s Snapshot) optimizeFill(in layoutInput) layout {
	totalInstances, totalDemand := 0, 0.0
	for _, size := range in.sizes {
		totalInstances += size
	}
	for _, demand := range in.demand {
		totalDemand += demand
	}
	bySize := s.bySize()
	counts := map[models.ModelName]int{}
	for _, m := range bySize {
		counts[m.Name] = int(in.demand[m.Name] / totalDemand * float64(totalInstances) / float64(m.GroupSize))
	}
	best, lowest := s.fillDomains(in, counts)
	for improved := true; improved; {
		improved = false
		for _, m := range bySize[:len(bySize)-1] {
			for _, step := range []int{-1, 1} {
				trial := maps.Clone(counts)
				trial[m.Name] = max(0, trial[m.Name]+step)
				if l, congestion := s.fillDomains(in, trial); congestion < lowest {
					best, lowest, counts, improved = l, congestion, trial, true
				}
			}
		}
	}
	return best
}

// groupCounts returns the total number of groups of each model.
func (l layout) groupCounts() map[models.ModelName]int {
	out := map[models.ModelName]int{}
	for _, groups := range l {
		for name, n := range groups {
			out[name] += n
		}
	}
	return out
}

// fillDomains places the given number of groups of each model, and as many groups of the smallest
// model as fit. It returns the layout and its congestion.
func (s Snapshot) fillDomains(in layoutInput, counts map[models.ModelName]int) (layout, float64) {
	room, out, supplied := maps.Clone(in.sizes), layout{}, supply{}
	for domain := range room {
		out[domain] = map[models.ModelName]int{}
	}
	bySize := s.bySize()
	smallest := bySize[len(bySize)-1]
	for _, m := range bySize {
		for n := 0; n < counts[m.Name] || m.Name == smallest.Name; n++ {
			domain := in.domainWithMostRoom(room, out, m)
			if room[domain] < m.GroupSize {
				break
			}
			out[domain][m.Name]++
			room[domain] -= m.GroupSize
			supplied[m.Name] += m.GroupSize
		}
	}
	return out, s.congestion(supplied)
}

// domainWithMostRoom returns the domain with the most unassigned instances; ties go to the zone
// with the fewest groups of the model.
func (i layoutInput) domainWithMostRoom(room map[models.Domain]int, out layout, m models.ModelProfile) models.Domain {
	inZone := map[models.Zone]int{}
	for domain, groups := range out {
		inZone[i.zones[domain]] += groups[m.Name]
	}
	domains := slices.Sorted(maps.Keys(room))
	return slices.MinFunc(domains, func(a, b models.Domain) int {
		return cmp.Or(cmp.Compare(room[b], room[a]), cmp.Compare(inZone[i.zones[a]], inZone[i.zones[b]]))
	})
}
