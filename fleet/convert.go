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
	// minRepairGain is the fraction by which a conversion must reduce the congestion if at least
	// half of its members are free instances, left by a broken group: closing a group and forming
	// another takes about 3 s. minShiftGain applies if most of its members come from serving
	// groups: their domain then has no spares to repair the next loss with.
	minRepairGain = 0.02
	minShiftGain  = 0.12
	// safeUtilization is the utilization up to which a model may always give up
	// instances: its streams are not slowed down at that utilization.
	safeUtilization = 0.35
	// minShiftInterval is the minimum time from a planner's start, and from its last conversion,
	// until it moves serving groups from one model to another: before that, neither the demand nor
	// the effect of the last conversion is known well enough.
	minShiftInterval = 4 * time.Second
	// minConversionInterval is the minimum time between two conversions. Within it, the instances
	// left over by the last conversion form groups again.
	minConversionInterval = time.Second
	// conversionTimeout bounds the duration of a conversion.
	conversionTimeout = 6 * time.Second
)

// conversion forms a group of a model in a fabric domain with too few free instances. The missing
// members come from groups of other models, from hosts that have the model's weights.
type conversion struct {
	model    models.ModelProfile
	members  []models.InstanceID
	deadline time.Time
	// freeCount is the number of members that are in no group.
	freeCount int
	// supplyChange is the change in each model's number of instances.
	supplyChange supply
}

// minGain returns the fraction by which the conversion must reduce the congestion.
func (c *conversion) minGain() float64 {
	if c.isShift() {
		return minShiftGain
	}
	return minRepairGain
}

// isShift reports whether most members come from serving groups rather than from the remains of a
// broken group.
func (c *conversion) isShift() bool { return 2*c.freeCount < c.model.GroupSize }

// startConversion starts the worthwhile conversion that leaves the lowest congestion over all
// models, if there is one.
func (r *round) startConversion() {
	if r.converting != nil || !r.HasTraffic || r.Now.Sub(r.converted) < minConversionInterval {
		return
	}
	free := r.freeInstances()
	var best *conversion
	lowest := 0.0
	for _, to := range r.Profile.Models {
		for _, domain := range r.allDomains() {
			c := r.planConversion(domain, to, free[domain])
			if c == nil || !r.worthwhile(c, domain) {
				continue
			}
			if congestion := r.congestion(r.supplyAfter(c)); best == nil || congestion < lowest {
				best, lowest = c, congestion
			}
		}
	}
	if best == nil {
		return
	}
	r.converting, r.converted = best, r.Now
	r.advanceConversion()
}

// supplyAfter returns the supply of all models after the conversion.
func (r *round) supplyAfter(c *conversion) supply {
	out := maps.Clone(r.assigned)
	for name, n := range c.supplyChange {
		out[name] += n
	}
	return out
}

// worthwhile reports whether a conversion in the domain may start. Its members must not be about to
// serve in another way, and it must either reduce the congestion while the donor models keep enough
// capacity, or relieve an overloaded model.
func (r *round) worthwhile(c *conversion, domain models.Domain) bool {
	if r.releasePending(domain, c.model.Name) {
		return false
	}
	if c.isShift() && (r.Now.Sub(r.converted) < minShiftInterval || r.repairPending(c.model.Name)) {
		return false
	}
	after := r.supplyAfter(c)
	gains := r.congestion(after) < r.congestion(r.assigned)*(1-c.minGain())
	return gains && r.donorsKeepCapacity(c.model, after) || r.relievesOverload(c.model, after)
}

// relievesOverload reports whether a model with high utilization gets instances of models with low
// utilization, whatever the average demand is.
func (r *round) relievesOverload(to models.ModelProfile, after supply) bool {
	return r.utilization(to, r.assigned[to.Name]) >= highUtilization && r.maxDonorUtilization(after) <= lowUtilization
}

// donorsKeepCapacity reports whether the utilization of every model that gives up instances stays
// below the present utilization of the model that gets them, or below safeUtilization.
func (r *round) donorsKeepCapacity(to models.ModelProfile, after supply) bool {
	return r.maxDonorUtilization(after) <= max(safeUtilization, r.utilization(to, r.assigned[to.Name]))
}

// maxDonorUtilization returns the highest utilization among the models that lose instances.
func (r *round) maxDonorUtilization(after supply) float64 {
	most := 0.0
	for _, m := range r.Profile.Models {
		if after[m.Name] < r.assigned[m.Name] {
			most = max(most, r.utilization(m, after[m.Name]))
		}
	}
	return most
}

