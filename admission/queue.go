package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Queue holds the waiting requests of a model. It is not safe for concurrent use.
type Queue struct {
	policy  Policy
	waiting []*entry
}

// entry is a waiting request.
type entry struct {
	Request
}

// NewQueue returns an empty queue.
func NewQueue(p Policy) *Queue { return &Queue{policy: p} }

// Add adds a request to the queue. It is decided by the next call of Decide.
func (q *Queue) Add(r Request) { q.waiting = append(q.waiting, &entry{Request: r}) }

// Remove removes a request whose caller is gone.
func (q *Queue) Remove(id uint64) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool { return e.ID == id })
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Decide returns a decision for each waiting request, in the order of execution. Run and Reject
// take the request out of the queue.
func (q *Queue) Decide(now time.Time, c Capacity, random *rand.Rand) []Decision {
	_ = random
	slices.SortStableFunc(q.waiting, func(a, b *entry) int { return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Due.Compare(b.Due)) })
	var decisions []Decision
	var left []*entry
	for _, e := range q.waiting {
		until := e.Arrived.Add(time.Duration(q.policy.WaitFraction * float64(e.Due.Sub(e.Arrived))))
		var verdict Verdict
		switch {
		case e.Continues:
			verdict = Run{}
		case now.Add(c.FirstEvent).After(e.Deadline):
			verdict = Reject{ErrDeadline, q.policy.MinRetryAfter}
		case c.Slots > 0:
			c.Slots--
			verdict = Run{}
		case now.Before(until):
			verdict = Wait{until}
			left = append(left, e)
		default:
			verdict = Reject{ErrFull, q.policy.MinRetryAfter}
		}
		decisions = append(decisions, Decision{e.ID, verdict})
	}
	q.waiting = left
	return decisions
}
