package standin

import (
	"net/http"
	"sync"
	"time"
)

// Weights is a rate-limited weight store: readers wait their turn.
type Weights struct {
	mu   sync.Mutex
	down bool
	rate float64
	// free is when the store is done with all readers so far.
	free time.Time
}

// NewWeights returns a store without a limit.
func NewWeights() *Weights { return &Weights{} }

// Control changes how the store behaves.
func (s *Weights) Control(c WeightsControl) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(&s.down, c.Down)
	set(&s.rate, c.LoadsPerSecond)
}

// reserve returns how long a reader that comes now has to wait.
func (s *Weights) reserve(now time.Time) (wait time.Duration, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.rate == 0 {
		return 0, s.down
	}
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(time.Second) / s.rate))
	return s.free.Sub(now), false
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
