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

// Exchange sends a heartbeat and returns the response. Only one exchange with an address may run
// at a time. After any error it closes the connection.
func (c *Client) Exchange(ctx context.Context, addr netip.AddrPort, heartbeat Heartbeat) (Response, error) {
	conn, err := c.conn(ctx, addr)
	if err != nil {
		return Response{}, err
	}
	resp, err := exchange(ctx, conn, heartbeat)
	if err != nil {
		c.closeConn(addr)
		return Response{}, fmt.Errorf("heartbeat to %s: %w", addr, err)
	}
	return resp, nil
}

func (c *Client) conn(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c.mu.Lock()
	existing := c.conns[addr]
	c.mu.Unlock()
	if existing != nil {
		return existing, nil
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

func (c *Client) closeConn(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[addr]; conn != nil {
		conn.Close()
		delete(c.conns, addr)
	}
}

// CloseExcept closes the connections to all addresses that are not in keep.
func (c *Client) CloseExcept(keep map[netip.AddrPort]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		if !keep[addr] {
			conn.Close()
			delete(c.conns, addr)
		}
	}
}

func exchange(ctx context.Context, conn net.Conn, heartbeat Heartbeat) (Response, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(idleTimeout)
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return Response{}, err
	}
	if _, err := frame.Write(conn, kindHeartbeat, heartbeat); err != nil {
		return Response{}, err
	}
	kind, body, err := frame.Read(conn)
	if err != nil {
		return Response{}, err
	}
	if kind != kindResponse {
		return Response{}, fmt.Errorf("%w: kind %d instead of a status", frame.ErrFormat, kind)
	}
	var resp Response
	return resp, frame.Decode(body, &resp)
}
