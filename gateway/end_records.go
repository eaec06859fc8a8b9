package gateway

import (
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// trustedEnds is how many ends of a service's streams must be confirmed in a row for its instances to be
	// trusted.
	trustedEnds = 8
	// disputedTime is for how long the ends of a service's streams are disputed after an instance closed a
	// connection early and went on running.
	disputedTime = time.Minute
)

// endTrust is how far the closed connections of a service's instances are trusted to end complete streams.
type endTrust int

const (
	// endsUnknown: too few ends were checked.
	endsUnknown endTrust = iota
	// endsTrusted: the last trustedEnds checks confirmed the ends.
	endsTrusted
	// endsDisputed: an instance has closed a connection early and went on running.
	endsDisputed
)

// neededConfirmations returns how many answers must confirm an end.
func (t endTrust) neededConfirmations(prompt bool) int {
	switch {
	case t == endsDisputed:
		return 3
	case t == endsTrusted && prompt:
		return 1
	default:
		return 2
	}
}

// endRecord is what is known of the unproven ends of a service's streams.
type endRecord struct {
	// confirmed counts the confirmed ends since the last early one.
	confirmed int
	// lastEarly is when the last early end was found, lastPromptEarly when it was one that came with an event.
	lastEarly, lastPromptEarly time.Time
	// suspected counts the ends that are early if their instances go on running, suspectedPrompt those of them that
	// came with an event.
	suspected, suspectedPrompt int
}

// endRecords are the records of all services. They are safe for concurrent use.
type endRecords struct {
	mu        sync.Mutex
	byService map[models.ServiceName]endRecord
}

// noteConfirmed records that an end was confirmed.
func (e *endRecords) noteConfirmed(service models.ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.byService[service]
	r.confirmed++
	e.byService[service] = r
}

// noteEarly records that an instance closed the connection of a stream before its end, and went on running.
func (e *endRecords) noteEarly(service models.ServiceName, now time.Time, prompt bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.byService[service]
	r.confirmed, r.lastEarly = 0, now
	if prompt {
		r.lastPromptEarly = now
	}
	e.byService[service] = r
}

// suspectEarly records that the connection of a stream was closed before its end, by an instance that may have been
// killed. settleEarly must follow.
func (e *endRecords) suspectEarly(service models.ServiceName, prompt bool) {
	e.addSuspected(service, prompt, 1)
}

// settleEarly records whether the instance of a suspected early end went on running.
func (e *endRecords) settleEarly(service models.ServiceName, now time.Time, prompt, runs bool) {
	if runs {
		e.noteEarly(service, now, prompt)
	}
	e.addSuspected(service, prompt, -1)
}

func (e *endRecords) addSuspected(service models.ServiceName, prompt bool, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.byService[service]
	r.suspected += n
	if prompt {
		r.suspectedPrompt += n
	}
	e.byService[service] = r
}

// trust returns how far the closed connections of a service's instances are trusted.
func (e *endRecords) trust(service models.ServiceName, now time.Time) endTrust {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.byService[service]
	switch {
	case r.suspected > 0, now.Sub(r.lastEarly) < disputedTime:
		return endsDisputed
	case r.confirmed >= trustedEnds:
		return endsTrusted
	default:
		return endsUnknown
	}
}

// arePromptDisputed reports whether an instance has lately closed a connection with an event that was not the last.
func (e *endRecords) arePromptDisputed(service models.ServiceName, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.byService[service]
	return r.suspectedPrompt > 0 || now.Sub(r.lastPromptEarly) < disputedTime
}
