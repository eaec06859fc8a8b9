package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/ratelimit"
)

// limitFixture is a gateway with two plain instances, p1 and p2. The test sets the rate limit and
// the other signals in the responses of p1.
type limitFixture struct {
	c       *qt.C
	node    *fakeNode
	gateway *httptest.Server
	// received holds the instance of each request that was received. limit is the rate limit that
	// p1 announces, status the status of its responses unless 0, headers their further headers.
	received []string
	limit    string
	status   int
	headers  map[string]string
	// delay is how long both wait before they respond.
	delay time.Duration
}

func newLimitFixture(t *testing.T) *limitFixture {
	s := &limitFixture{c: qt.New(t)}
	var instances []*fakeInstance
	for _, name := range []string{"p1", "p2"} {
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.received = append(s.received, name)
			time.Sleep(s.delay)
			w.Header().Set("X-Lupinkeel-Request-Id", r.Header.Get("X-Lupinkeel-Request-Id"))
			w.Header().Set("X-Lupinkeel-Response-Stamp", "s")
			if name == "p1" && s.limit != "" {
				w.Header().Set("Server-Limit", s.limit)
			}
			for header, value := range s.headers {
				if name == "p1" {
					w.Header().Set(header, value)
				}
			}
			if name == "p1" && s.status != 0 {
				w.WriteHeader(s.status)
			}
		}))
		t.Cleanup(upstream.Close)
		instances = append(instances, &fakeInstance{name: name, l: upstream.Listener.(*net.TCPListener)})
	}
	s.node = newFakeNode(s.c, quarantineConfig, instances)
	s.node.limits = emptyLimits()
	g := New(Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryWindow: time.Second}, s.node, newScheduler(), metrics.NewSet(), zerolog.Nop())
	s.gateway = httptest.NewServer(http.HandlerFunc(g.serve))
	t.Cleanup(s.gateway.Close)
	return s
}

// send sends one request and returns the response, and how long it took.
func (s *limitFixture) send(id string) (*http.Response, time.Duration) {
	r, err := http.NewRequest(http.MethodPost, s.gateway.URL+"/again/x", strings.NewReader("body"))
	s.c.Assert(err, qt.IsNil)
	r.Host = "api.example"
	r.Header.Set("Authorization", "Token k1")
	r.Header.Set("X-Lupinkeel-Request-Id", id)
	started := time.Now()
	resp, err := http.DefaultClient.Do(r)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(resp.Body.Close(), qt.IsNil)
	return resp, time.Since(started)
}

// setLimit records a rate limit of an instance at the gateway.
func (s *limitFixture) setLimit(id models.InstanceID) {
	i := s.node.view.Instances[id]
	s.node.limits.Observe(ratelimit.Observation{Instance: id, StartedAt: i.StartedAt, Rate: 2, SentAt: time.Now(), ReceivedAt: time.Now()})
}

// TestLimitedInstanceNeedsPermit checks that a rate limit announced in a response applies from the
// next request on: without a permit all requests are sent to other instances, with one to the
// rate-limited instance.
func TestLimitedInstanceNeedsPermit(t *testing.T) {
	s := newLimitFixture(t)
	s.limit = "2"
	for n := 0; len(s.received) == 0 || s.received[len(s.received)-1] != "p1"; n++ {
		s.c.Assert(n < 100, qt.IsTrue)
		s.send("a")
	}
	s.received = nil
	for range 5 {
		resp, _ := s.send("b")
		s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	}
	s.c.Assert(s.received, qt.DeepEquals, []string{"p2", "p2", "p2", "p2", "p2"})

	asks := 0
	s.node.permit = func(ask ratelimit.PermitRequest) (ratelimit.Grant, error) {
		asks++
		s.c.Check(ask.Candidates, qt.DeepEquals, []ratelimit.Candidate{{Instance: "p1", Rate: 2}})
		return ratelimit.Grant{Granted: true, Waits: []time.Duration{0}}, nil
	}
	time.Sleep(unansweredExclusion)
	s.received = nil
	for n := 0; asks == 0; n++ {
		s.c.Assert(n < 100, qt.IsTrue)
		s.send("c")
	}
	s.c.Assert(s.received[len(s.received)-1], qt.Equals, "p1")
}

