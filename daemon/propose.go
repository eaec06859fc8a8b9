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
const appendFor = 5 * time.Second

// Reasons why a proposal has no outcome.
var (
	// ErrLogAway: the proposal was not appended.
	ErrLogAway = errors.New("the log is away")
	// ErrOutcomeUnknown: the proposal may be on the log, now or later.
	ErrOutcomeUnknown = errors.New("the outcome is not known")
)

// proposal asks the owner to append a record and tell what became of it.
type proposal struct {
	body  state.Body
	reply chan<- proposalEnd
}

type proposalEnd struct {
	outcome state.Outcome
	err     error
}

type pendingProposal struct {
	// reply is nil for the daemon's own proposals.
	reply chan<- proposalEnd
	// key is what the planner wanted it for.
	key   string
	until time.Time
}

// Propose appends a record and returns what the fold made of it. Its error
// wraps ErrLogAway or ErrOutcomeUnknown.
func (d *Daemon) Propose(ctx context.Context, body state.Body) (state.Outcome, error) {
	reply := make(chan proposalEnd, 1)
	select {
	case d.proposals <- proposal{body: body, reply: reply}:
	case <-ctx.Done():
		return state.Outcome{}, fmt.Errorf("%w: %w", ErrLogAway, ctx.Err())
	}
	select {
	case end := <-reply:
		return end.outcome, end.err
	case <-ctx.Done():
		return state.Outcome{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	}
}

func (o *owner) accept(p proposal) {
	if o.logError != nil {
		p.reply <- proposalEnd{err: fmt.Errorf("%w: %w", ErrLogAway, o.logError)}
		return
	}
	o.append(p.body, p.reply, "")
}

// append starts to append a record. A proposal that can't be taken now is
// answered at once.
func (o *owner) append(body state.Body, reply chan<- proposalEnd, key string) {
	now := time.Now()
	rec := state.Record{ID: newRecordID(), Author: o.d.cfg.ID, At: now.UTC(), Body: body}
	data, err := state.Encode(rec)
	if err != nil {
		o.d.log.Error().Err(err).Msg("record-unencodable")
		endProposal(reply, proposalEnd{err: fmt.Errorf("%w: %w", ErrLogAway, err)})
		return
	}
	until := now.Add(appendFor)
	select {
	case o.d.appends <- types.Append{Stream: platform.StreamState, Record: rec.ID, Data: data, Until: until}:
		o.pending[rec.ID] = &pendingProposal{reply: reply, key: key, until: until}
		o.d.stats.proposed.Inc()
	default:
		o.end(&pendingProposal{reply: reply, key: key}, proposalEnd{err: fmt.Errorf("%w: too many appends wait", ErrLogAway)})
	}
}

func endProposal(reply chan<- proposalEnd, end proposalEnd) {
	if reply != nil {
		reply <- end
	}
}

// settle tells the proposer what the fold made of its record. A double of a
// record that was settled before finds nobody waiting.
func (o *owner) settle(out state.Outcome) {
	p, mine := o.pending[out.Record]
	if !mine {
		return
	}
	delete(o.pending, out.Record)
	o.end(p, proposalEnd{outcome: out})
}

// end tells whoever waits for a proposal.
func (o *owner) end(p *pendingProposal, end proposalEnd) {
	endProposal(p.reply, end)
	if p.key == claimsKey {
		o.claimsEnded(end)
	}
}

func (o *owner) handleAppendEnded(msg types.AppendEnded) {
	p, waiting := o.pending[msg.Append.Record]
	if !waiting || msg.Err == nil {
		return
	}
	o.d.stats.appendsFailed.Inc()
	o.d.log.Warn().Err(msg.Err).Str("record", string(msg.Append.Record)).Bool("ambiguous", msg.Ambiguous).Msg("append-failed")
	if msg.Ambiguous {
		// The record may still turn up; expireProposals gives it time.
		return
	}
	delete(o.pending, msg.Append.Record)
	o.end(p, proposalEnd{err: fmt.Errorf("%w: %w", ErrLogAway, msg.Err)})
}

// outcomeGrace is how long after its last try a record is waited for.
const outcomeGrace = time.Second

// expireProposals gives up on records that did not turn up in time.
func (o *owner) expireProposals(now time.Time) {
	for id, p := range o.pending {
		if now.After(p.until.Add(outcomeGrace)) {
			delete(o.pending, id)
			o.end(p, proposalEnd{err: ErrOutcomeUnknown})
		}
	}
}

func (o *owner) abandonProposals() {
	for id, p := range o.pending {
		delete(o.pending, id)
		endProposal(p.reply, proposalEnd{err: ErrOutcomeUnknown})
	}
}

// pendingFor reports whether a proposal for the key is on its way.
func (o *owner) pendingFor(key string) bool {
	for _, p := range o.pending {
		if p.key == key {
			return true
		}
	}
	return false
}

// OnDaemons waits until the offset is in force on enough daemons, and
// returns how many of how many it is in force on.
func (d *Daemon) OnDaemons(ctx context.Context, offset models.Offset, enough func(have, of int) bool) (have, of int) {
	tick := time.NewTicker(publishEvery / 4)
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
