package commands

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
)

const (
	// manyInstances is from how many instances on the heap may grow to three times
	// what lives before it is collected: a view of 766 is 0.2 MB of garbage, and a
	// collection keeps a fifth of a core busy for some 40 ms. 295 daemons took 330 s
	// of processor time on a day with trouble, and 399 s with twice what lives (one run
	// each). Six daemons that know 63 instances took no less time by it, and 1.35 times
	// the memory.
	largeViewInstances = 300
	// gcFew and gcMany are how much the heap may grow, in percent of what lives.
	defaultGCPercent   = 100
	largeViewGCPercent = 200
	// heapEvery is how often it is looked at.
	gcTuneInterval = time.Second
)

// gcPercent is how much the heap of a daemon that knows so many instances may grow.
func gcPercent(instances int) int {
	if instances >= largeViewInstances {
		return largeViewGCPercent
	}
	return defaultGCPercent
}

// sizeHeap lets the heap grow by what the node knows.
func tuneGC(ctx context.Context, node *cluster.Node) error {
	ticks := node.Clock().Subscribe(gcTuneInterval)
	current := defaultGCPercent
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
		}
		if percent := gcPercent(len(node.View().All)); percent != current {
			current = percent
			debug.SetGCPercent(percent)
		}
	}
}
