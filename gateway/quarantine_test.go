package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

const quarantineConfig = `{"Version":1,"Routes":[
{"Name":"again","Host":"api.example","PathPrefix":"/again/","RouteType":"idempotent","TimeoutMs":1000,"TargetLatencyMs":150,"Service":"plain","MaxAttempts":2}],
"Services":[{"Name":"plain","MaxConnections":10}],"Limits":{"MaxBodyBytes":1000},
"Tenants":[{"Name":"ws","ApiKeys":["k1","k2"]},{"Name":"other","ApiKeys":["k3"]}]}`

// TestQuarantinedRequestRejected checks that a request which is known to have crashed three
// instances is rejected without a send and without a Retry-After, whichever key of its workspace it
// has. The same body from another workspace, and another body from its workspace, are served. An
// operator can list it by its digest and release it.
func TestQuarantinedRequestRejected(t *testing.T) {
	c := qt.New(t)
	runs := 0
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs++
		w.Header().Set("X-Lupinkeel-Request-Id", r.Header.Get("X-Lupinkeel-Request-Id"))
		w.Header().Set("X-Lupinkeel-Response-Stamp", "s")
	}))
	defer upstream.Close()
	l := upstream.Listener.(*net.TCPListener)
	node := newFakeNode(c, quarantineConfig, []*fakeInstance{{name: "p1", l: l}})
	g := New(Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryWindow: time.Second}, node, newScheduler(), metrics.NewSet(), zerolog.Nop())
	front, admin := httptest.NewServer(http.HandlerFunc(g.serve)), httptest.NewServer(g.adminRoutes())
	defer front.Close()
	defer admin.Close()
	ask := func(key, body string) *http.Response {
		r, err := http.NewRequest(http.MethodPost, front.URL+"/again/x?page=1", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		r.Host = "api.example"
		r.Header.Set("Authorization", "Token "+key)
		r.Header.Set("X-Lupinkeel-Request-Id", key+body)
		resp, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		return resp
	}
	d := quarantine.Request{Workspace: "ws", Method: http.MethodPost, Host: "api.example", Target: "/again/x?page=1", Body: []byte("crashes")}.Digest()
	for _, id := range []models.InstanceID{"i1", "i2", "i3"} {
		node.quarantine.RecordCrash(quarantine.Crash{Instance: id, At: time.Now(), Requests: map[quarantine.Digest]bool{d: false}})
	}
	for _, key := range []string{"k1", "k2"} {
		rejected := ask(key, "crashes")
		c.Assert(rejected.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(rejected.Header.Get("Retry-After"), qt.Equals, "")
	}
	c.Assert(runs, qt.Equals, 0)
	c.Assert(ask("k3", "crashes").StatusCode, qt.Equals, http.StatusOK)
	c.Assert(ask("k1", "does not").StatusCode, qt.Equals, http.StatusOK)

	list, err := http.Get(admin.URL + "/quarantine")
	c.Assert(err, qt.IsNil)
	defer list.Body.Close()
	text, err := io.ReadAll(list.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Contains, "digest="+d.String())
	for _, want := range []int{http.StatusNoContent, http.StatusNotFound} {
		r, err := http.NewRequest(http.MethodDelete, admin.URL+"/quarantine/"+d.String(), nil)
		c.Assert(err, qt.IsNil)
		resp, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, want)
	}
	c.Assert(ask("k1", "crashes").StatusCode, qt.Equals, http.StatusOK)
}
