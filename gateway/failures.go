package gateway

import (
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// failureDecay is the time constant with which failures decay: two thirds are forgotten after
	// it.
	failureDecay = 2 * time.Second
	// maxFailureCount bounds the failure count, so that a recovered instance is tried again within
	// some six seconds.
	maxFailureCount = 4
	// requestsPerFailure is how many requests a failure counts for when the least loaded instance
	// of a plain service is picked.
	requestsPerFailure = 2
	// busyFailures is how many failures it counts for that an instance asked another daemon for a
	// backoff.
	busyFailures = 2
)

// failureCount is the decayed number of requests that an instance failed recently. Without it an
// instance that resets every connection would look the least loaded of all, since it has no
// requests: this caused 761 responses with status 502 in one day.
type failureCount struct {
	// incarnation is the start time of the instance that failed them.
	incarnation time.Time
	count       float64
	updated     time.Time
}

func (f failureCount) decayed(now time.Time) float64 {
	return f.count * math.Exp(-now.Sub(f.updated).Seconds()/failureDecay.Seconds())
}

// addFailure records that an instance failed a request without a response, or rejected it.
func (s *scheduler) addFailure(i models.UpstreamInstance) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures[i.ID] = failureCount{i.StartedAt, min(maxFailureCount, s.recentFailures(i)+1), now}
}

// addSuccess records that an instance ran a request.
func (s *scheduler) addSuccess(id models.InstanceID) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, known := s.failures[id]; known {
		s.failures[id] = failureCount{f.incarnation, f.decayed(now) / 2, now}
	}
}

// recentFailures returns the decayed number of requests that this incarnation of an instance
// failed. The scheduler must be locked.
func (s *scheduler) recentFailures(i models.UpstreamInstance) float64 {
	f, known := s.failures[i.ID]
	if !known || i.CompareIncarnation(f.incarnation) == models.EarlierIncarnation {
		return 0
	}
	return f.decayed(time.Now())
}

// penalty returns how many failures an instance counts for, including those for a backoff that it
// asked another daemon for. The scheduler must be locked.
func (s *scheduler) penalty(node Node, i models.UpstreamInstance) float64 {
	if node.Breakers().IsBusy(i) {
		return s.recentFailures(i) + busyFailures
	}
	return s.recentFailures(i)
}
