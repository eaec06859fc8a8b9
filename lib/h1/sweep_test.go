package h1

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lookedAtConn counts how often its socket is looked at.
type lookedAtConn struct {
	*net.TCPConn
	looks *int
}

func (c lookedAtConn) SyscallConn() (syscall.RawConn, error) {
	*c.looks++
	return c.TCPConn.SyscallConn()
}

// TestSweepLooksAtAllConnections guards against sweeps that make a system call for each idle
// connection, of which there are as many as instances, while requests wait for the pool.
func TestSweepLooksAtAllConnections(t *testing.T) {
	for _, size := range []int{8, 64} {
		c := qt.New(t)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer l.Close()
		addr := netip.MustParseAddrPort(l.Addr().String())
		pool, looks := NewPool(Direct(time.Second), nil), 0
		for range size {
			dialed, err := net.Dial("tcp4", l.Addr().String())
			c.Assert(err, qt.IsNil)
			defer dialed.Close()
			conn := newConn(pool, addr, lookedAtConn{dialed.(*net.TCPConn), &looks})
			conn.idleTimeout = time.Minute
			pool.put(conn)
		}
		now := time.Now()
		pool.Sweep(now)
		c.Assert(looks, qt.Equals, size, qt.Commentf("those that have just become idle"))
		pool.Sweep(now.Add(10 * time.Second))
		c.Assert(looks, qt.Equals, size, qt.Commentf("those that have been idle for longer"))
		c.Assert(pool.idle[addr], qt.HasLen, size)
	}
}

// TestLongKeepAliveFillsMemory guards against connections that stay open for as long as an instance announces,
// while it sends bytes that nobody looks at any more.
func TestLongKeepAliveFillsMemory(t *testing.T) {
	pool := sweepSurplus(t, http.MethodGet, "Keep-Alive: timeout=3600\r\nContent-Length: 0\r\n", maxIdleTimeout+time.Second)
	qt.Assert(t, pool.idle, qt.HasLen, 0)
}

// TestHeadWithBodyFillsMemory guards against a body in the response to HEAD, which has none.
func TestHeadWithBodyFillsMemory(t *testing.T) {
	pool := sweepSurplus(t, http.MethodHead, "Content-Length: 1000000\r\n", 0)
	qt.Assert(t, pool.idle, qt.HasLen, 0)
}

// sweepSurplus gets a response with some fields and surplus bytes after it, and sweeps its connection when it
// has been idle for some time.
func sweepSurplus(t *testing.T, method, fields string, idle time.Duration) *Pool {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	addr := netip.MustParseAddrPort(l.Addr().String())
	served := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fields+"\r\n")
		}
		c.Check(err, qt.IsNil)
		served <- conn
	}()
	pool := NewPool(Direct(time.Second), nil)
	resp, err := pool.Do(t.Context(), addr, Request{Method: method, Target: "/", Host: "h"})
	c.Assert(err, qt.IsNil)
	_, err = resp.Body.ReadAll(0)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	conn := <-served
	defer conn.Close()
	c.Assert(pool.idle[addr], qt.HasLen, 1)
	idleSince := pool.idle[addr][0].idleSince
	_, err = io.WriteString(conn, strings.Repeat("a", 1000))
	c.Assert(err, qt.IsNil)
	pool.Sweep(idleSince.Add(idle))
	return pool
}
