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
// Large groups are spread over all domains, and smaller ones fill the room that they
// leave: a domain that is lost takes a part of each model's groups and not all of one
// model's, and a member that a large group loses is replaced within seconds by one of
// a small group, on whose host the large model's weights were staged.
//
// With 48 instances in domains of 8, groups of 4 and 2 and a loss every 3 s, 21 of
// 100 instances were idle rather than 24 with domains of one model each
// (TestSupplyUnderLosses).
type layout map[models.Domain]map[models.ModelName]int

// layoutInput is what a layout depends on.
type layoutInput struct {
	// sizes counts the instances of each domain.
	sizes map[models.Domain]int
	zones map[models.Domain]models.Zone
	loads map[models.ModelName]Load
}

func (i layoutInput) equal(o layoutInput) bool {
	return maps.Equal(i.sizes, o.sizes) && maps.Equal(i.loads, o.loads)
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
	r.layout, r.laidFor = r.World.spread(in), in
}

// layoutInput counts the instances of each domain.
func (r *round) layoutInput() layoutInput {
	in := layoutInput{sizes: map[models.Domain]int{}, zones: map[models.Domain]models.Zone{}, loads: map[models.ModelName]Load{}}
	for id, i := range r.Instances {
		if r.usable(id) {
			in.sizes[i.Domain]++
			in.zones[i.Domain] = i.Zone
		}
	}
	for _, m := range r.Profile.Models {
		in.loads[m.Name] = r.load(m)
	}
	return in
}

// spread lays out as many groups of each model as are best once every domain has
// lost an instance, unless a model would then have none.
func (w World) spread(in layoutInput) layout {
	if len(in.sizes) == 0 {
		return layout{}
	}
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

// bestFill finds how many groups of each model cost least. It begins
// with as many as the models' loads ask for and goes on one group at a time.
func (w World) bestFill(in layoutInput) layout {
	total, whole := 0, 0.0
	for _, size := range in.sizes {
		total += size
	}
	bySize := w.bySize()
	for _, m := range bySize {
		whole += in.loads[m.Name].Groups * float64(m.Size)
	}
	counts := map[models.ModelName]int{}
	for _, m := range bySize {
		counts[m.Name] = int(in.loads[m.Name].Groups / whole * float64(total))
	}
	best, least := w.fill(in, counts)
	for improved := true; improved; {
		improved = false
		for _, m := range bySize[:len(bySize)-1] {
			for _, step := range []int{-1, 1} {
				tried := maps.Clone(counts)
				tried[m.Name] = max(0, tried[m.Name]+step)
				if l, cost := w.fill(in, tried); cost < least {
					best, least, counts, improved = l, cost, tried, true
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
// fit, and tells what that costs.
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
	return out, w.cost(have)
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
