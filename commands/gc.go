package commands

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
)

const (
	// largeViewInstances is the number of instances from which on the heap may grow to three
	// times the live heap before a collection. Each view of 766 instances becomes 0.2 MB of
	// garbage, and a collection keeps a fifth of a core busy for some 40 ms. With this setting,
	// 295 daemons used 330 s of CPU time on a day with faults, and 399 s when the heap grew only
	// to twice the live heap (one run each). It saved no CPU time for six daemons that knew 63
	// instances, and they used 1.35 times the memory.
	largeViewInstances = 300
	// defaultGCPercent and largeViewGCPercent are the growth of the heap at which a collection
	// starts, in percent of the live heap.
	defaultGCPercent   = 100
	largeViewGCPercent = 200
	// gcTuneInterval is the interval at which the number of instances is checked.
	gcTuneInterval = time.Second
)

// gcPercent returns the GC percentage for a daemon that knows this number of instances.
func gcPercent(instances int) int {
	if instances >= largeViewInstances {
		return largeViewGCPercent
	}
	return defaultGCPercent
}

// tuneGC adjusts the GC percentage to the number of instances that the node knows.
func tuneGC(ctx context.Context, node *cluster.Node) error {
	ticks := node.Clock().Subscribe(gcTuneInterval)
	current := defaultGCPercent
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
		}
		if percent := gcPercent(len(node.View().Instances)); percent != current {
			current = percent
			debug.SetGCPercent(percent)
		}
	}
}
