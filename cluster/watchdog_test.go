package cluster

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/timer"
)

// TestHangStaysUnnoticed guards against a daemon that hangs for good, stays ready and is not started again.
func TestHangStaysUnnoticed(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	n := o.n
	var log bytes.Buffer
	n.log = zerolog.New(&log)
	now := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- n.Watch(t.Context()) }()
	ticks := 0
	// Ticks are dropped that the watchdog is too slow to read, as in a process that is short of time.
	for end := time.Now().Add(20 * time.Second); len(ended) == 0; ticks++ {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("the process would not end"))
		now = now.Add(watchInterval)
		n.clock.Advance(now)
		time.Sleep(time.Millisecond)
	}
	c.Assert(<-ended, qt.ErrorIs, ErrHangs)
	c.Assert(n.Hangs(), qt.IsTrue)
	c.Assert(ticks >= int(hangEndTimeout/watchInterval), qt.IsTrue, qt.Commentf("it ends after %d ticks", ticks))
	c.Assert(log.String(), qt.Contains, "owner-hangs")
	c.Assert(log.String(), qt.Contains, "TestHangStaysUnnoticed")
}

// TestWatchdog checks for how long an owner counts as stuck.
func TestWatchdog(t *testing.T) {
	c := qt.New(t)
	var w watchdog
	tick, paused := timer.Tick{}, timer.Tick{Paused: time.Minute}
	c.Assert(w.observe(1, tick), qt.Equals, time.Duration(0))
	c.Assert(w.observe(1, tick), qt.Equals, watchInterval)
	c.Assert(w.observe(1, tick), qt.Equals, 2*watchInterval)
	c.Assert(w.observe(1, paused), qt.Equals, time.Duration(0), qt.Commentf("it had no time either"))
	c.Assert(w.observe(1, tick), qt.Equals, watchInterval)
	c.Assert(w.observe(2, tick), qt.Equals, time.Duration(0))
}
