package logfmt

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBoundedNeverBlocks fills the queue while nothing is written, and checks that the number of
// dropped lines is logged.
func TestBoundedNeverBlocks(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	b := NewAsync(&out, 10)
	for n := range 25 {
		_, err := fmt.Fprintf(b, "line %d\n", n)
		c.Assert(err, qt.IsNil)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(b.Run(ctx), qt.IsNil)
	c.Assert(strings.Count(out.String(), "line "), qt.Equals, 10)
	c.Assert(strings.Contains(out.String(), "event=log-lines-dropped lines=15"), qt.IsTrue)
}

// TestLongLinesFillMemory guards against queued lines that take any number of bytes: errors may quote what an
// instance has sent.
func TestLongLinesFillMemory(t *testing.T) {
	c := qt.New(t)
	const lines = 10
	var out bytes.Buffer
	b := NewAsync(&out, lines)
	for range lines {
		line := []byte("time=t error=" + strings.Repeat("x", 64<<10) + "\n")
		n, err := b.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(b.Run(ctx), qt.IsNil)
	c.Assert(out.Len() <= lines*(4<<10), qt.IsTrue, qt.Commentf("%d bytes", out.Len()))
	c.Assert(strings.Count(out.String(), "x...\n"), qt.Equals, lines)
}
