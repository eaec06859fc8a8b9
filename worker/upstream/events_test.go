package upstream

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEndlessEvent guards against events without end, in one line or many, which fill the memory.
func TestEndlessEvent(t *testing.T) {
	for name, repeated := range map[string]string{"one line": "a", "many lines": "data: a\n", "empty lines": "data\n"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			body := strings.NewReader("data: a" + strings.Repeat(repeated, 8*maxEventLen/len(repeated)))
			_, err := NewEventReader(io.NopCloser(body)).Next()
			c.Assert(err, qt.ErrorIs, errEventTooLong)
			c.Assert(body.Len() > 0, qt.IsTrue, qt.Commentf("all of it was read: %v", err))
		})
	}
}
