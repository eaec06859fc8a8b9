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
	// collection keeps a fifth of a core busy for some 40 ms. With twice what lives,
	// 295 daemons took 399 s of processor time on a day that took 317 s with three
	// times (one play each). Nine daemons that know 63 instances took no more time,
	// and two thirds of the memory.
	manyInstances = 300
	// gcFew and gcMany are how much the heap may grow, in percent of what lives.
	gcFew  = 100
	gcMany = 200
	// heapEvery is how often it is looked at.
	heapEvery = time.Second
)

// gcPercent is how much the heap of a daemon that knows so many instances may grow.
func gcPercent(instances int) int {
	if instances >= manyInstances {
		return gcMany
	}
	return gcFew
}

// sizeHeap lets the heap grow by what the node knows.
func sizeHeap(ctx context.Context, node *cluster.Node) error {
	ticks := node.Clock().Subscribe(heapEvery)
	set := gcFew
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
		}
		if percent := gcPercent(len(node.View().All)); percent != set {
			set = percent
			debug.SetGCPercent(percent)
		}
	}
}
