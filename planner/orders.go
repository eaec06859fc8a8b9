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
	o := &ordering{Input: in, out: map[models.Domain][]types.Dispatch{}, busy: map[models.Domain]bool{}}
	for id, e := range in.Evidence {
		if e.Status.Phase == types.PhaseLoading && fresh(in, e) {
			o.loads++
			if e.Status.Group != "" {
				o.busy[in.Instances[id].Domain] = true
			}
		}
	}
	groups := slices.SortedFunc(maps.Values(in.State.Groups), func(a, b models.Group) int {
		return cmp.Or(cmp.Compare(lacking(in, a), lacking(in, b)), cmp.Compare(a.Fence, b.Fence))
	})
	for _, g := range groups {
		o.orderGroup(g)
	}
	for _, id := range slices.Sorted(maps.Keys(in.Instances)) {
		o.orderSpare(in.Instances[id])
	}
	return o.out
}

// ordering is one round of orders.
type ordering struct {
	Input
	out   map[models.Domain][]types.Dispatch
	loads int
	// busy are the domains in which a group's member loads or is told to.
	busy map[models.Domain]bool
	// preparing counts the spares of each domain that hold weights or are
	// told to load them.
	preparing map[models.Domain]int
}

// lacking counts the members that have no weights yet.
func lacking(in Input, g models.Group) int {
	n := 0
	for _, m := range g.Members {
		if s := in.Evidence[m.ID].Status; s.Model != g.Model || s.Version != g.Version {
			n++
		}
	}
	return n
}

func fresh(in Input, e Evidence) bool { return e.present(in.Now, in.Rules.Bound) }

func (o *ordering) orderGroup(g models.Group) {
	addrs := make([]netip.AddrPort, 0, len(g.Members))
	for _, m := range g.Members {
		addrs = append(addrs, m.Addr)
	}
	for rank, m := range g.Members {
		e, known := o.Evidence[m.ID]
		if !known || !fresh(o.Input, e) || e.Status.Fence >= g.Fence {
			continue
		}
		loads := e.Status.Model != g.Model || e.Status.Version != g.Version
		if loads && o.loads >= o.Rules.MaxLoads {
			continue
		}
		if loads {
			o.loads++
			o.busy[g.Domain] = true
		}
		o.out[g.Domain] = append(o.out[g.Domain], types.Dispatch{
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
func (o *ordering) orderSpare(i models.Instance) {
	e, known := o.Evidence[i.ID]
	_, owned := o.State.Owner(i.ID)
	if !known || owned || i.Kind != models.KindEngine || !fresh(o.Input, e) || e.Status.Fence > o.State.Applied {
		return
	}
	order := types.Order{Kind: types.OrderLeave, Group: e.Status.Group, Fence: o.State.Applied}
	if e.Status.Group == "" {
		m, wanted := o.prepare(i, e)
		if !wanted {
			return
		}
		order = types.Order{Kind: types.OrderPrepare, Fence: o.State.Applied, Model: m.Name, Version: m.Version}
	}
	o.out[i.Domain] = append(o.out[i.Domain], types.Dispatch{Instance: i.ID, Addr: i.Addr, Decided: o.Now, Order: order})
}

// sparesPrepared is how many spares of a domain hold weights ahead of need.
const sparesPrepared = 2

// prepare tells which model's weights a spare should load: those that most
// groups of its domain serve. It waits while a group of the domain loads.
func (o *ordering) prepare(i models.Instance, e Evidence) (models.Model, bool) {
	_, drained := o.State.Drained[i.ID]
	if drained || i.Leaving || e.Status.Leaving || !e.steady(o.Now) {
		return models.Model{}, false
	}
	m, ok := o.mainModel(i.Domain)
	if !ok || o.busy[i.Domain] {
		return models.Model{}, false
	}
	if o.preparing == nil {
		o.preparing = map[models.Domain]int{}
	}
	if o.preparing[i.Domain] >= sparesPrepared {
		return models.Model{}, false
	}
	o.preparing[i.Domain]++
	if e.holds(m) || e.Status.Phase == types.PhaseLoading || o.loads >= o.Rules.MaxLoads/2 {
		return models.Model{}, false
	}
	o.loads++
	return m, true
}

func (o *ordering) mainModel(d models.Domain) (models.Model, bool) {
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
