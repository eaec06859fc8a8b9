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

// appendFor is how long a proposal is tried. It keeps all tries of a record
// within the ids that the fold remembers.
const appendTimeout = 5 * time.Second

// Reasons why a proposal has no outcome.
var (
	// ErrLogAway: the proposal was not appended.
	ErrLogUnavailable = errors.New("the log is away")
	// ErrOutcomeUnknown: the proposal may be on the log, now or later.
	ErrOutcomeUnknown = errors.New("the outcome is not known")
)

// proposal asks the owner to append a record and tell what became of it.
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
	// key is what the planner wanted it for.
	key      string
	deadline time.Time
}

// Propose appends a record and returns what the fold made of it. Its error
// wraps ErrLogAway or ErrOutcomeUnknown.
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

// append starts to append a record. A proposal that can't be taken now is
// answered at once.
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

// settle tells the proposer what the fold made of its record. A double of a
// record that was settled before finds nobody waiting.
func (o *owner) resolveProposal(outcome state.Outcome) {
	p, own := o.pendingProposals[outcome.Record]
	if !own {
		return
	}
	delete(o.pendingProposals, outcome.Record)
	o.finishProposal(p, proposalResult{outcome: outcome})
}

// end tells whoever waits for a proposal.
func (o *owner) finishProposal(p *pendingProposal, result proposalResult) {
	sendResult(p.reply, result)
	if p.key == claimsProposalKey {
		o.claimsResolved(result)
	}
}

func (o *owner) handleAppendEnded(msg types.AppendResult) {
	p, waiting := o.pendingProposals[msg.Append.Record]
	if !waiting || msg.Err == nil {
		return
	}
	o.d.stats.appendsFailed.Inc()
	o.d.log.Warn().Err(msg.Err).Str("record", string(msg.Append.Record)).Bool("ambiguous", msg.Ambiguous).Msg("append-failed")
	if msg.Ambiguous {
		// The record may still turn up; expireProposals gives it time.
		return
	}
	delete(o.pendingProposals, msg.Append.Record)
	o.finishProposal(p, proposalResult{err: fmt.Errorf("%w: %w", ErrLogUnavailable, msg.Err)})
}

// outcomeGrace is how long after its last try a record is waited for.
const outcomeTimeout = time.Second

// expireProposals gives up on records that did not turn up in time.
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

// pendingFor reports whether a proposal for the key is on its way.
func (o *owner) isPending(key string) bool {
	for _, p := range o.pendingProposals {
		if p.key == key {
			return true
		}
	}
	return false
}

// OnDaemons waits until the offset is in force on enough daemons, and
// returns how many of how many it is in force on.
func (d *Daemon) WaitInForce(ctx context.Context, offset models.Offset, enough func(have, of int) bool) (have, of int) {
	tick := time.NewTicker(publishInterval / 4)
	defer tick.Stop()
	for {
		have, of = d.View().InForce(d.cfg.ID, offset)
		if enough(have, of) {
			return have, of
		}
		select {
		case <-ctx.Done():
			return have, of
		case <-tick.C:
		}
	}
}
