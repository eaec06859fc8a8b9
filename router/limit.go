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
	n := 1
	for _, d := range serving {
		if d != self {
			n++
		}
	}
	part := limit / n
	if planner.Rank(self, serving, key) < limit%n {
		part++
	}
	return part
}

// Limits counts the requests of each workspace that a daemon has in flight.
type Limits struct {
	mu     sync.Mutex
	flying map[models.WorkspaceName]int
}

// NewLimits returns limits with nothing in flight.
func NewLimits() *Limits { return &Limits{flying: map[models.WorkspaceName]int{}} }

// Take counts a request in, or returns ErrOverLimit at once. A limit of 0
// is none.
func (l *Limits) Take(w models.Workspace, allotment int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Concurrent > 0 && l.flying[w.Name] >= allotment {
		return fmt.Errorf("%w: workspace %s, %d of %d here", ErrOverLimit, w.Name, allotment, w.Concurrent)
	}
	l.flying[w.Name]++
	return nil
}

// Give counts a request out.
func (l *Limits) Give(w models.WorkspaceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.flying[w]--; l.flying[w] == 0 {
		delete(l.flying, w)
	}
}

// The retry budget: each request brings a tenth of a retry, and as many may
// be saved up as a burst needs. A daemon begins with all of them: its first
// requests may meet a group that has just died.
const (
	retriesPerRequest = 0.1
	maxSavedRetries   = 10
)

// Budget keeps retries to a tenth of the requests, so that failing upstreams
// can't make a daemon multiply its load. The zero value is ready to use.
type Budget struct {
	mu sync.Mutex
	// used are the retries that are missing from the most that are saved.
	used float64
}

// Earn notes a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = max(0, b.used-retriesPerRequest)
}

// Spend takes one retry, if there is one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > maxSavedRetries-1 {
		return false
	}
	b.used++
	return true
}
