package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRetryBudgetWithUnknownDaemonCount checks that daemons which do not know yet how many daemons
// there are do not each spend the fixed number of retries that is for all together.
func TestRetryBudgetWithUnknownDaemonCount(t *testing.T) {
	c := qt.New(t)
	retries := func(daemons int) int {
		const rejected = false
		b, n := newRetryBudget(0.2, 100, 10*time.Second), 0
		for range 100 {
			b.addRequest(time.Now())
		}
		for b.allowRetry(time.Now(), daemons, rejected) {
			n++
		}
		return n
	}
	c.Assert(retries(0), qt.Equals, 14)
	c.Assert(retries(1), qt.Equals, 84)
	c.Assert(retries(10), qt.Equals, 21)
}

// TestRejectionsLeaveRetryBudget checks that retries of rejected requests do not use up the retries
// of failed ones.
func TestRejectionsLeaveRetryBudget(t *testing.T) {
	c := qt.New(t)
	b := newRetryBudget(0.2, 100, 10*time.Second)
	for range 100 {
		b.addRequest(time.Now())
	}
	count := func(rejected bool) (n int) {
		for b.allowRetry(time.Now(), 1, rejected) {
			n++
		}
		return n
	}
	c.Assert(count(true), qt.Equals, 58)
	c.Assert(count(false), qt.Equals, 26)
}