// TestAllLimitedRejectsImmediately checks that a request is rejected without a send if all
// instances have rate limits and no permit comes in time. Retry-After follows the wait, with a
// jitter.
func TestAllLimitedRejectsImmediately(t *testing.T) {
	s := newLimitFixture(t)
	s.setLimit("p1")
	s.setLimit("p2")
	const wait = 1500 * time.Millisecond
	s.node.permit = func(ask ratelimit.PermitRequest) (ratelimit.Grant, error) {
		waits := make([]time.Duration, len(ask.Candidates))
		for n := range waits {
			waits[n] = wait
		}
		return ratelimit.Grant{Waits: waits}, nil
	}
	retryAfters := map[string]bool{}
	for range 4 {
		resp, elapsed := s.send("a")
		s.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		s.c.Assert(elapsed < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", elapsed))
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(after >= wait.Seconds()-0.5 && after <= 2*wait.Seconds(), qt.IsTrue, qt.Commentf("%v s", after))
		retryAfters[resp.Header.Get("Retry-After")] = true
	}
	s.c.Assert(len(retryAfters) > 1, qt.IsTrue)
	s.c.Assert(s.received, qt.HasLen, 0)
}

// TestLimitFromReusedAddressIgnored checks that a 421 response, from another instance that has
// taken over the address, sets no rate limit for the former one.
func TestLimitFromReusedAddressIgnored(t *testing.T) {
	s := newLimitFixture(t)
	s.limit, s.status = "2", http.StatusMisdirectedRequest
	for n := 0; len(s.received) == 0 || s.received[len(s.received)-1] != "p1"; n++ {
		s.c.Assert(n < 100, qt.IsTrue)
		s.send("a")
	}
	s.c.Assert(s.node.limits.Any(), qt.IsFalse)
}

// TestWaitsForPermit checks that a request waits for a permit that comes within its queueing time.
func TestWaitsForPermit(t *testing.T) {
	s := newLimitFixture(t)
	s.setLimit("p1")
	s.setLimit("p2")
	asks := 0
	s.node.permit = func(ask ratelimit.PermitRequest) (ratelimit.Grant, error) {
		if asks++; asks > 1 {
			return ratelimit.Grant{Granted: true, Index: len(ask.Candidates) - 1, Waits: make([]time.Duration, len(ask.Candidates))}, nil
		}
		return ratelimit.Grant{Waits: []time.Duration{10 * time.Millisecond, 15 * time.Millisecond}}, nil
	}
	resp, _ := s.send("a")
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	s.c.Assert(s.received, qt.HasLen, 1)
}

// TestPermitCheckedBeforeSend checks that nothing is sent without a valid permit, even if the
// instance announces its rate limit after it was picked, or the process pauses while it holds a
// permit.
func TestPermitCheckedBeforeSend(t *testing.T) {
	s := newLimitFixture(t)
	g := New(Settings{RetryWindow: time.Second}, s.node, newScheduler(), metrics.NewSet(), zerolog.Nop())
	i := s.node.view.Instances["p1"]
	s.c.Assert(permit{}.allows(g, i), qt.IsTrue)
	s.setLimit("p1")
	s.c.Assert(permit{}.allows(g, i), qt.IsFalse)
	s.c.Assert(permit{instance: "p2", granted: time.Now()}.allows(g, i), qt.IsFalse)
	s.c.Assert(permit{instance: "p1", granted: time.Now()}.allows(g, i), qt.IsTrue)
	s.c.Assert(permit{instance: "p1", granted: time.Now().Add(-permitLifetime)}.allows(g, i), qt.IsFalse)
}

// TestSlowRequestWastesPermits guards against permits that are taken for another attempt of a slow request, and dropped
// since no retry is left.
func TestSlowRequestWastesPermits(t *testing.T) {
	s := newLimitFixture(t)
	s.delay = 700 * time.Millisecond
	now := time.Now()
	for _, id := range []models.InstanceID{"p1", "p2"} {
		s.node.Limits().Observe(ratelimit.Observation{Instance: id, StartedAt: time.Unix(1, 0), Rate: 100, SentAt: now, ReceivedAt: now})
	}
	var granted atomic.Int32
	s.node.permit = func(ratelimit.PermitRequest) (ratelimit.Grant, error) {
		granted.Add(1)
		return ratelimit.Grant{Granted: true}, nil
	}
	resp, _ := s.send("1")
	s.c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	s.c.Check(granted.Load(), qt.Equals, int32(1))
}

// TestStalledStreamWastesPermits is TestSlowRequestWastesPermits for the hedge of a stream.
func TestStalledStreamWastesPermits(t *testing.T) {
	c := qt.New(t)
	g1 := startAnswering(c, "g1", func(conn net.Conn, _, _ int) {
		sendEvents(conn, unframedEvent(1))
		time.Sleep(1500 * time.Millisecond)
		_, _ = io.WriteString(conn, unframedEvent(2))
	})
	g2 := startAnswering(c, "g2", func(net.Conn, int, int) {})
	node := newFakeNode(c, streamEndConfig, []*fakeInstance{g1, g2})
	now := time.Now()
	node.limits = emptyLimits()
	node.Limits().Observe(ratelimit.Observation{Instance: "g2", StartedAt: time.Unix(1, 0), Rate: 100, SentAt: now, ReceivedAt: now})
	var granted atomic.Int32
	node.permit = func(ratelimit.PermitRequest) (ratelimit.Grant, error) {
		granted.Add(1)
		return ratelimit.Grant{Granted: true}, nil
	}
	askStream(t, 0, node)
	c.Check(granted.Load(), qt.Equals, int32(0))
}
