package gateway

import (
	"sync"
	"time"
)

// budgetBuckets is the number of buckets of the budget's window.
const budgetBuckets = 10

// retryBudget bounds retries over a sliding window to a fraction of the requests plus a fixed
// number. The fixed number is for all daemons together, so that each uses its share. A daemon that
// has started again does not know what it used before, and has its share after a whole window.
type retryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	// startedAt is when the daemon started, restarted is set if it may have run before.
	startedAt time.Time
	restarted bool

	mu      sync.Mutex
	buckets [budgetBuckets + 1]budgetBucket
	current int64
}

// budgetBucket counts requests, all retries, the retries of rejected sends, and the checks of streams' ends.
// daemons is the largest number of daemons that was known meanwhile.
type budgetBucket struct{ requests, retries, rejections, checks, daemons int }

// usableFraction is the part of the budget that is used, since the daemons' windows and their
// counts of daemons differ slightly.
const usableFraction = 0.7

// rejectionFraction is the part of the retries that may follow rejected sends, so that some are
// left for failures.
const rejectionFraction = 0.7

// checkFraction is the part of the retries that may check streams' ends for which there is another proof.
const checkFraction = 0.5

func newRetryBudget(ratio, slack float64, window time.Duration, startedAt time.Time, restarted bool) *retryBudget {
	return &retryBudget{ratio: ratio, slack: slack, window: window, startedAt: startedAt, restarted: restarted}
}

func (b *retryBudget) advance(now time.Time) *budgetBucket {
	step := int64(now.Sub(b.startedAt) / (b.window / budgetBuckets))
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

// addRequest counts a request, while a number of daemons is known.
func (b *retryBudget) addRequest(now time.Time, daemons int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := b.advance(now)
	step.requests++
	step.daemons = max(step.daemons, daemons)
}

// shareFraction returns the part of the daemon's share of the fixed number that it may use. All that
// incarnations use within their first windows, however often they start, is at most the part that
// the one before them could not use.
func (b *retryBudget) shareFraction(now time.Time) float64 {
	if age := now.Sub(b.startedAt); b.restarted && age < b.window {
		return (1 - usableFraction) * float64(age) / float64(b.window)
	}
	return usableFraction
}

// allowRetry reports whether a request may be sent once more, and counts it. A daemon that does not
// know yet how many daemons there are has no share of the fixed number. The share does not grow
// before a window has passed in which there were fewer daemons: those that are gone may have used
// theirs.
func (b *retryBudget) allowRetry(now time.Time, daemons int, rejected bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	step, sum, limit := b.sum(now, daemons)
	if !sum.hasRetry(limit) || (rejected && float64(sum.rejections+1) > rejectionFraction*limit) {
		return false
	}
	step.retries++
	if rejected {
		step.rejections++
	}
	return true
}

// mayRetry is allowRetry for a request that was not rejected, but counts nothing.
func (b *retryBudget) mayRetry(now time.Time, daemons int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, sum, limit := b.sum(now, daemons)
	return sum.hasRetry(limit)
}

// allowCheck is allowRetry for a request that checks the end of a stream. Without another proof of the end, the stream
// would fail if it was not checked.
func (b *retryBudget) allowCheck(now time.Time, daemons int, hasProof bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	step, sum, limit := b.sum(now, daemons)
	if !sum.hasCheck(limit, hasProof) {
		return false
	}
	step.retries++
	step.checks++
	return true
}

// mayCheck is allowCheck, but counts nothing.
func (b *retryBudget) mayCheck(now time.Time, daemons int, hasProof bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, sum, limit := b.sum(now, daemons)
	return sum.hasCheck(limit, hasProof)
}

// hasRetry reports whether one more retry is within the limit.
func (s budgetBucket) hasRetry(limit float64) bool { return float64(s.retries+1) <= limit }

// hasCheck reports whether one more check is within the limit of retries.
func (s budgetBucket) hasCheck(limit float64, hasProof bool) bool {
	return s.hasRetry(limit) && (!hasProof || float64(s.checks+1) <= checkFraction*limit)
}

// sum returns the current bucket, the sum of all, and how many retries it may hold.
func (b *retryBudget) sum(now time.Time, daemons int) (step *budgetBucket, sum budgetBucket, limit float64) {
	step = b.advance(now)
	step.daemons = max(step.daemons, daemons)
	for _, s := range b.buckets {
		sum.requests += s.requests
		sum.retries += s.retries
		sum.rejections += s.rejections
		sum.checks += s.checks
		sum.daemons = max(sum.daemons, s.daemons)
	}
	limit = usableFraction * (b.ratio * float64(sum.requests))
	if daemons > 0 {
		limit += b.shareFraction(now) * b.slack / float64(sum.daemons)
	}
	return step, sum, limit
}
