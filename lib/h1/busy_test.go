package h1

import (
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// lateConn is a connection of a process that is so busy that a read deadline passes before the
// response is read that has arrived.
type lateConn struct {
	*net.TCPConn
	reads int
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 1 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(p)
}

// TestBusyProcessAbortsAnsweredRequest guards against a busy process that takes an upstream for stalled
// although its response has arrived.
func TestBusyProcessAbortsAnsweredRequest(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	client, err := net.Dial("tcp4", l.Addr().String())
	c.Assert(err, qt.IsNil)
	server, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer server.Close()
	_, err = server.Write([]byte("data"))
	c.Assert(err, qt.IsNil)

	conn := newConn(NewPool(nil, nil), netip.AddrPort{}, &lateConn{TCPConn: client.(*net.TCPConn)})
	defer conn.close()
	conn.stallPolicy = func(silence time.Duration) time.Duration {
		if silence > 0 {
			return 0
		}
		return time.Second
	}
	buf := make([]byte, 4)
	n, err := conn.Read(buf)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buf[:n]), qt.Equals, "data")
}