// repairPending reports whether a broken group of the model is about to be repaired in any domain.
func (r *round) repairPending(model models.ModelName) bool {
	return slices.ContainsFunc(r.allDomains(), func(d models.Domain) bool { return r.releasePending(d, model) })
}

// releasePending reports whether a member of a broken group of the model is about to become free in
// the domain.
func (r *round) releasePending(domain models.Domain, model models.ModelName) bool {
	for id, i := range r.Instances {
		member := i.Group.State != models.MemberNone && ModelOf(i.Group.Key.Name) == model
		if member && i.Domain == domain && r.usable(id) && !r.reserved[id] && !r.released(id) {
			return true
		}
	}
	return false
}

// planConversion picks the members for a group of the model in one domain: free instances first,
// then members of the donor groups that lose the fewest other members, smaller groups first.
func (r *round) planConversion(domain models.Domain, to models.ModelProfile, free []models.InstanceID) *conversion {
	c := &conversion{model: to, deadline: r.Now.Add(conversionTimeout), supplyChange: supply{to.Name: to.GroupSize}}
	leftover := supply{}
	for _, id := range free {
		i := r.Instances[id]
		if _, staging := r.staging[id]; !staging && IsWarm(i, to.Name) && len(c.members) < to.GroupSize {
			c.members = append(c.members, id)
		} else if i.LoadedModel != "" {
			leftover[i.LoadedModel]++
		}
	}
	if len(c.members) == to.GroupSize {
		return nil
	}
	c.freeCount = len(c.members)
	for _, d := range r.donors(domain, to.Name) {
		if len(c.members) == to.GroupSize {
			break
		}
		taken := 0
		for _, id := range d.candidates {
			if len(c.members) < to.GroupSize {
				c.members = append(c.members, id)
				taken++
			}
		}
		c.supplyChange[d.group.Model] -= len(d.group.Members)
		leftover[d.group.Model] += len(d.group.Members) - taken
	}
	if len(c.members) < to.GroupSize {
		return nil
	}
	for name, n := range leftover {
		// Instances that are left over form groups again.
		if from, known := r.Profile.Model(name); known && name != to.Name {
			c.supplyChange[name] += n / from.GroupSize * from.GroupSize
		}
	}
	return c
}

// donor is a serving group, with the members whose hosts have the weights of another model.
type donor struct {
	group      *Group
	candidates []models.InstanceID
}

// donors lists the groups of a domain that could give up members for a group of the model.
func (r *round) donors(domain models.Domain, to models.ModelName) []donor {
	var out []donor
	for _, g := range r.groups {
		stable := g.Serving() && r.forming[g.Key] == nil && r.ending[g.Key] == nil
		if g.Model == to || g.Head == "" || r.Instances[g.Head].Domain != domain || !stable || r.Evacuated[r.Instances[g.Head].Zone] {
			continue
		}
		d := donor{group: g}
		for rank := range len(g.Members) {
			id, present := g.Members[rank]
			if present && r.usable(id) && !r.Unverified[id] && slices.Contains(r.Instances[id].StagedModels, to) {
				d.candidates = append(d.candidates, id)
			}
		}
		if len(d.candidates) > 0 {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b donor) int {
		return cmp.Or(cmp.Compare(len(a.group.Members)-len(a.candidates), len(b.group.Members)-len(b.candidates)),
			cmp.Compare(len(a.group.Members), len(b.group.Members)), cmp.Compare(a.group.Key.Epoch, b.group.Key.Epoch))
	})
	return out
}

// advanceConversion closes the groups that the members are in, and forms the new group once all
// members are free.
func (r *round) advanceConversion() {
	c := r.converting
	if c == nil {
		return
	}
	free := true
	for _, id := range c.members {
		if !r.usable(id) || r.Now.After(c.deadline) {
			r.converting = nil
			return
		}
		if r.released(id) {
			r.reserved[id] = true
			continue
		}
		free = false
		if g := r.groups[r.Instances[id].Group.Key]; g != nil {
			r.endGroup(g.Key, g.Head, types.GroupDrain)
		}
	}
	if !free {
		return
	}
	r.converting = nil
	candidate := candidate{model: c.model, members: c.members, loading: map[models.InstanceID]bool{}, readyIn: c.model.WarmLoadTime}
	r.startFormation(candidate)
}
