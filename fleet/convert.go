package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// convertFor is for how long what a conversion or a new group brings is reckoned to
	// last: where two of 60 instances are lost each 3 s the next one undoes it as often as
	// not. With 6, 3 and 2 s callers of such a site were served 0.733, 0.737 and 0.707 of
	// what they asked, by worth (three days, one play each).
	convertFor = 3 * time.Second
	// closeTime is how long a group takes to let its requests end: 2.0 to 2.7 s, as
	// logged where streams last one.
	closeTime = 2 * time.Second
	// leastBenefit is by how much a conversion must lower the cost, less what it costs
	// meanwhile: without it models that are supplied alike would give groups to and fro.
	// At 0.03 three in 100 requests of a kind fewer are late.
	leastBenefit = 0.03
	// convertEvery is the least time between two conversions of a domain, so that what
	// the last one left over has formed groups.
	convertEvery = time.Second
	// convertWithin bounds one conversion.
	convertWithin = 6 * time.Second
	// lookEvery is how often all domains are looked at for conversions. With 3,000
	// instances a round of the planner took 82 ms with each look (BenchmarkStep).
	lookEvery = 200 * time.Millisecond
	// knowLoads is how long after its beginning a planner moves no instances from one
	// model to another: until then it does not know the loads well.
	knowLoads = 4 * time.Second
)

// conversion forms a group of a model, where a fabric domain has too few free
// instances for it, with members of other models' groups whose hosts have its
// weights. What is left over forms more groups.
type conversion struct {
	model   models.ModelProfile
	members []models.InstanceID
	until   time.Time
	// closes are the groups that are closed for it.
	closes []*Group
	// forms is what is formed of all that comes free, lost what is closed, in
	// instances.
	forms, lost supply
	// takes is how long it is until the groups serve.
	takes time.Duration
	// shifts tells that it mainly takes groups apart, rather than to make use of what
	// is left of a broken one.
	shifts bool
}

// convert begins the conversions that are worth while, one in a domain at a time, the
// most useful first.
func (r *round) convert() {
	if !r.Traffic && r.layout == nil {
		return
	}
	free := r.free()
	looked := r.domainsToLookAt(free)
	if len(looked) == 0 {
		return
	}
	for {
		best, domain := r.bestConversion(free, looked)
		if best == nil {
			return
		}
		r.converting[domain], r.converted[domain] = best, r.Now
		for _, id := range best.members {
			r.taken[id] = true
		}
		free[domain] = nil
		for name := range best.lost {
			r.gave[name] = r.Now
		}
		r.settled = r.settled.less(best.lost).plus(best.forms)
		r.advanceConversion(domain)
	}
}

// domainsToLookAt lists the domains in which a conversion may have become worth while:
// those where instances came free, and all of them every now and then.
func (r *round) domainsToLookAt(free map[models.Domain][]models.InstanceID) []models.Domain {
	all := r.Now.Sub(r.looked) >= lookEvery
	if all {
		r.looked = r.Now
	}
	var out []models.Domain
	for _, domain := range r.allDomains() {
		if all || len(free[domain]) > r.freeThen[domain] {
			out = append(out, domain)
		}
		r.freeThen[domain] = len(free[domain])
	}
	return out
}

// bestConversion is the conversion that brings most, of those that bring enough.
func (r *round) bestConversion(free map[models.Domain][]models.InstanceID, domains []models.Domain) (best *conversion, in models.Domain) {
	most := 0.0
	packs, have := r.packAll(free)
	donors, releasing := r.donors(), r.releasing()
	for _, domain := range domains {
		if r.converting[domain] != nil || r.Now.Sub(r.converted[domain]) < convertEvery {
			continue
		}
		elsewhere := have.less(packs[domain])
		for _, to := range r.Profile.Models {
			c := r.conversionIn(to, free[domain], donors[domain], elsewhere)
			if c == nil || r.tooEarly(c) || releasing[domain][to.Name] > 0 {
				continue
			}
			if gain := r.gain(c, elsewhere, packs[domain]); gain > most {
				best, in, most = c, domain, gain
			}
		}
	}
	return best, in
}

// tooEarly reports whether too little is known yet for a conversion, or the model has
// just given groups away. Before there is traffic only a model without any group is
// given one.
func (r *round) tooEarly(c *conversion) bool {
	if !r.Traffic {
		return r.settled[c.model.Name] > 0
	}
	gave, ever := r.gave[c.model.Name]
	return c.shifts && (r.Now.Sub(r.began) < knowLoads || ever && r.Now.Sub(gave) < convertFor)
}

// packAll tells what is formed of the free instances of each domain without
// conversions, and what there will be with all of that.
func (r *round) packAll(free map[models.Domain][]models.InstanceID) (packs map[models.Domain]supply, have supply) {
	packs, have = map[models.Domain]supply{}, r.settled
	for _, domain := range r.allDomains() {
		packs[domain] = r.pack(free[domain], have)
		have = have.plus(packs[domain])
	}
	return packs, have
}

// gain is by how much a conversion lowers the cost, against what is formed without it
// and less what it costs meanwhile; 0 if it is not worth while.
func (r *round) gain(c *conversion, have, without supply) float64 {
	if c.shifts {
		have = have.plus(r.mending)
	}
	now, during := r.cost(have.plus(without)), have.less(c.lost)
	meanwhile := (r.cost(during) - now) * c.takes.Seconds() / convertFor.Seconds()
	benefit := now - r.cost(during.plus(c.forms)) - meanwhile
	if benefit < leastBenefit {
		return 0
	}
	return benefit
}

