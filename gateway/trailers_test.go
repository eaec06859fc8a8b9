package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/buffers"
)

// TestTrailersFillMemory guards against many short fields after a chunked body, which are kept with the request.
func TestTrailersFillMemory(t *testing.T) {
	c := qt.New(t)
	const requests, trailerLen, maxPerRequest = 100, 4000, 32 << 10
	var text strings.Builder
	fmt.Fprint(&text, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
	for n := 0; text.Len() < trailerLen; n++ {
		fmt.Fprint(&text, "X"+strconv.FormatInt(int64(n), 36)+":\r\n")
	}
	fmt.Fprint(&text, "\r\n")
	g := &Gateway{stop: newPlannedStop(), buffers: buffers.New(1<<20, metrics.NewSet())}
	var held []*exchange
	before := heapBytes()
	for range requests {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text.String())))
		c.Assert(err, qt.IsNil)
		e := &exchange{g: g, w: httptest.NewRecorder(), r: r}
		c.Assert(e.readBody(0), qt.IsNil)
		held = append(held, e)
	}
	taken := (heapBytes() - before) / requests
	c.Assert(taken < maxPerRequest, qt.IsTrue, qt.Commentf("%d bytes for each request", taken))
	c.Assert(held, qt.HasLen, requests)
}
