// Package measure runs the experiments that the documentation quotes. Each compares lupinkeel with
// a naive implementation on the same events and prints a table and, as its last line, one JSON
// object.
package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"syscall"
	"time"
)

// Table is the table of results for people.
type Table struct {
	Columns []string
	Rows    [][]string
}

// Report holds the results of a measurement.
type Report struct {
	Table Table
	// Figures is printed as JSON.
	Figures any
}

// WriteJSON writes Figures as one line.
func (r Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r.Figures) }

func ms(v float64) string { return fmt.Sprintf("%.1f", v) }

// cpuTime returns the CPU time that this process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
