package h1

import (
	"net"
	"net/netip"
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
