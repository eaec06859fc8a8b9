package router_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/router"
)

func ExampleLimitShare() {
	serving := []models.DaemonID{"d1", "d2", "d3"}
	total := 0
	for _, d := range serving {
		total += router.LimitShare(10, d, serving, "lab")
	}
	fmt.Println(total)
	// Output: 10
}

// TestLimitSharesSumToLimit checks that the shares of all daemons add up to the limit.
func TestLimitSharesSumToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var serving []models.DaemonID
		for n := range rapid.IntRange(1, 40).Draw(t, "daemons") {
			serving = append(serving, models.DaemonID(fmt.Sprintf("d%d", n)))
		}
		limit := rapid.IntRange(0, 200).Draw(t, "limit")
		total := 0
		for _, d := range serving {
			total += router.LimitShare(limit, d, serving, "lab")
		}
		if total != limit {
			t.Fatalf("%d daemons share %d as %d", len(serving), limit, total)
		}
	})
}

func TestLimits(t *testing.T) {
	c := qt.New(t)
	w := models.Workspace{Name: "lab", Concurrent: 6}
	l := router.NewConcurrencyLimits()
	c.Assert(l.Acquire(w, 2), qt.IsNil)
	c.Assert(l.Acquire(w, 2), qt.IsNil)
	c.Assert(l.Acquire(w, 2), qt.ErrorIs, router.ErrOverLimit)
	l.Release(w.Name)
	c.Assert(l.Acquire(w, 2), qt.IsNil)
	c.Assert(l.Acquire(models.Workspace{Name: "free"}, 0), qt.IsNil)
}

func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	began := time.Unix(0, 0)
	b := router.NewRetryBudget(began)
	now := began.Add(10 * time.Second)
	const first = 10
	for range first {
		c.Assert(b.Withdraw(now), qt.IsTrue)
	}
	c.Assert(b.Withdraw(now), qt.IsFalse)
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.Withdraw(now) {
			retries++
		}
	}
	c.Assert(retries <= 100, qt.IsTrue, qt.Commentf("%d", retries))
	c.Assert(retries >= 95, qt.IsTrue, qt.Commentf("%d", retries))
}

// TestRestartRenewsRetries guards against daemons that have their whole burst of retries again each
// time that they start: in no 10 s may there be more than one burst.
func TestRestartRenewsRetries(t *testing.T) {
	const step, window, burst = 50 * time.Millisecond, 10 * time.Second, 10
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var retries []time.Time
		for range rapid.IntRange(2, 30).Draw(t, "starts") {
			b := router.NewRetryBudget(now)
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				now = now.Add(step)
				for b.Withdraw(now) {
					retries = append(retries, now)
				}
			}
		}
		for i, first := range retries {
			if last := i + burst; last < len(retries) && retries[last].Sub(first) < window {
				t.Fatalf("more than %d retries in the %v from %v on", burst, window, first)
			}
		}
	})
}

// TestRequestOutcomes takes requests through sequences of steps and checks their outcomes.
func TestRequestOutcomes(t *testing.T) {
	type step func(*router.Request) error
	send, notRun, failed, respond := (*router.Request).Send, (*router.Request).NotRun, (*router.Request).Failed, (*router.Request).Respond
	for _, test := range []struct {
		name       string
		repeatable bool
		steps      []step
		complete   bool
		want       router.Outcome
	}{
		{"never sent", true, nil, false, router.OutcomeNotRun},
		{"complete", true, []step{send, respond}, true, router.OutcomeComplete},
		{"broke off", true, []step{send, respond}, false, router.OutcomeMayHaveRun},
		{"refused with proof", false, []step{send, notRun}, false, router.OutcomeNotRun},
		{"rejected, then complete", false, []step{send, notRun, send, respond}, true, router.OutcomeComplete},
		{"failed once, refused once", true, []step{send, failed, send, notRun}, false, router.OutcomeMayHaveRun},
		{"failed, not repeatable", false, []step{send, failed}, false, router.OutcomeMayHaveRun},
		{"key held by another request", false, []step{(*router.Request).KeyInUse}, false, router.OutcomeMayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := &router.Request{ID: "r", Idempotent: test.repeatable}
			for _, s := range test.steps {
				c.Assert(s(r), qt.IsNil)
			}
			c.Assert(r.Finish(test.complete), qt.Equals, test.want)
			c.Assert(r.Send(), qt.ErrorIs, router.ErrPhase)
		})
	}
}

func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	c := qt.New(t)
	r := &router.Request{ID: "r"}
	c.Assert(r.Send(), qt.IsNil)
	c.Assert(r.Failed(), qt.IsNil)
	c.Assert(r.MayRetry(), qt.IsFalse)
	c.Assert(r.Send(), qt.ErrorIs, router.ErrPhase)
}
