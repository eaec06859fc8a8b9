// Package timer is the time source of a daemon's parts: they subscribe to its ticks instead of
// running their own timers. It also detects pauses of the process and suspensions of the machine.
package timer

import (
	"context"
	"sync"
	"time"
)

// Step is the interval at which a running service reads the clock, unless SetStep sets another one.
const Step = 50 * time.Millisecond

// MinPause is how late a step must be to count as a pause of the process.
const MinPause = 500 * time.Millisecond

// Tick notifies a subscriber that its period has passed.
type Tick struct {
	// At includes a monotonic clock reading.
	At time.Time
	// Paused is how long the process was paused, or the machine suspended, before this tick; 0 if
	// neither.
	Paused time.Duration
	// Late is how much later than intended a running service read the clock for this tick.
	Late time.Duration
}

// Service sends ticks to subscribers. Create it with New; the zero value is not usable.
type Service struct {
	mu            sync.Mutex
	subscriptions []*subscription
	last          time.Time
	// suspensions records the suspensions of the machine; unreported is the suspended time not
	// yet reported to subscribers.
	suspensions suspensions
	unreported  time.Duration
	// step is the interval at which Run reads the clock.
	step time.Duration
}

type subscription struct {
	period time.Duration
	next   time.Time
	paused time.Duration
	ticks  chan Tick
}

// New returns a service that starts at the given time.
func New(now time.Time) *Service {
	return &Service{last: now, step: Step}
}

// SetStep sets the interval at which Run reads the clock, from its next reading on. Ticks come no
// more often than that, whatever the subscribers' periods are.
func (s *Service) SetStep(step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step = step
}

// nextStep returns the interval until the next reading of the clock.
func (s *Service) nextStep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.step
}

// Subscribe returns a channel that receives a tick each period. A subscriber slower than its
// period receives one late tick, not a backlog.
func (s *Service) Subscribe(period time.Duration) <-chan Tick {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &subscription{period: period, next: s.last.Add(period), ticks: make(chan Tick, 1)}
	s.subscriptions = append(s.subscriptions, sub)
	return sub.ticks
}

// Advance moves the service to the given time and sends the ticks that are due. Run calls it with
// the current time; tests call it with times of their own.
func (s *Service) Advance(now time.Time) { s.advance(now, 0) }

func (s *Service) advance(now time.Time, lateness time.Duration) {
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
		case sub.ticks <- Tick{At: now, Paused: sub.paused, Late: lateness}:
			sub.paused = 0
		default:
			// The subscriber has not read its last tick; sub.paused keeps the pause for its next
			// one.
		}
		sub.next = now.Add(sub.period)
	}
}

// Run advances the service by the clock until the context ends.
func (s *Service) Run(ctx context.Context) error {
	due := time.Now().Add(s.nextStep())
	next := time.NewTimer(time.Until(due))
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-next.C:
			started := time.Now()
			s.advance(started, started.Sub(due))
			due = started.Add(s.nextStep())
			next.Reset(time.Until(due))
		}
	}
}
