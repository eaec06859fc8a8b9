package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/h1"
)

// TestInvalidStatusIsResponse guards against a status that is none of HTTP's and is taken as a response.
func TestInvalidStatusIsResponse(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		_, readErr := http.ReadRequest(bufio.NewReader(conn))
		_, err = io.WriteString(conn, "HTTP/1.1 000 Gone\r\nContent-Length: 0\r\n\r\n")
		served <- errors.Join(readErr, err, conn.Close())
	}()
	_, err = NewClient(dial.Dialer{}).Do(context.Background(), Call{Addr: netip.MustParseAddrPort(l.Addr().String()), Method: http.MethodGet, Path: "/", Request: "1"})
	c.Assert(err, qt.ErrorIs, ErrMayHaveRun)
	c.Assert(err, qt.ErrorIs, h1.ErrInvalidStatus)
	c.Assert(<-served, qt.IsNil)
}
