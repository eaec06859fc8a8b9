package router

import (
	"errors"
	"fmt"
	"sync"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
)

// ErrOverLimit is returned for a request beyond its workspace's limit.
var ErrOverLimit = errors.New("the workspace has as many requests in flight as it may")

// Allotment is this daemon's part of a limit that holds over all daemons
// that serve. The parts of all daemons add up to the limit, and each daemon
// works its own out without asking: what does not divide evenly goes to the
// first in an order that all compute alike.
//
// See ExampleAllotment.
func Allotment(limit int, self models.DaemonID, serving []models.DaemonID, key string) int {
	daemons := 1
	for _, d := range serving {
		if d != self {
			daemons++
		}
	}
	share := limit / daemons
	if planner.Rank(self, serving, key) < limit%daemons {
		share++
	}
	return share
}

// Limits counts the requests of each workspace that a daemon has in flight.
type Limits struct {
	mu       sync.Mutex
	inFlight map[models.WorkspaceName]int
}

// NewLimits returns limits with nothing in flight.
func NewLimits() *Limits { return &Limits{inFlight: map[models.WorkspaceName]int{}} }

// Take counts a request in, or returns ErrOverLimit at once. A limit of 0
// is none.
func (l *Limits) Take(w models.Workspace, allotment int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Concurrent > 0 && l.inFlight[w.Name] >= allotment {
		return fmt.Errorf("%w: workspace %s, %d of %d here", ErrOverLimit, w.Name, allotment, w.Concurrent)
	}
	l.inFlight[w.Name]++
	return nil
}

// Give counts a request out.
func (l *Limits) Give(w models.WorkspaceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[w]--; l.inFlight[w] == 0 {
		delete(l.inFlight, w)
	}
}

// The retry budget: each request brings a tenth of a retry, and as many may
// be saved up as a burst needs. A daemon begins with all of them: its first
// requests may meet a group that has just died.
const (
	retryRatio = 0.1
	retryBurst = 10
)

// Budget keeps retries to a tenth of the requests, so that failing upstreams
// can't make a daemon multiply its load. The zero value is ready to use.
type Budget struct {
	mu sync.Mutex
	// used are the retries that are missing from the most that are saved.
	spent float64
}

// Earn notes a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryRatio)
}

// Spend takes one retry, if there is one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent > retryBurst-1 {
		return false
	}
	b.spent++
	return true
}
