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
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	addr := netip.MustParseAddrPort(l.Addr().String())
	served := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3600\r\nContent-Length: 0\r\n\r\n")
		}
		c.Check(err, qt.IsNil)
		served <- conn
	}()
	pool := NewPool(Direct(time.Second), nil)
	resp, err := pool.Do(t.Context(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h"})
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
	pool.Sweep(idleSince.Add(maxIdleTimeout + time.Second))
	c.Assert(pool.idle[addr], qt.HasLen, 0)
}
