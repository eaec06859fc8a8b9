package timer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/timer"
)

func ExampleWithTimeout() {
	ctx, cancel := timer.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	fmt.Println(context.Cause(ctx))
	// Output: timed out
}

// TestTimeout checks how long a timeout takes, and that it ends with its parent and when it is
// cancelled.
func TestTimeout(t *testing.T) {
	c := qt.New(t)
	const timeout = 50 * time.Millisecond
	began := time.Now()
	ctx, cancel := timer.WithTimeout(context.Background(), timeout)
	<-ctx.Done()
	c.Check(time.Since(began) >= timeout, qt.IsTrue)
	c.Check(context.Cause(ctx), qt.Equals, timer.ErrTimeout)
	cancel()
	c.Check(context.Cause(ctx), qt.Equals, timer.ErrTimeout)

	parent, cancelParent := context.WithCancel(context.Background())
	ctx, cancel = timer.WithTimeout(parent, time.Hour)
	cancelParent()
	<-ctx.Done()
	c.Check(context.Cause(ctx), qt.ErrorIs, context.Canceled)
	cancel()

	ctx, cancel = timer.WithTimeout(context.Background(), time.Hour)
	cancel()
	<-ctx.Done()
	c.Check(context.Cause(ctx), qt.ErrorIs, context.Canceled)
}
