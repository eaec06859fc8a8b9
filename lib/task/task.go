// Package task starts goroutines that take a context and report their end
// on a channel that their owner reads.
package task

import (
	"context"
	"errors"
	"fmt"
)

// Task is one running goroutine.
type Task struct {
	Name string
	// Done yields the goroutine's error, or nil, once, and is then closed.
	Done <-chan error
	// over ends together with the goroutine.
	ended context.Context
}

// Start runs the function in a goroutine of its own.
func Start(ctx context.Context, name string, run func(context.Context) error) Task {
	done := make(chan error, 1)
	ended, cancel := context.WithCancel(context.Background())
	go func() {
		defer cancel()
		defer close(done)
		done <- run(ctx)
	}()
	return Task{Name: name, Done: done, ended: ended}
}

// WaitAny returns when the context ends or one of the tasks does. The task's
// end stays to be read by Wait.
func WaitAny(ctx context.Context, tasks ...Task) error {
	ended := make(chan string, len(tasks))
	for _, t := range tasks {
		stop := context.AfterFunc(t.ended, func() { ended <- t.Name })
		defer stop()
	}
	select {
	case <-ctx.Done():
		return nil
	case name := <-ended:
		if ctx.Err() != nil {
			return nil
		}
		return fmt.Errorf("%w: %s", ErrEnded, name)
	}
}

// ErrEnded tells that a task ended before it was asked to.
var ErrEnded = errors.New("a part ended on its own")

// Wait reads the end of every task and joins their errors. A task that
// ended because its context was cancelled counts as ended well.
func Wait(tasks ...Task) error {
	var errs []error
	for _, t := range tasks {
		if err := <-t.Done; err != nil && !errors.Is(err, context.Canceled) {
			errs = append(errs, fmt.Errorf("%s: %w", t.Name, err))
		}
	}
	return errors.Join(errs...)
}
