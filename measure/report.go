// Package measure runs the experiments whose figures the pages quote. Each
// compares the system with a naive one on the same events and prints a table
// and, as its last line, one JSON object.
package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Table is a table of figures.
type Table struct {
	Columns []string
	Rows    [][]string
}

// Report is what a measurement found.
type Report struct {
	Table Table
	// Figures is printed as JSON.
	Figures any
}

// WriteJSON writes the figures as one line.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r.Figures) }

// times gathers durations and tells their percentiles.
type times struct{ h *hdrhistogram.Histogram }

const (
	longest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

func newTimes() times { return times{hdrhistogram.New(1, longest, digits)} }

func (t times) add(d time.Duration) {
	// Longer than the histogram holds counts as the longest.
	if t.h.RecordValue(max(1, d.Microseconds())) != nil {
		_ = t.h.RecordValue(longest)
	}
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

func (t times) percentiles() Percentiles {
	at := func(q float64) float64 { return float64(t.h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(t.h.Max()) / 1000}
}

func ms(v float64) string { return fmt.Sprintf("%.1f", v) }

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
