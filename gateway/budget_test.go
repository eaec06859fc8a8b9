package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRepeatsOfDaemonsThatStart checks that daemons which do not know yet how many there are
// do not each spend what all may repeat together.
func TestRepeatsOfDaemonsThatStart(t *testing.T) {
	c := qt.New(t)
	repeats := func(daemons int) int {
		b, n := newBudget(0.2, 100, 10*time.Second), 0
		for range 100 {
			b.request(time.Now())
		}
		for b.repeat(time.Now(), daemons) {
			n++
		}
		return n
	}
	c.Assert(repeats(0), qt.Equals, 14)
	c.Assert(repeats(1), qt.Equals, 84)
	c.Assert(repeats(10), qt.Equals, 21)
}
