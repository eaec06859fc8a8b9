package timer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/timer"
)

// TestSuspension checks that a suspension of 10 s counts as elapsed time. The monotonic clock
// does not count it, so something that was valid for another 4 s before the suspension, or that
// waited in connection buffers meanwhile, would still be valid afterwards. From the first reading
// of the boot clock all earlier times count as 10 s longer ago, and subscribers are notified
// once.
func TestSuspension(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	var suspended time.Duration
	s := timer.New(start)
	c.Assert(s.CountSuspensions(func() (time.Duration, error) { return time.Since(start) + suspended, nil }), qt.IsNil)
	ticks := s.Subscribe(timer.Step)
	earlier := time.Now()
	c.Assert(s.Suspended(earlier), qt.Equals, time.Duration(0))

	const length = 10 * time.Second
	suspended = length
	since := s.Since(earlier)
	c.Assert(since >= length && since < length+time.Second, qt.IsTrue, qt.Commentf("%v", since))
	c.Assert(s.Since(time.Now()) >= length, qt.IsTrue, qt.Commentf("data received just after a suspension may have been sent before it"))
	c.Assert(s.Suspended(time.Now().Add(time.Second)), qt.Equals, time.Duration(0))
	c.Assert(s.Since(time.Time{}) > 0, qt.IsTrue, qt.Commentf("what never was is not recent after a suspension"))
	s.Advance(start.Add(2 * timer.Step))
	reported := (<-ticks).Paused
	c.Assert(reported >= length && reported < length+time.Second, qt.IsTrue, qt.Commentf("%v", reported))
	s.Advance(start.Add(4 * timer.Step))
	c.Assert((<-ticks).Paused, qt.Equals, time.Duration(0))
}

// TestBootTime checks that the system's boot clock shows no suspension if there was none.
func TestBootTime(t *testing.T) {
	c := qt.New(t)
	s := timer.New(time.Now())
	c.Assert(s.CountSuspensions(timer.BootTime), qt.IsNil)
	began := time.Now()
	for range 1000 {
		c.Assert(s.Suspended(began), qt.Equals, time.Duration(0))
	}
}

// BenchmarkSuspended measures Suspended, which is called once per request with a key.
func BenchmarkSuspended(b *testing.B) {
	s := timer.New(time.Now())
	if err := s.CountSuspensions(timer.BootTime); err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	for b.Loop() {
		s.Suspended(now)
	}
}
