package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRepeatsOfDaemonsThatStart checks that daemons which do not know yet how many there are
// do not each spend what all may repeat together.
func TestRetryBudgetWithUnknownDaemonCount(t *testing.T) {
	c := qt.New(t)
	repeats := func(daemons int) int {
		const turnedAway = false
		b, n := newRetryBudget(0.2, 100, 10*time.Second), 0
		for range 100 {
			b.addRequest(time.Now())
		}
		for b.allowRetry(time.Now(), daemons, turnedAway) {
			n++
		}
		return n
	}
	c.Assert(repeats(0), qt.Equals, 14)
	c.Assert(repeats(1), qt.Equals, 84)
	c.Assert(repeats(10), qt.Equals, 21)
}

// TestTurnedAwayLeaveRepeats checks that requests which instances turn away do not use up the
// repeats of those that fail.
func TestRejectionsLeaveRetryBudget(t *testing.T) {
	c := qt.New(t)
	b := newRetryBudget(0.2, 100, 10*time.Second)
	for range 100 {
		b.addRequest(time.Now())
	}
	count := func(turnedAway bool) (n int) {
		for b.allowRetry(time.Now(), 1, turnedAway) {
			n++
		}
		return n
	}
	c.Assert(count(true), qt.Equals, 58)
	c.Assert(count(false), qt.Equals, 26)
}
