package gateway

import (
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// failureSpan is the time in which two thirds of what an instance failed is
	// forgotten.
	failureDecay = 2 * time.Second
	// failuresMost bounds what is remembered, so that an instance that is well again
	// is tried within some six seconds.
	maxFailureCount = 4
	// failureRequests is how many requests a failure counts for where the instance
	// of a plain service with the fewest is picked.
	requestsPerFailure = 2
	// busyFailures is how many failures it counts for that an instance asked another daemon
	// for rest.
	busyFailures = 2
)

// failures are how many requests an instance failed of late. One that resets every
// connection has no requests, so that it would seem the least busy of all: 761
// requests of one day with such heads were answered with 502.
type failureCount struct {
	// born is the life of the instance that failed them.
	incarnation time.Time
	count       float64
	updated     time.Time
}

func (f failureCount) decayed(now time.Time) float64 {
	return f.count * math.Exp(-now.Sub(f.updated).Seconds()/failureDecay.Seconds())
}

// fail notes that an instance failed a request without an answer, or turned it away.
func (s *scheduler) addFailure(i models.UpstreamInstance) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures[i.ID] = failureCount{i.Born, min(maxFailureCount, s.recentFailures(i)+1), now}
}

// answer notes that an instance answered a request.
func (s *scheduler) addSuccess(id models.InstanceID) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, known := s.failures[id]; known {
		s.failures[id] = failureCount{f.incarnation, f.decayed(now) / 2, now}
	}
}

// failing is how many requests an instance failed of late, in this life. The balance
// must be locked.
func (s *scheduler) recentFailures(i models.UpstreamInstance) float64 {
	f, known := s.failures[i.ID]
	if !known || i.LifeOf(f.incarnation) == models.EarlierLife {
		return 0
	}
	return f.decayed(time.Now())
}

// setback is how many failures an instance counts for, those among them that others' word of
// it stands for. The balance must be locked.
func (s *scheduler) penalty(node Node, i models.UpstreamInstance) float64 {
	if node.Breakers().IsBusy(i) {
		return s.recentFailures(i) + busyFailures
	}
	return s.recentFailures(i)
}
