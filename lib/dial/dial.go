// Package dial makes outgoing connections from a configured source address and counts their
// bytes.
package dial

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Timeout bounds the making of a connection.
const Timeout = time.Second

// CountFunc is called with the number of bytes sent and received by each read or write.
type CountFunc func(sent, received int)

// Dialer makes connections. The zero value lets the system choose the source address and counts
// nothing.
type Dialer struct {
	// Source is the source address of connections, if valid.
	Source netip.Addr
	// Count, if set, counts the bytes of all connections.
	Count CountFunc
}

// DialContext connects like net.Dialer.DialContext.
func (d Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: Timeout}
	if d.Source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.Source, 0))
	}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return WithCount(conn, d.Count), nil
}

// WithCount returns the connection with its bytes counted by count.
func WithCount(conn net.Conn, count CountFunc) net.Conn {
	if count == nil {
		return conn
	}
	return &countedConn{Conn: conn, count: count}
}

type countedConn struct {
	net.Conn
	count CountFunc
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(0, n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n, 0)
	return n, err
}
