package timer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/timer"
)

// A machine is suspended for 10 s. The steady clock does not count that time, so that what
// was valid before it for another 4 s would still be valid when the machine wakes, and so
// would what lay in the buffers of connections meanwhile. Another clock counts it: from the
// first look on all times before count as 10 s longer ago, and subscribers are told once.
func TestSuspension(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	var suspended time.Duration
	s := timer.New(start)
	c.Assert(s.CountSuspensions(func() (time.Duration, error) { return time.Since(start) + suspended, nil }), qt.IsNil)
	ticks := s.Subscribe(timer.Step)
	valid := time.Now()
	c.Assert(s.Suspended(valid), qt.Equals, time.Duration(0))

	const length = 10 * time.Second
	suspended = length
	since := s.Since(valid)
	c.Assert(since >= length && since < length+time.Second, qt.IsTrue, qt.Commentf("%v", since))
	c.Assert(s.Since(time.Now()) >= length, qt.IsTrue, qt.Commentf("what is received just after may be from before"))
	c.Assert(s.Suspended(time.Now().Add(time.Second)), qt.Equals, time.Duration(0))
	s.Advance(start.Add(2 * timer.Step))
	told := (<-ticks).Paused
	c.Assert(told >= length && told < length+time.Second, qt.IsTrue, qt.Commentf("%v", told))
	s.Advance(start.Add(4 * timer.Step))
	c.Assert((<-ticks).Paused, qt.Equals, time.Duration(0))
}

// The system's own clock is taken, and shows no suspension where there was none.
func TestBootTime(t *testing.T) {
	c := qt.New(t)
	s := timer.New(time.Now())
	c.Assert(s.CountSuspensions(timer.BootTime), qt.IsNil)
	began := time.Now()
	for range 1000 {
		c.Assert(s.Suspended(began), qt.Equals, time.Duration(0))
	}
}

// BenchmarkSuspended is asked once for each request with a key.
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
