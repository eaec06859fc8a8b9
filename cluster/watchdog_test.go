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
	watched := n.clock.Subscribe(watchInterval)
	go func() { ended <- n.Watch(t.Context()) }()
	hangs := func() bool {
		// The watchdog may not have read its tick yet.
		for end := time.Now().Add(time.Second); !n.Hangs() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		return n.Hangs()
	}
	for range hangEndTimeout/watchInterval + 2 {
		now = now.Add(watchInterval)
		n.clock.Advance(now)
		<-watched
		time.Sleep(2 * time.Millisecond)
	}
	c.Assert(hangs(), qt.IsTrue)
	select {
	case err := <-ended:
		c.Assert(err, qt.ErrorIs, ErrHangs)
	case <-time.After(5 * time.Second):
		c.Fatal("the process would not end")
	}
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
