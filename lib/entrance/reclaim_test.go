package entrance

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
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/buffers"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/overload"
)

// startReceiving starts a listener for a number of requests in progress, and a server that reads their bodies into
// a budget.
func startReceiving(c *qt.C, requests int, memory int64) *listenerTest {
	policy := overload.Policy{Min: requests, Initial: requests, Max: requests, MaxDelay: time.Hour, DoubleTime: time.Second}
	budget := buffers.New(memory, metrics.NewSet())
	l := New(Settings{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Policy: policy, MaxConnections: 1000, Memory: budget}, metrics.NewSet(), zerolog.Nop())
	budget.SetReclaim(l.Reclaim)
	c.Assert(l.Open(), qt.IsNil)
	server := &http.Server{ConnState: l.ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !HeadReceived(r) {
			panic(http.ErrAbortHandler)
		}
		held := 0
		defer func() { budget.Release(held) }()
		if _, err := io.ReadAll(buffers.Reader{R: r.Body, Budget: budget, Holds: &held}); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		Received(r.Context())
	})}
	ctx, cancel := context.WithCancel(context.Background())
	running := task.Start(ctx, "entrance", l.Run)
	serving := task.Start(ctx, "server", func(context.Context) error { return serve(server, l) })
	c.Cleanup(func() {
		cancel()
		c.Check(server.Close(), qt.IsNil)
		c.Check(task.Wait(running, serving), qt.IsNil)
	})
	return &listenerTest{Listener: l, c: c}
}

// unfinished connects and sends a request but for the last byte of its body.
func (e *listenerTest) unfinished(length int) net.Conn {
	conn, err := e.connect()
	e.c.Assert(err, qt.IsNil)
	// The server may reject the request before all of it was sent.
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("a", length-1))
	return conn
}

// TestUnfinishedRequestsKeepOthersOut guards against requests that are never completed, and keep the place of
// others.
func TestUnfinishedRequestsKeepOthersOut(t *testing.T) {
	c := qt.New(t)
	const requests = 30
	e := startReceiving(c, requests, 1<<20)
	var last net.Conn
	for range requests {
		last = e.unfinished(100)
	}
	// Those that are left are fewer than the limit, and too many for the listener to open again.
	c.Assert(last.Close(), qt.IsNil)
	e.await("a request was served", e.serves)
}

// TestUnfinishedBodiesTakeAllMemory guards against bodies that are never completed, and take the memory that other
// requests need.
func TestUnfinishedBodiesTakeAllMemory(t *testing.T) {
	c := qt.New(t)
	const length, bodies = 100_000, 20
	e := startReceiving(c, 1000, bodies/2*length)
	for range bodies {
		e.unfinished(length)
	}
	e.await("a request with a body was served", func() bool {
		conn, err := net.DialTimeout("tcp4", e.Addr().String(), time.Second)
		if err != nil {
			return false
		}
		defer conn.Close()
		resp, err := http.Post("http://"+e.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("a", length)))
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	})
}

// TestFieldsSentAheadFillMemory guards against heads of short fields that come in one piece with an earlier request, and
// are parsed without memory that is held for them.
func TestFieldsSentAheadFillMemory(t *testing.T) {
	c := qt.New(t)
	const memory, fields, crowd = 1 << 20, 600, 40
	e := startReceiving(c, 1000, memory)
	var conns []net.Conn
	var readers []*bufio.Reader
	for range crowd {
		conn, err := e.connect()
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"+
			strings.Repeat("a:\r\n", fields)+"\r\nb")
		c.Assert(err, qt.IsNil)
		r := bufio.NewReader(conn)
		resp, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		conns, readers = append(conns, conn), append(readers, r)
	}
	// The second request is rejected, or waits for the end of its body.
	const most = memory / (fields * fieldBytes)
	held := len(conns)
	for until := time.Now().Add(2 * time.Second); held > most && time.Now().Before(until); {
		held = 0
		for n, conn := range conns {
			c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Millisecond)), qt.IsNil)
			if _, err := readers[n].ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
				held++
			}
		}
	}
	c.Assert(held <= most, qt.IsTrue, qt.Commentf("%d requests are received", held))
}

// receivedForLong returns how many connections may be reclaimed for how long their requests have been received.
func (e *listenerTest) receivedForLong() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		if _, age, receives := conn.receiver.rate(time.Now()); receives && age >= receivePatience {
			n++
		}
	}
	return n
}

// TestCompleteRequestsAreNotReclaimed checks that only requests that are still being received make room for others,
// and the slowest of them first.
func TestCompleteRequestsAreNotReclaimed(t *testing.T) {
	c := qt.New(t)
	e := startReceiving(c, 1000, 0)
	slow, fast := e.unfinished(10), e.unfinished(10_000)
	idle, err := e.connect()
	c.Assert(err, qt.IsNil)
	status, err := e.request(idle, "/")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(e.Reclaim(), qt.IsFalse)
	e.await("both bodies were received for some time", func() bool { return e.receivedForLong() == 2 })
	c.Assert(e.Reclaim(), qt.IsTrue)
	c.Assert(slow.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	_, err = slow.Read(make([]byte, 1))
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
	_, err = fast.Write([]byte("a"))
	c.Assert(err, qt.IsNil)
	n, err := fast.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 1)
	time.Sleep(2 * reclaimPause)
	c.Assert(e.Reclaim(), qt.IsFalse)
	status, err = e.request(idle, "/")
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.Equals, http.StatusOK)
}

