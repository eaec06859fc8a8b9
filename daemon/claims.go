package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
)

// claimsProposalKey is the key of proposals that carry claims.
const claimsProposalKey = "claims"

// maxClaimsPerRecord is the maximum number of claims in one record.
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

// claims batches claims: while one record with claims is pending, new claims are queued for the
// next record.
type claims struct {
	queued   []claimRequest
	inFlight []claimRequest
}

// Claim claims the key for the request, so that no other request runs under the key. It returns
// the request that holds the key. Its error wraps ErrLogUnavailable if the claim was not made, or
// else ErrOutcomeUnknown.
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

// Release releases a claim. The request must be known not to have run and must not be sent any
// more.
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

// flushClaims appends the queued claims unless a record with claims is pending.
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

// claimsResolved reports the holders of the keys to the requests of the resolved record.
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
