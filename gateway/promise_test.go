package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

const promiseConfig = `{"Version":1,"Routes":[
{"Name":"once","Host":"api.example","PathPrefix":"/once/","RouteType":"non_idempotent","TimeoutMs":1000,"TargetLatencyMs":150,"Service":"plain","MaxAttempts":2},
{"Name":"again","Host":"api.example","PathPrefix":"/again/","RouteType":"idempotent","TimeoutMs":1000,"TargetLatencyMs":150,"Service":"plain","MaxAttempts":1},
{"Name":"single","Host":"api.example","PathPrefix":"/single/","RouteType":"streaming","TimeoutMs":1000,"TargetLatencyMs":400,"Service":"engines","MaxAttempts":2,"StreamResume":false,"gap_aim_ms":300}],
"Services":[{"Name":"plain","MaxConnections":10},
{"Name":"engines","MaxConnections":10,"Engine":{"Slots":4,"step_ms":8,"per_seq_ms":0.1,"read_per_s":40000,"chunk":2048,"stride":5,"loads_per_s":5,"loads_at_once":7,"form_ms":300,"Models":[{"Name":"big","size":1,"share":1,"pace":1,"load_s":16,"WarmS":1.6}]}}],
"Limits":{"MaxBodyBytes":1000}}`

// TestRanRequestIsSaidNotToHaveRun guards against statuses which promise that a request did not run,
// passed on from an instance that has run it. The status of a request that may be repeated, and other
// failures, are passed on.
func TestRanRequestIsSaidNotToHaveRun(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError} {
		passedOn := fmt.Sprintf("%d no by i1", status)
		want := "502"
		if status == http.StatusInternalServerError {
			want = passedOn
		}
		for _, test := range []struct{ request, want string }{
			{"POST /once/ id=1 body=x", want},
			{"POST /single/ id=1 model=big body=x", want},
			{"GET /again/ id=1", passedOn},
		} {
			t.Run(fmt.Sprintf("%d %s", status, test.request), func(t *testing.T) {
				c := qt.New(t)
				got := answerWithout(c, status, test.request)
				c.Assert(got, qt.Equals, strings.ReplaceAll(test.want, "i1", instanceFor(test.request)))
			})
		}
	}
}

// instanceFor returns the name of the instance that gets a request: names of heads begin with "g".
func instanceFor(request string) string {
	if strings.Contains(request, "model=") {
		return "g1"
	}
	return "p1"
}

// answerWithout sends a request to an instance that answers it with a status, but without the header
// that says that it did not run.
func answerWithout(c *qt.C, status int, request string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	i := &fakeInstance{name: instanceFor(request), l: l, done: make(chan error, 1)}
	i.steps = []string{"read", fmt.Sprintf(`send HTTP/1.1 %d Failed\r\nX-Lupinkeel-Request-Id: 1\r\nX-Lupinkeel-Response-Stamp: %s\r\nContent-Length: 2\r\n\r\nno`, status, i.name)}
	go func() { i.done <- i.serve() }()
	cfg := Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, FirstStart: true}
	g := New(cfg, newFakeNode(c, promiseConfig, []*fakeInstance{i}), newScheduler(), metrics.NewSet(), zerolog.Nop())
	front := newFront(g)
	defer front.Close()
	got := sendRequest(front.URL, request)
	l.Close()
	c.Assert(<-i.done, qt.IsNil)
	return got
}
