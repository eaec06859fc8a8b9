// Package timer is the one source of time for the parts of a daemon: they
// subscribe to its ticks instead of keeping timers of their own. It also
// notices when the whole process was paused.
package timer

import (
	"context"
	"sync"
	"time"
)

// Step is how often a running service looks at the clock.
const Step = 50 * time.Millisecond

// PauseBound is how late a step must come to count as a pause of the
// process.
const MinPause = 500 * time.Millisecond

// Tick tells a subscriber that its period has passed.
type Tick struct {
	// At carries a monotonic reading.
	At time.Time
	// Paused is how long the process stood still before this tick, while the
	// machine was suspended as well; 0 if it did not.
	Paused time.Duration
}

// Service hands ticks to subscribers. Create it with New; the zero value is
// not usable.
type Service struct {
	mu            sync.Mutex
	subscriptions []*subscription
	last          time.Time
	// suspended is when the machine was suspended, unread what subscribers were not told
	// of it yet.
	suspensions suspensions
	unreported  time.Duration
}

type subscription struct {
	period time.Duration
	next   time.Time
	paused time.Duration
	ticks  chan Tick
}

// New returns a service that starts counting at the given time.
func New(now time.Time) *Service {
	return &Service{last: now}
}

// Subscribe returns a channel that gets a tick each period. A subscriber
// that is slower than its period gets the newest tick late, not a backlog.
func (s *Service) Subscribe(period time.Duration) <-chan Tick {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &subscription{period: period, next: s.last.Add(period), ticks: make(chan Tick, 1)}
	s.subscriptions = append(s.subscriptions, sub)
	return sub.ticks
}

// Advance moves the service to the given time and sends what is due. Run
// calls it with the clock; tests call it with times of their own.
func (s *Service) Advance(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var paused time.Duration
	if late := now.Sub(s.last); late > MinPause {
		paused = late
	}
	paused += s.unreported + s.suspensions.detect(time.Now)
	s.unreported = 0
	s.last = now
	for _, sub := range s.subscriptions {
		sub.paused += paused
		if now.Before(sub.next) {
			continue
		}
		select {
		case sub.ticks <- Tick{At: now, Paused: sub.paused}:
			sub.paused = 0
		default:
			// The subscriber has a tick to read; a pause stays noted.
		}
		sub.next = now.Add(sub.period)
	}
}

// Run advances the service by the clock until the context ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(Step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.Advance(time.Now())
		}
	}
}
