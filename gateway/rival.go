package gateway

import (
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
)

// rivalStep is how often a run that has a rival looks at it.
const rivalStep = 8 * time.Millisecond

// rival is a second run that was begun because nothing came from the first.
// Whichever has the next event first goes on.
type rival struct {
	*leg
	// ended yields nil once the run has its first event, or its error.
	ended chan error
	// result holds what ended yielded, if over.
	result error
	over   bool
}

// newRival begins a second run in the background.
func (s *stream) newRival(group cluster.Group) *rival {
	r := &rival{leg: s.newLeg(group), ended: make(chan error, 1)}
	r.patience = func(time.Duration) time.Duration { return rivalStep }
	go func() {
		event, err := r.next()
		if err == nil {
			r.ahead = &event
		}
		r.ended <- err
	}()
	return r
}

// done reports whether the run has its first event or failed.
func (r *rival) done() bool {
	if r.over {
		return true
	}
	select {
	case r.result = <-r.ended:
		r.over = true
	default:
	}
	return r.over
}

// wait waits for the run's first event.
func (r *rival) wait() error {
	if !r.over {
		r.result, r.over = <-r.ended, true
	}
	return r.result
}

// abandon ends the run and waits until nothing of it is left.
func (r *rival) abandon() {
	r.cancel()
	// The run is over either way; its error tells nothing new.
	_ = r.wait()
	r.close()
}

// dropRival ends a rival that the first run has outpaced.
func (s *stream) dropRival() {
	if s.rival == nil {
		return
	}
	s.rival.abandon()
	s.rival = nil
}

// besideRival is patience for a run that has a rival.
func (s *stream) besideRival() time.Duration {
	if !s.rival.done() {
		return rivalStep
	}
	if s.rival.result == nil {
		// Ends this run; goOn changes over.
		return 0
	}
	if errors.Is(s.rival.result, errNotRun) {
		s.runs--
	}
	s.rival.close()
	s.rival = nil
	return rivalStep
}
