package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// TestUnfinishedBodiesAreHeld guards against requests that are held without an answer for as long as their callers don't
// complete their bodies, on routes and elsewhere.
func TestUnfinishedBodiesAreHeld(t *testing.T) {
	for _, test := range []struct {
		path   string
		status int
	}{
		{"/once/x", http.StatusRequestTimeout},
		{"/nowhere/x", http.StatusNotFound},
	} {
		t.Run(test.path, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			i := &fakeInstance{name: "i1", l: l, done: make(chan error, 1)}
			cfg := Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryWindow: 10 * time.Second, FirstStart: true}
			front := newFront(New(cfg, newFakeNode(c, promiseConfig, []*fakeInstance{i}), newScheduler(), metrics.NewSet(), zerolog.Nop()))
			defer front.Close()
			defer l.Close()
			caller, err := net.Dial("tcp4", front.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer caller.Close()
			_, err = fmt.Fprintf(caller, "POST %s HTTP/1.1\r\nHost: api.example\r\nX-Lupinkeel-Request-Id: 1\r\nContent-Length: 100\r\n\r\nbody", test.path)
			c.Assert(err, qt.IsNil)
			c.Assert(caller.SetReadDeadline(time.Now().Add(scriptTimeout)), qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
			c.Assert(err, qt.IsNil)
			c.Check(resp.Body.Close(), qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, test.status)
			c.Check(resp.Close, qt.IsTrue)
		})
	}
}

// TestUnreadResponsesAreHeld guards against responses that are held for as long as their callers don't read them.
func TestUnreadResponsesAreHeld(t *testing.T) {
	c := qt.New(t)
	const length = 16 << 20
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	i := &fakeInstance{name: "i1", l: l, done: make(chan error, 1)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Lupinkeel-Request-Id", "1")
		w.Header().Set("X-Lupinkeel-Response-Stamp", "s")
		// The gateway reads all of it.
		_, err := w.Write(make([]byte, length))
		c.Check(err, qt.IsNil)
	})}
	go func() {
		// The server is closed at the end.
		_ = server.Serve(l)
	}()
	defer server.Close()
	cfg := Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryWindow: 10 * time.Second, FirstStart: true}
	g := New(cfg, newFakeNode(c, promiseConfig, []*fakeInstance{i}), newScheduler(), metrics.NewSet(), zerolog.Nop())
	front := newFront(g)
	defer front.Close()
	caller, err := net.Dial("tcp4", front.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer caller.Close()
	c.Assert(caller.(*net.TCPConn).SetReadBuffer(4<<10), qt.IsNil)
	_, err = fmt.Fprint(caller, "POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-Lupinkeel-Request-Id: 1\r\nContent-Length: 0\r\n\r\n")
	c.Assert(err, qt.IsNil)
	for range 100 {
		if g.buffers.Held() >= length {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(g.buffers.Held(), qt.Equals, int64(length))
	for range 200 {
		if g.buffers.Held() == 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.Assert(g.buffers.Held(), qt.Equals, int64(0))
}
