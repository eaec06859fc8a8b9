package router

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
)

// ErrOverLimit is returned for a request that exceeds its workspace's concurrency limit.
var ErrOverLimit = errors.New("the workspace has as many requests in flight as it may")

// LimitShare returns this daemon's share of a limit that applies to all serving daemons
// together. The shares add up to the limit. Each daemon computes its own share without
// communication: the remainder of the division goes to the first daemons in the rendezvous
// hashing order for key, which is the same for all daemons.
//
// See ExampleLimitShare.
func LimitShare(limit int, self models.DaemonID, serving []models.DaemonID, key string) int {
	daemons := 1
	for _, d := range serving {
		if d != self {
			daemons++
		}
	}
	share := limit / daemons
	if planner.RendezvousRank(self, serving, key) < limit%daemons {
		share++
	}
	return share
}

// ConcurrencyLimits enforces the concurrency limits of workspaces at one daemon.
type ConcurrencyLimits struct {
	mu       sync.Mutex
	inFlight map[models.WorkspaceName]int
}

// NewConcurrencyLimits returns ConcurrencyLimits without requests in flight.
func NewConcurrencyLimits() *ConcurrencyLimits {
	return &ConcurrencyLimits{inFlight: map[models.WorkspaceName]int{}}
}

// Acquire admits a request, or returns ErrOverLimit without waiting. w.Concurrent is 0 for no
// limit; share is this daemon's share of it. An admitted request must be ended by Release.
func (l *ConcurrencyLimits) Acquire(w models.Workspace, share int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Concurrent > 0 && l.inFlight[w.Name] >= share {
		return fmt.Errorf("%w: workspace %s, %d of %d here", ErrOverLimit, w.Name, share, w.Concurrent)
	}
	l.inFlight[w.Name]++
	return nil
}

// Release ends a request that Acquire admitted.
func (l *ConcurrencyLimits) Release(w models.WorkspaceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[w]--; l.inFlight[w] == 0 {
		delete(l.inFlight, w)
	}
}

// The retry budget is a token bucket: each request adds retryRatio of a retry, up to
// retryBurst. It is empty at startup and filled within retryBurst times retryInterval even without
// requests: a daemon's first requests may be sent to a group that has just failed, but a daemon
// that starts again and again must not have the whole burst each time.
const (
	retryRatio    = 0.1
	retryBurst    = 10
	retryInterval = time.Second
)

// RetryBudget limits retries to a tenth of the requests, so that failing upstreams don't make a
// daemon multiply its load.
type RetryBudget struct {
	startedAt time.Time

	mu sync.Mutex
	// available is how many retries may be made, filled how many were added since the start
	// without requests.
	available, filled float64
}

// NewRetryBudget returns the budget of a daemon that starts now.
func NewRetryBudget(now time.Time) *RetryBudget { return &RetryBudget{startedAt: now} }

// Deposit adds the budget for one request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(retryRatio)
}

func (b *RetryBudget) add(retries float64) { b.available = min(retryBurst, b.available+retries) }

// Withdraw takes one retry from the budget. It returns false if there is none left.
func (b *RetryBudget) Withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if filled := min(retryBurst, now.Sub(b.startedAt).Seconds()/retryInterval.Seconds()); filled > b.filled {
		b.add(filled - b.filled)
		b.filled = filled
	}
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
