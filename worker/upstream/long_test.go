package upstream

import (
	"io"
	"runtime"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/buffers"
)

// TestLongResponsesFillMemory guards against responses that are each as long as one may be and together fill the
// memory.
func TestLongResponsesFillMemory(t *testing.T) {
	c := qt.New(t)
	const responses, limit, total = 20, 16 << 20, 64 << 20
	budget, holds := buffers.New(total, metrics.NewSet()), make([]int, responses)
	var bodies [][]byte
	before := heapBytes()
	for n := range responses {
		r := &Response{Body: io.NopCloser(io.LimitReader(zeros{}, limit))}
		if body, err := r.ReadAll(limit, budget, &holds[n]); err == nil {
			bodies = append(bodies, body)
		}
	}
	grown := heapBytes() - before
	runtime.KeepAlive(bodies)
	c.Assert(len(bodies) > 0, qt.IsTrue)
	c.Assert(grown <= 2*total, qt.IsTrue, qt.Commentf("%d responses of %d hold %d MB", len(bodies), responses, grown>>20))
}

// zeros has no end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// heapBytes returns the length of all objects in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
