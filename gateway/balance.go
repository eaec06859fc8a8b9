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

// balance counts the daemon's requests at each instance and picks where the
// next one goes.
type balance struct {
	mu       sync.Mutex
	inFlight map[models.InstanceID]int
	work     map[models.ModelName]*average
	// moved is when something last came from a group's head.
	moved map[models.InstanceID]time.Time
	freed chan struct{}
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
		inFlight: map[models.InstanceID]int{}, work: map[models.ModelName]*average{}, moved: map[models.InstanceID]time.Time{},
		freed: make(chan struct{}, 1),
	}
}

// InFlight counts the requests at each instance.
func (b *balance) InFlight() map[models.InstanceID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.inFlight)
}

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

func (b *balance) enter(id models.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[id]++
}

func (b *balance) leave(id models.InstanceID) {
	b.mu.Lock()
	if b.inFlight[id]--; b.inFlight[id] <= 0 {
		delete(b.inFlight, id)
	}
	b.mu.Unlock()
	select {
	case b.freed <- struct{}{}:
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
	maps.DeleteFunc(b.moved, func(id models.InstanceID, _ time.Time) bool {
		_, there := known[id]
		return !there
	})
}

// load is how many requests an instance has from all daemons.
func (b *balance) load(v *cluster.View, id models.InstanceID) int {
	return b.inFlight[id] + v.PeersInFlight[id]
}

// pickGroup returns the group with the fewest requests that was not tried,
// and how many it has.
func (b *balance) pickGroup(v *cluster.View, model models.ModelName, tried []models.InstanceID) (cluster.Group, int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	groups := v.Groups[model]
	best, least := -1, 0
	for _, i := range rand.Perm(len(groups)) {
		g := groups[i]
		if slices.Contains(tried, g.Head.ID) {
			continue
		}
		if n := b.load(v, g.Head.ID); best < 0 || n < least {
			best, least = i, n
		}
	}
	if best < 0 {
		return cluster.Group{}, 0, false
	}
	return groups[best], least, true
}

// pickInstance returns the instance of a plain service with the fewest
// requests that was not tried.
func (b *balance) pickInstance(v *cluster.View, service models.ServiceName, tried []models.InstanceID) (models.UpstreamInstance, int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := v.Services[service]
	best, least := -1, 0
	for _, i := range rand.Perm(len(all)) {
		if slices.Contains(tried, all[i].ID) {
			continue
		}
		if n := b.load(v, all[i].ID); best < 0 || n < least {
			best, least = i, n
		}
	}
	if best < 0 {
		return models.UpstreamInstance{}, 0, false
	}
	return all[best], least, true
}
