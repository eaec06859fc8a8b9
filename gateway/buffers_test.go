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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// TestBuffersAreBounded checks that requests whose bodies exceed what the daemon may hold are
// rejected, that the bytes are released with the request, and that other requests go on.
func TestBuffersAreBounded(t *testing.T) {
	c := qt.New(t)
	const limit, bodyBytes, requests = 1 << 20, 300 << 10, 10
	g := &Gateway{buffers: newBuffers(limit, metrics.NewSet())}
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
		c.Assert(errors.Is(err, errBuffersFull), qt.IsTrue, qt.Commentf("%v", err))
		rejected++
		// The part that was read is released with the request.
		g.buffers.release(e.heldBytes)
		e.heldBytes = 0
	}
	c.Assert(rejected, qt.Equals, requests-limit/bodyBytes)
	c.Assert(g.buffers.held.Load() <= limit, qt.IsTrue)
	for _, e := range held {
		g.buffers.release(e.heldBytes)
	}
	c.Assert(g.buffers.held.Load(), qt.Equals, int64(0))
	n := 0
	_, err := io.ReadAll(countedReader{r: bytes.NewReader(make([]byte, bodyBytes)), buffers: g.buffers, held: &n})
	c.Assert(err, qt.IsNil)
}

// TestEndlessResponseTakesAllBuffers guards against responses without end that take all bytes that the
// daemon may hold, so that other callers' requests are rejected.
func TestEndlessResponseTakesAllBuffers(t *testing.T) {
	c := qt.New(t)
	const limit, responses, bodyBytes = 1 << 20, 50, 4 << 10
	b := newBuffers(limit, metrics.NewSet())
	held := make([]int, responses)
	ended := 0
	for ended < responses {
		for n := range held {
			if held[n] < 0 {
				continue
			}
			r := countedReader{r: endlessBody{}, buffers: b, held: &held[n], isResponse: true}
			if _, err := r.Read(make([]byte, 512)); err != nil {
				b.release(held[n])
				held[n] = -1
				ended++
			}
		}
		n := 0
		_, err := io.ReadAll(countedReader{r: bytes.NewReader(make([]byte, bodyBytes)), buffers: b, held: &n})
		c.Assert(err, qt.IsNil)
		b.release(n)
	}
	c.Assert(b.held.Load(), qt.Equals, int64(0))
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
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	instance := &fakeInstance{name: "g1", l: l}
	node := newFakeNode(c, strings.NewReplacer(`"Slots":4`, `"Slots":100`, `"TimeoutMs":1000`, `"TimeoutMs":9000`).Replace(promiseConfig), []*fakeInstance{instance})
	cfg := Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryWindow: 10 * time.Second, FirstStart: true, MaxBufferedBytes: limit}
	g := New(cfg, node, newScheduler(), metrics.NewSet(), zerolog.Nop())
	front := newFront(g)
	// The connections stay open until the test ends, or the gateway closes them.
	var received sync.WaitGroup
	received.Add(streams)
	var open atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				open.Add(1)
				defer open.Add(-1)
				r := bufio.NewReader(conn)
				id, _ := instance.readRequest(r)
				fmt.Fprintf(conn, "HTTP/1.1 %d a\r\nX-Lupinkeel-Request-Id: %s\r\nX-Lupinkeel-Response-Stamp: s\r\n\r\n%s", status, id, strings.Repeat("a", eventBytes))
				received.Done()
				_, _ = r.ReadByte()
			}()
		}
	}()
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
	c.Check(g.buffers.held.Load() <= limit, qt.IsTrue)
	front.CloseClientConnections()
	sent.Wait()
	c.Check(l.Close(), qt.IsNil)
	front.Close()
	c.Check(g.buffers.held.Load(), qt.Equals, int64(0))
}
