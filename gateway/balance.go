package gateway

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

// workSpan is the time over which the load of a model is averaged.
const workSpan = 4 * time.Second

// balance counts what the daemon has at each instance and picks where the
// next request goes. It is safe for use by several goroutines.
type balance struct {
	mu    sync.Mutex
	loads map[models.InstanceID]cluster.Load
	// stamps number the changes of each instance's load.
	stamps map[models.InstanceID]uint64
	last   uint64
	work   map[models.ModelName]*average
	// moved is when something last came from a group's head.
	moved   map[models.InstanceID]time.Time
	pauses  map[models.ModelName]*pauses
	changed chan struct{}
}

// average is a rate that forgets exponentially.
type average struct {
	rate float64
	at   time.Time
}

func (a *average) decayed(now time.Time) float64 {
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/workSpan.Seconds())
}

func newBalance() *balance {
	return &balance{
		loads: map[models.InstanceID]cluster.Load{}, stamps: map[models.InstanceID]uint64{},
		work: map[models.ModelName]*average{}, moved: map[models.InstanceID]time.Time{},
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
	a := b.work[model]
	if a == nil {
		a = &average{at: now}
		b.work[model] = a
	}
	a.rate, a.at = a.decayed(now)+seconds/workSpan.Seconds(), now
}

// add changes what the daemon has at an instance. The others are told at once
// if it is urgent.
func (b *balance) add(id models.InstanceID, requests, unread int, urgent bool) {
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
	if !urgent {
		return
	}
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
	maps.DeleteFunc(b.stamps, func(id models.InstanceID, _ uint64) bool { return gone(id) })
}

// loadAt is what an instance has from all daemons.
func (b *balance) loadAt(node Beliefs, id models.InstanceID) cluster.Load {
	own, peers := b.loads[id], node.PeersLoad(id)
	return cluster.Load{Requests: own.Requests + peers.Requests, Unread: own.Unread + peers.Unread}
}

// loadNow is what an instance has from all daemons.
func (b *balance) loadNow(node Beliefs, id models.InstanceID) cluster.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loadAt(node, id)
}

// requestCost is how much a request that is being answered weighs against
// prompts that are to be read: each slows a pass a little, and takes a slot.
const requestCost = 2 * time.Millisecond

// pickGroup returns the group that was not tried and that answers soonest,
// and how many requests it has.
func (b *balance) pickGroup(node Beliefs, engine *models.EngineProfile, model models.ModelName, tried []models.InstanceID) (cluster.Group, int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := node.View()
	groups := view.Groups[model]
	best, requests, least := -1, 0, time.Duration(0)
	order := rand.Perm(len(groups))
	if !urgent(view, model) {
		// What is known of the others' requests is old: the best of a few is
		// then better than the best of all, which everybody would choose.
		order = order[:min(len(order), fewGroups+len(tried))]
	}
	for _, i := range order {
		g := groups[i]
		if slices.Contains(tried, g.Head.ID) {
			continue
		}
		load := b.loadAt(node, g.Head.ID)
		cost := time.Duration(load.Requests) * requestCost
		if engine.ReadPerSecond > 0 {
			cost += time.Duration(float64(load.Unread) / engine.ReadPerSecond * float64(time.Second))
		}
		if load.Requests >= engine.Slots {
			cost += fullCost * time.Duration(load.Requests-engine.Slots+1)
		}
		if best < 0 || cost < least {
			best, requests, least = i, load.Requests, cost
		}
	}
	if best < 0 {
		return cluster.Group{}, 0, false
	}
	return groups[best], requests, true
}

const (
	// manyDaemons is how many daemons may tell all others at once of every
	// change, and someGroups how many groups a model may have for it to be
	// worth while among more: the fewer, the more often two prompts meet.
	manyDaemons = 20
	someGroups  = 24
	// fewGroups is among how many the best is chosen by old news.
	fewGroups = 3
)

// urgent reports whether the others are to be told at once of the model's
// requests.
func urgent(v *cluster.View, model models.ModelName) bool {
	return v.Daemons <= manyDaemons || len(v.Groups[model]) <= someGroups
}

// fullCost is how long a request waits at a full group for each one that is
// ahead of it: about the time between two ends.
const fullCost = 100 * time.Millisecond

// pickInstance returns the instance of a plain service with the fewest
// requests that was not tried.
func (b *balance) pickInstance(node Beliefs, service models.ServiceName, tried []models.InstanceID) (models.UpstreamInstance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := node.View().Services[service]
	best, least := -1, 0
	for _, i := range rand.Perm(len(all)) {
		if slices.Contains(tried, all[i].ID) {
			continue
		}
		if n := b.loadAt(node, all[i].ID).Requests; best < 0 || n < least {
			best, least = i, n
		}
	}
	if best < 0 {
		return models.UpstreamInstance{}, false
	}
	return all[best], true
}
