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
	work   map[models.ModelName]*average
	// arrivals are how many requests of each model come in a second.
	arrivals map[models.ModelName]*average
	// moved is when something last came from a group's head.
	moved map[models.InstanceID]time.Time
	// barred is until when instances that name a limit are left alone.
	barred map[models.InstanceID]time.Time
	// failed is what instances failed of late.
	failed  map[models.InstanceID]failures
	pauses  map[models.ModelName]*pauses
	changed chan struct{}
}

// average is a rate that forgets exponentially.
type average struct {
	rate float64
	at   time.Time
}

// decayed is the rate now. It may be asked of nil.
func (a *average) decayed(now time.Time) float64 {
	if a == nil {
		return 0
	}
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/workSpan.Seconds())
}

func newBalance() *balance {
	return &balance{
		policy: placement.DefaultPolicy(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		loads: map[models.InstanceID]cluster.Load{}, stamps: map[models.InstanceID]uint64{},
		work: map[models.ModelName]*average{}, arrivals: map[models.ModelName]*average{}, moved: map[models.InstanceID]time.Time{}, failed: map[models.InstanceID]failures{},
		barred: map[models.InstanceID]time.Time{}, pauses: map[models.ModelName]*pauses{}, changed: make(chan struct{}, 1),
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

// Work tells the load of each model, in seconds of a replica group for each
// second.
func (b *balance) Work() map[models.ModelName]float64 {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[models.ModelName]float64, len(b.work))
	for model, a := range b.work {
		out[model] = a.decayed(now)
	}
	return out
}

func (b *balance) addWork(model models.ModelName, seconds float64) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	addTo(b.work, model, seconds, now)
	addTo(b.arrivals, model, 1, now)
}

// addTo adds an amount to the average rate of a model.
func addTo(averages map[models.ModelName]*average, model models.ModelName, amount float64, now time.Time) {
	a := averages[model]
	if a == nil {
		a = &average{at: now}
		averages[model] = a
	}
	a.rate, a.at = a.decayed(now)+amount/workSpan.Seconds(), now
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
	maps.DeleteFunc(b.barred, func(id models.InstanceID, _ time.Time) bool { return gone(id) })
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
