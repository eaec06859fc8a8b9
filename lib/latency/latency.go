// Package latency gathers durations and tells their percentiles.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Times gathers durations to three digits. It is not safe for use by several
// goroutines at once.
type Times struct{ histogram *hdrhistogram.Histogram }

// New returns an empty collection.
func New() Times { return Times{hdrhistogram.New(1, maxMicroseconds, significantDigits)} }

// Add takes a duration. One longer than ten minutes counts as ten minutes.
func (t Times) Add(d time.Duration) {
	// Within these bounds the histogram takes every value.
	_ = t.histogram.RecordValue(min(maxMicroseconds, max(1, d.Microseconds())))
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Percentiles returns what half, 95, 99 and all of 100 durations are within.
func (t Times) Percentiles() Percentiles {
	at := func(q float64) float64 { return float64(t.histogram.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(t.histogram.Max()) / 1000}
}
