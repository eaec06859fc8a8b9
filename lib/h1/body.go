package h1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// Response is the header of a response and its body, which must be closed. Closing a body that
// was read to its end returns the connection to the pool.
type Response struct {
	Status int
	Header http.Header
	Body   *Body
	// Framing tells how the body's end is marked.
	Framing Framing
}

// Framing is how the end of a body is marked.
type Framing string

// Framings. A body that is FramedByClose ends with its connection, so that a closed connection can be
// mistaken for its end.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	FramedByClose  Framing = "close"
)

// framing returns how the end of a response's body is marked.
func framing(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	case r.ContentLength >= 0, r.Request.Method == http.MethodHead:
		return FramedByLength
	default:
		return FramedByClose
	}
}

// Body is the body of a response.
type Body struct {
	c         *conn
	r         io.ReadCloser
	stop      func() bool
	keepAlive bool
	// err is what ended the body: io.EOF at its proper end.
	err    error
	closed bool
}

// Read reads from the body. It returns io.EOF only at the proper end of the body, and any other error again
// in further calls.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Read(p)
	b.err = err
	return n, err
}

// ErrBodyTooLong is returned by ReadAll for a body that is longer than its limit.
var ErrBodyTooLong = errors.New("the body of the response is too long")

// ReadAll reads the body to its end. It returns ErrBodyTooLong if that is more than limit bytes away.
func (b *Body) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(b, limit+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(data)) > limit:
		return nil, fmt.Errorf("%w: more than %d bytes", ErrBodyTooLong, limit)
	default:
		return data, nil
	}
}

// atEnd reports whether the body was read to its proper end.
func (b *Body) atEnd() bool { return errors.Is(b.err, io.EOF) }

// SetStallPolicy replaces the StallPolicy of the request.
func (b *Body) SetStallPolicy(p StallPolicy) { b.c.stallPolicy = p }

// Buffered returns the number of bytes that have been received but not read.
func (b *Body) Buffered() int { return b.c.br.Buffered() }

// Errors of EndDelay.
var (
	// ErrForwarded: another process forwards the connection's bytes.
	ErrForwarded = errors.New("the connection is forwarded")
	// ErrUnmeasured: the kernel does not tell the connection's times.
	ErrUnmeasured = errors.New("the times of the connection are not known")
)

// maxKernelTick is the longest time between two ticks of the clock by which the kernel measures connections.
const maxKernelTick = 10 * time.Millisecond

// EndDelay returns how long after the last bytes of the body its connection was closed, once the body has ended with
// it. That is the time between both by the kernel's clock, however late this process reads them. The error wraps
// ErrForwarded or ErrUnmeasured if the kernel can't know or doesn't tell that.
func (b *Body) EndDelay() (time.Duration, error) {
	tcp := tcpConn(b.c.nc)
	if tcp == nil {
		return 0, ErrForwarded
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, errors.Join(ErrUnmeasured, err)
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err := errors.Join(err, infoErr); err != nil {
		return 0, errors.Join(ErrUnmeasured, err)
	}
	return endDelay(info, time.Since(b.c.wroteAt))
}

// endDelay returns the time between the last bytes and the close of a connection on which a request was sent some time
// ago. The last acknowledgement came with the close: nothing was sent since the request.
func endDelay(info *unix.TCPInfo, sinceSent time.Duration) (time.Duration, error) {
	if info.Last_data_sent == 0 && sinceSent > 2*maxKernelTick {
		return 0, ErrUnmeasured
	}
	// The kernel notes the acknowledgement first, so that its clock may tick between both.
	delay := int32(info.Last_data_recv - info.Last_ack_recv)
	return time.Duration(max(0, delay)) * time.Millisecond, nil
}

// tcpConn returns the TCP connection to the upstream itself, or nil if another process forwards its bytes.
func tcpConn(c Conn) *net.TCPConn {
	switch c := c.(type) {
	case *net.TCPConn:
		return c
	case TCPConner:
		return c.TCPConn()
	default:
		return nil
	}
}

// Abort closes the connection, which makes the upstream stop.
func (b *Body) Abort() {
	if b.closed {
		return
	}
	b.closed = true
	b.stop()
	b.c.close()
}

// Close returns the connection to the pool if the body was read to its end and nothing follows
// it; otherwise it closes the connection. Further calls do nothing, because the connection may
// then serve another request.
func (b *Body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	active := b.stop()
	if !active || !b.atEnd() || !b.keepAlive || b.c.br.Buffered() > 0 {
		b.c.close()
		return nil
	}
	b.c.stallPolicy = nil
	if err := b.c.nc.SetReadDeadline(time.Time{}); err != nil {
		b.c.close()
		return err
	}
	b.c.pool.put(b.c)
	return nil
}
