package gateway

import (
	"sync"
	"time"
)

// budgetSteps is into how many steps the budget's window is cut.
const budgetBuckets = 10

// budget bounds how often requests are sent again, over a sliding window, as
// a part of the requests that came plus a fixed number. All daemons together
// may use it, so each takes its share of the fixed number.
type retryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu      sync.Mutex
	buckets [budgetBuckets + 1]budgetBucket
	current int64
}

// budgetStep counts requests, all repeats, and those after sends that were turned away.
type budgetBucket struct{ requests, retries, rejections int }

// budgetPart is the part of the budget that is used, since the daemons'
// windows and the count of daemons do not agree to the moment.
const usableFraction = 0.7

// turnedAwayPart is the part of the repeats that may follow sends which instances turned
// away, so that some are left for failures.
const rejectionFraction = 0.7

func newRetryBudget(ratio, slack float64, window time.Duration) *retryBudget {
	return &retryBudget{ratio: ratio, slack: slack, window: window}
}

func (b *retryBudget) advance(now time.Time) *budgetBucket {
	step := now.UnixNano() / int64(b.window/budgetBuckets)
	if step-b.current > int64(len(b.buckets)) {
		b.buckets = [budgetBuckets + 1]budgetBucket{}
		b.current = step
	}
	for b.current < step {
		b.current++
		b.buckets[b.current%int64(len(b.buckets))] = budgetBucket{}
	}
	return &b.buckets[b.current%int64(len(b.buckets))]
}

// request counts a request that came.
func (b *retryBudget) addRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now).requests++
}

// repeat reports whether a request may be sent once more, and counts it. A daemon that
// does not know yet how many there are has no share of the fixed number.
func (b *retryBudget) allowRetry(now time.Time, daemons int, rejected bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := b.advance(now)
	var sum budgetBucket
	for _, s := range b.buckets {
		sum.requests += s.requests
		sum.retries += s.retries
		sum.rejections += s.rejections
	}
	limit := b.ratio * float64(sum.requests)
	if daemons > 0 {
		limit += b.slack / float64(daemons)
	}
	limit *= usableFraction
	if float64(sum.retries+1) > limit || (rejected && float64(sum.rejections+1) > rejectionFraction*limit) {
		return false
	}
	step.retries++
	if rejected {
		step.rejections++
	}
	return true
}
