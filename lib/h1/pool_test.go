package h1

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRestingConnections checks that no more connections rest than are allowed,
// and that those are kept which have rested for the shortest time.
func TestIdleConnections(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	addr := netip.MustParseAddrPort(l.Addr().String())
	pool := NewPool(time.Second, nil)
	var conns []*conn
	for range 4 {
		made, err := pool.dial(t.Context(), addr)
		c.Assert(err, qt.IsNil)
		defer made.close()
		conns = append(conns, made)
	}
	open := func() (out []int) {
		for i, made := range conns {
			if !made.closed.Load() {
				out = append(out, i)
			}
		}
		return out
	}

	pool.Allow(map[netip.AddrPort]int{addr: 3})
	for _, made := range conns {
		pool.put(made)
	}
	c.Assert(open(), qt.DeepEquals, []int{0, 1, 2})
	pool.Sweep(time.Now())
	c.Assert(open(), qt.DeepEquals, []int{0, 1, 2})
	pool.Allow(map[netip.AddrPort]int{addr: 1})
	pool.Sweep(time.Now())
	c.Assert(open(), qt.DeepEquals, []int{2})
	pool.Allow(map[netip.AddrPort]int{})
	pool.Sweep(time.Now())
	c.Assert(open(), qt.HasLen, 0)
}

// TestNotReady checks that a request which is kept back once there is a connection reaches
// nobody, and that the error tells so.
func TestReadyError(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	read := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			close(read)
			return
		}
		defer conn.Close()
		n, _ := conn.Read(make([]byte, 1))
		read <- n
	}()
	errNotReady := errors.New("kept back")
	pool := NewPool(time.Second, nil)
	_, err = pool.Do(t.Context(), netip.MustParseAddrPort(l.Addr().String()), Request{
		Method: "GET", Target: "/", Ready: func() error { return errNotReady },
	})
	c.Assert(err, qt.ErrorIs, errNotReady)
	c.Assert(err, qt.ErrorIs, ErrNotSent)
	c.Assert(<-read, qt.Equals, 0)
}
