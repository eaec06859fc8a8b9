package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestDaemonForwardsToItself guards against requests that go round and round between daemons because
// the address of one stands among the instances.
func TestDaemonForwardsToItself(t *testing.T) {
	for kind, idempotent := range map[models.RouteKind]bool{models.RouteIdempotent: true, models.RouteNonIdempotent: false} {
		t.Run(fmt.Sprintf("idempotent=%t", idempotent), func(t *testing.T) {
			c := qt.New(t)
			route := models.Route{Name: "r", Host: "api.example", PathPrefix: "/", Kind: kind, MaxAttempts: 2, Timeout: time.Second, Targets: []models.RouteTarget{{Service: "plain"}}}
			view := &cluster.View{
				Routing: &models.Routing{Version: 1, Hosts: map[string][]models.Route{"api.example": {route}}}, ConfirmedAt: time.Now(), Daemons: 1,
			}
			g := New(Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second},
				&fakeNode{view: view, clock: timer.New(time.Now())}, newScheduler(), metrics.NewSet(), zerolog.Nop())
			var requests atomic.Int32
			front := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				g.serve(w, r)
			}))
			front.Config.ConnContext = withCallerConn
			front.Start()
			defer front.Close()
			daemon := models.UpstreamInstance{ID: "p1", Service: "plain", Addr: netip.MustParseAddrPort(strings.TrimPrefix(front.URL, "http://"))}
			view.Instances = map[models.InstanceID]models.UpstreamInstance{daemon.ID: daemon}
			view.Services = map[models.ServiceName][]models.UpstreamInstance{"plain": {daemon}}

			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/x", nil)
			c.Assert(err, qt.IsNil)
			r.Host = "api.example"
			r.Header.Set("X-Lupinkeel-Request-Id", "1")
			resp, err := http.DefaultClient.Do(r)
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Body.Close(), qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("no instance has run it"))
			c.Check(requests.Load() <= int32(1+route.MaxAttempts), qt.IsTrue, qt.Commentf("%d requests", requests.Load()))
		})
	}
}
