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
	// rankDelay is how much longer a daemon waits, per rank, before it acts on a proposal that is
	// still wanted.
	rankDelay = 2 * time.Second
	// idlePlanInterval is the interval of planning while nothing has changed, because the
	// planner's waits end without a change of its input.
	idlePlanInterval = time.Second
	// orderRetryAfter is how long an instance has to follow an order before it is sent another.
	orderRetryAfter = time.Second
	// removeSilentAfter is how long a daemon of the roster may be silent before it is removed.
	removeSilentAfter = 15 * time.Second
)

// plan sends the orders and proposals that are due and for which this daemon is responsible.
func (o *owner) plan(now time.Time) {
	o.expireProposals(now)
	if !o.isCurrent(now) || o.superseded || (!o.needsPlan && now.Sub(o.plannedAt) < idlePlanInterval) {
		return
	}
	o.needsPlan, o.plannedAt = false, now
	in := planner.Input{
		State: o.state, Instances: o.instances, Evidence: o.evidence, RetiringSince: o.retiringSince, Now: now,
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

// join adds this daemon to the roster.
func (o *owner) join() {
	const key = "join"
	registered := o.state.Daemons[o.d.cfg.ID]
	if registered.Incarnation == o.d.incarnation || o.isPending(key) {
		return
	}
	o.append(state.JoinDaemon{
		Daemon: models.Daemon{
			ID: o.d.cfg.ID, Zone: o.d.cfg.Zone, Peer: o.d.peerAddr, Incarnation: o.d.incarnation,
		},
		PreviousIncarnation: registered.Incarnation,
	}, nil, key)
}

// propose appends the planner's proposals. A daemon of higher rank first waits whether daemons of
// lower rank make them.
func (o *owner) propose(in planner.Input) {
	wanted := map[string]time.Time{}
	for _, p := range planner.Plan(in) {
		key := proposalKey(p)
		since, known := o.wantedSince[key]
		if !known {
			since = in.Now
		}
		wanted[key] = since
		delay := time.Duration(o.rank(p.RendezvousKey, in.Now)) * rankDelay
		if in.Now.Sub(since) < delay || o.isPending(key) {
			continue
		}
		o.append(p.Body, nil, key)
	}
	o.wantedSince = wanted
}

// proposalKey returns a key that is the same for equivalent proposals on any state.
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

// sendOrders sends the orders of the fabric domains for which this daemon has rank 0.
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
	if d.Decided.Sub(o.lastOrderAt[d.Instance]) < orderRetryAfter {
		return
	}
	select {
	case o.d.orders <- d:
		o.lastOrderAt[d.Instance] = d.Decided
		o.d.stats.orders.Inc()
	default:
		// All orderers are busy. A later round of planning decides the order again.
	}
}

func (o *owner) handleOrderResult(msg types.OrderResult) {
	if msg.Err == nil {
		return
	}
	o.d.stats.ordersFailed.Inc()
	o.d.log.Warn().Err(msg.Err).Str("instance", string(msg.Dispatch.Instance)).
		Str("order", string(msg.Dispatch.Order.Kind)).Uint64("fence", uint64(msg.Dispatch.Order.Fence)).Msg("order-failed")
}

// removeSilent removes daemons from the roster that have been silent for long.
func (o *owner) removeSilent(now time.Time) {
	if !o.majorityCurrentAt(now).After(now.Add(-o.d.cfg.CurrentBound)) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(o.state.Daemons)) {
		d := o.state.Daemons[id]
		if id == o.d.cfg.ID || now.Sub(o.peers[id].LastSeen) < removeSilentAfter {
			delete(o.silentSince, id)
			continue
		}
		if _, known := o.silentSince[id]; !known {
			o.silentSince[id] = now
		}
		key := fmt.Sprintf("leave/%s", id)
		threshold := removeSilentAfter/2 + time.Duration(o.rank(key, now))*rankDelay
		if now.Sub(o.silentSince[id]) >= threshold && !o.isPending(key) {
			o.append(state.LeaveDaemon{ID: id, Incarnation: d.Incarnation, Reason: "it has been silent"}, nil, key)
		}
	}
}
