package cluster

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// plannerGroup is the store's consumer group for the planner's lease: the member that holds
	// partition 0 is the planner.
	plannerGroup = "lupinkeel-planner"
	plannerTopic = "planner"
	plannerPart  = 0
	// termsTopic assigns terms: the position of a planner's record is its term.
	termsTopic = "terms"
	// termEraBits is the shift of the store's era in a term. It leaves room for a million terms per
	// era, and for 8,000 eras until a fence exceeds the integers that JSON carries exactly.
	termEraBits = 20
	// renewalsPerLease is how often a lease is renewed during its term. The lease is the shortest
	// that the store grants, so that another daemon takes over soon.
	renewalsPerLease = 4
	// leaseMargin is how much earlier than the store the holder regards its lease as expired.
	leaseMargin = 100 * time.Millisecond
	// peerDiscoveryDelay is how long a starting daemon waits for heartbeats of others before it
	// asks for the lease.
	peerDiscoveryDelay = 350 * time.Millisecond
	// renewTimeout bounds each call for the lease or a term.
	renewTimeout = 400 * time.Millisecond
)

// holdLease acquires and renews the planner's lease while this node is a candidate.
func (n *Node) holdLease(ctx context.Context) error {
	h := leaseHolder{n: n, member: string(n.cfg.ID) + "-" + n.startedAt.UTC().Format("150405.000")}
	defer n.releaseLease(ctx, h.member)
	if err := sleep(ctx, peerDiscoveryDelay); err != nil {
		return err
	}
	for {
		wait := ineligibleCheckInterval
		if n.View().eligible {
			wait = candidacyCheckInterval
		}
		if n.View().candidate {
			requestedAt := time.Now()
			if err := h.acquire(ctx); err != nil {
				return err
			}
			// The time for the response is part of the interval; otherwise the lease could expire
			// after a slow response.
			wait = n.cfg.LeaseMin/renewalsPerLease - time.Since(requestedAt)
		} else {
			h.release(ctx)
		}
		if err := sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// leaseHolder is this node as a member of the store's planner group.
type leaseHolder struct {
	n      *Node
	member string
	// generation is the last group generation that the store returned, term the term in which this
	// node holds the lease, 0 if it does not hold it.
	generation int64
	term       int64
	// era is the store's era in which the term began.
	era int64
	// postedTerm is the last term that was posted to the owner.
	postedTerm int64
}

// acquire acquires or renews the lease and posts the result to the owner. It returns an error only
// if the context ended.
func (h *leaseHolder) acquire(ctx context.Context) error {
	n, ttl := h.n, h.n.cfg.LeaseMin
	n.inLeaseGroup.Store(true)
	requestedAt := time.Now()
	held, lease, err := n.renew(ctx, h.member, ttl, h.generation)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case err != nil:
		n.stats.storeErrors.Inc()
		n.post(ctx, storeCallFailed{what: plannerGroup, err: err})
		return nil
	}
	h.generation = lease.Generation
	era := lease.Era
	if !held {
		h.endTerm(ctx, "assigned to another daemon")
		return nil
	}
	if h.term == 0 || h.term == n.lastEndedTerm.Load() || h.era < era {
		// A restored store has lost terms that began shortly before, and may assign the term of
		// this node to another one.
		h.term, h.era = n.beginTerm(ctx)
	}
	if h.term != 0 {
		h.postHeld(ctx, leaseHeld{term: h.term, until: requestedAt.Add(ttl - leaseMargin)})
	}
	return nil
}

// postHeld posts a new term to the owner. The owner reads renewals from Node.lease: with 3,000
// instances 256 messages were queued for the owner, and the message of a renewal, as well as the
// one after it, started only after the lease had expired.
func (h *leaseHolder) postHeld(ctx context.Context, l leaseHeld) {
	h.n.lease.Store(&l)
	if h.postedTerm != l.term {
		h.n.post(ctx, l)
	}
	h.postedTerm = l.term
}

// release leaves the lease to other candidates.
func (h *leaseHolder) release(ctx context.Context) {
	h.endTerm(ctx, "other daemons take precedence")
	if h.n.inLeaseGroup.Load() {
		h.n.releaseLease(ctx, h.member)
	}
	h.generation = 0
}

// endTerm posts to the owner that the term is over, if this node held the lease.
func (h *leaseHolder) endTerm(ctx context.Context, reason string) {
	if h.term != 0 {
		h.n.post(ctx, leaseLost{reason: reason})
	}
	h.term = 0
}

// renew asks the store for the lease and returns whether this node holds it, with the store's
// response.
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

// beginTerm returns a term higher than all before and its era, or 0 if the store failed. Then the
// next renewal tries again.
func (n *Node) beginTerm(ctx context.Context) (term, era int64) {
	n.stats.storeCalls(termsTopic).Inc()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	at, err := n.store.Append(ctx, termsTopic, binary.BigEndian.AppendUint64(nil, uint64(n.incarnation())))
	if err != nil {
		n.log.Warn().Err(err).Msg("term-not-begun")
		return 0, 0
	}
	return at.Era<<termEraBits + at.Offset + 1, at.Era
}

// releaseLease leaves the store's planner group, so that another daemon takes over at once.
func (n *Node) releaseLease(ctx context.Context, member string) {
	n.inLeaseGroup.Store(false)
	n.stats.storeCalls(plannerGroup).Inc()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), renewTimeout)
	defer cancel()
	if err := n.store.Leave(ctx, plannerGroup, member); err != nil {
		n.log.Info().Err(err).Msg("lease-not-given-up")
	}
}
