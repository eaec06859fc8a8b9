package main

import (
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/lockorder"
)

const module = "github.com/lupinkeel/lupinkeel/"

// TestDaemonHangsForGood guards against daemons that hang because two of their goroutines wait for
// each other: by mutexes locked in opposite orders, or by a channel that is waited for under a mutex.
func TestDaemonHangsForGood(t *testing.T) {
	c := qt.New(t)
	program, err := lockorder.Load(".", "./...")
	c.Assert(err, qt.IsNil)
	c.Assert(program.Findings(), qt.Not(qt.HasLen), 0)
	for _, f := range program.Cycles() {
		c.Error(f)
	}
	for _, f := range program.Blocking() {
		if ofDaemon(f) && !slices.Contains(neverBlock, strings.ReplaceAll(f.Via, module, "")) {
			c.Error(f)
		}
	}
}

// neverBlock are functions whose channel operations never wait: each waiting stream's channel has a
// buffer of one, and gets one verdict.
var neverBlock = []string{"(*gateway.queues).decide", "(*gateway.queues).redecideLocked"}

// ofDaemon reports whether a finding is in the code of daemons rather than in that of measurements
// and of the review's scripts.
func ofDaemon(f lockorder.Finding) bool {
	held := strings.TrimPrefix(string(f.Held), module)
	return !strings.HasPrefix(held, "measure.") && !strings.HasPrefix(held, "review/")
}
