package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// candidate is a group that could be formed.
type candidate struct {
	model   models.ModelProfile
	members []models.InstanceID
	loading map[models.InstanceID]bool
	// ready is how long the slowest member takes.
	ready time.Duration
}

// formAll forms groups of free instances, the model that lacks most first.
func (r *round) formAll() {
	if !r.Traffic {
		r.planLayout()
	}
	choices := newChoices(r.free())
	for {
		domain, c, found := r.best(choices)
		if !found {
			return
		}
		r.form(c)
		choices.use(domain, c.members)
	}
}

// choices are the groups that could be formed next. What a domain could form changes only
// when one is formed there, so it is found out once until then: found out anew for each
// group, it kept a planner with thousands of free instances from being heard until another
// one took over.
type choices struct {
	domains []models.Domain
	free    map[models.Domain][]models.InstanceID
	known   map[models.Domain]map[models.ModelName]choice
}

// choice is the group that a domain could form of a model, if it can form one.
type choice struct {
	candidate
	possible bool
}

func newChoices(free map[models.Domain][]models.InstanceID) *choices {
	return &choices{domains: slices.Sorted(maps.Keys(free)), free: free, known: map[models.Domain]map[models.ModelName]choice{}}
}

// of is what a domain could form of a model.
func (c *choices) of(r *round, model models.ModelProfile, domain models.Domain) choice {
	known, there := c.known[domain][model.Name]
	if there {
		return known
	}
	if c.known[domain] == nil {
		c.known[domain] = map[models.ModelName]choice{}
	}
	known.candidate, known.possible = r.candidate(model, domain, c.free[domain])
	c.known[domain][model.Name] = known
	return known
}

// use takes members of a group that is formed from the free instances of their domain.
func (c *choices) use(domain models.Domain, members []models.InstanceID) {
	c.free[domain] = slices.DeleteFunc(c.free[domain], func(id models.InstanceID) bool { return slices.Contains(members, id) })
	delete(c.known, domain)
}

// free lists the instances that may be used, by fabric domain.
func (r *round) free() map[models.Domain][]models.InstanceID {
	out := map[models.Domain][]models.InstanceID{}
	for _, id := range slices.Sorted(maps.Keys(r.Instances)) {
		_, held := r.held[id]
		if !r.usable(id) || r.Unproven[id] || r.taken[id] || held || !r.released(id) {
			continue
		}
		out[r.Instances[id].Domain] = append(out[r.Instances[id].Domain], id)
	}
	return out
}

// released reports whether an instance's last group has let go of it.
func (r *round) released(id models.InstanceID) bool {
	m := r.Instances[id].Group
	if m.State == models.MemberNone {
		return true
	}
	e := r.ending[m.Key]
	return e != nil && e.closed
}

// best picks the group to form next, and where: of the model that lacks most, where it
// is ready soonest.
func (r *round) best(c *choices) (models.Domain, candidate, bool) {
	for _, model := range r.byNeed() {
		var best choice
		var at models.Domain
		for _, domain := range c.domains {
			next := c.of(r, model, domain)
			if next.possible && (!best.possible || next.better(best.candidate)) {
				best, at = next, domain
			}
		}
		if best.possible {
			return at, best.candidate, true
		}
	}
	return "", candidate{}, false
}

func (c candidate) better(o candidate) bool {
	if c.ready != o.ready {
		return c.ready < o.ready
	}
	return len(c.loading) < len(o.loading)
}

// byNeed lists the models, the one that lacks the greatest part of what it
// needs first.
func (r *round) byNeed() []models.ModelProfile {
	out := slices.Clone(r.Profile.Models)
	supply := func(m models.ModelProfile) float64 {
		// Half a group more, so that a model without any comes first.
		return (float64(r.settled[m.Name]) + float64(m.Size)/2) / r.need(m)
	}
	slices.SortStableFunc(out, func(a, b models.ModelProfile) int { return cmp.Compare(supply(a), supply(b)) })
	return out
}

// candidate is the group of the model that is ready soonest in the domain. Once
// there is traffic it has only members with the weights at hand: an empty
// instance loads them first, and may be of more use to another model by then.
// Before, loads are cheap, and the layout tells what is formed by them.
func (r *round) candidate(model models.ModelProfile, domain models.Domain, ids []models.InstanceID) (candidate, bool) {
	if len(ids) < model.Size {
		return candidate{}, false
	}
	sorted := slices.Clone(ids)
	slices.SortStableFunc(sorted, func(a, b models.InstanceID) int {
		return cmp.Compare(r.joinTime(a, model), r.joinTime(b, model))
	})
	c := candidate{model: model, members: sorted[:model.Size:model.Size], loading: map[models.InstanceID]bool{}}
	for _, id := range c.members {
		t := r.joinTime(id, model)
		if _, under := r.staging[id]; under && t >= model.Load {
			// It comes into question once its weights are there.
			return candidate{}, false
		}
		c.ready = max(c.ready, t)
		if t >= model.Load {
			c.loading[id] = true
		}
	}
	if len(c.loading) == 0 {
		return c, true
	}
	wanted := r.layout[domain][model.Name] * model.Size
	return c, !r.Traffic && r.settledIn[domain][model.Name] < wanted && r.mayLoad(len(c.loading))
}

// joinTime is how long the instance takes to join a group of the model.
func (r *round) joinTime(id models.InstanceID, model models.ModelProfile) time.Duration {
	i := r.Instances[id]
	switch {
	case i.Loaded == model.Name:
		return Rejoin
	case slices.Contains(i.Staged, model.Name):
		return model.Warm
	default:
		return model.Load
	}
}

// mayLoad reports whether so many loads may begin now.
func (r *round) mayLoad(n int) bool {
	if !r.Traffic {
		// They don't slow each other yet: 44 at once took no longer each.
		return true
	}
	most := r.Profile.LoadsAtOnce
	bound := r.Profile.LoadsPerSecond * loadWindow.Seconds() * loadMargin
	return (r.loading == 0 || r.loading+n <= most) && float64(len(r.loads)+n) <= bound
}

func (r *round) form(c candidate) {
	f := &formation{
		key: r.newKey(c.model.Name), model: c.model.Name, members: c.members,
		joined: map[models.InstanceID]bool{}, loading: c.loading, deadline: r.givenUp(c.ready),
	}
	for range c.loading {
		r.loads = append(r.loads, r.Now)
	}
	r.forming[f.key] = f
	r.take(f)
	r.advance(f)
}
