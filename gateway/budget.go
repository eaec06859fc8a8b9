package gateway

import (
	"sync"
	"time"
)

// budgetSteps is into how many steps the budget's window is cut.
const budgetSteps = 10

// budget bounds how often requests are sent again, over a sliding window, as
// a part of the requests that came plus a fixed number. All daemons together
// may use it, so each takes its share of the fixed number.
type budget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu    sync.Mutex
	steps [budgetSteps + 1]budgetStep
	now   int64
}

// budgetStep counts requests, all repeats, and those after sends that were turned away.
type budgetStep struct{ requests, repeats, turnedAway int }

// budgetPart is the part of the budget that is used, since the daemons'
// windows and the count of daemons do not agree to the moment.
const budgetPart = 0.7

// turnedAwayPart is the part of the repeats that may follow sends which instances turned
// away, so that some are left for failures.
const turnedAwayPart = 0.7

func newBudget(ratio, slack float64, window time.Duration) *budget {
	return &budget{ratio: ratio, slack: slack, window: window}
}

func (b *budget) advance(now time.Time) *budgetStep {
	step := now.UnixNano() / int64(b.window/budgetSteps)
	if step-b.now > int64(len(b.steps)) {
		b.steps = [budgetSteps + 1]budgetStep{}
		b.now = step
	}
	for b.now < step {
		b.now++
		b.steps[b.now%int64(len(b.steps))] = budgetStep{}
	}
	return &b.steps[b.now%int64(len(b.steps))]
}

// request counts a request that came.
func (b *budget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now).requests++
}

// repeat reports whether a request may be sent once more, and counts it. A daemon that
// does not know yet how many there are has no share of the fixed number.
func (b *budget) repeat(now time.Time, daemons int, turnedAway bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := b.advance(now)
	var sum budgetStep
	for _, s := range b.steps {
		sum.requests += s.requests
		sum.repeats += s.repeats
		sum.turnedAway += s.turnedAway
	}
	most := b.ratio * float64(sum.requests)
	if daemons > 0 {
		most += b.slack / float64(daemons)
	}
	most *= budgetPart
	if float64(sum.repeats+1) > most || (turnedAway && float64(sum.turnedAway+1) > turnedAwayPart*most) {
		return false
	}
	step.repeats++
	if turnedAway {
		step.turnedAway++
	}
	return true
}
