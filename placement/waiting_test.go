package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPatience checks how long requests wait: all that come while a daemon that has just
// started knows nothing yet wait until it should, unless their callers give up before;
// one for which all groups are full is refused early, so that it may go elsewhere.
func TestPatience(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	w := Wait{Aim: 200 * time.Millisecond, Left: 5 * time.Second, Pause: 300 * time.Millisecond}
	c.Assert(p.Patience(w), qt.Equals, 44*time.Millisecond)

	w.Unknown = true
	w.Running = 100 * time.Millisecond
	c.Assert(p.Patience(w), qt.Equals, p.StartTime-w.Running)
	w.Left = 600 * time.Millisecond
	c.Assert(p.Patience(w), qt.Equals, 200*time.Millisecond)
	w.Running = 10 * time.Second
	c.Assert(p.Patience(w), qt.Equals, 44*time.Millisecond, qt.Commentf("a model without groups is no news to a daemon that has run for long"))

	w.Begun = true
	c.Assert(p.Patience(w), qt.Equals, w.Pause)
}
