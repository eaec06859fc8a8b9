package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// TestGeneralOptionsAreHeld guards against an unfinished request for "OPTIONS *", which net/http receives itself, and
// without a bound in time, unless it is told otherwise.
func TestGeneralOptionsAreHeld(t *testing.T) {
	c := qt.New(t)
	cfg := Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryWindow: 10 * time.Second, FirstStart: true}
	g := New(cfg, newFakeNode(c, promiseConfig, nil), newScheduler(), metrics.NewSet(), zerolog.Nop())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := g.newServer(http.HandlerFunc(g.serve))
	served := make(chan error, 1)
	go func() { served <- serveOn(server, l) }()
	defer func() {
		c.Check(server.Close(), qt.IsNil)
		c.Check(<-served, qt.IsNil)
	}()
	caller, err := net.Dial("tcp4", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer caller.Close()
	_, err = fmt.Fprint(caller, "OPTIONS * HTTP/1.1\r\nHost: api.example\r\nContent-Length: 10\r\n\r\nb")
	c.Assert(err, qt.IsNil)
	c.Assert(caller.SetReadDeadline(time.Now().Add(3*unreadBodyTimeout)), qt.IsNil)
	_, err = caller.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
}
