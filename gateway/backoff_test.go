package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/breaker"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

// sendUntil sends requests until an instance has received the last one, and then clears the record.
func (s *limitFixture) sendUntil(name string) {
	for n := 0; len(s.received) == 0 || s.received[len(s.received)-1] != name; n++ {
		s.c.Assert(n < 100, qt.IsTrue)
		s.send("a")
	}
	s.received = nil
}

// signal records a backoff or leaving signal of an instance at the gateway.
func (s *limitFixture) signal(id models.InstanceID, backoff time.Duration, leaving bool) {
	s.node.breakers.Observe(breaker.Signal{Instance: id, StartedAt: s.node.view.Instances[id].StartedAt, ReceivedAt: time.Now(), Backoff: backoff, Leaving: leaving})
}

// TestSignalAppliesToNextRequest checks that a backoff or a leaving signal in a response applies
// from the next request on, whatever the status of the response.
func TestSignalAppliesToNextRequest(t *testing.T) {
	for _, test := range []struct {
		name    string
		status  int
		headers map[string]string
	}{
		{"turned_away", 503, map[string]string{"Retry-After": "3", "X-Lupinkeel-Not-Executed": "1"}},
		{"failed", 503, map[string]string{"Retry-After": "3"}},
		{"unreadable", 503, map[string]string{"Retry-After": "soon", "X-Lupinkeel-Not-Executed": "1"}},
		{"leaves", 0, map[string]string{"Server-Leaving": "1"}},
		{"leaves_turning_away", 503, map[string]string{"Server-Leaving": "1", "X-Lupinkeel-Not-Executed": "1"}},
		{"leaves_misdirected", http.StatusMisdirectedRequest, map[string]string{"Server-Leaving": "1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newLimitFixture(t)
			s.status, s.headers = test.status, test.headers
			s.sendUntil("p1")
			s.status, s.headers = 0, nil
			for range 20 {
				s.send("b")
			}
			s.c.Assert(s.received, qt.Not(qt.Contains), "p1")
			s.c.Assert(s.received, qt.HasLen, 20)
		})
	}
}

// TestLeavingFromReusedAddressIgnored checks that a 421 response, from another instance that has
// taken over the address, does not mark the former one as leaving.
func TestLeavingFromReusedAddressIgnored(t *testing.T) {
	s := newLimitFixture(t)
	other := s.node.view.Instances["p1"]
	other.ID = "p3"
	s.node.view.Instances["p3"] = other
	s.status, s.headers = http.StatusMisdirectedRequest, map[string]string{"Server-Leaving": "1"}
	s.sendUntil("p1")
	s.c.Assert(s.node.breakers.Any(), qt.IsFalse)
}

