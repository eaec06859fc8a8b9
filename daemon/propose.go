package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// appendTimeout bounds how long a proposal is retried. All attempts then fall within the range of
// record IDs that the state remembers to detect duplicates.
const appendTimeout = 5 * time.Second

// Errors of proposals without an outcome.
var (
	// ErrLogUnavailable: the proposal was not appended.
	ErrLogUnavailable = errors.New("the log is away")
	// ErrOutcomeUnknown: the proposal may be on the log, or may still appear there.
	ErrOutcomeUnknown = errors.New("the outcome is not known")
)

// proposal asks the owner to append a record and to report its outcome.
type proposal struct {
	body  state.Body
	reply chan<- proposalResult
}

type proposalResult struct {
	outcome state.Outcome
	err     error
}

type pendingProposal struct {
	// reply is nil for the daemon's own proposals.
	reply chan<- proposalResult
	// key identifies the planner's proposal; empty for proposals of callers.
	key      string
	deadline time.Time
}

// Propose appends a record and returns the outcome of applying it. Its error wraps
// ErrLogUnavailable or ErrOutcomeUnknown.
func (d *Daemon) Propose(ctx context.Context, body state.Body) (state.Outcome, error) {
	reply := make(chan proposalResult, 1)
	select {
	case d.proposals <- proposal{body: body, reply: reply}:
	case <-ctx.Done():
		return state.Outcome{}, fmt.Errorf("%w: %w", ErrLogUnavailable, ctx.Err())
	}
	select {
	case result := <-reply:
		return result.outcome, result.err
	case <-ctx.Done():
		return state.Outcome{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

func (o *owner) handleProposal(p proposal) {
	if o.logError != nil {
		p.reply <- proposalResult{err: fmt.Errorf("%w: %w", ErrLogUnavailable, o.logError)}
		return
	}
	o.append(p.body, p.reply, "")
}

// append queues a record to be appended. If the queue is full, or the record can't be encoded,
// the proposal fails immediately.
func (o *owner) append(body state.Body, reply chan<- proposalResult, key string) {
	now := time.Now()
	rec := state.Record{ID: newRecordID(), Author: o.d.cfg.ID, At: now.UTC(), Body: body}
	data, err := state.Encode(rec)
	if err != nil {
		o.d.log.Error().Err(err).Msg("record-unencodable")
		sendResult(reply, proposalResult{err: fmt.Errorf("%w: %w", ErrLogUnavailable, err)})
		return
	}
	deadline := now.Add(appendTimeout)
	select {
	case o.d.appends <- types.Append{Stream: platform.StreamState, Record: rec.ID, Data: data, Deadline: deadline}:
		o.pendingProposals[rec.ID] = &pendingProposal{reply: reply, key: key, deadline: deadline}
		o.d.stats.proposed.Inc()
	default:
		o.finishProposal(&pendingProposal{reply: reply, key: key}, proposalResult{err: fmt.Errorf("%w: too many appends wait", ErrLogUnavailable)})
	}
}

func sendResult(reply chan<- proposalResult, result proposalResult) {
	if reply != nil {
		reply <- result
	}
}

// resolveProposal reports the outcome of a record to its proposer. A duplicate of a record that
// was resolved before has no pending proposal.
func (o *owner) resolveProposal(outcome state.Outcome) {
	p, own := o.pendingProposals[outcome.Record]
	if !own {
		return
	}
	delete(o.pendingProposals, outcome.Record)
	o.finishProposal(p, proposalResult{outcome: outcome})
}

// finishProposal reports the result of a proposal to its proposer.
func (o *owner) finishProposal(p *pendingProposal, result proposalResult) {
	sendResult(p.reply, result)
	if p.key == claimsProposalKey {
		o.claimsResolved(result)
	}
}

func (o *owner) handleAppendResult(msg types.AppendResult) {
	p, waiting := o.pendingProposals[msg.Append.Record]
	if !waiting || msg.Err == nil {
		return
	}
	o.d.stats.appendsFailed.Inc()
	o.d.log.Warn().Err(msg.Err).Str("record", string(msg.Append.Record)).Bool("ambiguous", msg.Ambiguous).Msg("append-failed")
	if msg.Ambiguous {
		// The record may still appear on the log; expireProposals waits for it.
		return
	}
	delete(o.pendingProposals, msg.Append.Record)
	o.finishProposal(p, proposalResult{err: fmt.Errorf("%w: %w", ErrLogUnavailable, msg.Err)})
}

// outcomeTimeout is how long the outcome is awaited after the deadline for attempts.
const outcomeTimeout = time.Second

// expireProposals fails the proposals whose records did not appear in time.
func (o *owner) expireProposals(now time.Time) {
	for id, p := range o.pendingProposals {
		if now.After(p.deadline.Add(outcomeTimeout)) {
			delete(o.pendingProposals, id)
			o.finishProposal(p, proposalResult{err: ErrOutcomeUnknown})
		}
	}
}

func (o *owner) failProposals() {
	for id, p := range o.pendingProposals {
		delete(o.pendingProposals, id)
		sendResult(p.reply, proposalResult{err: ErrOutcomeUnknown})
	}
}

// isPending reports whether a proposal with the key is pending.
func (o *owner) isPending(key string) bool {
	for _, p := range o.pendingProposals {
		if p.key == key {
			return true
		}
	}
	return false
}

// WaitInForce waits until the record at the offset is in force on enough daemons. It returns on
// how many daemons it is in force and the size of the roster.
func (d *Daemon) WaitInForce(ctx context.Context, offset models.Offset, enough func(inForce, total int) bool) (inForce, total int) {
	tick := time.NewTicker(publishInterval / 4)
	defer tick.Stop()
	for {
		inForce, total = d.View().InForce(d.cfg.ID, offset)
		if enough(inForce, total) {
			return inForce, total
		}
		select {
		case <-ctx.Done():
			return inForce, total
		case <-tick.C:
		}
	}
}
