package h1

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestIdleConnections checks that the pool keeps no more idle connections than allowed, and that
// it keeps those that have been idle for the shortest time.
func TestIdleConnections(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	addr := netip.MustParseAddrPort(l.Addr().String())
	pool := NewPool(Direct(time.Second), nil)
	var conns []*conn
	for range 4 {
		dialed, err := pool.connect(t.Context(), addr)
		c.Assert(err, qt.IsNil)
		defer dialed.close()
		conns = append(conns, dialed)
	}
	open := func() (out []int) {
		for i, dialed := range conns {
			if !dialed.closed.Load() {
				out = append(out, i)
			}
		}
		return out
	}

	pool.SetMaxIdle(map[netip.AddrPort]int{addr: 3})
	for _, dialed := range conns {
		pool.put(dialed)
	}
	c.Assert(open(), qt.DeepEquals, []int{0, 1, 2})
	pool.Sweep(time.Now())
	c.Assert(open(), qt.DeepEquals, []int{0, 1, 2})
	pool.SetMaxIdle(map[netip.AddrPort]int{addr: 1})
	pool.Sweep(time.Now())
	c.Assert(open(), qt.DeepEquals, []int{2})
	pool.SetMaxIdle(map[netip.AddrPort]int{})
	pool.Sweep(time.Now())
	c.Assert(open(), qt.HasLen, 0)
}

// TestReadyError checks that a request whose BeforeSend function returns an error is not sent, and
// that the error wraps ErrNotSent.
func TestReadyError(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	bytesRead := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			close(bytesRead)
			return
		}
		defer conn.Close()
		n, _ := conn.Read(make([]byte, 1))
		bytesRead <- n
	}()
	errNotReady := errors.New("not ready")
	pool := NewPool(Direct(time.Second), nil)
	_, err = pool.Do(t.Context(), netip.MustParseAddrPort(l.Addr().String()), Request{
		Method: "GET", Target: "/", BeforeSend: func() error { return errNotReady },
	})
	c.Assert(err, qt.ErrorIs, errNotReady)
	c.Assert(err, qt.ErrorIs, ErrNotSent)
	c.Assert(<-bytesRead, qt.Equals, 0)
}
