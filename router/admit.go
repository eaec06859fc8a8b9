package router

import (
	"errors"
	"fmt"
	"sync"

	"github.com/lupinkeel/lupinkeel/models"
)

// ErrOverloaded is returned for a request that would only wait.
var ErrOverloaded = errors.New("too many requests are in flight")

// QueueFactor is how many requests, in parts of what a group runs at once, it
// is sent in all: a little more than it runs, so that it never idles, and no
// more, so that none waits for long. The sum over all daemons keeps this,
// however old the groups' reports are.
const QueueFactor = 1.5

const (
	// openPart is the part of a daemon's capacity that anybody may fill.
	// The rest is for workspaces that have less than their share.
	unreservedFraction = 0.7
	// lowestPart is the part that requests of priority 0 may fill; each
	// higher priority may fill more, the highest everything.
	lowestPriorityFraction = 0.8
	maxPriority            = 9
)

// Admission keeps, for one model, a daemon's requests in flight within its
// capacity and shares that between workspaces by their weights.
type Admission struct {
	mu    sync.Mutex
	pools map[models.ModelName]*pool
}

// pool holds the requests in flight for one model.
type pool struct {
	total    int
	inFlight map[models.WorkspaceName]int
	shares   map[models.WorkspaceName]int
}

// NewAdmission returns an admission with nothing in flight.
func NewAdmission() *Admission { return &Admission{pools: map[models.ModelName]*pool{}} }

// Enter counts a request in, or returns ErrOverloaded at once. A capacity
// below 0 is not known and sets no bound.
func (a *Admission) Enter(m models.ModelName, w models.Workspace, capacity, priority int) error {
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

// Reasons within ErrOverloaded.
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

// Leave counts a request out.
func (a *Admission) Leave(m models.ModelName, w models.WorkspaceName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[m]
	p.total--
	if p.inFlight[w]--; p.inFlight[w] == 0 {
		delete(p.inFlight, w)
		delete(p.shares, w)
	}
}
