package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// StallPolicy returns how much longer to wait for bytes, given how long none have arrived; 0 aborts
// the request. Each wait starts with a silence of 0.
type StallPolicy func(silence time.Duration) time.Duration

// ErrStalled is returned by reads that a StallPolicy aborted.
var ErrStalled = errors.New("the answer stands still")

type conn struct {
	pool *Pool
	addr netip.AddrPort
	nc   Conn
	br   *bufio.Reader
	// idleSince is since when the connection is idle; idleTimeout is how long it may stay idle.
	idleSince   time.Time
	idleTimeout time.Duration
	closed      atomic.Bool
	// stallPolicy is the StallPolicy of the current request.
	stallPolicy StallPolicy
	// head is the budget of the current response's heads.
	head headBudget
	// meter counts the connection's bytes; it may be nil.
	meter Meter
	// readErr is the error of the first read that failed. A socket reports its error only once, and then
	// the regular end.
	readErr error
	// wroteAt is when bytes were last written.
	wroteAt time.Time
}

// readBufferLen is the length of a connection's read buffer in bytes, large enough for a response
// header.
const readBufferLen = 4 << 10

func newConn(p *Pool, addr netip.AddrPort, nc Conn) *conn {
	c := &conn{pool: p, addr: addr, nc: nc, idleTimeout: maxIdleTimeout}
	c.br = bufio.NewReaderSize(c, readBufferLen)
	return c
}

// Read reads from the connection; the current request's stall policy decides how long it waits.
func (c *conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	if c.head.reading {
		if c.head.bytes == 0 {
			return 0, ErrHeadTooLong
		}
		p = p[:min(len(p), c.head.bytes)]
	}
	n, err := c.readWithStallPolicy(p)
	c.readErr = err
	if c.meter != nil {
		c.meter.Received(n)
	}
	if c.head.reading {
		c.head.bytes -= n
		if err := c.head.countLines(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

func (c *conn) write(p []byte) (int, error) {
	c.wroteAt = time.Now()
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
	for wait := c.stallPolicy(0); wait > 0; {
		if err := c.nc.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return 0, err
		}
		n, err := c.nc.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
		// A busy process runs its timers before what the network has completed, so that the deadline may
		// pass although bytes have arrived.
		empty, err := c.isEmpty()
		if err != nil {
			c.pool.peekErrors.Add(1)
			return 0, err
		}
		if !empty {
			continue
		}
		wait = c.stallPolicy(time.Since(startedAt))
	}
	return 0, ErrStalled
}

func (c *conn) close() {
	if c.closed.CompareAndSwap(false, true) {
		// There is no way to handle an error of Close.
		_ = c.nc.Close()
	}
}

// isReusable reports whether an idle connection has received nothing: neither its end nor bytes
// that belong to no request.
func (c *conn) isReusable() bool {
	if time.Since(c.idleSince) > c.idleTimeout || c.br.Buffered() > 0 {
		return false
	}
	if s, ok := c.nc.(Staler); ok && s.Stale() {
		return false
	}
	empty, err := c.isEmpty()
	return err == nil && empty
}

// isEmpty reports whether the socket has received nothing that has not been read. An error of the socket is
// returned, since no later read reports it.
func (c *conn) isEmpty() (empty bool, err error) {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false, err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		peekErr = unix.EINTR
		for errors.Is(peekErr, unix.EINTR) {
			_, _, peekErr = unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		}
		return true
	})
	if errors.Is(peekErr, unix.EAGAIN) {
		return true, err
	}
	return false, errors.Join(err, peekErr)
}

// Do sends the request and returns the response once its header has arrived. When the context
// ends the connection is closed, even while the body is being read.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, r Request) (*Response, error) {
	c, err := p.get(ctx, addr, r.MaxIdleAge)
	if err != nil {
		return nil, err
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			c.close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	c.stallPolicy = r.StallPolicy
	stop := context.AfterFunc(ctx, c.close)
	n, err := c.write(r.encode())
	if err != nil {
		stop()
		c.close()
		if n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	resp, err := c.readHeader(r)
	if err != nil {
		stop()
		c.close()
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	body := &Body{c: c, r: resp.Body, stop: stop, keepAlive: !resp.Close}
	c.applyKeepAlive(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Framing: framing(resp)}, nil
}

// maxDiscardedBody is the maximum length in bytes of the body of a discarded response.
const maxDiscardedBody = 1 << 20

// readHeader reads the header of the final response to the request. It skips informational (1xx)
// responses and discards responses to other requests.
func (c *conn) readHeader(r Request) (*http.Response, error) {
	httpReq := &http.Request{Method: r.Method}
	c.head = newHeadBudget()
	for {
		buffered, err := c.br.Peek(c.br.Buffered())
		if err == nil {
			err = c.head.begin(buffered)
		}
		if err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.br, httpReq)
		c.head.reading = false
		if err != nil {
			return nil, err
		}
		if IsInformational(resp.StatusCode) {
			continue
		}
		if err := CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			return resp, nil
		}
		if err := discardBody(resp); err != nil {
			return nil, errors.Join(ErrOtherRequest, err)
		}
		if resp.Close {
			return nil, ErrOtherRequest
		}
	}
}

// ErrInvalidStatus is returned for a response whose status is not one of a final response.
var ErrInvalidStatus = errors.New("invalid status")

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// IsInformational reports whether another response follows one with this status. After
// 101 Switching Protocols, which no request asks for, none does.
func IsInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckStatus returns an error that wraps ErrInvalidStatus unless a final response may have the status.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return fmt.Errorf("%w %03d", ErrInvalidStatus, status)
	}
	return nil
}

// discardBody reads a response's body to its end.
func discardBody(resp *http.Response) error {
	_, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBody)
	switch {
	case err == nil:
		return errDiscardedTooLong
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// errDiscardedTooLong: a body to be discarded has maxDiscardedBody bytes or more.
var errDiscardedTooLong = errors.New("the body of the other response is too long")

// ErrOtherRequest is returned if the response belongs to another request and can't be discarded.
var ErrOtherRequest = errors.New("the response belongs to another request")

func (c *conn) applyKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = min(maxIdleTimeout, max(0, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
}
