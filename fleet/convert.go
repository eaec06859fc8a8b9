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
	// minRepairGain is how much a conversion must lower the cost if at least half of its members
	// are free instances: it completes a broken group whose members are idle otherwise. minShiftGain
	// applies if most members come from serving groups.
	minRepairGain = 0.004
	minShiftGain  = 0.015
	// minMergeGain applies if members come from groups smaller than the new one. With a loss every
	// 3 s, a group of 8 lost a member after 18 s on average, and left 7 whose hosts had lost the
	// other model's weights; with 0.01 for all, 21 small groups were closed for 5 large ones within
	// 4 s.
	minMergeGain = 0.1
	// safeUtilization is the utilization up to which a model gives up small groups for larger ones of
	// another model like any others: minMergeGain would keep them from a model in a deep overload,
	// where no single group gains as much.
	safeUtilization = 0.1
	// closedFraction is the part of the time for which a conversion is judged, 10 s, in which its
	// groups are closed and the new ones are not open yet: 3 to 4 s.
	closedFraction = 0.4
	// maxMoving is the inverse of the fraction of all instances in groups that conversions are
	// closing up to which another one may start.
	maxMoving = 8
	// minConversionInterval is the minimum time between two conversions of a domain. Within it, the
	// instances left over by the last conversion form groups again.
	minConversionInterval = time.Second
	// conversionTimeout bounds the duration of a conversion.
	conversionTimeout = 6 * time.Second
)

// conversion forms groups of a model in a fabric domain with too few free instances. The missing
// members come from groups of other models, from hosts that have the model's weights.
type conversion struct {
	domain models.Domain
	model  models.ModelProfile
	// members are the members of the first new group.
	members  []models.InstanceID
	deadline time.Time
	// freeCount is the number of members that are in no group, moving the number of instances in the
	// groups that are closed.
	freeCount, moving int
	// supplyChange is the change in each model's number of instances, formed what the instances will
	// form groups of.
	supplyChange, formed supply
}

// minGain returns by how much the conversion must lower the cost.
func (r *round) minGain(c *conversion) float64 {
	added := 0
	for _, n := range c.supplyChange {
		added += n
	}
	if 2*c.freeCount >= c.model.GroupSize && added > 0 {
		return minRepairGain
	}
	for _, from := range r.Profile.Models {
		left := r.assigned[from.Name] + c.supplyChange[from.Name]
		if c.supplyChange[from.Name] < 0 && from.GroupSize <= c.model.GroupSize && r.utilization(from, left) > safeUtilization {
			return minMergeGain
		}
	}
	return minShiftGain
}

// gain returns by how much the conversion lowers the cost, less the rise while its groups are
// closed.
func (r *round) gain(c *conversion) float64 {
	now, during, after := r.cost(r.assigned), maps.Clone(r.assigned), r.supplyAfter(c)
	for name, n := range c.supplyChange {
		during[name] += min(0, n)
	}
	return now - r.cost(after) - closedFraction*(r.cost(during)-now)
}

// startConversions starts the conversions with the greatest gains, one in a domain at a time, as
// long as few instances are being moved.
func (r *round) startConversions() {
	if !r.estimatesLateness() {
		r.startShareConversion()
		return
	}
	// No conversion gains more than the present cost.
	if !r.demandKnown() || r.cost(r.assigned) < minRepairGain {
		return
	}
	options := r.conversionOptions()
	for r.mayMoveMore() {
		best := r.bestConversion(options)
		if best == nil {
			return
		}
		r.beginConversion(best)
		options = slices.DeleteFunc(options, func(c *conversion) bool { return c.domain == best.domain })
	}
}

// mayMoveMore reports whether few enough instances are being moved for another conversion.
func (r *round) mayMoveMore() bool {
	moving := 0
	for _, c := range r.converting {
		moving += c.moving
	}
	return maxMoving*moving <= len(r.Instances)
}

// conversionOptions lists the conversions that could start now, at most one for each model and
// domain.
func (r *round) conversionOptions() []*conversion {
	var out []*conversion
	free, donors := r.freeInstances(), r.donors()
	for _, to := range r.Profile.Models {
		for _, domain := range r.allDomains() {
			if !r.mayConvert(domain) {
				continue
			}
			if c := r.planConversion(domain, to, free[domain], donors[domain]); c != nil {
				out = append(out, c)
			}
		}
	}
	return out
}

// mayConvert reports whether a conversion may start in the domain.
func (r *round) mayConvert(domain models.Domain) bool {
	return r.converting[domain] == nil && r.Now.Sub(r.converted[domain]) >= minConversionInterval
}

// bestConversion returns the conversion with the greatest gain of those that gain enough, nil if
// there is none.
func (r *round) bestConversion(options []*conversion) *conversion {
	var best *conversion
	most := 0.0
	for _, c := range options {
		gain := r.gain(c)
		if gain > most && gain >= r.minGain(c) && !r.releasePending(c.domain, c.model.Name) {
			best, most = c, gain
		}
	}
	return best
}

// beginConversion starts a conversion, and counts what it will form as assigned.
func (r *round) beginConversion(c *conversion) {
	r.converting[c.domain], r.converted[c.domain] = c, r.Now
	r.conversions.Begun++
	if r.estimatesLateness() {
		for name, n := range c.supplyChange {
			r.assigned[name] += n
		}
		for _, id := range c.members {
			r.reserved[id] = true
		}
	}
	r.advanceConversion(c)
}

