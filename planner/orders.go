package planner

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// OrderKey is the key of the order of turn for orders to an instance: its
// fabric domain, so that one daemon gives a group all of its orders.
func OrderKey(d models.Domain) string { return "orders/" + string(d) }

// Orders lists the orders that make the instances do what the state says.
// Only instances whose own word is at hand get one: an order is never given
// on a guess.
func Orders(in Input) map[models.Domain][]types.Dispatch {
	out := map[models.Domain][]types.Dispatch{}
	for _, g := range in.State.Groups {
		out[g.Domain] = append(out[g.Domain], loadOrders(in, g)...)
	}
	for _, i := range in.Instances {
		if d, ok := leaveOrder(in, i); ok {
			out[i.Domain] = append(out[i.Domain], d)
		}
	}
	for _, dispatches := range out {
		slices.SortFunc(dispatches, func(a, b types.Dispatch) int { return cmp.Compare(a.Instance, b.Instance) })
	}
	return out
}

func loadOrders(in Input, g models.Group) []types.Dispatch {
	var out []types.Dispatch
	addrs := make([]netip.AddrPort, 0, len(g.Members))
	for _, m := range g.Members {
		addrs = append(addrs, m.Addr)
	}
	for rank, m := range g.Members {
		e, known := in.Evidence[m.ID]
		if !known || !fresh(in, e) || e.Status.Fence >= g.Fence {
			continue
		}
		out = append(out, types.Dispatch{
			Instance: m.ID, Addr: m.Addr, Decided: in.Now,
			Order: types.Order{
				Kind: types.OrderLoad, Group: g.ID, Fence: g.Fence,
				Model: g.Model, Version: g.Version, Rank: rank, Members: addrs,
			},
		})
	}
	return out
}

// leaveOrder tells an instance to leave a group that the state does not
// know. Its fence is the last offset applied: larger than the group's, and
// smaller than that of any group formed later.
func leaveOrder(in Input, i models.Instance) (types.Dispatch, bool) {
	e, known := in.Evidence[i.ID]
	_, owned := in.State.Owner(i.ID)
	if !known || owned || !fresh(in, e) || e.Status.Group == "" || e.Status.Fence > in.State.Applied {
		return types.Dispatch{}, false
	}
	return types.Dispatch{
		Instance: i.ID, Addr: i.Addr, Decided: in.Now,
		Order: types.Order{Kind: types.OrderLeave, Group: e.Status.Group, Fence: in.State.Applied},
	}, true
}

func fresh(in Input, e Evidence) bool {
	return e.Silent == 0 && in.Now.Sub(e.Seen) <= in.Rules.Bound
}
