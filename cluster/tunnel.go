package cluster

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"syscall"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/task"
)

const (
	// tunnelAcceptTimeout bounds the wait for a peer to accept a tunnel. A healthy peer does so in a
	// round trip.
	tunnelAcceptTimeout = 100 * time.Millisecond
	// maxTunnelPeers is how many peers are tried for a tunnel, tunnelStagger the time between two.
	maxTunnelPeers = 4
	tunnelStagger  = 20 * time.Millisecond
	// tunnelDialTimeout bounds connecting to an instance for another daemon.
	tunnelDialTimeout = 150 * time.Millisecond
	// tunnelBufferLen is the maximum length of a chunk in bytes.
	tunnelBufferLen = 8 << 10
	// chunkHeaderLen is the length of a chunk's header.
	chunkHeaderLen = 4
)

// errNoTunnel: no other daemon accepted a tunnel.
var errNoTunnel = errors.New("no other daemon accepted a tunnel")

// tunnelRequest asks a peer to connect to an instance and to pass on the bytes of the connection.
// The peer answers with a tunnelReply when it begins to connect, and with another one when it has
// connected or failed. After that, bytes to the instance are sent as they are, and bytes from it in
// chunks: a length of four bytes, big end first, and that many bytes. A length of 0 is the regular
// end; without it the connection was reset.
type tunnelRequest struct {
	Addr string `msgpack:"a"`
}

// tunnelReply is the answer to a tunnelRequest.
type tunnelReply struct {
	// Accepted is set in the first reply if the peer tries to connect. Connected and Refused are
	// set in the second one.
	Accepted  bool `msgpack:"ok,omitempty"`
	Connected bool `msgpack:"c,omitempty"`
	Refused   bool `msgpack:"r,omitempty"`
	// Error tells why not.
	Error string `msgpack:"e,omitempty"`
}

// dialTunnel connects to an instance through another daemon. It tries several, because some may be
// partitioned as well, one each stagger, and takes the first connection. The error wraps errNoTunnel
// if no daemon tried to connect, and ECONNREFUSED if the instance refused.
func (p *paths) dialTunnel(ctx context.Context, addr netip.AddrPort, stagger time.Duration) (h1.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := p.pickTunnelPeers()
	results, err := make(chan tunnelResult), errNoTunnel
	for started, ended := 0, 0; ended < len(peers); {
		var next <-chan time.Time
		if started < len(peers) {
			p.startTunnel(ctx, peers[started].addr, addr, results)
			started++
			next = time.After(stagger)
		}
		select {
		case r := <-results:
			ended++
			if r.err == nil {
				p.tunnels.Inc()
				return r.conn, nil
			}
			if !errors.Is(r.err, errNoTunnel) {
				err = r.err
			}
		case <-next:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, err
}

// tunnelResult is the outcome of an attempt to make a tunnel.
type tunnelResult struct {
	conn h1.Conn
	err  error
}

// startTunnel attempts to make a tunnel through a peer. Once the context has ended, a connection is
// closed.
func (p *paths) startTunnel(ctx context.Context, peer, addr netip.AddrPort, results chan<- tunnelResult) {
	task.Start(ctx, "tunnel", func(ctx context.Context) error {
		conn, err := p.dialTunnelVia(ctx, peer, addr)
		select {
		case results <- tunnelResult{conn, err}:
			return nil
		case <-ctx.Done():
		}
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// dialTunnelVia connects to an instance through a peer.
func (p *paths) dialTunnelVia(ctx context.Context, peer, addr netip.AddrPort) (conn h1.Conn, err error) {
	accepting, cancel := context.WithTimeout(ctx, tunnelAcceptTimeout)
	defer cancel()
	nc, err := h1.Direct(tunnelAcceptTimeout)(accepting, peer)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoTunnel, err)
	}
	defer func() {
		if err != nil {
			// The error that matters is the first one.
			_ = nc.Close()
		}
	}()
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Now()) })
	defer stop()
	if err := nc.SetDeadline(time.Now().Add(tunnelAcceptTimeout)); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoTunnel, err)
	}
	t := &tunnelConn{Conn: nc, p: p, addr: addr, r: bufio.NewReaderSize(nc, tunnelBufferLen+chunkHeaderLen)}
	if _, err := frame.Write(nc, frameTunnel, tunnelRequest{Addr: addr.String()}); err != nil {
		return nil, fmt.Errorf("%w: %w", errNoTunnel, err)
	}
	accepted, err := t.readReply()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoTunnel, err)
	}
	if !accepted.Accepted {
		return nil, fmt.Errorf("%w: %v answered: %s", errNoTunnel, peer, accepted.Error)
	}
	if err := nc.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return nil, err
	}
	connected, err := t.readReply()
	switch {
	case err != nil:
		return nil, fmt.Errorf("tunnel through %v to %v: %w", peer, addr, err)
	case connected.Refused:
		return nil, fmt.Errorf("tunnel through %v to %v: %w", peer, addr, syscall.ECONNREFUSED)
	case !connected.Connected:
		return nil, fmt.Errorf("tunnel through %v to %v: %s", peer, addr, connected.Error)
	}
	if !stop() {
		return nil, ctx.Err()
	}
	return t, nc.SetDeadline(time.Time{})
}

// tunnelConn is a connection to an instance through another daemon.
type tunnelConn struct {
	h1.Conn
	p    *paths
	addr netip.AddrPort
	r    *bufio.Reader
	// remaining is the number of bytes left in the current chunk, ended is set after the last one.
	remaining uint32
	ended     bool
}

func (c *tunnelConn) readReply() (tunnelReply, error) {
	kind, body, err := frame.Read(c.r)
	if errors.Is(err, io.EOF) {
		return tunnelReply{}, io.ErrUnexpectedEOF
	}
	if err != nil {
		return tunnelReply{}, err
	}
	if kind != frameTunnelReply {
		return tunnelReply{}, fmt.Errorf("%w: kind %d", frame.ErrFormat, kind)
	}
	var reply tunnelReply
	err = frame.Decode(body, &reply)
	return reply, err
}

// Read returns the instance's bytes. An end without a last chunk is an error.
func (c *tunnelConn) Read(p []byte) (int, error) {
	if c.remaining == 0 && !c.ended {
		// Peek keeps what was received when the read deadline passes.
		header, err := c.r.Peek(chunkHeaderLen)
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		c.remaining = binary.BigEndian.Uint32(header)
		c.ended = c.remaining == 0
		if _, err := c.r.Discard(chunkHeaderLen); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.r.Read(p[:min(len(p), int(c.remaining))])
	c.remaining -= uint32(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Stale reports whether anything was received, or the instance can be reached directly again.
func (c *tunnelConn) Stale() bool {
	return c.ended || c.remaining > 0 || c.r.Buffered() > 0 || !c.p.needsDetour(c.addr)
}
