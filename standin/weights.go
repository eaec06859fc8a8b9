package standin

import (
	"net/http"
	"sync"
	"time"
)

// Weights is a rate-limited weight store that serves its readers one after another.
type Weights struct {
	mu   sync.Mutex
	down bool
	rate float64
	// busyUntil is when the store has served all readers that have arrived so far.
	busyUntil time.Time
}

// NewWeights returns a store without a rate limit.
func NewWeights() *Weights { return &Weights{} }

// Control changes the store's faults and rate.
func (s *Weights) Control(c WeightsControl) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setIfPresent(&s.down, c.Down)
	setIfPresent(&s.rate, c.LoadsPerSecond)
}

// reserve adds a reader to the queue and returns how long it has to wait.
func (s *Weights) reserve(now time.Time) (wait time.Duration, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.rate == 0 {
		return 0, s.down
	}
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(time.Second) / s.rate))
	return s.busyUntil.Sub(now), false
}

func (s *Weights) serveFetch(w http.ResponseWriter, r *http.Request) {
	wait, down := s.reserve(time.Now())
	if down {
		writeError(w, http.StatusServiceUnavailable, "the weight store is away")
		return
	}
	if sleep(r.Context(), wait) == nil {
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Weights) serveControl(w http.ResponseWriter, r *http.Request) {
	var c WeightsControl
	if readJSON(w, r, &c) {
		s.Control(c)
		w.WriteHeader(http.StatusNoContent)
	}
}
