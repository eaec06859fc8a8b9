package soak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

const (
	// floodedShare is the share of a core that the daemon under a flood has.
	floodedShare = 0.1
	// floodRate is the number of requests per second in a flood, several times what such a daemon
	// can serve; calmRate is well below that, and busyRate near it.
	floodRate = 600
	busyRate  = 160
	calmRate  = 25
	// floodDuration is how long a flood lasts; floodOnset is how long the daemon may take to adapt
	// to it, and to its end.
	floodDuration = 8 * time.Second
	floodOnset    = 2 * time.Second
	calmDuration  = 3 * time.Second
	// minGoodput is the fraction of the requests that its share is enough for that a daemon must
	// serve in a flood.
	minGoodput = 0.5
	// minOfBusy is the fraction of what a busy daemon serves that it must serve in a flood.
	minOfBusy = 0.8
	// minServedOfRead is the fraction of the requests read by the daemon that it must serve in a
	// flood.
	minServedOfRead = 0.75
)

// TestFloodedDaemonServesNothing guards against daemons that begin every request they get: with
// several times the requests that it could serve, such a daemon served almost none, and lost its
// connection to the store.
func TestFloodedDaemonServesNothing(t *testing.T) {
	s := startInstances(t, profile)
	s.logs = filepath.Join(os.TempDir(), fmt.Sprintf("lupinkeel-flood-%d", os.Getpid()))
	c := qt.New(t)
	c.Assert(os.MkdirAll(s.logs, 0o755), qt.IsNil)
	for range extraPlainInstances {
		s.add("plain", "")
	}
	d := s.startLimitedDaemon(binary(t), 0)
	s.waitServing()
	limitCPU(t, d, floodedShare)

	idle, cost, calm := s.calmCost()
	capacity := (floodedShare - idle) / cost.Seconds()
	busyGoodput := float64(s.flood(busyRate, calmDuration).served()) / calmDuration.Seconds()
	flooded := s.flood(floodRate, floodDuration).from(floodOnset)
	after := s.flood(calmRate, floodOnset+calmDuration).from(floodOnset)

	goodput := float64(flooded.served()) / (floodDuration - floodOnset).Seconds()
	t.Logf("share %.3f idle, %v a calm request; capacity %.0f/s, goodput %.0f/s, %.0f/s of %d/s; calm %v; flooded %v; after %v", idle, cost, capacity, goodput, busyGoodput, busyRate, calm, flooded, after)
	c.Check(calm.servedFraction() >= minServedFraction, qt.IsTrue, qt.Commentf("before the flood %v", calm))
	c.Check(goodput >= minGoodput*capacity, qt.IsTrue, qt.Commentf("%.0f requests a second are served in a flood, of %.0f that could be", goodput, capacity))
	c.Check(goodput >= minOfBusy*busyGoodput, qt.IsTrue, qt.Commentf("%.0f requests a second are served in a flood, %.0f of %d a second", goodput, busyGoodput, busyRate))
	c.Check(flooded.servedOfRead() >= minServedOfRead, qt.IsTrue, qt.Commentf("in the flood %v", flooded))
	c.Check(after.servedFraction() >= minServedFraction, qt.IsTrue, qt.Commentf("%s after the flood %v", floodOnset, after))
	s.checkUndisturbed(c, "event=planning-ended ")
}

// limitCPU pauses a daemon whenever it has used its share of a core in the current period, until the
// end of the test.
func limitCPU(t *testing.T, d *daemon, share float64) {
	const period, step = 50 * time.Millisecond, time.Millisecond
	clock := cpuClock(d)
	done, ended := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() {
		close(done)
		<-ended
	})
	go func() {
		defer close(ended)
		defer d.signal(syscall.SIGCONT)
		allowed, paused := cpuTime(clock), false
		began := time.Now()
		for {
			select {
			case <-done:
				return
			case <-time.After(step):
			}
			used := cpuTime(clock)
			if elapsed := time.Since(began); elapsed >= period {
				began = time.Now()
				// Unused time does not accumulate.
				allowed = min(allowed+time.Duration(share*float64(elapsed)), used)
			}
			over := used > allowed+time.Duration(share*float64(period))
			switch {
			case over && !paused:
				d.signal(syscall.SIGSTOP)
			case !over && paused:
				d.signal(syscall.SIGCONT)
			}
			paused = over
		}
	}()
}

