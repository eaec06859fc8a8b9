// Package inflight bounds how many calls are under way at once by how long they take: where
// many wait for the same processor each answer comes the later the more there are, and more of
// them bring nothing but a longer wait for all. The bound follows what is observed, as the
// window of a TCP connection does.
//
// The package is pure: it does no input or output, and times are handed in.
package inflight

import (
	"slices"
	"time"
)

const (
	// growth is by which part the bound rises while answers come soon.
	growthFactor = 0.25
	// cut is by which part it falls when they come late.
	backoffFactor = 0.5
)

// Limit is a bound on calls under way. It is not safe for use by several goroutines.
type Limit struct {
	min, max int
	// wait is how much longer than the quickest calls may take in the middle.
	maxDelay time.Duration

	current int
	fastest time.Duration
	// batch are the calls that were answered since the bound was looked at last.
	batch []time.Duration
}

// New returns a limit that begins with the least.
func New(minCalls, maxCalls int, maxDelay time.Duration) *Limit {
	return &Limit{min: minCalls, max: maxCalls, maxDelay: maxDelay, current: minCalls}
}

// Most is how many calls may be under way.
func (l *Limit) Most() int { return l.current }

// Note takes in how long a call took. The bound is looked at once per as many calls as it
// allows, by the one in the middle: some instances are late by themselves.
func (l *Limit) Note(took time.Duration) {
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
		l.current = max(l.min, int(backoffFactor*float64(l.current)))
		return
	}
	l.current = min(l.max, l.current+max(1, int(growthFactor*float64(l.current))))
}
