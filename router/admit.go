package router

import (
	"errors"
	"fmt"
	"sync"

	"github.com/lupinkeel/lupinkeel/models"
)

// ErrOverloaded is returned for a request that exceeds the capacity, or the fair share of its
// workspace. It would only wait in a queue.
var ErrOverloaded = errors.New("too many requests are in flight")

// MaxInFlightFactor is the number of requests that all daemons together may have in flight at a
// group, relative to the number that it runs concurrently. It is above 1 so that the group
// never idles, and low so that requests don't queue for long. The sum over all daemons
// respects it even if the groups' load reports are stale.
const MaxInFlightFactor = 1.5

const (
	// unreservedFraction is the fraction of a daemon's capacity that any workspace may use.
	// The rest is reserved for workspaces that use less than their fair share.
	unreservedFraction = 0.7
	// lowestPriorityFraction is the fraction of the capacity that requests of priority 0 may
	// use. The fraction increases linearly up to 1 for maxPriority.
	lowestPriorityFraction = 0.8
	maxPriority            = 9
)

// Admission is the admission control of a daemon. For each model it limits the requests in
// flight to the daemon's capacity and divides the capacity between workspaces by their
// weights.
type Admission struct {
	mu    sync.Mutex
	pools map[models.ModelName]*pool
}

// pool counts the requests in flight for one model.
type pool struct {
	total    int
	inFlight map[models.WorkspaceName]int
	shares   map[models.WorkspaceName]int
}

// NewAdmission returns an Admission without requests in flight.
func NewAdmission() *Admission { return &Admission{pools: map[models.ModelName]*pool{}} }

// Acquire admits a request, or returns ErrOverloaded without waiting. A capacity below 0 is
// unknown and sets no limit. An admitted request must be ended by Release.
func (a *Admission) Acquire(m models.ModelName, w models.Workspace, capacity, priority int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[m]
	if p == nil {
		p = &pool{inFlight: map[models.WorkspaceName]int{}, shares: map[models.WorkspaceName]int{}}
		a.pools[m] = p
	}
	if err := p.admit(w, capacity, priority); err != nil {
		return fmt.Errorf("%w for model %s: %w", ErrOverloaded, m, err)
	}
	p.total++
	p.inFlight[w.Name]++
	p.shares[w.Name] = w.Share
	return nil
}

// Reasons wrapped together with ErrOverloaded.
var (
	errFull      = errors.New("its groups are full")
	errOverShare = errors.New("the workspace has more than its share")
)

func (p *pool) admit(w models.Workspace, capacity, priority int) error {
	if capacity < 0 {
		return nil
	}
	fraction := lowestPriorityFraction + (1-lowestPriorityFraction)*float64(min(priority, maxPriority))/maxPriority
	if float64(p.total) >= max(1, fraction*float64(capacity)) {
		return errFull
	}
	if float64(p.total) < unreservedFraction*float64(capacity) || len(p.inFlight) == 0 {
		return nil
	}
	otherShares := 0
	for name, share := range p.shares {
		if name != w.Name {
			otherShares += share
		}
	}
	fairShare := float64(capacity) * float64(w.Share) / float64(otherShares+w.Share)
	if float64(p.inFlight[w.Name]) >= fairShare {
		return errOverShare
	}
	return nil
}

// Release ends a request that Acquire admitted.
func (a *Admission) Release(m models.ModelName, w models.WorkspaceName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[m]
	p.total--
	if p.inFlight[w]--; p.inFlight[w] == 0 {
		delete(p.inFlight, w)
		delete(p.shares, w)
	}
}
