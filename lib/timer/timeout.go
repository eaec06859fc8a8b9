package timer

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"time"
)

// timeoutSteps is the number of steps of a timeout.
const timeoutSteps = 10

// ErrTimeout is the cause of a context that ended by its timeout.
var ErrTimeout = errors.New("timed out")

// WithTimeout is like context.WithTimeout for something outside the process, such as a connection:
// time in which the process does not get to run does not count. Otherwise a busy process takes its
// own delay for one of the other side, since the scheduler runs timers before what the network has
// completed. The timeout consists of steps, and each step ends only after the goroutines that were
// ready have run. The cause of the context is then ErrTimeout.
func WithTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	t := &steppedTimeout{step: timeout / timeoutSteps, left: timeoutSteps, cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.step, t.endStep)
	return ctx, t.stop
}

type steppedTimeout struct {
	step   time.Duration
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// left is the number of steps left, 0 if the timeout has ended.
	left int
}

// endStep ends a step and begins the next one.
func (t *steppedTimeout) endStep() {
	// Lets the goroutines run that are ready, among them those whose connections are complete.
	runtime.Gosched()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left == 0 {
		return
	}
	if t.left--; t.left == 0 {
		t.cancel(ErrTimeout)
		return
	}
	t.timer.Reset(t.step)
}

func (t *steppedTimeout) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = 0
	t.timer.Stop()
	t.cancel(context.Canceled)
}
