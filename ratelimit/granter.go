package ratelimit

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// burst is the number of permits that may be granted at once after a pause.
	burst = 2
	// reservedPermits is the part of burst that is reserved for more urgent requests while they
	// wait.
	reservedPermits = 1
	// urgentWindow is how long a rejected request counts as waiting.
	urgentWindow = time.Second
	// unreservedInterval is the number of permits of which one is granted regardless of urgency, so
	// that the least urgent requests don't starve.
	unreservedInterval = 4
	// askersPerPermit is how many rejected askers may be given the same time to ask again.
	askersPerPermit = 8
	// maxWait bounds the time until an asker may ask again.
	maxWait = 2 * time.Second
	// bucketIdleTimeout is how long a bucket is kept without a permit request: an unused bucket has
	// drained long before.
	bucketIdleTimeout = time.Minute
)

// Candidate is an instance that a request may be sent to, and its rate limit in requests per second
// as known to the asker.
type Candidate struct {
	Instance models.InstanceID `msgpack:"i"`
	Rate     float64           `msgpack:"r"`
}

// PermitRequest is a request for a permit to send one request to one of several instances.
type PermitRequest struct {
	// Priority is the priority of the request, 0 is the most urgent.
	Priority int `msgpack:"k"`
	// Candidates holds the instances in order of preference.
	Candidates []Candidate `msgpack:"w"`
	// Charge reports that something was sent to the first instance without a permit. It counts
	// against the instance's rate.
	Charge bool `msgpack:"c,omitempty"`
}

// Grant is the response to a PermitRequest.
type Grant struct {
	// Granted is set if the request may be sent to Candidates[Index].
	Granted bool `msgpack:"g,omitempty"`
	Index   int  `msgpack:"a,omitempty"`
	// Waits holds for each candidate how long asking again is useless; zero for instances
	// that were not checked.
	Waits []time.Duration `msgpack:"w,omitempty"`
}

// Granter holds the buckets of the instances for which a daemon grants permits. The zero value is
// ready to use. It is not safe for concurrent use.
type Granter struct {
	buckets map[models.InstanceID]*bucket
}

// bucket is a leaky bucket: each permit fills it, and it drains at the instance's rate.
type bucket struct {
	level float64
	// updatedAt is when the level was last computed, rate the rate at that time.
	updatedAt time.Time
	rate      float64
	// granted counts all permits.
	granted int
	// denied counts the requests rejected since the last permit.
	denied int
	// urgentPriority is the priority of the most urgent request rejected within urgentWindow, valid
	// until urgentUntil.
	urgentPriority int
	urgentUntil    time.Time
}

// Decide grants a permit for the first of the candidates that may get another request now. The
// function rate returns the rate at which this daemon may grant permits for an instance.
func (g *Granter) Decide(req PermitRequest, rate func(Candidate) float64, now time.Time) Grant {
	waits := make([]time.Duration, len(req.Candidates))
	if req.Charge && len(req.Candidates) > 0 {
		b := g.bucket(req.Candidates[0].Instance, now)
		b.drain(rate(req.Candidates[0]), now)
		b.level = min(b.level+1, 2*burst)
		return Grant{Granted: true, Waits: waits}
	}
	for n, w := range req.Candidates {
		r := rate(w)
		if r == models.NoRateLimit {
			return Grant{Granted: true, Index: n, Waits: waits}
		}
		if r <= 0 {
			g.bucket(w.Instance, now).drain(0, now)
			waits[n] = maxWait
			continue
		}
		if waits[n] = g.bucket(w.Instance, now).take(req.Priority, r, now); waits[n] == 0 {
			return Grant{Granted: true, Index: n, Waits: waits}
		}
	}
	return Grant{Waits: waits}
}

// bucket returns the bucket of an instance. A new bucket is full, since another daemon may have
// granted permits until now.
func (g *Granter) bucket(id models.InstanceID, now time.Time) *bucket {
	if g.buckets == nil {
		g.buckets = map[models.InstanceID]*bucket{}
	}
	b := g.buckets[id]
	if b == nil {
		b = &bucket{level: burst, updatedAt: now}
		g.buckets[id] = b
	}
	return b
}

// drain computes the level at the given time. The rate may have changed at any time since the last
// update, so the lower of both rates applies.
func (b *bucket) drain(rate float64, now time.Time) {
	drained := min(rate, b.rate) * max(0, now.Sub(b.updatedAt).Seconds())
	b.level, b.updatedAt, b.rate = max(0, b.level-drained), now, rate
}

// take takes one permit and returns zero, or returns how long no permit will be available.
func (b *bucket) take(priority int, rate float64, now time.Time) time.Duration {
	b.drain(rate, now)
	required := 1.0
	waiting := now.Before(b.urgentUntil)
	if waiting && priority > b.urgentPriority && b.granted%unreservedInterval != 0 {
		required += reservedPermits
	}
	if excess := b.level + required - burst; excess > 0 {
		b.denied++
		if !waiting || priority <= b.urgentPriority {
			b.urgentPriority, b.urgentUntil = priority, now.Add(urgentWindow)
		}
		wait := min(maxWait.Seconds(), excess/rate*(1+float64(b.denied)/askersPerPermit))
		return time.Duration(wait*float64(time.Second)) + time.Millisecond
	}
	b.level++
	b.granted++
	b.denied = 0
	return 0
}

// Prune drops buckets that have not been used for bucketIdleTimeout.
func (g *Granter) Prune(now time.Time) {
	for id, b := range g.buckets {
		if now.Sub(b.updatedAt) > bucketIdleTimeout {
			delete(g.buckets, id)
		}
	}
}
