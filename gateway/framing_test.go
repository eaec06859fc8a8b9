package gateway

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// TestBrokenResponseLooksComplete guards against a stream that was broken off and looks complete to a
// caller that speaks HTTP/1.0, because its connection was closed regularly.
func TestBrokenResponseLooksComplete(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []string
		end   error
	}{
		{"complete", []string{"read", "head 200", "event 1", "end"}, nil},
		{"broken_off", []string{"read", "head 200", "event 1", "wait 30ms", "reset"}, syscall.ECONNRESET},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			instance := &fakeInstance{name: "g1", l: l, steps: test.steps, done: make(chan error, 1)}
			go func() { instance.done <- instance.serve() }()
			node := newFakeNode(c, promiseConfig, []*fakeInstance{instance})
			cfg := Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, FirstStart: true}
			front := newFront(New(cfg, node, newScheduler(), metrics.NewSet(), zerolog.Nop()))
			defer front.Close()
			caller, err := net.Dial("tcp4", front.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer caller.Close()
			_, err = fmt.Fprint(caller, "POST /single/x HTTP/1.0\r\nHost: api.example\r\nX-Lupinkeel-Request-Id: 1\r\nX-Lupinkeel-Model: big\r\nContent-Length: 0\r\n\r\n")
			c.Assert(err, qt.IsNil)
			response, err := io.ReadAll(caller)
			c.Assert(string(response), qt.Contains, "data: g1")
			if test.end == nil {
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(err, qt.ErrorIs, test.end)
			}
			c.Assert(<-instance.done, qt.IsNil)
		})
	}
}
