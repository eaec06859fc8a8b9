// Package h1 keeps HTTP/1.1 connections to upstreams and sends one request
// at a time on each. Unlike net/http's transport it never sends a request
// twice, and it tells whether any byte of a request that failed was written.
package h1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Errors of Do. Each failure wraps exactly one of them.
var (
	// ErrNotSent: no byte of the request was written.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNoAnswer: the request was written, at least in part, and no head
	// of an answer came back. It may have been run.
	ErrNoAnswer = errors.New("the request got no answer")
)

const (
	// idleDefault is how long a connection rests in the pool when the
	// upstream does not tell how long it keeps one.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much sooner than the upstream the pool gives up a
	// resting connection, so that a request does not cross its close.
	idleMargin = 300 * time.Millisecond
	// MaxIdle is how many connections to one address rest in the pool at most.
	MaxIdle = 64
)

// Pool keeps idle connections, by address. The zero value is not usable; see
// NewPool.
type Pool struct {
	// dialTimeout bounds how long a connection may take to be made.
	dialTimeout time.Duration
	// opened is called for each new connection and may return what counts its
	// bytes; it may be nil.
	newMeter func(netip.AddrPort) Meter

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// allowed is how many may rest to each address; nil before the first Allow.
	maxIdle map[netip.AddrPort]int
}

// Meter counts the bytes that go over connections. It must be safe for use by
// several goroutines.
type Meter interface {
	Sent(n int)
	Received(n int)
}

// NewPool returns an empty pool. The function opened is called for each new
// connection and may return what counts its bytes; it may be nil.
func NewPool(dialTimeout time.Duration, newMeter func(netip.AddrPort) Meter) *Pool {
	return &Pool{dialTimeout: dialTimeout, newMeter: newMeter, idle: map[netip.AddrPort][]*conn{}}
}

// take returns a connection that rested for at most freshest, or a new one.
func (p *Pool) get(ctx context.Context, addr netip.AddrPort, maxIdleAge time.Duration) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			return p.dial(ctx, addr)
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
		// The address may have come since the last Allow.
		limit = MaxIdle
	}
	if len(p.idle[c.addr]) >= limit {
		c.close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Allow sets how many connections may rest to each address; the next Sweep
// closes those to others. Before the first call, and to an address that has come
// since the last one, MaxIdle may rest.
func (p *Pool) Allow(maxIdle map[netip.AddrPort]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = maxIdle
}

// Sweep closes connections that have rested for too long, and those that may
// not rest.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		limit := MaxIdle
		if p.maxIdle != nil {
			limit = p.maxIdle[addr]
		}
		kept := closeStale(conns, limit, now)
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// closeStale closes, in place, what has rested for too long of the connections
// to one address and what is beyond the most that may rest. It returns the rest.
func closeStale(conns []*conn, limit int, now time.Time) []*conn {
	kept := conns[:0]
	for i, c := range conns {
		// The last ones have rested for the shortest time.
		if len(conns)-i <= limit && now.Before(c.idleSince.Add(c.idleTimeout)) {
			kept = append(kept, c)
			continue
		}
		c.close()
	}
	return kept
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	dialer := net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1, Control: p.setUserTimeout}
	nc, err := dialer.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := newConn(p, addr, nc.(*net.TCPConn))
	if p.newMeter != nil {
		c.meter = p.newMeter(addr)
	}
	return c, nil
}

// userTimeout is after how long without an acknowledgement the kernel gives
// up a connection whose peer lost power or is cut off.
const tcpUserTimeout = 4 * time.Second

func (p *Pool) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}
