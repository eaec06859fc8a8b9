package h1

import (
	"bufio"
	"bytes"
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

// Request is one request as it goes onto the wire.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Freshest is the longest time that a connection may have rested to be
	// used again; 0 asks for a new connection.
	Freshest time.Duration
	// Mine, if set, tells an answer's head from that of another request,
	// which is read to its end and dropped.
	Mine func(http.Header) bool
	// Patience, if set, tells how much longer to wait for the next bytes when
	// none came for so long; 0 ends the request.
	Patience Patience
}

// Patience tells how much longer to wait after a silence. Each wait for bytes
// begins with a silence of 0.
type Patience func(silence time.Duration) time.Duration

// ErrStalled is returned by reads that a Patience ended.
var ErrStalled = errors.New("the answer stands still")

// Response is the head of an answer. Its body must be closed; one that was
// read to its end before gives the connection back to the pool.
type Response struct {
	Status int
	Header http.Header
	Body   *Body
	// Framed tells that the answer's length is known or marked, so that an
	// end of the connection can't pass for the end of the body.
	Framed bool
}

type conn struct {
	pool *Pool
	addr netip.AddrPort
	nc   *net.TCPConn
	br   *bufio.Reader
	// rested is since when the connection is idle, idleFor how long it may
	// stay so.
	rested  time.Time
	idleFor time.Duration
	closed  atomic.Bool
	// patience is that of the request under way.
	patience Patience
}

const readBuffer = 4 << 10

func newConn(p *Pool, addr netip.AddrPort, nc *net.TCPConn) *conn {
	c := &conn{pool: p, addr: addr, nc: nc, idleFor: idleDefault}
	c.br = bufio.NewReaderSize(c, readBuffer)
	return c
}

// Read reads from the connection and asks the request's patience how long to
// wait.
func (c *conn) Read(p []byte) (int, error) {
	if c.patience == nil {
		return c.nc.Read(p)
	}
	began := time.Now()
	for wait := c.patience(0); wait > 0; wait = c.patience(time.Since(began)) {
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
func (c *conn) usable() bool {
	if time.Since(c.rested) > c.idleFor || c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Do sends the request and returns the head of the answer. When the context
// ends the connection is closed, also while the body is read.
func (p *Pool) Do(ctx context.Context, addr netip.AddrPort, r Request) (*Response, error) {
	c, err := p.take(ctx, addr, r.Freshest)
	if err != nil {
		return nil, err
	}
	c.patience = r.Patience
	stop := context.AfterFunc(ctx, c.close)
	n, err := c.nc.Write(r.encode())
	if err != nil {
		stop()
		c.close()
		if n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	resp, err := c.readHead(r)
	if err != nil {
		stop()
		c.close()
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	body := &Body{c: c, r: resp.Body, stop: stop, reusable: !resp.Close}
	c.noteKeepAlive(resp.Header)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Framed: framed}, nil
}

func (r Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// maxDropped bounds the body of a dropped answer, in bytes.
const maxDropped = 1 << 20

// readHead reads the head of the request's final answer.
func (c *conn) readHead(r Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	for {
		resp, err := http.ReadResponse(c.br, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine == nil || r.Mine(resp.Header) {
			return resp, nil
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxDropped); !errors.Is(err, io.EOF) || resp.Close {
			return nil, errors.Join(ErrOtherRequest, err)
		}
	}
}

// ErrOtherRequest tells that the answer belongs to another request.
var ErrOtherRequest = errors.New("the answer belongs to another request")

func (c *conn) noteKeepAlive(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleFor = max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}

// Body is the body of an answer.
type Body struct {
	c        *conn
	r        io.ReadCloser
	stop     func() bool
	reusable bool
	ended    bool
	failed   bool
}

// Read reads from the body; io.EOF is its proper end.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
	case err != nil:
		b.failed = true
	}
	return n, err
}

// SetPatience changes who is asked when nothing comes.
func (b *Body) SetPatience(p Patience) { b.c.patience = p }

// Buffered tells how many bytes have come that are not read yet.
func (b *Body) Buffered() int { return b.c.br.Buffered() }

// Discard closes the connection, which tells the upstream to stop.
func (b *Body) Discard() {
	b.stop()
	b.c.close()
}

// Close gives the connection back to the pool if the body was read to its
// end and nothing follows it, and closes it otherwise.
func (b *Body) Close() error {
	live := b.stop()
	if !live || !b.ended || b.failed || !b.reusable || b.c.br.Buffered() > 0 {
		b.c.close()
		return nil
	}
	b.c.patience = nil
	if err := b.c.nc.SetReadDeadline(time.Time{}); err != nil {
		b.c.close()
		return err
	}
	b.c.pool.put(b.c)
	return nil
}
