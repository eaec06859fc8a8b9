package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
)

// claimsKey marks the proposals that carry claims.
const claimsProposalKey = "claims"

// maxClaims is how many claims one record carries.
const maxClaimsPerRecord = 512

// claimRequest asks the owner to claim a key.
type claimRequest struct {
	claim state.Claim
	reply chan<- claimResult
}

type claimResult struct {
	holder models.RequestID
	err    error
}

// claims batches claims: while one record with claims is on its way, those
// that come wait for the next.
type claims struct {
	queued   []claimRequest
	inFlight []claimRequest
}

// Claim asks that the request, and no other, may run under the key, and
// returns the request that may. Its error wraps ErrLogAway, when the claim
// was not made, or ErrOutcomeUnknown.
func (d *Daemon) Claim(ctx context.Context, key string, request models.RequestID) (models.RequestID, error) {
	reply := make(chan claimResult, 1)
	claim := state.Claim{Key: key, Request: request, At: time.Now().UTC()}
	select {
	case d.claims <- claimRequest{claim: claim, reply: reply}:
	case <-ctx.Done():
		return "", fmt.Errorf("%w: %w", ErrLogUnavailable, ctx.Err())
	}
	select {
	case result := <-reply:
		return result.holder, result.err
	case <-ctx.Done():
		return "", fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

// Release gives a claim up. The request must be known not to have run and
// must not be sent any more.
func (d *Daemon) Release(ctx context.Context, key string, request models.RequestID) error {
	_, err := d.Propose(ctx, state.ReleaseKeys{Claims: []state.Claim{{Key: key, Request: request}}})
	return err
}

func (o *owner) handleClaim(c claimRequest) {
	if o.logError != nil {
		c.reply <- claimResult{err: fmt.Errorf("%w: %w", ErrLogUnavailable, o.logError)}
		return
	}
	o.claims.queued = append(o.claims.queued, c)
	o.flushClaims()
}

// flushClaims appends the claims that wait, unless others are on their way.
func (o *owner) flushClaims() {
	if len(o.claims.inFlight) > 0 || len(o.claims.queued) == 0 {
		return
	}
	n := min(len(o.claims.queued), maxClaimsPerRecord)
	o.claims.inFlight, o.claims.queued = o.claims.queued[:n:n], o.claims.queued[n:]
	body := state.ClaimKeys{}
	for _, c := range o.claims.inFlight {
		body.Claims = append(body.Claims, c.claim)
	}
	o.append(body, nil, claimsProposalKey)
}

// claimsEnded tells those whose claims were on their way who holds the keys.
func (o *owner) claimsResolved(result proposalResult) {
	resolved := o.claims.inFlight
	o.claims.inFlight = nil
	var holders []models.RequestID
	for _, e := range result.outcome.Events {
		if claimed, ok := e.(state.KeysClaimed); ok {
			holders = claimed.Holders
		}
	}
	for i, c := range resolved {
		switch {
		case result.err != nil:
			c.reply <- claimResult{err: result.err}
		case i < len(holders):
			c.reply <- claimResult{holder: holders[i]}
		default:
			c.reply <- claimResult{err: ErrOutcomeUnknown}
		}
	}
	o.flushClaims()
}
