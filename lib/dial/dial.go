// Package dial makes the connections of a process: they leave from an
// address of its own, as the settings say, and their bytes are counted.
package dial

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Timeout bounds how long a connection may take to be made.
const Timeout = time.Second

// Count is told how many bytes have passed.
type CountFunc func(sent, received int)

// Dialer makes connections. The zero value lets the system choose the
// address and counts nothing.
type Dialer struct {
	// Source is where connections leave from, if valid.
	Source netip.Addr
	// Count, if set, is told of the bytes of all connections.
	Count CountFunc
}

// DialContext connects as net.Dialer does.
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

// Counted returns the connection with its bytes counted.
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