// TestRequestsSentAheadKeepOthersOut guards against callers that always have a request in progress, since they send
// many ahead.
func TestRequestsSentAheadKeepOthersOut(t *testing.T) {
	for _, ahead := range []int{150, 10_000} {
		// The fewer arrive in one read.
		t.Run(strconv.Itoa(ahead), func(t *testing.T) { testSentAhead(t, ahead) })
	}
}

func testSentAhead(t *testing.T, ahead int) {
	c := qt.New(t)
	const requests = 40
	policy := overload.Policy{Min: requests, Initial: requests, Max: requests, MaxDelay: time.Hour, DoubleTime: time.Second}
	l := New(Settings{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Policy: policy, MaxConnections: 1000}, metrics.NewSet(), zerolog.Nop())
	c.Assert(l.Open(), qt.IsNil)
	server := &http.Server{ConnState: l.ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(HeadReceived(r), qt.IsTrue)
		Received(r.Context())
		time.Sleep(20 * time.Millisecond)
		if MustClose(r.Context()) {
			w.Header().Set("Connection", "close")
		}
	})}
	ctx, cancel := context.WithCancel(context.Background())
	running := task.Start(ctx, "entrance", l.Run)
	serving := task.Start(ctx, "server", func(context.Context) error { return serve(server, l) })
	c.Cleanup(func() {
		cancel()
		c.Check(server.Close(), qt.IsNil)
		c.Check(task.Wait(running, serving), qt.IsNil)
	})
	e := &listenerTest{Listener: l, c: c}
	for range requests {
		conn, err := e.connect()
		c.Assert(err, qt.IsNil)
		// The server may close the connection meanwhile.
		_, _ = fmt.Fprint(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", ahead))
	}
	e.await("a request was served", e.serves)
}

// TestUnfinishedRequestsAfterOthersAreKept guards against a request that arrived in one piece with the one before it,
// and is never completed: its connection must make room for others, too.
func TestUnfinishedRequestsAfterOthersAreKept(t *testing.T) {
	for _, head := range []string{"", "Expect: nothing\r\n"} {
		t.Run(head, func(t *testing.T) {
			c := qt.New(t)
			e := startReceiving(c, 1000, 0)
			conn, err := e.connect()
			c.Assert(err, qt.IsNil)
			_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: 100\r\n\r\n%s", head, strings.Repeat("a", 99))
			c.Assert(err, qt.IsNil)
			e.await("the connection was reclaimed", func() bool {
				e.mu.Lock()
				defer e.mu.Unlock()
				return e.reclaimPlace(time.Now())
			})
		})
	}
}

// TestTooLongHeadsCloseOthers guards against heads that can't be held even alone, for which the connections of slow
// callers were closed.
func TestTooLongHeadsCloseOthers(t *testing.T) {
	c := qt.New(t)
	const slow = 20
	e := startReceiving(c, 1000, 1<<20)
	for range slow {
		e.unfinished(100)
	}
	time.Sleep(receivePatience + 100*time.Millisecond)
	conn, err := e.connect()
	c.Assert(err, qt.IsNil)
	// The server closes the connection meanwhile.
	_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n", strings.Repeat("a:\r\n", 16_000))
	c.Assert(conn.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	_, err = io.Copy(io.Discard, conn)
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
	c.Assert(e.reclaimed.Get(), qt.Equals, uint64(0))
}

// TestSmallRequestsMakeRoomForLargeHeads guards against closing many slow callers that hold next to nothing for one
// request that needs far more.
func TestSmallRequestsMakeRoomForLargeHeads(t *testing.T) {
	c := qt.New(t)
	const slow, limit = 20, 8 << 20
	e := startReceiving(c, 1000, limit)
	for range slow {
		e.unfinished(100)
	}
	time.Sleep(receivePatience + 100*time.Millisecond)
	for range 3 {
		conn, err := e.connect()
		c.Assert(err, qt.IsNil)
		// The server closes the connection meanwhile if it can't hold the head.
		_, _ = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n", strings.Repeat("a:\r\n", 12_000))
	}
	time.Sleep(300 * time.Millisecond)
	c.Assert(e.reclaimed.Get(), qt.Equals, uint64(0))
}

// TestUnfinishedRequestsTakeAllConnections guards against requests that are never completed, of which there may be more
// than connections.
func TestUnfinishedRequestsTakeAllConnections(t *testing.T) {
	c := qt.New(t)
	const connections = 20
	e := startReceiving(c, 1000, 1<<20)
	e.mu.Lock()
	e.cfg.MaxConnections = connections
	e.mu.Unlock()
	for range connections {
		e.unfinished(100)
	}
	e.await("a request was served", e.serves)
}

// TestSteadySendersMakeRoomForSilentOnes guards against closing a caller with a slow link for those that sent much
// at once and then stopped.
func TestSteadySendersMakeRoomForSilentOnes(t *testing.T) {
	c := qt.New(t)
	const length, piece, pause = 100_000, 1_000, 50 * time.Millisecond
	e := startReceiving(c, 1000, 1<<20)
	steady, err := e.connect()
	c.Assert(err, qt.IsNil)
	_, err = fmt.Fprintf(steady, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
	c.Assert(err, qt.IsNil)
	for range 5 {
		e.unfinished(length)
	}
	for sent := 0; sent < length; sent += piece {
		_, err := fmt.Fprint(steady, strings.Repeat("a", piece))
		c.Assert(err, qt.IsNil)
		if sent == length*2/5 {
			for range 5 {
				c.Check(e.Reclaim(), qt.IsTrue)
			}
		}
		time.Sleep(pause)
	}
	c.Assert(steady.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(steady), nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}
