package gateway

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/placement"
)

// workSpan is the time over which the load of a model is averaged.
const averagingPeriod = 4 * time.Second

// balance counts what the daemon has at each instance and picks where the
// next request goes. It is safe for use by several goroutines.
type scheduler struct {
	// zone is the daemon's own; it is set before anything is picked.
	zone models.Zone
	// policy is how groups are chosen.
	policy placement.Policy

	mu sync.Mutex
	// random breaks ties, differently at each daemon.
	random *rand.Rand
	loads  map[models.InstanceID]cluster.Load
	// stamps number the changes of each instance's load.
	changeSeqs map[models.InstanceID]uint64
	lastSeq    uint64
	demand     map[models.ModelName]*decayingRate
	// arrivals are how many requests of each model come in a second.
	arrivals map[models.ModelName]*decayingRate
	// moved is when something last came from a group's head.
	lastEvents map[models.InstanceID]time.Time
	// barred is until when instances that name a limit are left alone.
	excludedUntil map[models.InstanceID]time.Time
	// failed is what instances failed of late.
	failures map[models.InstanceID]failureCount
	pauses   map[models.ModelName]*pauseHistogram
	changed  chan struct{}
}

// average is a rate that forgets exponentially.
type decayingRate struct {
	rate    float64
	updated time.Time
}

// decayed is the rate now. It may be asked of nil.
func (a *decayingRate) decayed(now time.Time) float64 {
	if a == nil {
		return 0
	}
	return a.rate * math.Exp(-now.Sub(a.updated).Seconds()/averagingPeriod.Seconds())
}

func newScheduler() *scheduler {
	return &scheduler{
		policy: placement.DefaultPolicy(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		loads: map[models.InstanceID]cluster.Load{}, changeSeqs: map[models.InstanceID]uint64{},
		demand: map[models.ModelName]*decayingRate{}, arrivals: map[models.ModelName]*decayingRate{}, lastEvents: map[models.InstanceID]time.Time{}, failures: map[models.InstanceID]failureCount{},
		excludedUntil: map[models.InstanceID]time.Time{}, pauses: map[models.ModelName]*pauseHistogram{}, changed: make(chan struct{}, 1),
	}
}

// Loads are what the daemon has at instances.
func (s *scheduler) Loads() map[models.InstanceID]cluster.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.loads)
}

// LoadsSince are the loads that changed since an earlier call.
func (s *scheduler) LoadsSince(seen uint64) (map[models.InstanceID]cluster.Load, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[models.InstanceID]cluster.Load{}
	for id, stamp := range s.changeSeqs {
		if stamp > seen {
			out[id] = s.loads[id]
		}
	}
	return out, s.lastSeq
}

// Changed yields after loads have changed.
func (s *scheduler) Changed() <-chan struct{} { return s.changed }

// Work tells the load of each model, in seconds of a replica group for each
// second.
func (s *scheduler) Work() map[models.ModelName]float64 {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[models.ModelName]float64, len(s.demand))
	for model, a := range s.demand {
		out[model] = a.decayed(now)
	}
	return out
}

func (s *scheduler) addDemand(model models.ModelName, seconds float64) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	addToRate(s.demand, model, seconds, now)
	addToRate(s.arrivals, model, 1, now)
}

// addTo adds an amount to the average rate of a model.
func addToRate(averages map[models.ModelName]*decayingRate, model models.ModelName, amount float64, now time.Time) {
	a := averages[model]
	if a == nil {
		a = &decayingRate{updated: now}
		averages[model] = a
	}
	a.rate, a.updated = a.decayed(now)+amount/averagingPeriod.Seconds(), now
}

// add changes what the daemon has at an instance, and has the others told.
func (s *scheduler) addLoad(id models.InstanceID, requests, prefillTokens int) {
	s.mu.Lock()
	load := s.loads[id]
	load.Requests += requests
	load.Unread += prefillTokens
	s.loads[id] = load
	if load == (cluster.Load{}) {
		delete(s.loads, id)
	}
	s.lastSeq++
	s.changeSeqs[id] = s.lastSeq
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// move notes that something came from a head.
func (s *scheduler) noteEvent(id models.InstanceID) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEvents[id] = now
}

// still tells for how long nothing came from a head.
func (s *scheduler) silence(id models.InstanceID, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastEvents[id])
}

// forget drops what is kept of instances that are gone.
func (s *scheduler) prune(known map[models.InstanceID]models.UpstreamInstance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := func(id models.InstanceID) bool {
		_, there := known[id]
		_, loaded := s.loads[id]
		return !there && !loaded
	}
	maps.DeleteFunc(s.lastEvents, func(id models.InstanceID, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(s.failures, func(id models.InstanceID, _ failureCount) bool { return gone(id) })
	maps.DeleteFunc(s.excludedUntil, func(id models.InstanceID, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(s.changeSeqs, func(id models.InstanceID, _ uint64) bool { return gone(id) })
}

// loadAt is what an instance has from all daemons. The balance must be locked.
func (s *scheduler) totalLoadLocked(node Node, id models.InstanceID) cluster.Load {
	own, peers := s.loads[id], node.PeersLoad(id)
	return cluster.Load{Requests: own.Requests + peers.Requests, Unread: own.Unread + peers.Unread}
}

// loadNow is loadAt for a balance that is not locked.
func (s *scheduler) totalLoad(node Node, id models.InstanceID) cluster.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalLoadLocked(node, id)
}
