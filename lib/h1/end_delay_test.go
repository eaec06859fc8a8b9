package h1

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// TestEndDelayCountsOwnPause guards against a delay of the end of a body that is that of the reader.
func TestEndDelayCountsOwnPause(t *testing.T) {
	const tick = 10 * time.Millisecond
	for _, test := range []struct{ delay, pause time.Duration }{
		{0, 0}, {0, 150 * time.Millisecond}, {60 * time.Millisecond, 0}, {60 * time.Millisecond, 150 * time.Millisecond},
	} {
		c := qt.New(t)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer l.Close()
		var sent time.Duration
		served := make(chan error, 1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				served <- err
				return
			}
			_, readErr := conn.Read(make([]byte, 1<<10))
			_, writeErr := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
			began := time.Now()
			time.Sleep(test.delay)
			err = errors.Join(readErr, writeErr, conn.Close())
			sent = time.Since(began)
			served <- err
		}()
		p := NewPool(Direct(time.Second), nil)
		resp, err := p.Do(context.Background(), netip.MustParseAddrPort(l.Addr().String()), Request{Method: http.MethodGet, Target: "/", Host: "h"})
		c.Assert(err, qt.IsNil)
		c.Assert(<-served, qt.IsNil)
		time.Sleep(test.pause)
		body, err := resp.Body.ReadAll(100)
		c.Assert(err, qt.IsNil)
		c.Assert(string(body), qt.Equals, "body")
		delay, err := resp.Body.EndDelay()
		c.Assert(err, qt.IsNil)
		c.Check(delay >= test.delay-tick && delay <= sent+tick, qt.IsTrue, qt.Commentf("%v for %v, of which %v were waited, before a pause of %v", delay, sent, test.delay, test.pause))
		c.Check(resp.Body.Close(), qt.IsNil)
	}
}

// TestEndDelayUnderflows guards against ends that came with the last bytes, and whose delay is that of weeks because the
// kernel's clock ticked between both times.
func TestEndDelayUnderflows(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		lastData, lastAck uint32
		want              time.Duration
	}{
		{120, 120, 0},
		{160, 100, 60 * time.Millisecond},
		{120, 124, 0},
		{0, 4, 0},
	} {
		delay, err := endDelay(&unix.TCPInfo{Last_data_sent: 200, Last_data_recv: test.lastData, Last_ack_recv: test.lastAck}, 200*time.Millisecond)
		c.Check(err, qt.IsNil)
		c.Check(delay, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

// TestUntoldTimesLookPrompt guards against kernels that tell no times of a connection, so that each end of a body looks as
// if it came with the last bytes.
func TestUntoldTimesLookPrompt(t *testing.T) {
	c := qt.New(t)
	_, err := endDelay(&unix.TCPInfo{State: 1, Rtt: 400}, 60*time.Millisecond)
	c.Check(errors.Is(err, ErrUnmeasured), qt.IsTrue)
	// All of it was within one tick.
	delay, err := endDelay(&unix.TCPInfo{State: 1, Rtt: 400}, 5*time.Millisecond)
	c.Check(err, qt.IsNil)
	c.Check(delay, qt.Equals, time.Duration(0))
}