// releasing counts the members of broken groups of each model that are about to come
// free, by domain.
func (r *round) releasing() map[models.Domain]supply {
	out := map[models.Domain]supply{}
	for id, i := range r.Instances {
		if i.Group.State == models.MemberNone || !r.usable(id) || r.taken[id] || r.released(id) {
			continue
		}
		if out[i.Domain] == nil {
			out[i.Domain] = supply{}
		}
		out[i.Domain][ModelOf(i.Group.Key.Name)]++
	}
	return out
}

// conversionIn picks the members for a group of the model: free ones first, and then
// those of as few groups of other models as it takes, the smallest first.
func (r *round) conversionIn(to models.ModelProfile, free []models.InstanceID, donors []*Group, have supply) *conversion {
	c := &conversion{model: to, until: r.Now.Add(convertWithin), lost: supply{}}
	pool := slices.Clone(free)
	able := r.count(pool, to.Name)
	if able >= to.Size {
		return nil
	}
	c.shifts = 2*able < to.Size
	for _, d := range donors {
		if able >= to.Size {
			break
		}
		gives := r.count(r.usableOf(d), to.Name)
		if d.Model == to.Name || gives == 0 {
			continue
		}
		c.closes = append(c.closes, d)
		c.lost[d.Model] += len(d.Members)
		pool = append(pool, r.usableOf(d)...)
		able += gives
	}
	if able < to.Size || len(c.closes) == 0 {
		return nil
	}
	slices.SortStableFunc(pool, func(a, b models.InstanceID) int { return cmp.Compare(r.joinTime(a, to), r.joinTime(b, to)) })
	c.members = slices.Clone(pool[:to.Size])
	c.takes = closeTime + r.joinTime(c.members[to.Size-1], to) + r.Profile.FormTime
	own := supply{to.Name: to.Size}
	c.forms = own.plus(r.pack(pool[to.Size:], have.less(c.lost).plus(own)))
	return c
}

// pack tells what a pool of instances would form, beside what there is: of the model
// with the greatest benefit, one group after another.
func (r *round) pack(pool []models.InstanceID, have supply) supply {
	forms := supply{}
	if len(pool) < r.smallest().Size {
		return forms
	}
	for {
		formed := false
		for _, m := range r.byBenefit(have.plus(forms)) {
			if r.count(pool, m.Name) < m.Size {
				continue
			}
			pool = r.without(pool, m)
			forms[m.Name] += m.Size
			formed = true
			break
		}
		if !formed {
			return forms
		}
	}
}

// without leaves out the members of a group of the model, first those that could join
// no other.
func (r *round) without(pool []models.InstanceID, m models.ModelProfile) []models.InstanceID {
	others := func(id models.InstanceID) int {
		n := 0
		for _, o := range r.Profile.Models {
			if o.Name != m.Name && IsWarm(r.Instances[id], o.Name) {
				n++
			}
		}
		return n
	}
	sorted := slices.Clone(pool)
	slices.SortStableFunc(sorted, func(a, b models.InstanceID) int { return others(a) - others(b) })
	taken := 0
	return slices.DeleteFunc(sorted, func(id models.InstanceID) bool {
		take := taken < m.Size && IsWarm(r.Instances[id], m.Name)
		if take {
			taken++
		}
		return take
	})
}

// count is how many of the instances have a model's weights.
func (r *round) count(ids []models.InstanceID, model models.ModelName) int {
	n := 0
	for _, id := range ids {
		if IsWarm(r.Instances[id], model) {
			n++
		}
	}
	return n
}

// usableOf lists the members of a group that may be used.
func (r *round) usableOf(g *Group) []models.InstanceID {
	var out []models.InstanceID
	for rank := range len(g.Members) {
		if id, there := g.Members[rank]; there && r.usable(id) && !r.Unproven[id] {
			out = append(out, id)
		}
	}
	return out
}

// donors lists the groups of each domain that serve and could be closed, the smallest
// and oldest first.
func (r *round) donors() map[models.Domain][]*Group {
	out := map[models.Domain][]*Group{}
	for _, g := range r.groups {
		if g.Serving() && g.Head != "" && r.forming[g.Key] == nil && r.ending[g.Key] == nil {
			domain := r.Instances[g.Head].Domain
			out[domain] = append(out[domain], g)
		}
	}
	for _, groups := range out {
		slices.SortFunc(groups, func(a, b *Group) int {
			return cmp.Or(cmp.Compare(len(a.Members), len(b.Members)), cmp.Compare(a.Key.Epoch, b.Key.Epoch))
		})
	}
	return out
}

// advanceConversions goes on with the conversions under way.
func (r *round) advanceConversions() {
	for domain, c := range r.converting {
		r.advanceConversion(domain)
		if r.converting[domain] == c {
			r.settled = r.settled.plus(c.forms)
		}
	}
}

// advanceConversion closes the groups that are to be closed and forms the new one once
// all its members are free.
func (r *round) advanceConversion(domain models.Domain) {
	c := r.converting[domain]
	free := true
	for _, id := range c.members {
		if !r.usable(id) || r.Now.After(c.until) {
			delete(r.converting, domain)
			return
		}
		if r.released(id) {
			r.taken[id] = true
			continue
		}
		free = false
	}
	for _, g := range c.closes {
		if now := r.groups[g.Key]; now != nil && now.Serving() {
			r.end(g.Key, g.Head, types.GroupFinish)
		}
	}
	if !free {
		return
	}
	delete(r.converting, domain)
	r.form(candidate{model: c.model, members: c.members, loading: map[models.InstanceID]bool{}, ready: c.model.Warm})
}
