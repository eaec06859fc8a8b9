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
	// repairGain is the part by which a conversion must make the models less
	// congested if half of the group or more is left of a broken one: closing a
	// group and forming another takes some three seconds. shiftGain is the same if
	// it mainly takes groups apart: their domain then has nothing to repair the next
	// loss with. Estimates.
	repairGain = 0.02
	shiftGain  = 0.12
	// calm is the part of its places up to which a model may always give instances:
	// its streams are as fast as ever by then.
	calm = 0.35
	// shiftEvery is the least time from a planner's beginning, and from its last
	// conversion, until it shifts groups from one model to another: until then it
	// does not know the demand well, or what the last one brought.
	shiftEvery = 4 * time.Second
	// convertEvery is the least time between two conversions, so that what the
	// last one left over has formed groups.
	convertEvery = time.Second
	// convertWithin bounds one conversion.
	convertWithin = 6 * time.Second
)

// conversion forms a group of a model, where a fabric domain has too few free
// instances for it, with members of other models' groups whose hosts have its
// weights.
type conversion struct {
	model   models.ModelProfile
	members []models.InstanceID
	until   time.Time
	// free counts the members that are in no group.
	free int
	// change is what models gain and lose by it, in instances.
	change supply
}

// leastGain is the part by which the conversion must make the models less
// congested.
func (c *conversion) leastGain() float64 {
	if c.shifts() {
		return shiftGain
	}
	return repairGain
}

// shifts reports whether the conversion mainly takes groups apart, rather than to
// make use of what is left of a broken one.
func (c *conversion) shifts() bool { return 2*c.free < c.model.Size }

// convert begins the conversion that leaves all models together least congested,
// if one is worth while.
func (r *round) convert() {
	if r.converting != nil || !r.Traffic || r.Now.Sub(r.converted) < convertEvery {
		return
	}
	free := r.free()
	var best *conversion
	least := 0.0
	for _, to := range r.Profile.Models {
		for _, domain := range r.allDomains() {
			c := r.conversionIn(domain, to, free[domain])
			if c == nil || !r.worthwhile(c, domain) {
				continue
			}
			if congestion := r.congestion(r.after(c)); best == nil || congestion < least {
				best, least = c, congestion
			}
		}
	}
	if best == nil {
		return
	}
	r.converting, r.converted = best, r.Now
	r.advanceConversion()
}

// after is what models are supplied with once the conversion is done.
func (r *round) after(c *conversion) supply {
	out := maps.Clone(r.settled)
	for name, n := range c.change {
		out[name] += n
	}
	return out
}

// worthwhile reports whether a conversion in the domain may begin: what it is made
// of will not serve otherwise in a moment, and it leaves the models less congested
// without harm to the givers, or relieves one that is crowded.
func (r *round) worthwhile(c *conversion, domain models.Domain) bool {
	if r.releasing(domain, c.model.Name) {
		return false
	}
	if c.shifts() && (r.Now.Sub(r.converted) < shiftEvery || r.repairs(c.model.Name)) {
		return false
	}
	after := r.after(c)
	gains := r.congestion(after) < r.congestion(r.settled)*(1-c.leastGain())
	return gains && r.bearable(c.model, after) || r.relieves(c.model, after)
}

// relieves reports whether a model that is crowded gets instances of others with
// places to spare, whatever the models need on average.
func (r *round) relieves(to models.ModelProfile, after supply) bool {
	return r.use(to, r.settled[to.Name]) >= crowded && r.usedMost(after) <= lowUse
}

// bearable reports whether the models that give instances still use less of their
// places afterwards than the one that takes them does now, or few of them.
func (r *round) bearable(to models.ModelProfile, after supply) bool {
	return r.usedMost(after) <= max(calm, r.use(to, r.settled[to.Name]))
}

// usedMost is the greatest part of its places that a model which has lost instances
// uses.
func (r *round) usedMost(after supply) float64 {
	most := 0.0
	for _, m := range r.Profile.Models {
		if after[m.Name] < r.settled[m.Name] {
			most = max(most, r.use(m, after[m.Name]))
		}
	}
	return most
}

// repairs reports whether a broken group of the model may soon be whole again
// somewhere.
func (r *round) repairs(model models.ModelName) bool {
	return slices.ContainsFunc(r.allDomains(), func(d models.Domain) bool { return r.releasing(d, model) })
}

// releasing reports whether a member of a broken group of the model is about to
// come free in the domain.
func (r *round) releasing(domain models.Domain, model models.ModelName) bool {
	for id, i := range r.Instances {
		member := i.Group.State != models.MemberNone && ModelOf(i.Group.Key.Name) == model
		if member && i.Domain == domain && r.usable(id) && !r.taken[id] && !r.released(id) {
			return true
		}
	}
	return false
}

// conversionIn picks the members for a group of the model in one domain: free
// ones first, and then those of the groups that give the most members, the
// smallest first.
func (r *round) conversionIn(domain models.Domain, to models.ModelProfile, free []models.InstanceID) *conversion {
	c := &conversion{model: to, until: r.Now.Add(convertWithin), change: supply{to.Name: to.Size}}
	left := supply{}
	for _, id := range free {
		i := r.Instances[id]
		if _, under := r.staging[id]; !under && IsWarm(i, to.Name) && len(c.members) < to.Size {
			c.members = append(c.members, id)
		} else if i.Loaded != "" {
			left[i.Loaded]++
		}
	}
	if len(c.members) == to.Size {
		return nil
	}
	c.free = len(c.members)
	for _, d := range r.donors(domain, to.Name) {
		if len(c.members) == to.Size {
			break
		}
		took := 0
		for _, id := range d.able {
			if len(c.members) < to.Size {
				c.members = append(c.members, id)
				took++
			}
		}
		c.change[d.group.Model] -= len(d.group.Members)
		left[d.group.Model] += len(d.group.Members) - took
	}
	if len(c.members) < to.Size {
		return nil
	}
	for name, n := range left {
		// What is left over forms groups again.
		if from, known := r.Profile.Model(name); known && name != to.Name {
			c.change[name] += n / from.Size * from.Size
		}
	}
	return c
}

// donor is a group that serves, with the members whose hosts have the weights of
// another model.
type donor struct {
	group *Group
	able  []models.InstanceID
}

// donors lists the groups of a domain that could give members for a group of the
// model.
func (r *round) donors(domain models.Domain, to models.ModelName) []donor {
	var out []donor
	for _, g := range r.groups {
		stands := g.Serving() && r.forming[g.Key] == nil && r.ending[g.Key] == nil
		if g.Model == to || g.Head == "" || r.Instances[g.Head].Domain != domain || !stands {
			continue
		}
		d := donor{group: g}
		for rank := range len(g.Members) {
			id, there := g.Members[rank]
			if there && r.usable(id) && !r.Unproven[id] && slices.Contains(r.Instances[id].Staged, to) {
				d.able = append(d.able, id)
			}
		}
		if len(d.able) > 0 {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b donor) int {
		return cmp.Or(cmp.Compare(len(a.group.Members)-len(a.able), len(b.group.Members)-len(b.able)),
			cmp.Compare(len(a.group.Members), len(b.group.Members)), cmp.Compare(a.group.Key.Epoch, b.group.Key.Epoch))
	})
	return out
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
