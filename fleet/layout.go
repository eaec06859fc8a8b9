package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// layout tells how many groups of each model each fabric domain is to have
// before there is traffic.
//
// Where a domain that is filled with large groups has some instances left over,
// these are the spares of its groups, and each domain is given to one model: what
// is left of two broken groups makes one. Where nothing is left over, each loss
// would leave all but one of a group's instances idle until an empty one has
// loaded the weights. There large groups are spread over all domains, and smaller
// ones fill the room that they leave: a member that a large group loses is then
// replaced within seconds by one of a small group, on whose host the large model's
// weights were staged.
//
// With 48 instances in domains of 8, groups of 4 and 2 and a loss every 3 s, 21 of
// 100 instances are idle rather than 24 (TestSupplyUnderLosses).
type layout map[models.Domain]map[models.ModelName]int

// layoutInput is what a layout depends on.
type layoutInput struct {
	// sizes counts the instances of each domain.
	sizes map[models.Domain]int
	zones map[models.Domain]models.Zone
	needs map[models.ModelName]float64
}

func (i layoutInput) equal(o layoutInput) bool {
	return maps.Equal(i.sizes, o.sizes) && maps.Equal(i.needs, o.needs)
}

// planLayout makes the layout anew if what it depends on has changed. There is none
// while instances still come: what can be made of a domain depends on its size.
func (r *round) planLayout() {
	if r.arrivals.goOn(r.Now) && r.Now.Sub(r.began) < arrivalsMost {
		r.layout = nil
		return
	}
	in := r.layoutInput()
	if r.layout != nil && in.equal(r.laidFor) {
		return
	}
	r.layout, r.laidFor = r.World.layoutFor(in), in
}

// layoutInput counts the instances of each domain.
func (r *round) layoutInput() layoutInput {
	in := layoutInput{sizes: map[models.Domain]int{}, zones: map[models.Domain]models.Zone{}, needs: map[models.ModelName]float64{}}
	for id, i := range r.Instances {
		if r.usable(id) {
			in.sizes[i.Domain]++
			in.zones[i.Domain] = i.Zone
		}
	}
	for _, m := range r.Profile.Models {
		in.needs[m.Name] = r.need(m)
	}
	return in
}

// layoutFor lays out what to form of the instances of these domains.
func (w World) layoutFor(in layoutInput) layout {
	if len(in.sizes) == 0 {
		return layout{}
	}
	if w.leavesSpares(in) {
		return w.shareOut(in)
	}
	return w.spread(in)
}

// leavesSpares reports whether the largest domain has instances left over when it
// is filled with the largest groups.
func (w World) leavesSpares(in layoutInput) bool {
	largest := 0
	for _, size := range in.sizes {
		largest = max(largest, size)
	}
	bySize := w.bySize()
	return largest%bySize[0].Size != 0 || bySize[0].Size == bySize[len(bySize)-1].Size
}

// shareOut gives each domain to one model, the next one always to that which has
// the fewest instances for its need.
func (w World) shareOut(in layoutInput) layout {
	out, have := layout{}, supply{}
	room := maps.Clone(in.sizes)
	for len(room) > 0 {
		m := slices.MinFunc(w.bySize(), func(a, b models.ModelProfile) int {
			return cmp.Compare(float64(have[a.Name])/in.needs[a.Name], float64(have[b.Name])/in.needs[b.Name])
		})
		domain := in.roomiest(room, out, m)
		out[domain] = map[models.ModelName]int{m.Name: in.sizes[domain] / m.Size}
		// Spares count as well: they bear the losses.
		have[m.Name] += in.sizes[domain]
		delete(room, domain)
	}
	return out
}

// spread lays out as many groups of each model as are best once every domain has
// lost an instance, unless a model would then have none.
func (w World) spread(in layoutInput) layout {
	short := in
	short.sizes = map[models.Domain]int{}
	for domain, size := range in.sizes {
		short.sizes[domain] = size - 1
	}
	counts := w.bestFill(short).counts()
	for _, m := range w.Profile.Models {
		if counts[m.Name] == 0 {
			return w.bestFill(in)
		}
	}
	out, _ := w.fill(in, counts)
	return out
}

// bestFill finds how many groups of each model give the least congestion. It begins
// with as many as the models need and goes on one group at a time.
func (w World) bestFill(in layoutInput) layout {
	total, whole := 0, 0.0
	for _, size := range in.sizes {
		total += size
	}
	for _, need := range in.needs {
		whole += need
	}
	bySize := w.bySize()
	counts := map[models.ModelName]int{}
	for _, m := range bySize {
		counts[m.Name] = int(in.needs[m.Name] / whole * float64(total) / float64(m.Size))
	}
	best, least := w.fill(in, counts)
	for improved := true; improved; {
		improved = false
		for _, m := range bySize[:len(bySize)-1] {
			for _, step := range []int{-1, 1} {
				tried := maps.Clone(counts)
				tried[m.Name] = max(0, tried[m.Name]+step)
				if l, congestion := w.fill(in, tried); congestion < least {
					best, least, counts, improved = l, congestion, tried, true
				}
			}
		}
	}
	return best
}

// counts sums the groups of each model.
func (l layout) counts() map[models.ModelName]int {
	out := map[models.ModelName]int{}
	for _, groups := range l {
		for name, n := range groups {
			out[name] += n
		}
	}
	return out
}

// fill lays out so many groups of each model, those of the smallest as many as
// fit, and tells how congested that is.
func (w World) fill(in layoutInput, counts map[models.ModelName]int) (layout, float64) {
	room, out, have := maps.Clone(in.sizes), layout{}, supply{}
	for domain := range room {
		out[domain] = map[models.ModelName]int{}
	}
	bySize := w.bySize()
	smallest := bySize[len(bySize)-1]
	for _, m := range bySize {
		for n := 0; n < counts[m.Name] || m.Name == smallest.Name; n++ {
			domain := in.roomiest(room, out, m)
			if room[domain] < m.Size {
				break
			}
			out[domain][m.Name]++
			room[domain] -= m.Size
			have[m.Name] += m.Size
		}
	}
	return out, w.congestion(have)
}

// roomiest is the domain with the most room for groups of the model, among equals
// one in the zone that has the fewest of them.
func (i layoutInput) roomiest(room map[models.Domain]int, out layout, m models.ModelProfile) models.Domain {
	there := map[models.Zone]int{}
	for domain, groups := range out {
		there[i.zones[domain]] += groups[m.Name]
	}
	domains := slices.Sorted(maps.Keys(room))
	return slices.MinFunc(domains, func(a, b models.Domain) int {
		return cmp.Or(cmp.Compare(room[b], room[a]), cmp.Compare(there[i.zones[a]], there[i.zones[b]]))
	})
}
