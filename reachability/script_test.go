package reachability

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestScripts runs the scripts in testdata. Each line holds a time in milliseconds and one of:
//
//	connected N...  bypassed N...   attempts at these instances
//	partitioned yes|no              the expected judgement
//	detour N yes|no                 whether connections to an instance are expected to take a detour
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, paths, qt.Not(qt.HasLen), 0)
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) { runScript(t, path) })
	}
}

func runScript(t *testing.T, path string) {
	c := qt.New(t)
	f, err := os.Open(path)
	c.Assert(err, qt.IsNil)
	defer f.Close()
	var tracker Tracker
	start := time.Unix(1_000_000, 0)
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		elapsed, err := time.ParseDuration(words[0] + "ms")
		c.Assert(err, qt.IsNil, qt.Commentf("line %d", n))
		now, args, comment := start.Add(elapsed), words[2:], qt.Commentf("line %d: %s", n, line)
		switch words[1] {
		case "connected":
			record(&tracker, Connected, args, now)
		case "bypassed":
			record(&tracker, Bypassed, args, now)
		case "partitioned":
			c.Check(tracker.Partitioned(), qt.Equals, args[0] == "yes", comment)
		case "detour":
			c.Check(tracker.NeedsDetour(addr(args[0]), now), qt.Equals, args[1] == "yes", comment)
		default:
			c.Fatalf("line %d: unknown word %q", n, words[1])
		}
	}
	c.Assert(lines.Err(), qt.IsNil)
}

func record(t *Tracker, outcome Outcome, instances []string, now time.Time) {
	for _, name := range instances {
		t.Record(addr(name), outcome, now)
	}
}

func addr(name string) netip.AddrPort { return netip.MustParseAddrPort("10.0.0." + name + ":80") }

// A daemon is partitioned once others reach four instances that it fails to reach.
func ExampleTracker_Record() {
	var t Tracker
	now := time.Now()
	for _, instance := range []string{"1", "2", "3", "4"} {
		fmt.Println(t.Record(addr(instance), Bypassed, now))
	}
	// Output:
	// false
	// false
	// false
	// true
}
