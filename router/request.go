// Package router decides about requests: who may ask for what, which group
// or service instance runs a request, whether it may be tried again, and
// what may be said of it at its end. It does no input or output and takes
// time as a value.
package router

import (
	"errors"
	"fmt"

	"github.com/lupinkeel/lupinkeel/models"
)

// Phase is how far a request has come.
type Phase uint8

// The phases of a request, in order.
const (
	// PhaseQueued: nothing has been sent for this request.
	PhaseQueued Phase = iota
	// PhaseSent: an upstream may have begun to run it.
	PhaseSent
	// PhaseAnswering: a part of the answer has gone to the caller.
	PhaseAnswering
	// PhaseDone: the request has its end.
	PhaseDone
)

// End is what became of a request.
type End string

// The ends of a request.
const (
	EndNone End = ""
	// EndWhole: the caller got the whole answer.
	EndWhole End = "whole"
	// EndNotRun: no upstream ran the request, and none will.
	EndNotRun End = "not-run"
	// EndMayHaveRun: the caller got no whole answer, and an upstream may
	// have run the request.
	EndMayHaveRun End = "may-have-run"
)

// ErrPhase is returned for a step that the request's phase does not allow.
var ErrPhase = errors.New("step not allowed in this phase")

// Request is the state of one request.
type Request struct {
	ID models.RequestID
	// Repeatable tells that running the request twice does no harm.
	Repeatable bool

	phase Phase
	end   End
	tries int
	// ran tells that a try may have run, even if a later one did not.
	mayHaveRun bool
}

// Phase returns how far the request has come.
func (r *Request) Phase() Phase { return r.phase }

// End returns what became of the request.
func (r *Request) End() End { return r.end }

// Tries returns how often the request was sent.
func (r *Request) Tries() int { return r.tries }

// Send notes that the request is about to be sent to an upstream.
func (r *Request) Send() error {
	if r.phase != PhaseQueued {
		return r.phaseError("send")
	}
	r.phase = PhaseSent
	r.tries++
	return nil
}

// NotRun notes an upstream's proof that this try was not run, or that it
// never reached one. The request may be sent again.
func (r *Request) NotRun() error {
	if r.phase != PhaseSent {
		return r.phaseError("take back")
	}
	r.phase = PhaseQueued
	return nil
}

// Failed notes that this try may have run and gave no whole answer. Only a
// repeatable request of which the caller has seen nothing may be sent again.
func (r *Request) Failed() error {
	if r.phase != PhaseSent {
		return r.phaseError("fail")
	}
	r.mayHaveRun = true
	if r.Repeatable {
		r.phase = PhaseQueued
	}
	return nil
}

// HeldElsewhere notes that another request with the same key may run or may
// have run, so that this one must not be sent.
func (r *Request) HeldElsewhere() error {
	if r.phase != PhaseQueued {
		return r.phaseError("hold back")
	}
	r.mayHaveRun = true
	r.phase = PhaseSent
	return nil
}

// Answer notes that the first part of the answer goes to the caller.
func (r *Request) Answer() error {
	if r.phase != PhaseSent {
		return r.phaseError("answer")
	}
	r.phase = PhaseAnswering
	return nil
}

// MayRetry reports whether the request may be sent (again).
func (r *Request) MayRetry() bool { return r.phase == PhaseQueued }

// Finish gives the request its end and returns it. whole tells that the
// caller got the whole answer.
func (r *Request) Finish(complete bool) End {
	switch {
	case r.phase == PhaseDone:
		return r.end
	case complete && r.phase == PhaseAnswering:
		r.end = EndWhole
	case r.phase == PhaseQueued && !r.mayHaveRun:
		r.end = EndNotRun
	default:
		r.end = EndMayHaveRun
	}
	r.phase = PhaseDone
	return r.end
}

func (r *Request) phaseError(step string) error {
	return fmt.Errorf("%w: %s request %s in phase %d", ErrPhase, step, r.ID, r.phase)
}
