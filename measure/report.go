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

func ms(v float64) string { return fmt.Sprintf("%.1f", v) }

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
