// Package probe asks many targets the same question at a steady pace, each
// without waiting for the others.
package probe

import (
	"context"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/timer"
)

// Timeout bounds one question.
const Timeout = time.Second

// Result is what one target answered.
type Result[K comparable, T, A any] struct {
	Key    K
	Target T
	// Asked is when the question was sent.
	SentAt   time.Time
	Response A
	Err      error
}

// Prober asks every target at each tick unless it still waits for that
// target's last answer.
type Prober[K comparable, T, A any] struct {
	Ticks <-chan timer.Tick
	// Targets replaces all targets.
	Targets <-chan map[K]T
	Probe   func(context.Context, K, T) (A, error)
	Deliver func(context.Context, Result[K, T, A])
}

// Run asks until the context ends, and waits for the last answers.
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
