package inflight

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// simulateQueue simulates calls that a server processes one after another, each for the service
// time, after a network latency. A fraction of the calls is unresponsive and takes 500 ms.
func simulateQueue(l *Limit, calls int, service, latency time.Duration, unresponsive float64) (highest int, typical time.Duration) {
	r := rand.New(rand.NewPCG(1, 1))
	for range calls {
		took := latency + time.Duration(l.Max())*service
		if r.Float64() < unresponsive {
			took = 500 * time.Millisecond
		}
		l.Observe(took)
		highest = max(highest, l.Max())
	}
	return highest, latency + time.Duration(l.Max())*service
}

// TestLimitAdaptsToLatency checks that the limit stays low with a slow processor, and that it
// reaches its maximum with a fast one even if some instances do not respond.
func TestLimitAdaptsToLatency(t *testing.T) {
	const minCalls, maxCalls, maxDelay = 8, 128, 50 * time.Millisecond
	c := qt.New(t)
	l := New(minCalls, maxCalls, maxDelay)
	c.Assert(l.Max(), qt.Equals, minCalls)
	_, typical := simulateQueue(l, 3000, 3*time.Millisecond, 5*time.Millisecond, 0)
	c.Assert(typical < 2*maxDelay, qt.IsTrue, qt.Commentf("%v", typical))
	c.Assert(l.Max() >= minCalls, qt.IsTrue)

	l = New(minCalls, maxCalls, maxDelay)
	highest, _ := simulateQueue(l, 3000, 100*time.Microsecond, 5*time.Millisecond, 0.2)
	c.Assert(highest, qt.Equals, maxCalls)
	c.Assert(l.Max(), qt.Equals, maxCalls)

	// The processor was fast and becomes slow.
	simulateQueue(l, 3000, 20*time.Millisecond, 5*time.Millisecond, 0)
	c.Assert(l.Max() <= 2*minCalls, qt.IsTrue, qt.Commentf("%d", l.Max()))
}

// The limit rises by a quarter while latency is low and is halved when latency is high.
func ExampleLimit_Observe() {
	l := New(4, 16, 50*time.Millisecond)
	for range 4 {
		l.Observe(5 * time.Millisecond)
	}
	fmt.Println(l.Max())
	for range 5 {
		l.Observe(80 * time.Millisecond)
	}
	fmt.Println(l.Max())
	// Output:
	// 5
	// 4
}
