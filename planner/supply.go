package planner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// supplies returns the capacity of each domain.
func (p *round) supplies() []supply {
	out := make([]supply, 0, len(p.domains))
	index := map[models.Domain]int{}
	for _, d := range p.domains {
		s := supply{domain: d, zone: p.zones[d], healthy: map[models.ModelName]int{}, accelerators: p.engines[d][0].Accelerators}
		for _, i := range p.engines[d] {
			if p.usable(i.ID) {
				s.usable++
			}
		}
		index[d] = len(out)
		out = append(out, s)
	}
	for _, g := range p.groups {
		if i, known := index[g.Domain]; known && p.health[g.ID] == groupHealthy && !p.ended[g.ID] {
			out[i].healthy[g.Model]++
		}
	}
	return out
}

// usable reports whether an instance counts as capacity: it is free and can take work, or
// belongs to a healthy group, or will be free once its group has ended. Without the last
// case the target would change while a group retires and change back afterwards, forever.
func (p *round) usable(id models.InstanceID) bool {
	if p.leaving(id) {
		return false
	}
	owner, owned := p.State.Owner(id)
	switch {
	case !owned:
		return p.alive(id) && p.ready(id)
	case p.health[owner] == groupHealthy:
		return true
	default:
		return p.alive(id)
	}
}

// wantedModels lists the models that want replicas, sorted by name.
func (p *round) wantedModels() []models.Model {
	var out []models.Model
	for _, name := range slices.Sorted(maps.Keys(p.State.Models)) {
		if m := p.State.Models[name]; m.Replicas > 0 {
			out = append(out, m)
		}
	}
	return out
}

// freeInstances lists the engines of a domain that belong to no group and can take work.
// Stable engines come first, then engines that have the model's weights, then engines with
// fewer flaps, then by ID.
func (p *round) freeInstances(d models.Domain, m models.Model) []models.Instance {
	var out []models.Instance
	for _, i := range p.engines[d] {
		if _, owned := p.State.Owner(i.ID); !owned && p.eligible(i.ID) {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b models.Instance) int {
		ea, eb := p.Evidence[a.ID], p.Evidence[b.ID]
		return cmp.Or(
			compareFalseFirst(!ea.stable(p.Now), !eb.stable(p.Now)),
			compareFalseFirst(!ea.hasWeights(m), !eb.hasWeights(m)),
			cmp.Compare(ea.Flaps, eb.Flaps),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return out
}

func compareFalseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (p *round) eligible(id models.InstanceID) bool {
	return !p.reserved[id] && !p.leaving(id) && p.alive(id) && p.ready(id)
}
