package rig

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of what was sent, answered and run.
type Record struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	out    *bufio.Writer
	runs   map[string]int
	broken []string
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: f, out: bufio.NewWriter(f), runs: map[string]int{}}, nil
}

// Note writes a line.
func (r *Record) Note(what, id, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(what, id, format, args...)
}

func (r *Record) note(what, id, format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f %s %s %s\n", time.Since(r.began).Seconds(), what, id, fmt.Sprintf(format, args...))
}

// Run records that a replica begins to run a request.
func (r *Record) Run(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.note("runs", id, "at=%s", replica)
}

// Runs returns how often a request has run.
func (r *Record) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// Broken records that a rule was broken.
func (r *Record) Broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.note("BROKEN", "-", "%s", text)
}

// Breaks lists what was broken.
func (r *Record) Breaks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
