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
	// crowded is the part of its places that a model uses when it is given
	// instances of another one, calm the part that the other may use
	// afterwards. At three quarters an engine's pauses begin to grow.
	crowded = 0.8
	calm    = 0.62
	// convertEvery is the least time between two conversions, so that the
	// effect of one is seen before the next.
	convertEvery = 4 * time.Second
	// convertWithin bounds one conversion.
	convertWithin = 6 * time.Second
)

// conversion takes instances from groups of one model for a group of another.
type conversion struct {
	model   models.ModelProfile
	members []models.InstanceID
	until   time.Time
}

// places is how many requests so many groups run at once.
func (r *round) places(groups int) float64 {
	return float64(groups * r.Profile.Slots)
}

// use is the part of its places that the model uses with so many groups.
func (r *round) use(m models.ModelProfile, groups int) float64 {
	return r.Busy[m.Name] / max(1, r.places(groups))
}

// convert takes instances from a model with places to spare for one that is
// crowded, where their hosts have its weights.
func (r *round) convert() {
	r.advanceConversion()
	if r.converting != nil || !r.Traffic || r.Now.Sub(r.converted) < convertEvery {
		return
	}
	for _, to := range r.Profile.Models {
		if r.use(to, r.settled[to.Name]/to.Size) < crowded {
			continue
		}
		if c := r.findConversion(to); c != nil {
			r.converting, r.converted = c, r.Now
			r.advanceConversion()
			return
		}
	}
}

// findConversion picks the members for a group of the model from one domain:
// free ones that are warm, and those of whole groups of other models.
func (r *round) findConversion(to models.ModelProfile) *conversion {
	byDomain := map[models.Domain][]*Group{}
	for _, g := range r.groups {
		if from, known := r.Profile.Model(g.Model); known && g.Model != to.Name && g.Serving() && r.forming[g.Key] == nil &&
			r.ending[g.Key] == nil && r.allStaged(g, to.Name) && len(g.Members) == from.Size {
			domain := r.Instances[g.Head].Domain
			byDomain[domain] = append(byDomain[domain], g)
		}
	}
	free := r.free()
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		c := &conversion{model: to, until: r.Now.Add(convertWithin)}
		for _, id := range free[domain] {
			if IsWarm(r.Instances[id], to.Name) && len(c.members) < to.Size {
				c.members = append(c.members, id)
			}
		}
		taken := map[models.ModelName]int{}
		groups := byDomain[domain]
		slices.SortFunc(groups, func(a, b *Group) int { return cmp.Compare(a.Key.Epoch, b.Key.Epoch) })
		for _, g := range groups {
			from, _ := r.Profile.Model(g.Model)
			left := r.settled[from.Name]/from.Size - taken[from.Name] - 1
			if len(c.members) >= to.Size || left < 1 || r.use(from, left) > calm {
				continue
			}
			taken[from.Name]++
			for rank := range from.Size {
				c.members = append(c.members, g.Members[rank])
			}
		}
		if len(c.members) >= to.Size {
			c.members = c.members[:to.Size]
			return c
		}
	}
	return nil
}

// allStaged reports whether the hosts of all members have the model.
func (r *round) allStaged(g *Group, model models.ModelName) bool {
	for _, id := range g.Members {
		if !r.usable(id) || r.Unproven[id] || !slices.Contains(r.Instances[id].Staged, model) {
			return false
		}
	}
	return true
}

// advanceConversion closes the groups that the members are in and forms the
// new one once all are free.
func (r *round) advanceConversion() {
	c := r.converting
	if c == nil {
		return
	}
	free := true
	for _, id := range c.members {
		if !r.usable(id) || r.Now.After(c.until) {
			r.converting = nil
			return
		}
		if r.released(id) {
			r.taken[id] = true
			continue
		}
		free = false
		if g := r.groups[r.Instances[id].Group.Key]; g != nil {
			r.end(g.Key, g.Head, types.GroupFinish)
		}
	}
	if !free {
		return
	}
	r.converting = nil
	candidate := candidate{model: c.model, members: c.members, loading: map[models.InstanceID]bool{}, ready: c.model.Warm}
	r.form(candidate)
}
