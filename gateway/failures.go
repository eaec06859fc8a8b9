package gateway

import (
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// failureSpan is the time in which two thirds of what an instance failed is
	// forgotten.
	failureSpan = 2 * time.Second
	// failuresMost bounds what is remembered, so that an instance that is well again
	// is tried within some six seconds.
	failuresMost = 4
	// failureRequests is how many requests a failure counts for where the instance
	// of a plain service with the fewest is picked.
	failureRequests = 2
	// busyFailures is how many failures it counts for that an instance asked another daemon
	// for rest.
	busyFailures = 2
)

// failures are how many requests an instance failed of late. One that resets every
// connection has no requests, so that it would seem the least busy of all: 761
// requests of one day with such heads were answered with 502.
type failures struct {
	// born is the life of the instance that failed them.
	born  time.Time
	count float64
	at    time.Time
}

func (f failures) decayed(now time.Time) float64 {
	return f.count * math.Exp(-now.Sub(f.at).Seconds()/failureSpan.Seconds())
}

// fail notes that an instance failed a request without an answer, or turned it away.
func (b *balance) fail(i models.UpstreamInstance) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed[i.ID] = failures{i.Born, min(failuresMost, b.failing(i)+1), now}
}

// answer notes that an instance answered a request.
func (b *balance) answer(id models.InstanceID) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if f, known := b.failed[id]; known {
		b.failed[id] = failures{f.born, f.decayed(now) / 2, now}
	}
}

// failing is how many requests an instance failed of late, in this life. The balance
// must be locked.
func (b *balance) failing(i models.UpstreamInstance) float64 {
	f, known := b.failed[i.ID]
	if !known || i.LifeOf(f.born) == models.EarlierLife {
		return 0
	}
	return f.decayed(time.Now())
}

// setback is how many failures an instance counts for, those among them that others' word of
// it stands for. The balance must be locked.
func (b *balance) setback(node Beliefs, i models.UpstreamInstance) float64 {
	if node.Breakers().IsBusy(i) {
		return b.failing(i) + busyFailures
	}
	return b.failing(i)
}
