package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/frame"
)

// Client sends heartbeats. It keeps one connection to each address.
type Client struct {
	dialer dial.Dialer

	mu    sync.Mutex
	conns map[netip.AddrPort]net.Conn
}

// NewClient returns a client without connections.
func NewClient(dialer dial.Dialer) *Client {
	return &Client{dialer: dialer, conns: map[netip.AddrPort]net.Conn{}}
}

// Exchange sends a heartbeat and returns the answer. Only one exchange with
// an address may run at a time. On any doubt the connection is closed.
func (c *Client) Exchange(ctx context.Context, addr netip.AddrPort, beat Heartbeat) (Answer, error) {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return Answer{}, err
	}
	answer, err := exchange(ctx, conn, beat)
	if err != nil {
		c.drop(addr)
		return Answer{}, fmt.Errorf("heartbeat to %s: %w", addr, err)
	}
	return answer, nil
}

func (c *Client) conn(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c.mu.Lock()
	known := c.conns[addr]
	c.mu.Unlock()
	if known != nil {
		return known, nil
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[addr] = conn
	return conn, nil
}

func (c *Client) drop(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[addr]; conn != nil {
		conn.Close()
		delete(c.conns, addr)
	}
}

// Keep closes the connections to all addresses but these.
func (c *Client) Keep(wanted map[netip.AddrPort]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		if !wanted[addr] {
			conn.Close()
			delete(c.conns, addr)
		}
	}
}

func exchange(ctx context.Context, conn net.Conn, beat Heartbeat) (Answer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(idleTimeout)
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return Answer{}, err
	}
	if _, err := frame.Write(conn, kindHeartbeat, beat); err != nil {
		return Answer{}, err
	}
	kind, body, err := frame.Read(conn)
	if err != nil {
		return Answer{}, err
	}
	if kind != kindStatus {
		return Answer{}, fmt.Errorf("%w: kind %d instead of a status", frame.ErrFormat, kind)
	}
	var answer Answer
	return answer, frame.Decode(body, &answer)
}
