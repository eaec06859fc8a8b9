package cluster

import (
	"bytes"
	"runtime"
	"strings"
	"sync"
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
}

// TestStacksOfHangAreCut guards against a line with all stacks, of which the log keeps the first 4 KiB: those
// of the goroutines that wait for each other must be in it, however many others there are.
func TestStacksOfHangAreCut(t *testing.T) {
	c := qt.New(t)
	n := newTestOwner(t).n
	var log bytes.Buffer
	n.log = zerolog.New(&log)
	end := make(chan struct{})
	var all sync.WaitGroup
	for range 2 * maxStacks {
		all.Go(func() { <-end })
	}
	var mu sync.Mutex
	mu.Lock()
	all.Go(func() { waitForMutex(&mu) })
	waiting := func() bool {
		stacks := make([]byte, maxStackBytes)
		first := blockedFirst(string(stacks[:runtime.Stack(stacks, true)]))[0]
		return strings.Contains(first, "waitForMutex") && strings.Contains(first, "sync.(*Mutex).Lock")
	}
	eventually(c, "a goroutine waits for the mutex", waiting)
	n.noteHang(hangTimeout)
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	c.Assert(lines, qt.HasLen, 1+maxStacks)
	c.Assert(lines[1], qt.Contains, "waitForMutex")
	for _, line := range lines {
		c.Assert(len(line) < 4<<10, qt.IsTrue, qt.Commentf("%d bytes", len(line)))
	}
	mu.Unlock()
	close(end)
	all.Wait()
}

func waitForMutex(mu *sync.Mutex) {
	mu.Lock()
	defer mu.Unlock()
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
