package h1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// resetConn is a connection of a busy process: once reset is set, its peer resets it, and the read deadline
// passes before the reset is read.
type resetConn struct {
	*net.TCPConn
	reset func() error
}

func (c *resetConn) Read(p []byte) (int, error) {
	if c.reset == nil {
		return c.TCPConn.Read(p)
	}
	err := errors.Join(c.reset(), c.awaitHangUp())
	c.reset = nil
	return 0, errors.Join(err, os.ErrDeadlineExceeded)
}

// awaitHangUp waits for the reset and leaves it for the next read.
func (c *resetConn) awaitHangUp() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		for end := time.Now().Add(time.Second); fds[0].Revents&unix.POLLHUP == 0 && time.Now().Before(end); {
			_, _ = unix.Poll(fds, 10)
		}
	})
}

// TestResetLooksComplete guards against a response without a length that its instance reset and that
// looks complete, because the peek at the socket took the reset and the next read found the regular end.
func TestResetLooksComplete(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	var conn *resetConn
	pool := NewPool(func(ctx context.Context, addr netip.AddrPort) (Conn, error) {
		dialed, err := Direct(time.Second)(ctx, addr)
		if err != nil {
			return nil, err
		}
		conn = &resetConn{TCPConn: dialed.(*net.TCPConn)}
		return conn, nil
	}, nil)
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		server, err := l.Accept()
		if err == nil {
			_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\ndata")
		}
		c.Check(err, qt.IsNil)
		accepted <- server.(*net.TCPConn)
	}()
	resp, err := pool.Do(context.Background(), netip.MustParseAddrPort(l.Addr().String()), Request{
		Method: http.MethodGet, Target: "/", Host: "h", MaxIdleAge: time.Minute,
		StallPolicy: func(time.Duration) time.Duration { return time.Second },
	})
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	buf := make([]byte, 4)
	_, err = io.ReadFull(resp.Body, buf)
	c.Assert(err, qt.IsNil)
	server := <-accepted
	conn.reset = func() error {
		// Bytes that were not read would be reported before the reset.
		_, err := server.Read(make([]byte, 1<<10))
		return errors.Join(err, server.SetLinger(0), server.Close())
	}
	_, err = resp.Body.Read(buf)
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
}
