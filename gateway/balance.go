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
const workSpan = 4 * time.Second

// balance counts what the daemon has at each instance and picks where the
// next request goes. It is safe for use by several goroutines.
type balance struct {
	// zone is the daemon's own; it is set before anything is picked.
	zone models.Zone
	// policy is how groups are chosen.
	policy placement.Policy

	mu sync.Mutex
	// random breaks ties, differently at each daemon.
	random *rand.Rand
	loads  map[models.InstanceID]cluster.Load
	// stamps number the changes of each instance's load.
	stamps map[models.InstanceID]uint64
	last   uint64
	// work is what callers ask of each model.
	work map[models.ModelName]*workRate
	// asked is when the callers of each route last asked for a model.
	asked map[models.ModelName]map[string]time.Time
	// moved is when something last came from a group's head.
	moved map[models.InstanceID]time.Time
	// failed is what instances failed of late.
	failed  map[models.InstanceID]failures
	pauses  map[models.ModelName]*pauses
	changed chan struct{}
}

// workRate is what callers ask in a second, which it forgets exponentially.
type workRate struct {
	rate cluster.Work
	at   time.Time
}

// decayed is the rate now. It may be asked of nil.
func (a *workRate) decayed(now time.Time) cluster.Work {
	if a == nil {
		return cluster.Work{}
	}
	return a.rate.Times(math.Exp(-now.Sub(a.at).Seconds() / workSpan.Seconds()))
}

func newBalance() *balance {
	return &balance{
		policy: placement.DefaultPolicy(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		loads: map[models.InstanceID]cluster.Load{}, stamps: map[models.InstanceID]uint64{},
		work: map[models.ModelName]*workRate{}, asked: map[models.ModelName]map[string]time.Time{}, moved: map[models.InstanceID]time.Time{}, failed: map[models.InstanceID]failures{},
		pauses: map[models.ModelName]*pauses{}, changed: make(chan struct{}, 1),
	}
}

// Loads are what the daemon has at instances.
func (b *balance) Loads() map[models.InstanceID]cluster.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.loads)
}

// LoadsSince are the loads that changed since an earlier call.
func (b *balance) LoadsSince(seen uint64) (map[models.InstanceID]cluster.Load, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[models.InstanceID]cluster.Load{}
	for id, stamp := range b.stamps {
		if stamp > seen {
			out[id] = b.loads[id]
		}
	}
	return out, b.last
}

// Changed yields after loads have changed.
func (b *balance) Changed() <-chan struct{} { return b.changed }

// Work tells what callers ask of each model.
func (b *balance) Work() map[models.ModelName]cluster.Work {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[models.ModelName]cluster.Work, len(b.work))
	for model, a := range b.work {
		out[model] = a.decayed(now)
	}
	return out
}

// kindsSpan is how long a kind of request counts that was not asked for again.
const kindsSpan = 30 * time.Second

// Kinds is how many routes' callers asked for each model of late.
func (b *balance) Kinds() map[models.ModelName]int {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[models.ModelName]int, len(b.asked))
	for model, routes := range b.asked {
		maps.DeleteFunc(routes, func(_ string, at time.Time) bool { return now.Sub(at) > kindsSpan })
		out[model] = len(routes)
	}
	return out
}

// addWork counts a request's work.
func (b *balance) addWork(model models.ModelName, route string, work cluster.Work) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asked[model] == nil {
		b.asked[model] = map[string]time.Time{}
	}
	b.asked[model][route] = now
	a := b.work[model]
	if a == nil {
		a = &workRate{}
		b.work[model] = a
	}
	a.rate, a.at = a.decayed(now).Plus(work.Times(1/workSpan.Seconds())), now
}

// add changes what the daemon has at an instance, and has the others told.
func (b *balance) add(id models.InstanceID, requests, unread int) {
	b.mu.Lock()
	load := b.loads[id]
	load.Requests += requests
	load.Unread += unread
	b.loads[id] = load
	if load == (cluster.Load{}) {
		delete(b.loads, id)
	}
	b.last++
	b.stamps[id] = b.last
	b.mu.Unlock()
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// move notes that something came from a head.
func (b *balance) move(id models.InstanceID) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.moved[id] = now
}

// still tells for how long nothing came from a head.
func (b *balance) still(id models.InstanceID, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.moved[id])
}

// forget drops what is kept of instances that are gone.
func (b *balance) forget(known map[models.InstanceID]models.UpstreamInstance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	gone := func(id models.InstanceID) bool {
		_, there := known[id]
		_, loaded := b.loads[id]
		return !there && !loaded
	}
	maps.DeleteFunc(b.moved, func(id models.InstanceID, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(b.failed, func(id models.InstanceID, _ failures) bool { return gone(id) })
	maps.DeleteFunc(b.stamps, func(id models.InstanceID, _ uint64) bool { return gone(id) })
}

// loadAt is what an instance has from all daemons. The balance must be locked.
func (b *balance) loadAt(node Beliefs, id models.InstanceID) cluster.Load {
	own, peers := b.loads[id], node.PeersLoad(id)
	return cluster.Load{Requests: own.Requests + peers.Requests, Unread: own.Unread + peers.Unread}
}

// loadNow is loadAt for a balance that is not locked.
func (b *balance) loadNow(node Beliefs, id models.InstanceID) cluster.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loadAt(node, id)
}