// cpuClock returns the clock of the time that all threads of a daemon have run.
func cpuClock(d *daemon) int32 {
	const schedClock = 2
	return int32(^d.cmd.Process.Pid<<3 | schedClock)
}

// cpuShare returns the share of a core that a daemon uses while a function runs.
func cpuShare(d *daemon, run func()) float64 {
	clock, began := cpuClock(d), time.Now()
	before := cpuTime(clock)
	run()
	return (cpuTime(clock) - before).Seconds() / time.Since(began).Seconds()
}

// calmCost returns the share of a core that the first daemon uses at rest, the processor time that a
// request takes there at a low rate, and the outcome of these requests.
func (s *site) calmCost() (idle float64, cost time.Duration, calm *flood) {
	d := s.daemons[0]
	idle = cpuShare(d, func() { time.Sleep(calmDuration) })
	used := cpuShare(d, func() { calm = s.flood(calmRate, calmDuration) }) - idle
	return idle, time.Duration(used / calmRate * float64(time.Second)), calm
}

// cpuTime returns how long a process has run, or 0 if it has exited.
func cpuTime(clock int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// flood sends requests at a rate to the first daemon, each on a connection of its own.
func (s *site) flood(rate int, duration time.Duration) *flood {
	return sendAtRate(rate, duration, func(n int, at time.Duration) floodReply {
		return sendAlone(s.daemons[0].addr, floodRequest(n), at)
	})
}

// sendAtRate sends requests at a rate, however long they take, and returns their outcomes.
func sendAtRate(rate int, duration time.Duration, send func(n int, at time.Duration) floodReply) *flood {
	out := &flood{}
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; ; n++ {
		at := time.Duration(n) * time.Second / time.Duration(rate)
		if at >= duration {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		wg.Go(func() { out.add(send(n, at)) })
	}
	wg.Wait()
	return out
}

// flood is a set of requests, by when they were sent.
type flood struct {
	mu      sync.Mutex
	replies []floodReply
}

// floodReply is the outcome of a request sent at a time since the beginning of the flood. refused
// is set if the daemon did not read it, because its connection was refused or reset at once.
type floodReply struct {
	reply
	at      time.Duration
	refused bool
}

func (f *flood) add(r floodReply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replies = append(f.replies, r)
}

// floodRequest returns the nth request of a flood: every other one is a stream.
func floodRequest(n int) request {
	if n%2 == 0 {
		return newRequest(kindStream, []string{"big", "small"}[n/2%2])
	}
	return newRequest(kindIdempotent, "")
}

// sendAlone sends a request on a connection of its own.
func sendAlone(addr string, r request, at time.Duration) floodReply {
	refused := false
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: 3 * time.Second, Transport: refusals{transport, &refused}}
	return floodReply{send(client, addr, r), at, refused}
}

// refusals notes whether a daemon refused or reset the connection of a request.
type refusals struct {
	http.RoundTripper
	refused *bool
}

func (r refusals) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := r.RoundTripper.RoundTrip(req)
	*r.refused = errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	return resp, err
}

// from returns the requests sent at this time or later.
func (f *flood) from(at time.Duration) *flood {
	out := &flood{}
	for _, r := range f.replies {
		if r.at >= at {
			out.replies = append(out.replies, r)
		}
	}
	return out
}

func (f *flood) served() (n int) {
	for _, r := range f.replies {
		if r.complete {
			n++
		}
	}
	return n
}

func (f *flood) refused() (n int) {
	for _, r := range f.replies {
		if r.refused {
			n++
		}
	}
	return n
}

func (f *flood) servedFraction() float64 { return float64(f.served()) / float64(len(f.replies)) }

func (f *flood) servedOfRead() float64 {
	return float64(f.served()) / float64(max(1, len(f.replies)-f.refused()))
}

func (f *flood) String() string {
	return fmt.Sprintf("%d served of %d, %d not read", f.served(), len(f.replies), f.refused())
}
