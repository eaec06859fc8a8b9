package cluster

import (
	"context"
	"encoding/binary"
	"time"
)

const (
	// plannerGroup is the store's group whose member that holds partition 0
	// plans the replica groups.
	plannerGroup = "lupinkeel-planner"
	plannerTopic = "planner"
	plannerPart  = 0
	// termsTopic gives each planner its term: the offset of its record.
	termsTopic = "terms"
	// renewDiv is how many times a lease is renewed while it lasts. It lasts
	// as short as the store grants, so that another takes over soon.
	renewDiv = 4
	// leaseMargin is how much sooner than the store a holder takes its lease
	// for ended.
	leaseMargin = 100 * time.Millisecond
	// meetOthers is how long a daemon waits at its start to hear of others
	// before it asks for the lease.
	meetOthers = 350 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = 400 * time.Millisecond
)

// holdLease keeps asking the store for the planner's lease.
func (n *Node) holdLease(ctx context.Context) error {
	ttl := n.cfg.LeaseMin
	var generation, term int64
	member := string(n.cfg.ID) + "-" + time.Unix(0, n.started).UTC().Format("150405.000")
	defer n.leaveLease(ctx, member)
	if err := pause(ctx, meetOthers); err != nil {
		return err
	}
	for {
		if !n.View().candidate {
			if term != 0 {
				n.tell(ctx, leaseLost{reason: "others come before this one"})
			}
			if n.leasing.Load() {
				n.leaveLease(ctx, member)
			}
			term, generation = 0, 0
			if err := pause(ctx, ttl/renewDiv); err != nil {
				return err
			}
			continue
		}
		n.leasing.Store(true)
		asked := time.Now()
		held, next, err := n.renew(ctx, member, ttl, generation)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			n.stats.storeErrors.Inc()
			n.tell(ctx, storeAway{what: plannerGroup, err: err})
		case !held:
			generation = next
			if term != 0 {
				n.tell(ctx, leaseLost{reason: "dealt to another"})
			}
			term = 0
		default:
			generation = next
			if term == 0 || term == n.spentTerm.Load() {
				term = n.beginTerm(ctx)
			}
			if term != 0 {
				n.tell(ctx, leaseHeld{term: term, until: asked.Add(ttl - leaseMargin)})
			}
		}
		if err := pause(ctx, ttl/renewDiv); err != nil {
			return err
		}
	}
}

// renew asks for the lease and reports whether this node holds it, and the
// generation to be named the next time.
func (n *Node) renew(ctx context.Context, member string, ttl time.Duration, generation int64) (bool, int64, error) {
	n.stats.storeCalls(plannerGroup).Inc()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	lease, err := n.store.Renew(ctx, plannerGroup, member, plannerTopic, ttl, generation)
	if err != nil {
		return false, generation, err
	}
	for _, part := range lease.Parts {
		if part == plannerPart {
			return true, lease.Generation, nil
		}
	}
	return false, lease.Generation, nil
}

// beginTerm returns a term newer than all before; 0 if the store gave none,
// so that it is asked again at the next renewal.
func (n *Node) beginTerm(ctx context.Context) int64 {
	n.stats.storeCalls(termsTopic).Inc()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	offset, err := n.store.Append(ctx, termsTopic, binary.BigEndian.AppendUint64(nil, uint64(n.started)))
	if err != nil {
		n.log.Warn().Err(err).Msg("term-not-begun")
		return 0
	}
	return offset + 1
}

// leaveLease lets another take over at once.
func (n *Node) leaveLease(ctx context.Context, member string) {
	n.leasing.Store(false)
	n.stats.storeCalls(plannerGroup).Inc()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), renewTimeout)
	defer cancel()
	if err := n.store.Leave(ctx, plannerGroup, member); err != nil {
		n.log.Info().Err(err).Msg("lease-not-given-up")
	}
}
