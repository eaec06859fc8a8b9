// Package router routes requests: it decides whether a request is admitted, which replica
// group or service instance runs it, whether it may be retried, and what its outcome is. It
// does no I/O and takes the current time as a parameter.
package router

import (
	"errors"
	"fmt"

	"github.com/lupinkeel/lupinkeel/models"
)

// Phase is the progress of a request.
type Phase uint8

// The phases of a request, in order.
const (
	// PhaseQueued: the request may be sent; no current attempt is at an upstream.
	PhaseQueued Phase = iota
	// PhaseSent: an upstream may have started to run the request.
	PhaseSent
	// PhaseResponding: a part of the response has been sent to the caller.
	PhaseResponding
	// PhaseDone: the request has an outcome.
	PhaseDone
)

// Outcome is the result of a request.
type Outcome string

// The outcomes of a request. OutcomeNone means that it has none yet.
const (
	OutcomeNone Outcome = ""
	// OutcomeComplete: the caller received the complete response.
	OutcomeComplete Outcome = "whole"
	// OutcomeNotRun: no upstream has run the request, and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeMayHaveRun: the caller received no complete response, and an upstream may have run
	// the request.
	OutcomeMayHaveRun Outcome = "may-have-run"
)

// ErrPhase is returned for a step that is not allowed in the request's phase.
var ErrPhase = errors.New("step not allowed in this phase")

// Request is the state machine of one request.
type Request struct {
	ID models.RequestID
	// Idempotent is set if the request is idempotent: running it twice does no harm.
	Idempotent bool

	phase    Phase
	outcome  Outcome
	attempts int
	// mayHaveRun is set once an attempt may have run, even if a later attempt didn't.
	mayHaveRun bool
}

// Phase returns the phase of the request.
func (r *Request) Phase() Phase { return r.phase }

// Outcome returns the outcome of the request.
func (r *Request) Outcome() Outcome { return r.outcome }

// Attempts returns how many times the request has been sent.
func (r *Request) Attempts() int { return r.attempts }

// Send records that the request is about to be sent to an upstream.
func (r *Request) Send() error {
	if r.phase != PhaseQueued {
		return r.phaseError("send")
	}
	r.phase = PhaseSent
	r.attempts++
	return nil
}

// NotRun records that the current attempt has not run: the upstream proved it, or the
// request never reached an upstream. The request may be sent again.
func (r *Request) NotRun() error {
	if r.phase != PhaseSent {
		return r.phaseError("take back")
	}
	r.phase = PhaseQueued
	return nil
}

// Failed records that the current attempt may have run and has returned no complete response.
// Only an idempotent request may be sent again, and only if no part of the response has been
// sent to the caller.
func (r *Request) Failed() error {
	if r.phase != PhaseSent {
		return r.phaseError("fail")
	}
	r.mayHaveRun = true
	if r.Idempotent {
		r.phase = PhaseQueued
	}
	return nil
}

// KeyInUse records that another request with the same idempotency key may be running or
// may have run, so that this request must not be sent.
func (r *Request) KeyInUse() error {
	if r.phase != PhaseQueued {
		return r.phaseError("hold back")
	}
	r.mayHaveRun = true
	r.phase = PhaseSent
	return nil
}

// Respond records that the first part of the response is about to be sent to the caller.
func (r *Request) Respond() error {
	if r.phase != PhaseSent {
		return r.phaseError("answer")
	}
	r.phase = PhaseResponding
	return nil
}

// MayRetry reports whether the request may be sent, for the first time or again.
func (r *Request) MayRetry() bool { return r.phase == PhaseQueued }

// Finish sets the outcome of the request and returns it. complete reports whether the caller
// received the complete response.
func (r *Request) Finish(complete bool) Outcome {
	switch {
	case r.phase == PhaseDone:
		return r.outcome
	case complete && r.phase == PhaseResponding:
		r.outcome = OutcomeComplete
	case r.phase == PhaseQueued && !r.mayHaveRun:
		r.outcome = OutcomeNotRun
	default:
		r.outcome = OutcomeMayHaveRun
	}
	r.phase = PhaseDone
	return r.outcome
}

func (r *Request) phaseError(step string) error {
	return fmt.Errorf("%w: %s request %s in phase %d", ErrPhase, step, r.ID, r.phase)
}