// TestAllBackingOffRejectsImmediately checks that a request is rejected without a send if all
// instances back off. Retry-After is after the first backoff ends, earlier for urgent requests.
func TestAllBackingOffRejectsImmediately(t *testing.T) {
	s := newLimitFixture(t)
	const backoff = 1500 * time.Millisecond
	s.signal("p1", backoff, false)
	s.signal("p2", 2*backoff, false)
	retryAfters := map[string]bool{}
	for range 4 {
		resp, elapsed := s.send("a")
		s.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		s.c.Assert(elapsed < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", elapsed))
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(after >= backoff.Seconds()-0.2 && after <= 1.5*backoff.Seconds()+1, qt.IsTrue, qt.Commentf("%v s", after))
		retryAfters[resp.Header.Get("Retry-After")] = true
	}
	s.c.Assert(len(retryAfters) > 1, qt.IsTrue)
	s.c.Assert(s.received, qt.HasLen, 0)

	now := time.Now()
	o := availability{at: now.Add(time.Second), since: now.Add(-6 * time.Second)}
	for range 100 {
		s.c.Assert(retryAfterBackoff(o, 0, now) <= retryAfterBackoff(o, 2, now), qt.IsTrue)
		s.c.Assert(retryAfterBackoff(o, 9, now) <= 4*time.Second, qt.IsTrue)
	}
}

// TestWaitsForEndOfBackoff checks that a request waits for a backoff that ends within its queueing
// time.
func TestWaitsForEndOfBackoff(t *testing.T) {
	s := newLimitFixture(t)
	s.signal("p1", 15*time.Millisecond, false)
	s.signal("p2", time.Minute, false)
	resp, _ := s.send("a")
	s.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	s.c.Assert(s.received, qt.DeepEquals, []string{"p1"})
}

// TestBackoffCheckedBeforeSend checks that an admitted request with a permit is not sent, and
// counts as no failure, if the instance asks for a backoff while the connection is made.
func TestBackoffCheckedBeforeSend(t *testing.T) {
	s := newLimitFixture(t)
	g := New(Settings{RetryWindow: time.Second}, s.node, newScheduler(), metrics.NewSet(), zerolog.Nop())
	i := s.node.view.Instances["p1"]
	s.setLimit("p1")
	p := permit{instance: "p1", granted: time.Now()}
	r, err := http.NewRequest(http.MethodPost, "http://api.example/again/x", nil)
	s.c.Assert(err, qt.IsNil)
	e := &exchange{g: g, r: r, deadline: time.Now().Add(time.Second)}
	s.c.Assert(e.checkAdmission(i, p), qt.IsNil)
	s.signal("p1", time.Second, false)
	s.c.Assert(e.checkAdmission(i, p), qt.ErrorIs, breaker.ErrBackingOff)
	_, _, err = e.sendAdmitted(context.Background(), i, p, models.Attempt{}, nil)
	s.c.Assert(errors.Is(err, errNotRun) && errors.Is(err, errNotAdmitted), qt.IsTrue, qt.Commentf("%v", err))
	_, err = e.send(context.Background(), i, p, models.Attempt{}, nil)
	s.c.Assert(errors.Is(err, errNotRun) && errors.Is(err, errNotAdmitted), qt.IsTrue, qt.Commentf("%v", err))
	s.c.Assert(g.scheduler.failures, qt.HasLen, 0)
	s.c.Assert(s.received, qt.HasLen, 0)
}

// TestIsolatedRequestAvoidsBackingOffInstance checks that an isolated request, which has an
// instance of its own, is sent to the other one while that instance backs off.
func TestIsolatedRequestAvoidsBackingOffInstance(t *testing.T) {
	s := newLimitFixture(t)
	d := quarantine.Request{Workspace: "ws", Method: http.MethodPost, Host: "api.example", Target: "/again/x", Body: []byte("body")}.Digest()
	for _, id := range []models.InstanceID{"i1", "i2"} {
		s.node.quarantine.RecordCrash(quarantine.Crash{Instance: id, At: time.Now().Add(-time.Minute), Requests: map[quarantine.Digest]bool{d: false}})
	}
	s.c.Assert(s.node.quarantine.Status(d).NeedsIsolation(), qt.IsTrue)
	own := []string{"p1", "p2"}[s.node.quarantine.IsolationIndex(d, 2)]
	s.signal(models.InstanceID(own), time.Minute, false)
	s.send("a")
	s.c.Assert(s.received, qt.HasLen, 1)
	s.c.Assert(s.received, qt.Not(qt.Contains), own)
}

// TestAvoidsRejectingInstance checks that an instance which rejects its requests without a
// Retry-After, and so has none in flight, is not taken for the least loaded one.
func TestAvoidsRejectingInstance(t *testing.T) {
	s := newLimitFixture(t)
	s.status, s.headers = http.StatusServiceUnavailable, map[string]string{"X-Lupinkeel-Not-Executed": "1"}
	s.sendUntil("p1")
	for range 20 {
		s.send("b")
	}
	s.c.Assert(s.received, qt.Not(qt.Contains), "p1")
}

// TestPeerBackoffLowersPreference checks that an instance which asked another daemon for a backoff
// is picked only if there is no other.
func TestPeerBackoffLowersPreference(t *testing.T) {
	c := qt.New(t)
	b := newScheduler()
	node := newPickNode()
	node.breakers = closedBreakers()
	b.zone = "b"
	pick := func(tried ...models.InstanceID) models.InstanceID {
		i, found := b.pickInstance(node, node.View().Services["s"], tried)
		c.Assert(found, qt.IsTrue)
		return i.ID
	}
	c.Assert(pick(), qt.Equals, models.InstanceID("b"))
	node.breakers.Record(breaker.Signal{Instance: "b", ReceivedAt: time.Now(), Backoff: time.Minute}, "d2")
	for range 20 {
		c.Assert(pick(), qt.Not(qt.Equals), models.InstanceID("b"))
	}
	c.Assert(pick("a", "c"), qt.Equals, models.InstanceID("b"))
}
