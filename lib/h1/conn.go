package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Patience tells how much longer to wait after a silence. Each wait for bytes
// begins with a silence of 0.
type Patience func(silence time.Duration) time.Duration

// ErrStalled is returned by reads that a Patience ended.
var ErrStalled = errors.New("the answer stands still")

type conn struct {
	pool *Pool
	addr netip.AddrPort
	nc   *net.TCPConn
	br   *bufio.Reader
	// rested is since when the connection is idle, idleFor how long it may
	// stay so.
	idleSince   time.Time
	idleTimeout time.Duration
	closed      atomic.Bool
	// patience is that of the request under way.
	stallPolicy Patience
	// meter counts the connection's bytes; it may be nil.
	meter Meter
}

// readBuffer is a connection's buffer, in bytes: a head fits in.
const readBufferLen = 4 << 10

func newConn(p *Pool, addr netip.AddrPort, nc *net.TCPConn) *conn {
	c := &conn{pool: p, addr: addr, nc: nc, idleTimeout: defaultIdleTimeout}
	c.br = bufio.NewReaderSize(c, readBufferLen)
	return c
}

// Read reads from the connection and asks the request's patience how long to
// wait.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.readWithStallPolicy(p)
	if c.meter != nil {
		c.meter.Received(n)
	}
	return n, err
}

func (c *conn) write(p []byte) (int, error) {
	n, err := c.nc.Write(p)
	if c.meter != nil {
		c.meter.Sent(n)
	}
	return n, err
}

func (c *conn) readWithStallPolicy(p []byte) (int, error) {
	if c.stallPolicy == nil {
		return c.nc.Read(p)
	}
	startedAt := time.Now()
	for wait := c.stallPolicy(0); wait > 0; wait = c.stallPolicy(time.Since(startedAt)) {
		if err := c.nc.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return 0, err
		}
		n, err := c.nc.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
	return 0, ErrStalled
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		// Nobody can do anything about a close that fails.
		_ = c.nc.Close()
	}
}

// usable reports whether nothing has come on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) isReusable() bool {
	if time.Since(c.idleSince) > c.idleTimeout || c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Do sends the request and returns the head of the answer. When the context
// ends the connection is closed, also while the body is read.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, r Request) (*Response, error) {
	c, err := p.get(ctx, addr, r.Freshest)
	if err != nil {
		return nil, err
	}
	if r.Ready != nil {
		if err := r.Ready(); err != nil {
			c.close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	c.stallPolicy = r.Patience
	stop := context.AfterFunc(ctx, c.close)
	n, err := c.write(r.encode())
	if err != nil {
		stop()
		c.close()
		if n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	resp, err := c.readHeader(r)
	if err != nil {
		stop()
		c.close()
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	body := &Body{c: c, r: resp.Body, stop: stop, keepAlive: !resp.Close}
	c.applyKeepAlive(resp.Header)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Framed: framed}, nil
}

// maxDropped bounds the body of a dropped answer, in bytes.
const maxDiscardedBody = 1 << 20

// readHead reads the head of the request's final answer.
func (c *conn) readHeader(r Request) (*http.Response, error) {
	httpReq := &http.Request{Method: r.Method}
	for {
		resp, err := http.ReadResponse(c.br, httpReq)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine == nil || r.Mine(resp.Header) {
			return resp, nil
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBody); !errors.Is(err, io.EOF) || resp.Close {
			return nil, errors.Join(ErrOtherRequest, err)
		}
	}
}

// ErrOtherRequest tells that the answer belongs to another request.
var ErrOtherRequest = errors.New("the answer belongs to another request")

func (c *conn) applyKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}
