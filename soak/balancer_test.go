package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// readinessInterval is the interval of the load balancer's readiness checks, of which
	// maxMissedChecks in a row take a daemon out of its set.
	readinessInterval = time.Second
	maxMissedChecks   = 2
	// skewedFraction is the fraction of new connections that a skewed balancer sends to one daemon.
	skewedFraction = 0.9
	// skewedRate is the number of requests per second in a skew: more than one daemon with
	// floodedShare of a core can serve, and fewer than three can.
	skewedRate = 320
	// maxReturnDelay is the longest pause until a caller sends a failed request again.
	maxReturnDelay = 200 * time.Millisecond
)

// balancer resembles the users' load balancer: it sends each new connection to a daemon that is
// ready, by a hash of the caller, or most of them to one daemon if it is skewed. If fewer than half
// of the daemons are ready, it uses all.
type balancer struct {
	daemons []*daemon

	mu sync.Mutex
	// missed is the number of readiness checks that each daemon has missed in a row.
	missed map[*daemon]int
	skewed bool
	random *rand.Rand
}

// startBalancer starts a balancer, which ends with the test.
func startBalancer(t *testing.T, daemons []*daemon) *balancer {
	b := &balancer{daemons: daemons, missed: map[*daemon]int{}, random: rand.New(rand.NewPCG(1, 1))}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, d := range daemons {
		wg.Go(func() { b.check(ctx, d) })
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return b
}

// check checks a daemon's readiness until the context ends.
func (b *balancer) check(ctx context.Context, d *daemon) {
	client := &http.Client{Timeout: readinessInterval}
	defer client.CloseIdleConnections()
	url := "http://" + d.flags[slices.Index(d.flags, "--ready")+1] + "/-/ready"
	for {
		resp, err := client.Get(url)
		missed := err != nil || resp.StatusCode != http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		b.mu.Lock()
		b.missed[d]++
		if !missed {
			b.missed[d] = 0
		}
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(readinessInterval):
		}
	}
}

// pick returns the daemon for a new connection of a caller, other than those tried before if possible.
func (b *balancer) pick(caller int, tried ...*daemon) *daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	isIn := func(d *daemon) bool { return b.missed[d] < maxMissedChecks }
	in := slices.DeleteFunc(slices.Clone(b.daemons), func(d *daemon) bool { return !isIn(d) })
	if 2*len(in) < len(b.daemons) {
		in = slices.Clone(b.daemons)
	}
	if others := slices.DeleteFunc(slices.Clone(in), func(d *daemon) bool { return slices.Contains(tried, d) }); len(others) > 0 {
		in = others
	}
	if b.skewed && len(tried) == 0 && b.random.Float64() < skewedFraction {
		return in[0]
	}
	h := fnv.New32a()
	fmt.Fprint(h, caller, len(tried))
	return in[int(h.Sum32())%len(in)]
}

// load sends requests at a rate through the balancer, each on a connection of its own. A request
// that fails is sent once more.
func (b *balancer) load(rate int, duration time.Duration) *flood {
	return sendAtRate(rate, duration, func(n int, at time.Duration) floodReply {
		first := b.pick(n)
		r := sendAlone(first.addr, floodRequest(n), at)
		if !r.complete {
			time.Sleep(rand.N(maxReturnDelay))
			r = sendAlone(b.pick(n, first).addr, floodRequest(n), at)
		}
		return r
	})
}

// TestSkewedBalancerOverloadsOneDaemonAfterAnother guards against daemons that one after the other
// serve nothing once a load balancer sends most new connections to one of them, although all of them
// together could serve the requests.
func TestSkewedBalancerOverloadsOneDaemonAfterAnother(t *testing.T) {
	c := qt.New(t)
	s := startInstances(t, profile)
	s.logs = filepath.Join(os.TempDir(), fmt.Sprintf("lupinkeel-skew-%d", os.Getpid()))
	c.Assert(os.MkdirAll(s.logs, 0o755), qt.IsNil)
	for range extraPlainInstances {
		s.add("plain", "")
	}
	bin := binary(t)
	for n := range daemons {
		s.startLimitedDaemon(bin, n)
	}
	s.waitServing()
	for _, d := range s.daemons {
		limitCPU(t, d, floodedShare)
	}
	b := startBalancer(t, s.daemons)
	even := b.load(skewedRate, calmDuration)
	b.skewed = true
	skewed := b.load(skewedRate, floodDuration).from(floodOnset)
	t.Logf("evenly %v; skewed %v", even, skewed)
	c.Check(even.servedFraction() >= minServedFraction, qt.IsTrue, qt.Commentf("evenly %v", even))
	c.Check(skewed.servedFraction() >= minServedFraction, qt.IsTrue, qt.Commentf("skewed %v", skewed))
	// An overloaded planner hands the lease on.
	s.checkUndisturbed(c, `event=planning-ended reason="the lease ended"`)
}

// startLimitedDaemon starts a daemon that has floodedShare of one core, to which limitCPU holds it.
func (s *site) startLimitedDaemon(bin string, n int) *daemon {
	d := s.newDaemon(bin, n)
	d.env = []string{"GOMAXPROCS=1"}
	// A lease as long as on the users' platform.
	d.flags = append(d.flags, "--lease-min", "1s", "--power", fmt.Sprint(floodedShare))
	s.daemons = append(s.daemons, d)
	d.start(s.t)
	s.t.Cleanup(d.kill)
	return d
}

// checkUndisturbed checks that no daemon was kept from its own work, nor logged any of further texts,
// and that no instance has seen what it must not. If all is well it removes the logs.
func (s *site) checkUndisturbed(c *qt.C, unwanted ...string) {
	for _, d := range s.daemons {
		text, err := os.ReadFile(filepath.Join(s.logs, d.name+".log"))
		c.Assert(err, qt.IsNil)
		for _, line := range append(unwanted, "event=store-lost ", "event=server-error ", "event=process-paused ") {
			c.Check(strings.Count(string(text), line), qt.Equals, 0, qt.Commentf("%s of %s; logs are in %s", line, d.name, s.logs))
		}
	}
	violations := s.pool.Violations()
	c.Check(violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(violations, "\n")))
	if !c.Failed() {
		os.RemoveAll(s.logs)
	}
}
