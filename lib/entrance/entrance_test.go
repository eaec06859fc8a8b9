package entrance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/overload"
)

// listenerTest is a Listener with a server whose requests last until the test releases them.
type listenerTest struct {
	*Listener
	c *qt.C
	// begun receives a value for each request that has begun; release ends one for each value.
	begun, release chan struct{}
}

func startListener(t *testing.T, limit, maxConns int) *listenerTest {
	c := qt.New(t)
	policy := overload.Policy{Min: limit, Initial: limit, Max: limit, MaxDelay: time.Hour, DoubleTime: time.Second}
	e := &listenerTest{
		Listener: New(Settings{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Policy: policy, MaxConnections: maxConns}, metrics.NewSet(), zerolog.Nop()),
		c:        c, begun: make(chan struct{}, 100), release: make(chan struct{}),
	}
	c.Assert(e.Open(), qt.IsNil)
	server := &http.Server{ConnState: e.ConnState, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			e.begun <- struct{}{}
			<-e.release
		}
	})}
	ctx, cancel := context.WithCancel(context.Background())
	running := task.Start(ctx, "entrance", e.Run)
	serving := task.Start(ctx, "server", func(context.Context) error { return serve(server, e.Listener) })
	t.Cleanup(func() {
		close(e.release)
		cancel()
		c.Check(server.Close(), qt.IsNil)
		c.Check(task.Wait(running, serving), qt.IsNil)
	})
	return e
}

// serve serves until the server or its listener is closed.
func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// connect opens a connection, which the test closes at its end.
func (e *listenerTest) connect() (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", e.Addr().String(), time.Second)
	if err == nil {
		e.c.Cleanup(func() { conn.Close() })
	}
	return conn, err
}

// request sends a request on a connection and returns its status.
func (e *listenerTest) request(conn net.Conn, path string) (int, error) {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return 0, err
	}
	if path == "/long" {
		<-e.begun
		return 0, nil
	}
	if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// await waits until a condition holds.
func (e *listenerTest) await(what string, condition func() bool) {
	for range 200 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	e.c.Fatalf("%s did not happen within 2 s", what)
}

// serves reports whether a new connection is accepted and a request on it is served.
func (e *listenerTest) serves() bool {
	conn, err := e.connect()
	if err != nil {
		return false
	}
	status, err := e.request(conn, "/")
	return err == nil && status == http.StatusOK
}

// isIdle reports whether no request is in progress.
func (e *listenerTest) isIdle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active == 0
}

