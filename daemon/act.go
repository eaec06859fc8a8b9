package daemon

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// turnStep is how much longer each daemon later in turn waits before it
	// acts on something that still stands.
	turnStep = 2 * time.Second
	// replanEvery is how often planning goes on while nothing has changed:
	// its waits pass all the same.
	replanEvery = time.Second
	// orderAgain is how long an instance is given to follow an order.
	orderAgain = time.Second
	// daemonGone is how long a daemon of the roster may be silent.
	daemonGone = 15 * time.Second
)

// plan does what should be done now and is this daemon's turn.
func (o *owner) plan(now time.Time) {
	o.expireProposals(now)
	if !o.isCurrent(now) || o.superseded || (!o.replan && now.Sub(o.planned) < replanEvery) {
		return
	}
	o.replan, o.planned = false, now
	in := planner.Input{
		State: o.state, Instances: o.instances, Evidence: o.evidence, Now: now,
		Rules: planner.DefaultRules(o.d.cfg.ReplaceAfter, o.d.cfg.GateBound),
	}
	o.sendOrders(in)
	if o.logError != nil {
		return
	}
	o.join()
	o.propose(in)
	o.removeSilent(now)
	o.writeCheckpoint(now)
}

// join puts this daemon on the roster.
func (o *owner) join() {
	const key = "join"
	me := o.state.Daemons[o.d.cfg.ID]
	if me.Incarnation == o.d.incarnation || o.pendingFor(key) {
		return
	}
	o.append(state.JoinDaemon{
		Daemon: models.Daemon{
			ID: o.d.cfg.ID, Zone: o.d.cfg.Zone, Peer: o.d.peerAddr, Incarnation: o.d.incarnation,
		},
		PreviousIncarnation: me.Incarnation,
	}, nil, key)
}

// propose appends what the planner wants. A daemon later in turn waits to
// see whether those before it act.
func (o *owner) propose(in planner.Input) {
	wanted := map[string]time.Time{}
	for _, p := range planner.Plan(in) {
		key := proposalKey(p)
		since, stood := o.standing[key]
		if !stood {
			since = in.Now
		}
		wanted[key] = since
		wait := time.Duration(o.rank(p.RendezvousKey, in.Now)) * turnStep
		if in.Now.Sub(since) < wait || o.pendingFor(key) {
			continue
		}
		o.append(p.Body, nil, key)
	}
	o.standing = wanted
}

// proposalKey is the same for the same wish on any state.
func proposalKey(p planner.Proposal) string {
	switch body := p.Body.(type) {
	case state.FormGroup:
		if len(body.Replaces) > 0 {
			return fmt.Sprintf("replace/%s", body.Replaces[0].ID)
		}
		return fmt.Sprintf("form/%s/%s/%s", body.Group.Model, body.Group.Domain, body.Group.Members[0].ID)
	case state.RetireGroup:
		return fmt.Sprintf("retire/%s", body.Group.ID)
	case state.EndGroup:
		return fmt.Sprintf("end/%s", body.Group.ID)
	default:
		return fmt.Sprintf("%T", body)
	}
}

// sendOrders gives the orders of the fabric domains that are this daemon's
// turn.
func (o *owner) sendOrders(in planner.Input) {
	for domain, dispatches := range planner.Orders(in) {
		if o.rank(planner.OrderRendezvousKey(domain), in.Now) != 0 {
			continue
		}
		for _, d := range dispatches {
			o.dispatch(d)
		}
	}
}

func (o *owner) dispatch(d types.Dispatch) {
	if d.Decided.Sub(o.ordered[d.Instance]) < orderAgain {
		return
	}
	select {
	case o.d.orders <- d:
		o.ordered[d.Instance] = d.Decided
		o.d.stats.orders.Inc()
	default:
		// All orderers are busy. The order is decided anew next time.
	}
}

func (o *owner) handleOrderEnded(msg types.OrderEnded) {
	if msg.Err == nil {
		return
	}
	o.d.stats.ordersFailed.Inc()
	o.d.log.Warn().Err(msg.Err).Str("instance", string(msg.Dispatch.Instance)).
		Str("order", string(msg.Dispatch.Order.Kind)).Uint64("fence", uint64(msg.Dispatch.Order.Fence)).Msg("order-failed")
}

// removeSilent takes daemons off the roster that have been silent for long.
func (o *owner) removeSilent(now time.Time) {
	if !o.majorityProof(now).After(now.Add(-o.d.cfg.CurrentBound)) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(o.state.Daemons)) {
		d := o.state.Daemons[id]
		if id == o.d.cfg.ID || now.Sub(o.peers[id].Seen) < daemonGone {
			delete(o.silent, id)
			continue
		}
		if _, noted := o.silent[id]; !noted {
			o.silent[id] = now
		}
		key := fmt.Sprintf("leave/%s", id)
		patience := daemonGone/2 + time.Duration(o.rank(key, now))*turnStep
		if now.Sub(o.silent[id]) >= patience && !o.pendingFor(key) {
			o.append(state.LeaveDaemon{ID: id, Incarnation: d.Incarnation, Reason: "it has been silent"}, nil, key)
		}
	}
}
