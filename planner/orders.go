package planner

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// OrderKey is the key of the order of turn for orders to an instance: its
// fabric domain, so that one daemon gives a group all of its orders.
func OrderKey(d models.Domain) string { return "orders/" + string(d) }

// Orders lists the orders that make the instances do what the state says,
// and that let spares load weights ahead of need. Only instances whose own
// word is at hand get one: an order is never given on a guess. Orders that
// make an instance load weights are given to the group first that lacks the
// fewest, and no more at once than the rules allow: a group with seven of
// eight loaded serves nobody.
func Orders(in Input) map[models.Domain][]types.Dispatch {
	o := &orderRound{Input: in, dispatches: map[models.Domain][]types.Dispatch{}, loadingDomains: map[models.Domain]bool{}}
	for id, e := range in.Evidence {
		if e.Status.Phase == types.PhaseLoading && hasFreshEvidence(in, e) {
			o.loading++
			if e.Status.Group != "" {
				o.loadingDomains[in.Instances[id].Domain] = true
			}
		}
	}
	groups := slices.SortedFunc(maps.Values(in.State.Groups), func(a, b models.Group) int {
		return cmp.Or(cmp.Compare(membersWithoutWeights(in, a), membersWithoutWeights(in, b)), cmp.Compare(a.Fence, b.Fence))
	})
	for _, g := range groups {
		o.orderGroup(g)
	}
	for _, id := range slices.Sorted(maps.Keys(in.Instances)) {
		o.orderSpare(in.Instances[id])
	}
	return o.dispatches
}

// ordering is one round of orders.
type orderRound struct {
	Input
	dispatches map[models.Domain][]types.Dispatch
	loading    int
	// busy are the domains in which a group's member loads or is told to.
	loadingDomains map[models.Domain]bool
	// preparing counts the spares of each domain that hold weights or are
	// told to load them.
	prepared map[models.Domain]int
}

// lacking counts the members that have no weights yet.
func membersWithoutWeights(in Input, g models.Group) int {
	n := 0
	for _, m := range g.Members {
		if s := in.Evidence[m.ID].Status; s.Model != g.Model || s.Version != g.Version {
			n++
		}
	}
	return n
}

func hasFreshEvidence(in Input, e Evidence) bool { return e.alive(in.Now, in.Rules.Bound) }

func (o *orderRound) orderGroup(g models.Group) {
	addrs := make([]netip.AddrPort, 0, len(g.Members))
	for _, m := range g.Members {
		addrs = append(addrs, m.Addr)
	}
	for rank, m := range g.Members {
		e, known := o.Evidence[m.ID]
		if !known || !hasFreshEvidence(o.Input, e) || e.Status.Fence >= g.Fence {
			continue
		}
		needsLoad := e.Status.Model != g.Model || e.Status.Version != g.Version
		if needsLoad && o.loading >= o.Rules.MaxLoads {
			continue
		}
		if needsLoad {
			o.loading++
			o.loadingDomains[g.Domain] = true
		}
		o.dispatches[g.Domain] = append(o.dispatches[g.Domain], types.Dispatch{
			Instance: m.ID, Addr: m.Addr, Decided: o.Now,
			Order: types.Order{
				Kind: types.OrderLoad, Group: g.ID, Fence: g.Fence,
				Model: g.Model, Version: g.Version, Rank: rank, Members: addrs,
			},
		})
	}
}

// orderSpare tells an instance of no group to leave the group that it still
// believes in, or to load weights ahead of need. The fence is the last
// offset applied: larger than that of any group that has ended, smaller than
// that of any group formed later.
func (o *orderRound) orderSpare(i models.Instance) {
	e, known := o.Evidence[i.ID]
	_, owned := o.State.Owner(i.ID)
	if !known || owned || i.Kind != models.KindEngine || !hasFreshEvidence(o.Input, e) || e.Status.Fence > o.State.Applied {
		return
	}
	order := types.Order{Kind: types.OrderLeave, Group: e.Status.Group, Fence: o.State.Applied}
	if e.Status.Group == "" {
		m, wanted := o.modelToPrepare(i, e)
		if !wanted {
			return
		}
		order = types.Order{Kind: types.OrderPrepare, Fence: o.State.Applied, Model: m.Name, Version: m.Version}
	}
	o.dispatches[i.Domain] = append(o.dispatches[i.Domain], types.Dispatch{Instance: i.ID, Addr: i.Addr, Decided: o.Now, Order: order})
}

// sparesPrepared is how many spares of a domain hold weights ahead of need.
const maxPreparedSparesPerDomain = 2

// prepare tells which model's weights a spare should load: those that most
// groups of its domain serve. It waits while a group of the domain loads.
func (o *orderRound) modelToPrepare(i models.Instance, e Evidence) (models.Model, bool) {
	_, drained := o.State.Drained[i.ID]
	if drained || i.Leaving || e.Status.Leaving || !e.stable(o.Now) {
		return models.Model{}, false
	}
	m, ok := o.mostServedModel(i.Domain)
	if !ok || o.loadingDomains[i.Domain] {
		return models.Model{}, false
	}
	if o.prepared == nil {
		o.prepared = map[models.Domain]int{}
	}
	if o.prepared[i.Domain] >= maxPreparedSparesPerDomain {
		return models.Model{}, false
	}
	o.prepared[i.Domain]++
	if e.hasWeights(m) || e.Status.Phase == types.PhaseLoading || o.loading >= o.Rules.MaxLoads/2 {
		return models.Model{}, false
	}
	o.loading++
	return m, true
}

func (o *orderRound) mostServedModel(d models.Domain) (models.Model, bool) {
	counts := map[models.ModelName]int{}
	for _, g := range o.State.Groups {
		if m := o.State.Models[g.Model]; g.Domain == d && g.Retiring == 0 && m.Version == g.Version {
			counts[g.Model]++
		}
	}
	var best models.ModelName
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if best == "" || counts[name] > counts[best] {
			best = name
		}
	}
	m, ok := o.State.Models[best]
	return m, ok
}
