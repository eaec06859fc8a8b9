// Package inflight limits the number of concurrent calls by their latency. When many calls wait
// for the same processor, more concurrent calls only increase the latency of all. The limit
// adapts to observed latencies with multiplicative increase and decrease, similar to a TCP
// congestion window.
//
// The package is pure: it does no I/O, and the caller passes in all times.
package inflight

import (
	"slices"
	"time"
)

const (
	// growthFactor is the fraction by which the limit rises while latency is low.
	growthFactor = 0.25
	// backoffFactor is the factor by which the limit falls when latency is high.
	backoffFactor = 0.5
)

// Limit is an adaptive limit on concurrent calls. It is not safe for concurrent use.
type Limit struct {
	minCalls, maxCalls int
	// maxDelay is how much the median call may take longer than the fastest.
	maxDelay time.Duration

	current int
	fastest time.Duration
	// batch holds the durations of the calls since the limit was last adjusted.
	batch []time.Duration
}

// New returns a limit that starts at minCalls.
func New(minCalls, maxCalls int, maxDelay time.Duration) *Limit {
	return &Limit{minCalls: minCalls, maxCalls: maxCalls, maxDelay: maxDelay, current: minCalls}
}

// Max returns how many calls may be in flight.
func (l *Limit) Max() int { return l.current }

// Observe records how long a call took. The limit is adjusted once per as many calls as it allows,
// and by their median, because some instances are slow for reasons of their own.
func (l *Limit) Observe(took time.Duration) {
	if l.fastest == 0 || took < l.fastest {
		l.fastest = took
	}
	l.batch = append(l.batch, took)
	if len(l.batch) < l.current {
		return
	}
	slices.Sort(l.batch)
	median := l.batch[len(l.batch)/2]
	l.batch = l.batch[:0]
	if median-l.fastest > l.maxDelay {
		l.current = max(l.minCalls, int(backoffFactor*float64(l.current)))
		return
	}
	l.current = min(l.maxCalls, l.current+max(1, int(growthFactor*float64(l.current))))
}
