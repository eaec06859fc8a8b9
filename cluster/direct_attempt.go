package cluster

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/reachability"
)

// directAttempt is an attempt to connect directly, which runs on when a tunnel was faster.
type directAttempt struct {
	p    *paths
	addr netip.AddrPort
	// done is closed when conn and err are set.
	done chan struct{}
	conn h1.Conn
	err  error

	mu sync.Mutex
	// ended is set with done. bypassed is set if a tunnel was faster, abandoned if nobody waits for
	// the connection.
	ended, bypassed, abandoned bool
}

func (p *paths) startDirect(ctx context.Context, addr netip.AddrPort) *directAttempt {
	a := &directAttempt{p: p, addr: addr, done: make(chan struct{})}
	task.Start(context.WithoutCancel(ctx), "dial", a.run)
	return a
}

func (a *directAttempt) run(ctx context.Context) error {
	ctx, cancel := timer.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := a.p.direct(ctx, a.addr)
	a.mu.Lock()
	a.conn, a.err, a.ended = conn, err, true
	close(a.done)
	bypassed, abandoned := a.bypassed, a.abandoned
	a.mu.Unlock()
	if err == nil {
		a.p.record(a.addr, reachability.Connected)
	} else if bypassed {
		a.p.record(a.addr, reachability.Bypassed)
	}
	if err == nil && abandoned {
		return conn.Close()
	}
	return nil
}

// connected reports whether the attempt has succeeded.
func (a *directAttempt) connected() bool {
	select {
	case <-a.done:
		return a.err == nil
	default:
		return false
	}
}

// take returns the connection of a successful attempt.
func (a *directAttempt) take() h1.Conn { return &directConn{Conn: a.conn, p: a.p, addr: a.addr} }

// abandon closes the connection, also if it is made later.
func (a *directAttempt) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.abandoned = true
	if a.connected() {
		// The connection was not used.
		_ = a.conn.Close()
	}
}

// bypass abandons the attempt because a tunnel to the instance was made.
func (a *directAttempt) bypass() {
	a.abandon()
	a.mu.Lock()
	a.bypassed = true
	ended := a.ended
	a.mu.Unlock()
	if ended && a.err != nil {
		a.p.record(a.addr, reachability.Bypassed)
	}
}

// directConn is a direct connection to an instance.
type directConn struct {
	h1.Conn
	p    *paths
	addr netip.AddrPort
}

var _ h1.TCPConner = (*directConn)(nil)

// TCPConn returns the connection to the instance, or nil if it is not one of TCP.
func (c *directConn) TCPConn() *net.TCPConn {
	tcp, _ := c.Conn.(*net.TCPConn)
	return tcp
}

// Stale reports whether connections to the instance take a detour now, because direct ones may hang.
func (c *directConn) Stale() bool { return c.p.needsDetour(c.addr) }
