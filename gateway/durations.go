package gateway

import (
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// longPercentile is the percentile of the durations of a route's requests that counts as long.
const longPercentile = 0.95

// durations holds how long the requests of each route take. It is safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*routeDuration
}

// routeDuration is a running percentile of the durations of a route's requests.
type routeDuration struct {
	long  time.Duration
	count int
}

func newDurations() *durations { return &durations{byRoute: map[string]*routeDuration{}} }

// observe adds the duration of a complete request.
func (d *durations) observe(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.byRoute[route]
	if r == nil {
		r = &routeDuration{}
		d.byRoute[route] = r
	}
	r.count++
	moved := movePercentile(r.long, r.count, took, longPercentile)
	// Durations that hardly differ must not move it beyond all of them.
	if took > r.long {
		r.long = min(moved, took)
	} else {
		r.long = max(moved, took)
	}
}

// long returns how long the long requests of a route take, and whether it is known.
func (d *durations) long(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.byRoute[route]
	if r == nil {
		return 0, false
	}
	return r.long, true
}

// prune drops the routes that the configuration does not contain.
func (d *durations) prune(routing *models.Routing) {
	if routing == nil {
		return
	}
	known := map[string]bool{}
	for _, routes := range routing.Hosts {
		for _, r := range routes {
			known[r.Name] = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.byRoute {
		if !known[name] {
			delete(d.byRoute, name)
		}
	}
}
