package gateway

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/placement"
)

// averagingPeriod is the time constant of the decaying rates of demand: with 4 s, a burst of 1.6
// times the usual rate was seen at 38% two seconds after it began.
const averagingPeriod = 1500 * time.Millisecond

// scheduler tracks the daemon's load at each instance and picks where the next request goes. It is
// safe for concurrent use.
type scheduler struct {
	// zone is the daemon's own zone; it is set before anything is picked.
	zone models.Zone
	// policy decides how groups are picked.
	policy placement.Policy

	mu sync.Mutex
	// random breaks ties; it is seeded differently at each daemon.
	random *rand.Rand
	loads  map[models.InstanceID]cluster.Load
	// changeSeqs holds the sequence number of the last change of each instance's load.
	changeSeqs map[models.InstanceID]uint64
	lastSeq    uint64
	demand     map[models.ServedModel]*demandRates
	// lastEvents holds when the last event was received from each group's head.
	lastEvents map[models.InstanceID]time.Time
	// excludedUntil holds until when rate-limited instances must not be picked.
	excludedUntil map[models.InstanceID]time.Time
	// failures holds the recent failures of instances.
	failures map[models.InstanceID]failureCount
	pauses   map[models.ServedModel]*pauseHistogram
	// bases holds the observed base latency of each model.
	bases map[models.ServedModel]*baseLatency
	// slowness holds the observed slowness of each group.
	slowness map[models.GroupKey]*placement.Slowness
	// groupsSeenAt holds when each group was first seen, zero for those that were there when the
	// first group of their model was seen; modelsSeen are these models.
	groupsSeenAt map[models.GroupKey]time.Time
	modelsSeen   map[models.ServedModel]bool
	changed      chan struct{}
}

func newScheduler() *scheduler {
	return &scheduler{
		policy: placement.DefaultPolicy(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		loads: map[models.InstanceID]cluster.Load{}, changeSeqs: map[models.InstanceID]uint64{},
		demand: map[models.ServedModel]*demandRates{}, lastEvents: map[models.InstanceID]time.Time{}, failures: map[models.InstanceID]failureCount{},
		excludedUntil: map[models.InstanceID]time.Time{}, pauses: map[models.ServedModel]*pauseHistogram{}, bases: map[models.ServedModel]*baseLatency{}, slowness: map[models.GroupKey]*placement.Slowness{}, groupsSeenAt: map[models.GroupKey]time.Time{}, modelsSeen: map[models.ServedModel]bool{}, changed: make(chan struct{}, 1),
	}
}

// Loads returns the daemon's load at instances.
func (s *scheduler) Loads() map[models.InstanceID]cluster.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.loads)
}

// LoadsSince returns the loads that changed after a sequence number, and the newest number.
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

// addLoad changes the daemon's load at an instance, and wakes the reader of Changed.
func (s *scheduler) addLoad(id models.InstanceID, requests, prefillTokens int) {
	s.mu.Lock()
	load := s.loads[id]
	load.Requests += requests
	load.PrefillTokens += prefillTokens
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

// noteEvent records that an event was received from a head.
func (s *scheduler) noteEvent(id models.InstanceID) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEvents[id] = now
}

// silence returns the time since the last event from a head.
func (s *scheduler) silence(id models.InstanceID, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastEvents[id])
}

// prune drops the state of instances and groups that are gone.
func (s *scheduler) prune(known map[models.InstanceID]models.UpstreamInstance, groups map[models.ServedModel][]cluster.Group) {
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
	s.pruneGroups(groups)
	maps.DeleteFunc(s.changeSeqs, func(id models.InstanceID, _ uint64) bool { return gone(id) })
}

// totalLoadLocked returns the load of an instance from all daemons. The scheduler must be locked.
func (s *scheduler) totalLoadLocked(node Node, id models.InstanceID) cluster.Load {
	own, peers := s.loads[id], node.PeersLoad(id)
	return cluster.Load{Requests: own.Requests + peers.Requests, PrefillTokens: own.PrefillTokens + peers.PrefillTokens}
}

// totalLoad is totalLoadLocked for a scheduler that is not locked.
func (s *scheduler) totalLoad(node Node, id models.InstanceID) cluster.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalLoadLocked(node, id)
}
