package cluster

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// plannerGroup is the store's group whose member that holds partition 0
	// plans the replica groups.
	plannerGroup = "lupinkeel-planner"
	plannerTopic = "planner"
	plannerPart  = 0
	// termsTopic gives each planner its term: the place of its record.
	termsTopic = "terms"
	// termEraBits is how far an era of the store is shifted in a term: it has room for a
	// million terms, and for 8,000 eras until a fence leaves the whole numbers that JSON
	// carries exactly.
	termEraBits = 20
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

// holdLease keeps asking the store for the planner's lease while this node is a
// candidate for it.
func (n *Node) holdLease(ctx context.Context) error {
	h := leaseHolder{n: n, member: string(n.cfg.ID) + "-" + time.Unix(0, n.started).UTC().Format("150405.000")}
	defer n.leaveLease(ctx, h.member)
	if err := pause(ctx, meetOthers); err != nil {
		return err
	}
	for {
		wait := askPause
		if n.View().candidate {
			asked := time.Now()
			if err := h.ask(ctx); err != nil {
				return err
			}
			// The wait for the answer counts: where it is long the lease would end else.
			wait = n.cfg.LeaseMin/renewDiv - time.Since(asked)
		} else {
			h.standAside(ctx)
		}
		if err := pause(ctx, wait); err != nil {
			return err
		}
	}
}

// leaseHolder is a node as a member of the store's group of planners.
type leaseHolder struct {
	n      *Node
	member string
	// generation is what the store named last, term the one in which the node
	// holds the lease, 0 if it does not.
	generation int64
	term       int64
	// era is the store's in which the term began.
	era int64
	// told is the term that the owner was told last.
	told int64
}

// ask asks for the lease, or for more of it, and tells the owner what came of
// that. It fails only if the context ended.
func (h *leaseHolder) ask(ctx context.Context) error {
	n, ttl := h.n, h.n.cfg.LeaseMin
	n.leasing.Store(true)
	asked := time.Now()
	held, lease, err := n.renew(ctx, h.member, ttl, h.generation)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		n.stats.storeErrors.Inc()
		n.tell(ctx, storeAway{what: plannerGroup, err: err})
		return nil
	}
	h.generation = lease.Generation
	era := lease.Era
	if !held {
		h.endTerm(ctx, "dealt to another")
		return nil
	}
	if h.term == 0 || h.term == n.spentTerm.Load() || h.era < era {
		// The store forgets terms that were begun shortly before it came back from a copy;
		// one that it has forgotten may be another's now.
		h.term, h.era = n.beginTerm(ctx)
	}
	if h.term != 0 {
		h.tellHeld(ctx, leaseHeld{term: h.term, until: asked.Add(ttl - leaseMargin)})
	}
	return nil
}

// tellHeld tells the owner of a new term. That a lease was renewed it reads itself:
// with 3,000 instances 256 messages waited for the owner, and the word of the
// renewal, as well as the renewal after it, came after the lease had ended.
func (h *leaseHolder) tellHeld(ctx context.Context, l leaseHeld) {
	h.n.lease.Store(&l)
	if h.told != l.term {
		h.n.tell(ctx, l)
	}
	h.told = l.term
}

// standAside leaves the lease to other candidates.
func (h *leaseHolder) standAside(ctx context.Context) {
	h.endTerm(ctx, "others come before this one")
	if h.n.leasing.Load() {
		h.n.leaveLease(ctx, h.member)
	}
	h.generation = 0
}

// endTerm tells the owner, if the node held the lease, that it does no more.
func (h *leaseHolder) endTerm(ctx context.Context, reason string) {
	if h.term != 0 {
		h.n.tell(ctx, leaseLost{reason: reason})
	}
	h.term = 0
}

// renew asks for the lease and reports whether this node holds it, with what the store
// answered.
func (n *Node) renew(ctx context.Context, member string, ttl time.Duration, generation int64) (bool, platform.Lease, error) {
	n.stats.storeCalls(plannerGroup).Inc()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	lease, err := n.store.Renew(ctx, plannerGroup, member, plannerTopic, ttl, generation)
	if err != nil {
		return false, lease, err
	}
	return slices.Contains(lease.Partitions, plannerPart), lease, nil
}

// beginTerm returns a term newer than all before, and its era; 0 if the store gave
// none, so that it is asked again at the next renewal.
func (n *Node) beginTerm(ctx context.Context) (term, era int64) {
	n.stats.storeCalls(termsTopic).Inc()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	at, err := n.store.Append(ctx, termsTopic, binary.BigEndian.AppendUint64(nil, uint64(n.started)))
	if err != nil {
		n.log.Warn().Err(err).Msg("term-not-begun")
		return 0, 0
	}
	return at.Era<<termEraBits + at.Offset + 1, at.Era
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
