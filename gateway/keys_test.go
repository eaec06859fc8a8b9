package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestStaleConfigRejects checks that a daemon without a recent proof that its configuration is
// current rejects requests, with a Retry-After, and does not reject a route or key as unknown that
// a newer configuration may contain.
func TestStaleConfigRejects(t *testing.T) {
	c := qt.New(t)
	routing := &models.Routing{
		Version: 1, RequiresKeys: true, Keys: map[string]models.KeyOwner{"k1": {Workspace: "ws"}},
		Hosts: map[string][]models.Route{"api.example": {
			{Name: "keyed", Host: "api.example", PathPrefix: "/keyed/", Kind: models.RouteNonIdempotent, MaxAttempts: 1, Targets: []models.RouteTarget{{Service: "plain"}}},
			{Name: "open", Host: "api.example", PathPrefix: "/open/", Kind: models.RouteNonIdempotent, MaxAttempts: 1, AuthExempt: true, Targets: []models.RouteTarget{{Service: "plain"}}},
		}},
	}
	for _, test := range []struct {
		name    string
		routing *models.Routing
		age     time.Duration
		path    string
		key     string
		want    int
	}{
		{"current, no instance", routing, 0, "/keyed/", "k1", http.StatusServiceUnavailable},
		{"current, unknown key", routing, 0, "/keyed/", "k2", http.StatusUnauthorized},
		{"current, unknown route", routing, 0, "/none/", "k1", http.StatusNotFound},
		{"late proof, unknown key", routing, 3 * time.Second, "/keyed/", "k2", http.StatusServiceUnavailable},
		{"late proof, unknown route", routing, 3 * time.Second, "/none/", "k1", http.StatusServiceUnavailable},
		{"stale, known key", routing, 5 * time.Second, "/keyed/", "k1", http.StatusServiceUnavailable},
		{"no configuration", nil, 0, "/none/", "k1", http.StatusServiceUnavailable},
	} {
		view := &cluster.View{Routing: test.routing, ConfirmedAt: time.Now().Add(-test.age), Daemons: 1}
		g := New(Settings{MaxKeysProofAge: 4 * time.Second, MaxConfigAge: 2 * time.Second, RetryWindow: time.Second},
			&fakeNode{view: view, clock: timer.New(time.Now())}, newScheduler(), metrics.NewSet(), zerolog.Nop())
		r := httptest.NewRequest(http.MethodPost, test.path, nil)
		r.Host = "api.example"
		r.Header.Set("Authorization", "Token "+test.key)
		w := httptest.NewRecorder()
		g.serve(w, r)
		c.Assert(w.Code, qt.Equals, test.want, qt.Commentf("%s", test.name))
		if w.Code == http.StatusServiceUnavailable {
			c.Assert(w.Header().Get("Retry-After"), qt.Not(qt.Equals), "", qt.Commentf("%s", test.name))
		}
	}
}

// TestReady checks that readiness fails while the configuration is stale or the gateway stops.
func TestReady(t *testing.T) {
	c := qt.New(t)
	view := &cluster.View{Routing: &models.Routing{}, ConfirmedAt: time.Now()}
	g := New(Settings{MaxKeysProofAge: 4 * time.Second, RetryWindow: time.Second}, &fakeNode{view: view, clock: timer.New(time.Now())}, newScheduler(), metrics.NewSet(), zerolog.Nop())
	ready := func() int {
		w := httptest.NewRecorder()
		g.serveReady(w, httptest.NewRequest(http.MethodGet, "/-/ready", nil))
		return w.Code
	}
	c.Assert(ready(), qt.Equals, http.StatusOK)
	view.ConfirmedAt = time.Now().Add(-5 * time.Second)
	c.Assert(ready(), qt.Equals, http.StatusServiceUnavailable)
	view.ConfirmedAt = time.Now()
	g.stop.begin(time.Now(), time.Second)
	c.Assert(ready(), qt.Equals, http.StatusServiceUnavailable)
}

// TestStaleConfigAfterSuspension checks that the time for which a machine was suspended counts
// towards the age of the proof, although the monotonic clock does not count it. Otherwise a revoked
// key could be used after the suspension.
func TestStaleConfigAfterSuspension(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	var suspended time.Duration
	clock := timer.New(start)
	c.Assert(clock.CountSuspensions(func() (time.Duration, error) { return time.Since(start) + suspended, nil }), qt.IsNil)
	view := &cluster.View{Routing: &models.Routing{}, ConfirmedAt: time.Now()}
	g := New(Settings{MaxKeysProofAge: 4 * time.Second, RetryWindow: time.Second}, &fakeNode{view: view, clock: clock}, newScheduler(), metrics.NewSet(), zerolog.Nop())
	c.Assert(g.isCurrent(view, g.cfg.MaxKeysProofAge), qt.IsTrue)
	suspended = 5 * time.Second
	c.Assert(g.isCurrent(view, g.cfg.MaxKeysProofAge), qt.IsFalse)
}
