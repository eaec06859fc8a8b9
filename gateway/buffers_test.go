package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
)

// TestBuffersAreBounded checks that requests whose bodies exceed what the daemon may hold are
// rejected, that the bytes are released with the request, and that other requests go on.
func TestBuffersAreBounded(t *testing.T) {
	c := qt.New(t)
	const limit, bodyBytes, requests = 1 << 20, 300 << 10, 10
	g := &Gateway{stop: newPlannedStop(), buffers: newBuffers(limit, metrics.NewSet())}
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
