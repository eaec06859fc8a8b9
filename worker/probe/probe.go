// Package probe sends the same probe to many targets at a fixed interval, concurrently.
package probe

import (
	"context"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/timer"
)

// Timeout bounds one probe.
const Timeout = time.Second

// Result is the result of probing one target.
type Result[K comparable, T, A any] struct {
	Key    K
	Target T
	// SentAt is when the probe was sent.
	SentAt   time.Time
	Response A
	Err      error
}

// Prober probes every target at each tick, except those whose last probe is still in flight.
type Prober[K comparable, T, A any] struct {
	Ticks <-chan timer.Tick
	// Targets carries complete target sets; each replaces the previous set.
	Targets <-chan map[K]T
	Probe   func(context.Context, K, T) (A, error)
	Deliver func(context.Context, Result[K, T, A])
}

// Run probes until the context ends, and then waits for the probes in flight.
func (p *Prober[K, T, A]) Run(ctx context.Context) error {
	targets := map[K]T{}
	inFlight := map[K]bool{}
	results := make(chan Result[K, T, A])
	defer func() {
		for range inFlight {
			<-results
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case targets = <-p.Targets:
		case <-p.Ticks:
			for key, target := range targets {
				if inFlight[key] {
					continue
				}
				inFlight[key] = true
				go func() { results <- p.probeOne(ctx, key, target) }()
			}
		case res := <-results:
			delete(inFlight, res.Key)
			if _, targeted := targets[res.Key]; targeted {
				p.Deliver(ctx, res)
			}
		}
	}
}

func (p *Prober[K, T, A]) probeOne(ctx context.Context, key K, target T) Result[K, T, A] {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	res := Result[K, T, A]{Key: key, Target: target, SentAt: time.Now()}
	res.Response, res.Err = p.Probe(ctx, key, target)
	return res
}
