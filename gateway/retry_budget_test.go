package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestRetryBudgetWithUnknownDaemonCount checks that daemons which do not know yet how many daemons
// there are do not each spend the fixed number of retries that is for all together.
func TestRetryBudgetWithUnknownDaemonCount(t *testing.T) {
	c := qt.New(t)
	retries := func(daemons int) int {
		const rejected = false
		b, n := newRetryBudget(0.2, 100, 10*time.Second, time.Now(), false), 0
		for range 100 {
			b.addRequest(time.Now(), 0)
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
	b := newRetryBudget(0.2, 100, 10*time.Second, time.Now(), false)
	for range 100 {
		b.addRequest(time.Now(), 0)
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

// TestProvenEndsUseAllChecks guards against ends that have another proof and leave no check for those that have none.
func TestProvenEndsUseAllChecks(t *testing.T) {
	c := qt.New(t)
	b := newRetryBudget(0.2, 100, 10*time.Second, time.Now(), false)
	for range 100 {
		b.addRequest(time.Now(), 0)
	}
	count := func(hasProof bool) (n int) {
		for b.allowCheck(time.Now(), 1, hasProof) {
			n++
		}
		return n
	}
	c.Assert(count(true), qt.Equals, 42)
	c.Assert(count(false), qt.Equals, 42)
}

// TestRestartRenewsRetryBudget guards against daemons that have their whole share of the retries again
// after each start, and against those that take the shares of daemons that have just gone.
func TestRestartRenewsRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			ratio, slack, daemons = 0.2, 90.0, 3
			window, step          = 10 * time.Second, 100 * time.Millisecond
			steps                 = 400
		)
		// A share of the fixed number is for each daemon that there has been.
		began := time.Unix(1000, 0)
		budgets := [daemons]*retryBudget{}
		for d := range budgets {
			budgets[d] = newRetryBudget(ratio, slack, window, began, false)
		}
		restartProbability := rapid.Float64Range(0, 0.2).Draw(t, "restarts")
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, seed))
		var requests, retries [steps]int
		for n := range steps {
			now := began.Add(time.Duration(n) * step)
			alive := daemons
			for d := range budgets {
				switch {
				case budgets[d] == nil && random.Float64() < 0.1:
					budgets[d] = newRetryBudget(ratio, slack, window, now, true)
				case budgets[d] != nil && random.Float64() < restartProbability:
					budgets[d] = nil
				}
				if budgets[d] == nil {
					alive--
				}
			}
			// Retries come in bursts, as with a failing service.
			failing := n/20%2 == 1
			for _, b := range budgets {
				if b == nil {
					continue
				}
				if random.Float64() < 0.5 {
					b.addRequest(now, alive)
					requests[n]++
				}
				for failing && b.allowRetry(now, alive, false) {
					retries[n]++
				}
			}
		}
		for first := 0; first+int(window/step) <= steps; first++ {
			sent, repeated := 0, 0
			for n := first; n < first+int(window/step); n++ {
				sent, repeated = sent+requests[n], repeated+retries[n]
			}
			if most := ratio*float64(sent) + slack; float64(repeated) > most {
				t.Fatalf("%d retries in a window from %v on, %.0f are allowed", repeated, time.Duration(first)*step, most)
			}
		}
	})
}
