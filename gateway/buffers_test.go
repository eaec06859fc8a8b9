package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/buffers"
)

// TestBuffersAreBounded checks that requests whose bodies exceed what the daemon may hold are
// rejected, that the bytes are released with the request, and that other requests go on.
func TestBuffersAreBounded(t *testing.T) {
	c := qt.New(t)
	const limit, bodyBytes, requests = 1 << 20, 300 << 10, 10
	g := &Gateway{stop: newPlannedStop(), buffers: buffers.New(limit, metrics.NewSet())}
	var held []*exchange
	rejected := 0
	for range requests {
		r := httptest.NewRequest("POST", "/", bytes.NewReader(make([]byte, bodyBytes)))
		e := &exchange{g: g, w: httptest.NewRecorder(), r: r}
		held = append(held, e)
		err := e.readBody(0)
		if err == nil {
			c.Assert(e.body, qt.HasLen, bodyBytes)
			continue
		}
		c.Assert(errors.Is(err, buffers.ErrFull), qt.IsTrue, qt.Commentf("%v", err))
		rejected++
		// The part that was read is released with the request.
		g.buffers.Release(e.heldBytes)
		e.heldBytes = 0
	}
	c.Assert(rejected, qt.Equals, requests-limit/bodyBytes)
	c.Assert(g.buffers.Held() <= limit, qt.IsTrue)
	for _, e := range held {
		g.buffers.Release(e.heldBytes)
	}
	c.Assert(g.buffers.Held(), qt.Equals, int64(0))
	n := 0
	_, err := io.ReadAll(buffers.Reader{R: bytes.NewReader(make([]byte, bodyBytes)), Budget: g.buffers, Holds: &n})
	c.Assert(err, qt.IsNil)
}

// TestEndlessResponseTakesAllBuffers guards against responses without end that take all bytes that the
// daemon may hold, so that other callers' requests are rejected.
func TestEndlessResponseTakesAllBuffers(t *testing.T) {
	c := qt.New(t)
	const limit, responses, bodyBytes = 1 << 20, 50, 4 << 10
	b := buffers.New(limit, metrics.NewSet())
	held := make([]int, responses)
	ended := 0
	for ended < responses {
		for n := range held {
			if held[n] < 0 {
				continue
			}
			r := buffers.Reader{R: endlessBody{}, Budget: b, Holds: &held[n], IsResponse: true}
			if _, err := r.Read(make([]byte, 512)); err != nil {
				b.Release(held[n])
				held[n] = -1
				ended++
			}
		}
		n := 0
		_, err := io.ReadAll(buffers.Reader{R: bytes.NewReader(make([]byte, bodyBytes)), Budget: b, Holds: &n})
		c.Assert(err, qt.IsNil)
		b.Release(n)
	}
	c.Assert(b.Held(), qt.Equals, int64(0))
}

// endlessBody has no end.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// TestEndlessEventsFillMemory guards against many events, and many failure responses of streams, that have no
// end and together fill the memory, each of them shorter than the longest that is read.
func TestEndlessEventsFillMemory(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError} {
		t.Run(strconv.Itoa(status), func(t *testing.T) { testEndlessStreams(t, status) })
	}
}

func testEndlessStreams(t *testing.T, status int) {
	c := qt.New(t)
	const limit, streams, eventBytes = 1 << 20, 60, 100 << 10
	var received sync.WaitGroup
	received.Add(streams)
	var open atomic.Int32
	g, front := newEndlessSite(c, limit, func(conn net.Conn, id string) {
		open.Add(1)
		defer open.Add(-1)
		fmt.Fprintf(conn, "HTTP/1.1 %d a\r\nX-Lupinkeel-Request-Id: %s\r\nX-Lupinkeel-Response-Stamp: s\r\n\r\n%s", status, id, strings.Repeat("a", eventBytes))
		received.Done()
		// The connection stays open until the test ends, or the gateway closes it.
		_, _ = conn.Read(make([]byte, 1))
	})
	var sent sync.WaitGroup
	for n := range streams {
		sent.Go(func() { sendRequest(front.URL, fmt.Sprintf("POST /single/x id=%d model=big key=k1", n)) })
	}
	received.Wait()
	held := int32(streams)
	for until := time.Now().Add(time.Second); held > limit/eventBytes && time.Now().Before(until); held = open.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	c.Check(held <= limit/eventBytes, qt.IsTrue, qt.Commentf("%d events of %d bytes are held", held, eventBytes))
	c.Check(g.buffers.Held() <= limit, qt.IsTrue)
	front.CloseClientConnections()
	sent.Wait()
	front.Close()
	c.Check(g.buffers.Held(), qt.Equals, int64(0))
}

// newEndlessSite returns a gateway that may hold a number of bytes, its server, and a group whose head
// responds to each request on a connection of its own.
func newEndlessSite(c *qt.C, limit int64, respond func(conn net.Conn, id string)) (*Gateway, *httptest.Server) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { l.Close() })
	instance := &fakeInstance{name: "g1", l: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if id, err := instance.readRequest(bufio.NewReader(conn)); err == nil {
					respond(conn, id)
				}
			}()
		}
	}()
	node := newFakeNode(c, strings.NewReplacer(`"Slots":4`, `"Slots":100`, `"TimeoutMs":1000`, `"TimeoutMs":9000`).Replace(promiseConfig), []*fakeInstance{instance})
	cfg := Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryWindow: 10 * time.Second, FirstStart: true, MaxBufferedBytes: limit}
	g := New(cfg, node, newScheduler(), metrics.NewSet(), zerolog.Nop())
	return g, newFront(g)
}

// TestSlowCallersFillMemory guards against streams whose events are kept because their callers don't read them.
func TestSlowCallersFillMemory(t *testing.T) {
	c := qt.New(t)
	const streams, maxSent, maxHeapPerStream = 30, 32 << 20, 128 << 10
	event := []byte("data: " + strings.Repeat("a", 1<<10) + "\n\n")
	blocked := make(chan error, streams)
	_, front := newEndlessSite(c, 0, func(conn net.Conn, id string) {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 a\r\nX-Lupinkeel-Request-Id: %s\r\nX-Lupinkeel-Response-Stamp: s\r\n\r\n", id)
		for sent := 0; err == nil && sent < maxSent; sent += len(event) {
			err = errors.Join(conn.SetWriteDeadline(time.Now().Add(300*time.Millisecond)), second(conn.Write(event)))
		}
		blocked <- err
		_, _ = conn.Read(make([]byte, 1))
	})
	before := heapBytes()
	var callers []net.Conn
	for n := range streams {
		caller, err := net.Dial("tcp4", front.Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		callers = append(callers, caller)
		_, err = fmt.Fprintf(caller, "POST /single/x HTTP/1.1\r\nHost: api.example\r\nX-Lupinkeel-Request-Id: %d\r\nX-Lupinkeel-Model: big\r\nContent-Length: 0\r\n\r\n", n)
		c.Assert(err, qt.IsNil)
	}
	for range streams {
		c.Check(<-blocked, qt.ErrorIs, os.ErrDeadlineExceeded)
	}
	grown := heapBytes() - before
	c.Check(grown <= streams*maxHeapPerStream, qt.IsTrue, qt.Commentf("%d KB for each stream", grown/streams>>10))
	for _, caller := range callers {
		c.Check(caller.Close(), qt.IsNil)
	}
	front.Close()
}

func second[T any](_ T, err error) error { return err }

// heapBytes returns the length of all objects in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
