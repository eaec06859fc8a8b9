package planner

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// OrderRendezvousKey returns the rendezvous hashing key that selects the daemon that gives orders
// to the instances of a fabric domain. The key is per domain so that one daemon gives all orders to
// a group.
func OrderRendezvousKey(d models.Domain) string { return "orders/" + string(d) }

// Orders returns, by domain, the orders that bring the instances in line with the state and
// that make spares preload weights. Only instances with fresh evidence get an order. At most
// Rules.MaxLoads instances load weights concurrently, and the groups with the fewest
// members that lack weights come first: a group with seven of eight members loaded can't
// serve yet.
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

// orderRound is the working state of one call of Orders.
type orderRound struct {
	Input
	dispatches map[models.Domain][]types.Dispatch
	loading    int
	// loadingDomains holds the domains in which a group member is loading weights or is
	// ordered to.
	loadingDomains map[models.Domain]bool
	// prepared counts the spares of each domain that have preloaded weights, are loading
	// them, or are ordered to.
	prepared map[models.Domain]int
}

// membersWithoutWeights counts the members that don't have the group's weights yet.
func membersWithoutWeights(in Input, g models.Group) int {
	n := 0
	for _, m := range g.Members {
		if s := in.Evidence[m.ID].Status; s.Model != g.Model || s.Version != g.Version {
			n++
		}
	}
	return n
}

func hasFreshEvidence(in Input, e Evidence) bool { return e.alive(in.Now, in.Rules.MaxEvidenceAge) }

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

// orderSpare orders an instance that belongs to no group to leave the group that it still
// reports, or to preload weights. The fence is the last applied offset: it is larger than
// that of any group that has ended, and smaller than that of any group formed later.
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

// maxPreparedSparesPerDomain is how many spares of a domain preload weights.
const maxPreparedSparesPerDomain = 2

// modelToPrepare returns the model whose weights a spare should preload: the model with the
// most groups in its domain. It returns false while a group member of the domain is loading.
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
