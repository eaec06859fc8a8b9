// Package admission decides which of a model's waiting requests run now, which wait and which are
// rejected, from the model's capacity as a daemon knows it. It is pure: it has no clock, no
// network and no goroutines, and randomness is passed in.
//
// Requests that can still be in time go first, by rank and then by remaining time, most first. Late ones take
// the slots that are left, the newest first, and one of several admissions in any case. What can't
// be served before its deadline, or can't be in time and finds no slot, is rejected at once, and no
// request waits for longer than a slot may still help it. Where loads are known with a delay, each
// daemon admits only the part of the free slots that other daemons leave on average.
package admission

import (
	"errors"
	"time"
)

// Reasons for which requests are rejected. None of these requests was sent to an instance.
var (
	// ErrDeadline: no group can serve the request before its deadline.
	ErrDeadline = errors.New("no group can serve the request before its deadline")
	// ErrLate: the request can't be in time any more, and no slot is free for late requests.
	ErrLate = errors.New("the request can't be in time, and no slot is free for late requests")
	// ErrFull: no slot became free while the request could wait.
	ErrFull = errors.New("no slot became free in time")
)

// Request describes a request that waits for a slot.
type Request struct {
	ID uint64
	// Arrived is when it arrived, Due when its first event should be sent, Deadline when its caller
	// gives up. The latency target is the time from Arrived to Due.
	Arrived, Due, Deadline time.Time
	// Rank orders requests by priority: that of the workspace first, then that of the route; 0 is
	// the most urgent.
	Rank int
	// Continues is set if its response has begun.
	Continues bool
}

// Capacity describes what the groups of a model can take now.
type Capacity struct {
	// FirstEvent is the predicted time to the first event at the best group, 0 if nothing is known
	// that it could be predicted from.
	FirstEvent time.Duration
	// SlotsInTime is the number of free slots at which a request would still be in time, Slots that
	// of all free slots.
	SlotsInTime, Slots int
	// LoadsAge is the age of the loads of other daemons.
	LoadsAge time.Duration
	// Deciders is how many daemons decide by the same loads, this one included.
	Deciders int
	// Rate is the rate at which requests for the model arrive at this daemon, per second.
	Rate float64
	// Completions is the rate at which requests end at all groups of the model, from all daemons.
	Completions float64
}

// Verdict is a decision on a request: Run, Wait or Reject.
type Verdict interface{ verdict() }

// Run has the request sent now.
type Run struct{}

// Wait leaves the request in the queue. It is to be decided again at Until at the latest.
type Wait struct{ Until time.Time }

// Reject answers the request, which was not sent to any instance.
type Reject struct {
	Reason error
	// RetryAfter is when the caller should retry.
	RetryAfter time.Duration
}

func (Run) verdict()    {}
func (Wait) verdict()   {}
func (Reject) verdict() {}

// Decision is the verdict on one request.
type Decision struct {
	ID      uint64
	Verdict Verdict
}

// Policy holds the parameters of the decisions.
type Policy struct {
	// WaitFraction is the part of its latency target for which a request waits although no slot is
	// expected to become free in time.
	WaitFraction float64
	// UnpredictedWaitFraction is the same where no first event is predicted.
	UnpredictedWaitFraction float64
	// LateInterval is the number of admissions of which one is of a late request, while any waits.
	LateInterval int
	// ProbeInterval is the number of requests that are predicted to miss their deadlines of which one
	// is admitted nevertheless, while slots are free.
	ProbeInterval int
	// FairFraction is the fraction of the common admission ratio that each rank gets.
	FairFraction float64
	// RatioPeriod is the time constant with which arrivals and admissions by rank are forgotten.
	RatioPeriod time.Duration
	// MinRetryAfter is the least time after which callers are told to retry, RetryJitter the range
	// of the random time that is added.
	MinRetryAfter, RetryJitter time.Duration
	// RetryFraction is the part of its remaining time after which a caller is told to retry at the
	// latest.
	RetryFraction float64
	// MaxLoadsAge is the age from which on other daemons' loads are not used, 0 for none: requests
	// are then admitted by free slots alone.
	MaxLoadsAge time.Duration
}

// DefaultPolicy returns the parameters in use.
func DefaultPolicy() Policy {
	return Policy{
		// Answers overloads: a caller that is rejected early may succeed in time elsewhere. Seven
		// eighths of the target are more than the mean first event at groups with up to 0.6 of their
		// slots in use, which was 0.55 to 0.84 of the target.
		WaitFraction: 0.125,
		// Where latency can't be predicted, requests wait for as long as they did before predictions
		// existed.
		UnpredictedWaitFraction: 0.22,
		// Answers overloads that last: late requests would get no slot while others take all. Late
		// responses are worth a tenth to a third of those in time, so that one of eight costs little.
		LateInterval: 8,
		// Answers predictions that are wrong, such as those after a single first event that was very
		// late. Where slots are free, a right prediction hardly ever exceeds a deadline.
		ProbeInterval: 8,
		// Answers overloads by urgent requests: others would get nothing. A rank with more than a
		// quarter of the common ratio is less urgent, but not starved.
		FairFraction: 0.25,
		// Bursts last 3 to 6 s. A shorter time counts too few requests of one daemon, a longer one
		// still counts admissions from before the burst.
		RatioPeriod: 2 * time.Second,
		// Answers callers that retry into the same overload. A group of 20 slots with requests of
		// 1.2 s completes one about every 60 ms, but an overload of all groups lasts longer, and most
		// callers retry only once.
		MinRetryAfter: 300 * time.Millisecond,
		// Callers that were rejected together should not retry together. The range is that used
		// before predictions existed.
		RetryJitter: 500 * time.Millisecond,
		// Callers honour up to a third of their remaining time.
		RetryFraction: 1.0 / 3,
		// Answers lost updates: requests last a second or so, and with them the loads that were
		// reported.
		MaxLoadsAge: time.Second,
	}
}
