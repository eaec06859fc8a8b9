package admission

import (
	"math"
	"slices"
	"time"
)

// shares counts arrivals and admissions by rank, which are forgotten exponentially.
type shares struct {
	period  time.Duration
	updated time.Time
	ranks   map[int]*share
}

type share struct{ arrivals, admissions float64 }

// minShare is the number of arrivals under which a rank is forgotten.
const minShare = 0.01

func newShares(period time.Duration) shares { return shares{period: period, ranks: map[int]*share{}} }

// decay brings the counts to the given time. A clock that went back changes nothing.
func (s *shares) decay(now time.Time) {
	if passed := now.Sub(s.updated); passed > 0 && s.period > 0 {
		factor := math.Exp(-passed.Seconds() / s.period.Seconds())
		for rank, r := range s.ranks {
			r.arrivals *= factor
			r.admissions *= factor
			if r.arrivals < minShare {
				delete(s.ranks, rank)
			}
		}
		s.updated = now
	}
}

func (s *shares) rank(rank int) *share {
	r := s.ranks[rank]
	if r == nil {
		r = &share{}
		s.ranks[rank] = r
	}
	return r
}

func (s *shares) arrive(rank int) { s.rank(rank).arrivals++ }
func (s *shares) admit(rank int)  { s.rank(rank).admissions++ }

// common returns the fraction of all arrivals that were admitted, 0 if there were none.
func (s *shares) common() float64 {
	var all share
	for _, r := range s.ranks {
		all.arrivals += r.arrivals
		all.admissions += r.admissions
	}
	if all.arrivals == 0 {
		return 0
	}
	return all.admissions / all.arrivals
}

// ratioAfter returns the fraction of a rank's arrivals that are admitted if one more is. Counting
// this one keeps a rank's first request from being taken for a starved one.
func (s *shares) ratioAfter(rank int) float64 {
	r := s.rank(rank)
	return (r.admissions + 1) / max(r.arrivals, 1)
}

// retries holds when the callers that were told to retry are due.
type retries struct{ due []time.Time }

func (r *retries) add(at time.Time) { r.due = append(r.due, at) }

// prune forgets the callers that have been due.
func (r *retries) prune(now time.Time) {
	r.due = slices.DeleteFunc(r.due, func(at time.Time) bool { return !at.After(now) })
}

func (r *retries) pending() int { return len(r.due) }
