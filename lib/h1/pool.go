// Package h1 is a pool of HTTP/1.1 connections to upstreams that sends one request at a time on
// each connection. Unlike net/http's transport it never sends a request twice, and it reports
// whether any byte of a failed request was written.
package h1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lupinkeel/lupinkeel/lib/timer"
)

// Errors of Do. Each failure wraps exactly one of them.
var (
	// ErrNotSent: no byte of the request was written.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNoResponse: the request was written at least in part, and no response header was received.
	// It may have run.
	ErrNoResponse = errors.New("no response to the request")
)

const (
	// maxIdleTimeout is how long a connection stays idle in the pool unless the upstream announces a
	// shorter keep-alive timeout. No request takes one that has been idle for longer.
	maxIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the upstream the pool closes an idle connection, so
	// that the upstream does not close it while a request is being sent.
	idleMargin = 300 * time.Millisecond
	// surplusTime is for how long after a response further bytes are looked for in sweeps: two of them,
	// one a second. Later ones are found when the connection is to be used.
	surplusTime = 2 * time.Second
	// MaxIdle is the maximum number of idle connections to one address.
	MaxIdle = 64
)

// Pool keeps idle connections by address. The zero value is not usable; see NewPool.
type Pool struct {
	dial DialFunc
	// newMeter is called for each new connection and may return a meter of its bytes; it may be
	// nil.
	newMeter func(netip.AddrPort) Meter

	// peekErrors counts the socket errors that were found before a read.
	peekErrors atomic.Int64

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// maxIdle is the maximum number of idle connections to each address; nil before the first
	// SetMaxIdle.
	maxIdle map[netip.AddrPort]int
}

// Meter counts the bytes of connections. It must be safe for concurrent use.
type Meter interface {
	Sent(n int)
	Received(n int)
}

// Conn is a connection to an upstream. Its socket must be readable whenever the connection has
// received something.
type Conn interface {
	net.Conn
	syscall.Conn
}

// Staler is a Conn that may become unusable while it is idle, although it has received nothing.
type Staler interface{ Stale() bool }

// TCPConner is a Conn that wraps a TCP connection to the upstream itself.
type TCPConner interface{ TCPConn() *net.TCPConn }

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, addr netip.AddrPort) (Conn, error)

// NewPool returns an empty pool that makes connections with dial. The function newMeter is called
// for each new connection and may return a meter of its bytes; it may be nil.
func NewPool(dial DialFunc, newMeter func(netip.AddrPort) Meter) *Pool {
	return &Pool{dial: dial, newMeter: newMeter, idle: map[netip.AddrPort][]*conn{}}
}

// PeekErrors returns how many errors of sockets were found while a response was awaited, before they
// were read from.
func (p *Pool) PeekErrors() int64 { return p.peekErrors.Load() }

// get returns a connection that has been idle for at most maxIdleAge, or a new connection.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort, maxIdleAge time.Duration) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return p.connect(ctx, addr)
		}
		if time.Since(c.idleSince) <= maxIdleAge && c.isReusable() {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) pop(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c := conns[last]
	conns[last] = nil
	p.idle[addr] = conns[:last]
	return c
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, known := p.maxIdle[c.addr]
	if !known {
		// The address may be newer than the last SetMaxIdle.
		limit = MaxIdle
	}
	if len(p.idle[c.addr]) >= limit {
		c.close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// SetMaxIdle sets the maximum number of idle connections to each address; the next Sweep closes the
// connections to other addresses. The maximum is MaxIdle before the first call, and for addresses
// that became known after the last call.
func (p *Pool) SetMaxIdle(maxIdle map[netip.AddrPort]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = maxIdle
}

// Sweep closes connections that have been idle for too long, have received bytes soon after a
// response that belong to no request, or exceed the maximum number.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		limit := MaxIdle
		if p.maxIdle != nil {
			limit = p.maxIdle[addr]
		}
		remaining := closeStale(conns, limit, now)
		if len(remaining) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = remaining
	}
}

// closeStale closes the connections to one address that have been idle for too long, have received
// something soon after a response or exceed the limit. It filters conns in place and returns the remaining connections.
func closeStale(conns []*conn, limit int, now time.Time) []*conn {
	remaining := conns[:0]
	for i, c := range conns {
		// The last connections have been idle for the shortest time.
		if len(conns)-i <= limit && now.Before(c.idleSince.Add(c.idleTimeout)) && !c.hasSurplus(now) {
			remaining = append(remaining, c)
			continue
		}
		c.close()
	}
	return remaining
}

// hasSurplus reports whether a connection that became idle a short time ago has received something.
func (c *conn) hasSurplus(now time.Time) bool {
	if now.Sub(c.idleSince) > surplusTime {
		return false
	}
	empty, err := c.isEmpty()
	return err != nil || !empty
}

func (p *Pool) connect(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	nc, err := p.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := newConn(p, addr, nc)
	if p.newMeter != nil {
		c.meter = p.newMeter(addr)
	}
	return c, nil
}

// Direct returns a DialFunc that connects over TCP within a timeout.
func Direct(timeout time.Duration) DialFunc {
	dialer := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	return func(ctx context.Context, addr netip.AddrPort) (Conn, error) {
		ctx, cancel := timer.WithTimeout(ctx, timeout)
		defer cancel()
		nc, err := dialer.DialContext(ctx, "tcp4", addr.String())
		if err != nil {
			return nil, errors.Join(err, context.Cause(ctx))
		}
		return nc.(*net.TCPConn), nil
	}
}

// tcpUserTimeout is how long data may stay unacknowledged before the kernel closes the
// connection, in case the peer lost power or is partitioned.
const tcpUserTimeout = 4 * time.Second

// SetUserTimeout bounds how long data may stay unacknowledged on an accepted connection as on dialed
// ones.
func SetUserTimeout(conn syscall.Conn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout("", "", raw)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}
