package entrance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/buffers"
	"github.com/lupinkeel/lupinkeel/lib/task"
)

// startGuard starts a guarded server, which counts its requests.
func startGuard(c *qt.C) (addr string, requests *atomic.Int64) {
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	requests = &atomic.Int64{}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) })}
	g := NewGuard(socket, buffers.New(1<<20, metrics.NewSet()), metrics.NewSet())
	g.Protect(server)
	serving := task.Start(context.Background(), "server", func(context.Context) error { return serve(server, g) })
	c.Cleanup(func() {
		c.Check(server.Close(), qt.IsNil)
		c.Check(task.Wait(serving), qt.IsNil)
	})
	return socket.Addr().String(), requests
}

func dialGuard(c *qt.C, addr string) net.Conn {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

// TestSilentConnectionsKeepChecksOut guards against connections that are opened and kept, so that no readiness
// check gets through.
func TestSilentConnectionsKeepChecksOut(t *testing.T) {
	c := qt.New(t)
	addr, _ := startGuard(c)
	for range 3 * maxGuardedConnections {
		dialGuard(c, addr)
	}
	conn := dialGuard(c, addr)
	c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

// TestChecksSentAheadTakeProcessor guards against requests that are sent ahead on a connection, each of which is
// answered at once.
func TestChecksSentAheadTakeProcessor(t *testing.T) {
	c := qt.New(t)
	addr, requests := startGuard(c)
	conn := dialGuard(c, addr)
	began := time.Now()
	_, err := fmt.Fprint(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1000))
	c.Assert(err, qt.IsNil)
	time.Sleep(5 * requestInterval)
	answered := requests.Load()
	c.Assert(answered > 0, qt.IsTrue)
	c.Assert(answered <= 1+int64(time.Since(began)/requestInterval), qt.IsTrue, qt.Commentf("%d", answered))
}

// TestLongHeadOfCheckFillsMemory guards against heads at the address of readiness checks that are as long as
// net/http allows.
func TestLongHeadOfCheckFillsMemory(t *testing.T) {
	c := qt.New(t)
	addr, requests := startGuard(c)
	conn := dialGuard(c, addr)
	c.Assert(conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	// The server may close the connection meanwhile.
	_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n", strings.Repeat("a:\r\n", 4*guardedHeaderBytes/4))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) {
		c.Assert(timeout.Timeout(), qt.IsFalse)
	}
	c.Assert(requests.Load(), qt.Equals, int64(0))
}

// TestGeneralOptionsTakeProcessor guards against requests for "OPTIONS *" sent ahead, which net/http answers itself
// unless it is told otherwise.
func TestGeneralOptionsTakeProcessor(t *testing.T) {
	c := qt.New(t)
	addr, _ := startGuard(c)
	conn := dialGuard(c, addr)
	began := time.Now()
	_, err := fmt.Fprint(conn, strings.Repeat("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 1000))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(began.Add(5*requestInterval)), qt.IsNil)
	answered := int64(0)
	for r := bufio.NewReader(conn); ; answered++ {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
	c.Assert(answered > 0, qt.IsTrue)
	c.Assert(answered <= 1+int64(time.Since(began)/requestInterval), qt.IsTrue, qt.Commentf("%d", answered))
}
