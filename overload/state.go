package overload

import (
	"math"
	"time"
)

const (
	// closedWindow is the time constant of the mean of how long the daemon accepts no connections.
	closedWindow = time.Second
	// beginFraction and endFraction are the fractions of the time without accepting connections at
	// which an overload begins and ends. They are apart so that a daemon does not leave and join
	// the load balancer's set with each closing.
	beginFraction = 0.25
	endFraction   = 0.05
)

// State tracks whether a daemon is overloaded: whether it accepts no connections for a
// considerable part of the time. It is not safe for concurrent use.
type State struct {
	last       time.Time
	closed     float64
	overloaded bool
}

// NewState returns the state of a daemon that accepts connections.
func NewState(now time.Time) *State { return &State{last: now} }

// Observe records whether the daemon has accepted no connections since the last observation.
func (s *State) Observe(now time.Time, closed bool) {
	weight := 1 - math.Exp(-now.Sub(s.last).Seconds()/closedWindow.Seconds())
	s.last = now
	current := 0.0
	if closed {
		current = 1
	}
	s.closed += weight * (current - s.closed)
	switch {
	case s.closed >= beginFraction:
		s.overloaded = true
	case s.closed <= endFraction:
		s.overloaded = false
	}
}

// Closed returns the fraction of the recent time in which the daemon accepted no connections.
func (s *State) Closed() float64 { return s.closed }

// Overloaded reports whether the daemon is overloaded.
func (s *State) Overloaded() bool { return s.overloaded }
