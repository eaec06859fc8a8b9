package entrance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/overload"
)

// TestPauseCountsAsOverload guards against a single pause of the process, such as a suspension, that
// keeps the delay up for long after it.
func TestPauseCountsAsOverload(t *testing.T) {
	c := qt.New(t)
	maxDelay := overload.DefaultPolicy(1, 1000).MaxDelay
	d := newRunDelay()
	now := time.Now()
	measure := func(late time.Duration) time.Duration {
		now = now.Add(delayInterval + late)
		return d.measure(now, late, true)
	}
	c.Assert(measure(10*time.Second) > maxDelay, qt.IsTrue)
	for range 10 {
		measure(0)
	}
	c.Assert(measure(0) < maxDelay, qt.IsTrue)
	for range 10 {
		measure(20 * time.Millisecond)
	}
	c.Assert(measure(20*time.Millisecond) > maxDelay, qt.IsTrue, qt.Commentf("ticks that are late again and again"))
}
