// Package task starts goroutines that take a context and report their result on a channel.
package task

import (
	"context"
	"errors"
	"fmt"
)

// Task is one running goroutine.
type Task struct {
	Name string
	// Done receives the goroutine's error, or nil, once, and is then closed.
	Done <-chan error
	// ended is done when the goroutine has ended.
	ended context.Context
}

// Start runs the function in a new goroutine.
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

// WaitAny returns when the context ends or one of the tasks ends. It leaves the task's result for
// Wait.
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

// ErrEnded is returned when a task ends before its context does.
var ErrEnded = errors.New("task ended unexpectedly")

// Wait waits for all tasks and joins their errors. A task that ended because its context was
// cancelled counts as successful.
func Wait(tasks ...Task) error {
	var errs []error
	for _, t := range tasks {
		if err := <-t.Done; err != nil && !errors.Is(err, context.Canceled) {
			errs = append(errs, fmt.Errorf("%s: %w", t.Name, err))
		}
	}
	return errors.Join(errs...)
}
