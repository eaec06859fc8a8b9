// Package latency collects durations and computes their percentiles.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Histogram is a histogram of durations with three significant digits. It is not safe for
// concurrent use.
type Histogram struct{ histogram *hdrhistogram.Histogram }

// New returns an empty histogram.
func New() Histogram { return Histogram{hdrhistogram.New(1, maxMicroseconds, significantDigits)} }

// Add records a duration. A duration above ten minutes counts as ten minutes.
func (t Histogram) Add(d time.Duration) {
	// Within these bounds RecordValue can't fail.
	_ = t.histogram.RecordValue(min(maxMicroseconds, max(1, d.Microseconds())))
}

// Percentiles holds percentiles in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Percentiles returns the 50th, 95th and 99th percentile and the maximum.
func (t Histogram) Percentiles() Percentiles {
	percentile := func(q float64) float64 { return float64(t.histogram.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: percentile(50), P95: percentile(95), P99: percentile(99), Max: float64(t.histogram.Max()) / 1000}
}