// TestEntranceRefusesAtLimit checks that connections are refused while as many requests are in
// progress as the limit says, that requests on open connections are served all the same, and that
// connections are accepted again afterwards.
func TestEntranceRefusesAtLimit(t *testing.T) {
	e := startListener(t, 3, 100)
	open, err := e.connect()
	e.c.Assert(err, qt.IsNil)
	_, err = e.request(open, "/")
	e.c.Assert(err, qt.IsNil)
	e.await("the end of the first request", e.isIdle)
	for range 3 {
		conn, err := e.connect()
		e.c.Assert(err, qt.IsNil)
		_, err = e.request(conn, "/long")
		e.c.Assert(err, qt.IsNil)
	}
	e.await("a refusal", func() bool {
		_, err := e.connect()
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	status, err := e.request(open, "/")
	e.c.Assert(err, qt.IsNil)
	e.c.Assert(status, qt.Equals, http.StatusOK)
	e.await("an overload", e.Overloaded)
	e.release <- struct{}{}
	e.await("the end of refusals", e.serves)
}

// TestSilentConnectionsCloseEntrance guards against an entrance that stays closed because of
// connections on which nothing arrives.
func TestSilentConnectionsCloseEntrance(t *testing.T) {
	e := startListener(t, 3, 100)
	for range 3 {
		_, err := e.connect()
		e.c.Assert(err, qt.IsNil)
	}
	e.await("a request served beside silent connections", e.serves)
}

// TestIdleConnectionsTakeAllDescriptors guards against idle connections of callers that leave no
// descriptors to others: the one that has been idle for longest is closed.
func TestIdleConnectionsTakeAllDescriptors(t *testing.T) {
	const maxConns = 4
	e := startListener(t, 100, maxConns)
	var conns []net.Conn
	for range 2 * maxConns {
		conn, err := e.connect()
		e.c.Assert(err, qt.IsNil)
		status, err := e.request(conn, "/")
		e.c.Assert(err, qt.IsNil)
		e.c.Assert(status, qt.Equals, http.StatusOK)
		conns = append(conns, conn)
	}
	e.c.Assert(conns[0].SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	_, err := conns[0].Read(make([]byte, 1))
	e.c.Assert(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	status, err := e.request(conns[len(conns)-1], "/")
	e.c.Assert(err, qt.IsNil)
	e.c.Assert(status, qt.Equals, http.StatusOK)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.c.Assert(e.open < maxConns, qt.IsTrue, qt.Commentf("%d connections are open", e.open))
}

// TestStoppedListenerIsNotOverloaded checks that the end of a listener does not count as an overload.
func TestStoppedListenerIsNotOverloaded(t *testing.T) {
	e := startListener(t, 3, 100)
	e.c.Assert(e.Close(), qt.IsNil)
	time.Sleep(500 * time.Millisecond)
	e.c.Assert(e.Overloaded(), qt.IsFalse)
}

// TestDrainKeepsRequestsThatArrive guards against connections that are closed while a request arrives on
// them: idle ones are closed, the others once they are answered.
func TestDrainKeepsRequestsThatArrive(t *testing.T) {
	e := startListener(t, 10, 10)
	idle, err := e.connect()
	e.c.Assert(err, qt.IsNil)
	status, err := e.request(idle, "/")
	e.c.Assert(err, qt.IsNil)
	e.c.Assert(status, qt.Equals, http.StatusOK)
	arriving, err := e.connect()
	e.c.Assert(err, qt.IsNil)
	_, err = io.WriteString(arriving, "GET / HT")
	e.c.Assert(err, qt.IsNil)
	e.await("the begin of the request", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.fresh.Len() == 1 && e.fresh.Front().Value.(*callerConn).arrival.Load() == arrivalBegun
	})
	drained := e.Drain()
	e.c.Check(idle.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	_, err = idle.Read(make([]byte, 1))
	e.c.Check(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	// The connection counts as idle by then.
	time.Sleep(2 * silentTime)
	e.c.Check(isClosed(drained), qt.IsFalse)
	_, err = io.WriteString(arriving, "TP/1.1\r\nHost: x\r\n\r\n")
	e.c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(arriving), nil)
	e.c.Assert(err, qt.IsNil)
	e.c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	e.await("the end of all connections", func() bool { return isClosed(drained) })
	_, err = e.connect()
	e.c.Check(err, qt.IsNotNil)
}

func isClosed(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// TestDrainKeepsUnreadRequests guards against connections that are closed although a request has arrived on
// them that the server has not read yet.
func TestDrainKeepsUnreadRequests(t *testing.T) {
	c := qt.New(t)
	l := New(Settings{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Policy: overload.Policy{Min: 10, Initial: 10, Max: 10}, MaxConnections: 10}, metrics.NewSet(), zerolog.Nop())
	c.Assert(l.Open(), qt.IsNil)
	defer l.Close()
	caller, err := net.DialTimeout("tcp4", l.Addr().String(), time.Second)
	c.Assert(err, qt.IsNil)
	defer caller.Close()
	conn, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	l.ConnState(conn, http.StateIdle)
	const request = "GET / HTTP/1.1\r\n\r\n"
	_, err = io.WriteString(caller, request)
	c.Assert(err, qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	l.Drain()
	got := make([]byte, len(request))
	_, err = io.ReadFull(conn, got)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, request)
}

// TestEvictionLosesRequests guards against idle connections that are closed to make room when a request was just read
// from them, which is passed on although nobody can be answered.
func TestEvictionLosesRequests(t *testing.T) {
	c := qt.New(t)
	l := New(Settings{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Policy: overload.Policy{Min: 10, Initial: 10, Max: 10}, MaxConnections: 2}, metrics.NewSet(), zerolog.Nop())
	c.Assert(l.Open(), qt.IsNil)
	defer l.Close()
	caller, conn := acceptIdle(c, l)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n")
	c.Assert(err, qt.IsNil)
	_, err = conn.Read(make([]byte, 100))
	c.Assert(err, qt.IsNil)
	acceptIdle(c, l)
	l.ConnState(conn, http.StateActive)
	served := HeadReceived(httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ConnContext(t.Context(), conn)))
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
	c.Check(err == nil || !served, qt.IsTrue, qt.Commentf("served on a closed connection: %v", err))
}

// acceptIdle opens a connection that counts as idle, and returns both of its ends.
func acceptIdle(c *qt.C, l *Listener) (caller, conn net.Conn) {
	caller, err := net.DialTimeout("tcp4", l.Addr().String(), time.Second)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { caller.Close() })
	conn, err = l.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	l.ConnState(conn, http.StateIdle)
	return caller, conn
}

// TestDrainLosesRequestsSentAhead guards against requests that came with an earlier one, and whose connection the
// draining listener closes before they are answered.
func TestDrainLosesRequestsSentAhead(t *testing.T) {
	c := qt.New(t)
	l := New(Settings{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Policy: overload.Policy{Min: 10, Initial: 10, Max: 10}, MaxConnections: 10}, metrics.NewSet(), zerolog.Nop())
	c.Assert(l.Open(), qt.IsNil)
	begun, release, served := make(chan struct{}, 1), make(chan struct{}), make(chan struct{}, 1)
	server := &http.Server{ConnState: l.ConnState, ConnContext: ConnContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if !HeadReceived(r) {
			panic(http.ErrAbortHandler)
		}
		Received(r.Context())
		if r.URL.Path == "/ahead" {
			served <- struct{}{}
			return
		}
		begun <- struct{}{}
		<-release
	})}
	ctx, cancel := context.WithCancel(context.Background())
	running := task.Start(ctx, "entrance", l.Run)
	serving := task.Start(ctx, "server", func(context.Context) error { return serve(server, l) })
	defer func() {
		cancel()
		c.Check(server.Close(), qt.IsNil)
		c.Check(task.Wait(running, serving), qt.IsNil)
	}()
	caller, err := net.DialTimeout("tcp4", l.Addr().String(), time.Second)
	c.Assert(err, qt.IsNil)
	defer caller.Close()
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /ahead HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-begun
	drained := l.Drain()
	close(release)
	<-drained
	c.Assert(caller.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	got, _ := io.ReadAll(caller)
	c.Check(strings.Count(string(got), "200 OK"), qt.Equals, 2, qt.Commentf("%d passed on", 1+len(served)))
}