// releasePending reports whether a member of a broken group of the model is about to become free in
// the domain.
func (r *round) releasePending(domain models.Domain, model models.ModelName) bool {
	for id, i := range r.Instances {
		if i.Domain == domain && r.isReleasePending(id, model) {
			return true
		}
	}
	return false
}

// isReleasePending reports whether an instance is a member of a broken group of the model, and about to
// become free.
func (r *round) isReleasePending(id models.InstanceID, model models.ModelName) bool {
	i := r.Instances[id]
	member := i.Group.State != models.MemberNone && ModelOf(i.Group.Key.Name) == model
	return member && r.usable(id) && !r.reserved[id] && !r.released(id)
}

// planConversion picks the members for a group of the model in one domain: free instances first,
// then members of the donor groups that lose the fewest other members, smaller groups first. It
// returns nil if no group has to be closed or hosts with the model's weights are missing.
func (r *round) planConversion(domain models.Domain, to models.ModelProfile, free []models.InstanceID, groups []*Group) *conversion {
	c := &conversion{domain: domain, model: to, deadline: r.Now.Add(conversionTimeout), supplyChange: supply{}, formed: supply{}}
	leftover := supply{}
	for _, id := range free {
		i := r.Instances[id]
		if _, staging := r.staging[id]; !staging && IsWarm(i, to.Name) && len(c.members) < to.GroupSize {
			c.members = append(c.members, id)
		} else if i.LoadedModel != "" {
			leftover[i.LoadedModel]++
		}
	}
	c.freeCount = len(c.members)
	if c.freeCount == to.GroupSize {
		return nil
	}
	spare := 0
	for _, d := range r.donorsFor(to.Name, groups) {
		if len(c.members) == to.GroupSize {
			break
		}
		taken := min(to.GroupSize-len(c.members), len(d.candidates))
		c.members = append(c.members, d.candidates[:taken]...)
		c.supplyChange[d.group.Model] -= len(d.group.Members)
		leftover[d.group.Model] += len(d.group.Members) - taken
		spare += len(d.candidates) - taken
		c.moving += len(d.group.Members)
	}
	if len(c.members) < to.GroupSize {
		return nil
	}
	for from, change := range c.supplyChange {
		if change < 0 && r.isLastGroup(from, -change) {
			return nil
		}
	}
	r.countFormed(c, leftover, spare)
	return c
}

// countFormed counts the groups that a conversion's members and the instances left over will form:
// the latter groups of the new model, if enough of them have its weights, or of their own again.
func (r *round) countFormed(c *conversion, leftover supply, spare int) {
	c.formed[c.model.Name] = c.model.GroupSize
	if r.estimatesLateness() {
		c.formed[c.model.Name] += spare / c.model.GroupSize * c.model.GroupSize
	}
	for _, from := range r.Profile.Models {
		if from.Name != c.model.Name {
			c.formed[from.Name] = leftover[from.Name] / from.GroupSize * from.GroupSize
		}
	}
	for name, n := range c.formed {
		c.supplyChange[name] += n
	}
}

// donor is a serving group, with the members whose hosts have the weights of another model.
type donor struct {
	group      *Group
	candidates []models.InstanceID
}

// donors lists the groups that could be closed, by fabric domain.
func (r *round) donors() map[models.Domain][]*Group {
	out := map[models.Domain][]*Group{}
	for _, key := range sortedKeys(r.groups) {
		g := r.groups[key]
		stable := g.Serving() && r.forming[g.Key] == nil && r.ending[g.Key] == nil
		if g.Head != "" && stable && !r.Evacuated[r.Instances[g.Head].Zone] {
			domain := r.Instances[g.Head].Domain
			out[domain] = append(out[domain], g)
		}
	}
	return out
}

// donorsFor lists those of a domain's groups that could give up members for a group of the model.
func (r *round) donorsFor(to models.ModelName, groups []*Group) []donor {
	var out []donor
	for _, g := range groups {
		if g.Model == to || r.isLastGroup(g.Model, len(g.Members)) {
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

// advanceConversions advances each conversion, and counts what those in progress will form as
// assigned.
func (r *round) advanceConversions() {
	for _, domain := range slices.Sorted(maps.Keys(r.converting)) {
		c := r.converting[domain]
		r.advanceConversion(c)
		if r.converting[domain] == nil || !r.estimatesLateness() {
			continue
		}
		for name, n := range c.formed {
			r.assigned[name] += n
		}
	}
}

// advanceConversion closes the groups that the members are in, and forms the new group once all
// members are free. It gives the conversion up if a member is lost or has lost the weights: the
// free members then form groups by cost.
func (r *round) advanceConversion(c *conversion) {
	free := true
	for _, id := range c.members {
		lost := !r.usable(id) || !IsWarm(r.Instances[id], c.model.Name)
		if lost || r.Now.After(c.deadline) {
			delete(r.converting, c.domain)
			r.conversions.GivenUp++
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
	delete(r.converting, c.domain)
	r.conversions.Completed++
	r.startFormation(candidate{model: c.model, members: c.members, loading: map[models.InstanceID]bool{}, readyIn: c.model.WarmLoadTime})
}
