package h1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// cutHeads are heads of responses with each way of marking a body's end.
var cutHeads = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 12\r\n\r\n",
	"chunks":        "HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
	"close":         "HTTP/1.1 200 OK\r\nX-Id: 2\r\nConnection: close\r\n\r\n",
	"version 1.0":   "HTTP/1.0 200 OK\r\nX-Id: 2\r\n\r\n",
	"line feeds":    "HTTP/1.1 200 OK\nX-Id: 2\nContent-Length: 12\n\n",
	"no body":       "HTTP/1.1 204 No Content\r\nX-Id: 2\r\n\r\n",
	"informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n",
}

// TestCutHeadLooksComplete guards against a response whose instance stopped within its head and that looks
// complete, with an empty body: on new connections and reused ones, behind the response to another request,
// and however the connection ends.
func TestCutHeadLooksComplete(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\nbody"
	for name, head := range cutHeads {
		for _, before := range []string{"nothing", "a response", "a surplus response"} {
			for _, end := range []string{"end", "reset"} {
				t.Run(fmt.Sprintf("%s after %s by %s", name, before, end), func(t *testing.T) {
					t.Parallel()
					for cut := range len(head) {
						playCutHead(qt.New(t), before, whole, head[:cut], end == "reset")
					}
				})
			}
		}
	}
}

// playCutHead gets a response whose head is cut, after another one on the same connection if there is one
// before.
func playCutHead(c *qt.C, before, whole, cut string, reset bool) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- serveCutHead(l, before, whole, cut, reset) }()
	pool := NewPool(Direct(time.Second), nil)
	do := func(id string) (*Response, error) {
		return pool.Do(context.Background(), netip.MustParseAddrPort(l.Addr().String()), Request{
			Method: http.MethodPost, Target: "/", Host: "h", MaxIdleAge: time.Minute, Body: []byte("x"),
			Matches: func(h http.Header) bool { return h.Get("X-Id") == id },
		})
	}
	if before == "a response" {
		first, err := do("1")
		c.Assert(err, qt.IsNil)
		body, err := first.Body.ReadAll(100)
		c.Assert(err, qt.IsNil)
		c.Assert(string(body), qt.Equals, "body")
		c.Assert(first.Body.Close(), qt.IsNil)
	}
	resp, err := do("2")
	if err == nil {
		body, bodyErr := resp.Body.ReadAll(100)
		c.Errorf("head cut to %q: status %d, body %q, %v", cut, resp.Status, body, bodyErr)
		return
	}
	c.Assert(err, qt.ErrorIs, ErrNoResponse, qt.Commentf("the request may have run; head cut to %q", cut))
	c.Assert(errors.Is(err, ErrNotSent), qt.IsFalse)
	c.Assert(errors.Join(l.Close(), <-served), qt.IsNil)
}

// serveCutHead serves the requests of playCutHead.
func serveCutHead(l net.Listener, before, whole, cut string, reset bool) error {
	conn, err := l.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	request := make([]byte, 1<<10)
	read := func() error {
		for got := ""; !strings.HasSuffix(got, "\r\n\r\nx"); {
			n, err := conn.Read(request)
			if err != nil {
				return err
			}
			got += string(request[:n])
		}
		return nil
	}
	if before == "a response" {
		if err := read(); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, whole); err != nil {
			return err
		}
	}
	if err := read(); err != nil {
		return err
	}
	if before == "a surplus response" {
		cut = whole + cut
	}
	_, err = io.WriteString(conn, cut)
	if reset {
		err = errors.Join(err, conn.(*net.TCPConn).SetLinger(0))
	}
	return err
}
