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
	shares  shares
	retries retries
	// sinceLate is the number of admissions since the last late request was admitted, at most
	// Policy.LateInterval.
	sinceLate int
	// hopeless is the number of requests that were rejected by ErrDeadline since one was spared.
	hopeless int
}

// entry is a waiting request.
type entry struct {
	Request
	// counted is set once the request is included in the arrivals of its rank.
	counted bool
	// drawn is when a random number last decided on the request, since loads are known with a delay.
	drawn time.Time
	// lateSince is when the request was first found to be late, zero if it can be in time.
	lateSince time.Time
}

// NewQueue returns an empty queue.
func NewQueue(p Policy) *Queue { return &Queue{policy: p, shares: newShares(p.RatioPeriod)} }

// Add adds a request to the queue. It is decided by the next call of Decide.
func (q *Queue) Add(r Request) { q.waiting = append(q.waiting, &entry{Request: r}) }

// Remove removes a request whose caller is gone.
func (q *Queue) Remove(id uint64) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool { return e.ID == id })
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Decide returns a decision for each waiting request, in the order of execution. Run and Reject
// take the request out of the queue. It judges all requests by the given time alone, so that a
// daemon that was suspended rejects those whose time is past.
func (q *Queue) Decide(now time.Time, c Capacity, random *rand.Rand) []Decision {
	if c.FirstEvent <= 0 || (q.policy.MaxLoadsAge > 0 && c.LoadsAge > q.policy.MaxLoadsAge) {
		// Nothing can be predicted; free slots alone decide.
		c.FirstEvent, c.SlotsInTime, c.LoadsAge = 0, c.Slots, 0
	}
	r := &round{Queue: q, now: now, c: c, random: random}
	q.shares.decay(now)
	q.retries.prune(now)
	for _, e := range q.waiting {
		if !e.counted && !e.Continues {
			q.shares.arrive(e.Rank)
		}
		e.counted = true
	}
	r.runContinued()
	r.rejectHopeless()
	inTime, late := r.split()
	r.draw(inTime)
	r.draw(late)
	inTime, late = r.admit(inTime, late)
	r.hold(inTime)
	r.holdLate(late)
	q.waiting = slices.Concat(inTime, late)
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool { return !r.waits[e.ID] })
	return r.decisions
}

// round is one call of Decide.
type round struct {
	*Queue
	now    time.Time
	c      Capacity
	random *rand.Rand
	// grants is how many requests may be admitted by the draws.
	grants    int
	decisions []Decision
	// waits holds the requests that stay in the queue.
	waits map[uint64]bool
}

func (r *round) decide(e *entry, v Verdict) { r.decisions = append(r.decisions, Decision{e.ID, v}) }

// runContinued admits the requests whose response has begun. They take any group, so that they are
// neither counted among admissions nor held for lack of slots.
func (r *round) runContinued() {
	r.waiting = slices.DeleteFunc(r.waiting, func(e *entry) bool {
		if e.Continues {
			r.decide(e, Run{})
			r.takeSlot()
		}
		return e.Continues
	})
}

// takeSlot takes a free slot, one at which requests are in time first.
func (r *round) takeSlot() {
	r.c.SlotsInTime, r.c.Slots = max(0, r.c.SlotsInTime-1), max(0, r.c.Slots-1)
}

// rejectHopeless rejects the requests that no group can serve before their deadline. While slots
// are free, it spares one of ProbeInterval whose deadline is not past: with a wrong prediction no
// request would run that could correct it.
func (r *round) rejectHopeless() {
	r.waiting = slices.DeleteFunc(r.waiting, func(e *entry) bool {
		if r.now.Add(r.c.FirstEvent).Before(e.Deadline) {
			return false
		}
		if r.now.Before(e.Deadline) && r.c.Slots > 0 && r.policy.ProbeInterval > 0 && r.hopeless >= r.policy.ProbeInterval-1 {
			r.hopeless = 0
			r.decide(e, Run{})
			r.shares.admit(e.Rank)
			r.takeSlot()
			return true
		}
		r.hopeless++
		r.reject(e, ErrDeadline)
		return true
	})
}

// split returns the waiting requests that can still be in time and those that can't, each in the
// order in which they are admitted.
func (r *round) split() (inTime, late []*entry) {
	for _, e := range r.waiting {
		if e.inTime(r.now, r.c) {
			e.lateSince = time.Time{}
			inTime = append(inTime, e)
			continue
		}
		if e.lateSince.IsZero() {
			e.lateSince = r.now
		}
		late = append(late, e)
	}
	// The most remaining time first: with the least first, each request in a burst just misses its
	// target when its turn comes.
	slices.SortStableFunc(inTime, func(a, b *entry) int { return cmp.Or(cmp.Compare(a.Rank, b.Rank), b.Due.Compare(a.Due)) })
	// The newest first: the oldest first would make every request late in an overload.
	slices.SortStableFunc(late, func(a, b *entry) int { return b.Arrived.Compare(a.Arrived) })
	return inTime, late
}

// target returns the request's latency target, 0 if it has none.
func (e *entry) target() time.Duration { return e.Due.Sub(e.Arrived) }

// inTime reports whether the request's first event can be in time. Without a latency target it
// always is; without a prediction it is assumed to be.
func (e *entry) inTime(now time.Time, c Capacity) bool {
	return e.target() <= 0 || c.FirstEvent <= 0 || !now.Add(c.FirstEvent).After(e.Due)
}

// draw decides by random numbers how many of the requests may be admitted into free slots that
// other daemons may have taken since their loads were reported. Each request counts once for each
// age of loads: if it were drawn again whenever the queue is decided, it would soon be admitted.
func (r *round) draw(requests []*entry) {
	expected := float64(r.c.Deciders) * r.c.Rate * r.c.LoadsAge.Seconds()
	for _, e := range requests {
		free := r.freeFor(e)
		switch {
		case free > 0 && float64(free)+r.freeSoon(e) > expected:
			r.grants++
		case free <= 0, !e.drawn.IsZero() && r.now.Before(e.drawn.Add(r.c.LoadsAge)):
		default:
			e.drawn = r.now
			if r.random.Float64()*expected < float64(free) {
				r.grants++
			}
		}
	}
}

// freeSoon returns how many slots become free in half the time for which the request may wait. If no more
// requests than these are expected beyond the free slots, drawing costs them more than the short waits at
// groups would.
func (r *round) freeSoon(e *entry) float64 {
	return r.c.Completions * fraction(e.target(), r.policy.WaitFraction).Seconds() / 2
}

// freeFor returns the free slots that the request may take. Late requests too may only take those
// at which requests would be in time, except for every LateInterval-th admission: beyond them they
// would make requests late that can still be in time.
func (r *round) freeFor(e *entry) int {
	if e.target() <= 0 || (!e.lateSince.IsZero() && r.lateTurn()) {
		return r.c.Slots
	}
	return r.c.SlotsInTime
}

// admit admits requests while there are grants and slots, and returns the others.
func (r *round) admit(inTime, late []*entry) (inTimeLeft, lateLeft []*entry) {
	for r.grants > 0 {
		next := r.nextInTime(inTime)
		switch {
		case len(late) > 0 && r.freeFor(late[0]) > 0 && (next < 0 || r.lateTurn()):
			r.admitOne(late[0])
			late = late[1:]
			r.sinceLate = 0
		case next >= 0:
			r.admitOne(inTime[next])
			inTime = slices.Delete(inTime, next, next+1)
			r.sinceLate = min(r.sinceLate+1, r.policy.LateInterval)
		default:
			return inTime, late
		}
	}
	return inTime, late
}

func (r *round) admitOne(e *entry) {
	r.decide(e, Run{})
	r.shares.admit(e.Rank)
	r.takeSlot()
	r.grants--
}

// lateTurn reports whether the next admission is a late request's, if one waits.
func (r *round) lateTurn() bool {
	return r.policy.LateInterval > 0 && r.sinceLate >= r.policy.LateInterval-1
}

// nextInTime returns the index of the request that is admitted next of those that can be in time,
// -1 if there is no slot for any: the most urgent one, unless another rank has had far less than its
// share.
func (r *round) nextInTime(requests []*entry) int {
	best, lowest := -1, r.policy.FairFraction*r.shares.common()
	for i, e := range requests {
		if r.freeFor(e) <= 0 {
			continue
		}
		if best < 0 {
			best = i
		}
		if ratio := r.shares.ratioAfter(e.Rank); ratio < lowest {
			best, lowest = i, ratio
		}
	}
	return best
}

// hold decides how long the requests that can be in time wait, in order.
func (r *round) hold(requests []*entry) {
	for position, e := range requests {
		until := r.waitLimit(e, position)
		if !r.now.Before(until) {
			r.reject(e, ErrFull)
			continue
		}
		r.wait(e, until)
	}
}

// waitLimit returns until when a request that can be in time waits at the latest.
func (r *round) waitLimit(e *entry, position int) time.Time {
	if r.c.FirstEvent <= 0 {
		return e.Arrived.Add(fraction(e.target(), r.policy.UnpredictedWaitFraction))
	}
	latest, bound := e.Due.Add(-r.c.FirstEvent), e.Arrived.Add(fraction(e.target(), r.policy.WaitFraction))
	if perSecond := r.c.ownCompletions(); perSecond > 0 {
		expected := r.now.Add(seconds(float64(position+1) / perSecond))
		if expected.Before(latest) {
			return latest
		}
	}
	if bound.Before(latest) {
		return bound
	}
	return latest
}

// holdLate rejects late requests: waiting makes them no less late. Those that were drawn against
// wait until they are drawn again, and the next one to be admitted waits for its turn.
func (r *round) holdLate(requests []*entry) {
	for position, e := range requests {
		until := e.lateSince.Add(fraction(e.target(), r.policy.WaitFraction))
		if latest := e.Deadline.Add(-r.c.FirstEvent); latest.Before(until) {
			until = latest
		}
		mayWait := r.freeFor(e) > 0 || (position == 0 && r.lateTurn())
		if !mayWait || !r.now.Before(until) {
			r.reject(e, ErrLate)
			continue
		}
		r.wait(e, until)
	}
}

// wait leaves the request in the queue until the given time, or until it may be drawn again.
func (r *round) wait(e *entry, until time.Time) {
	if again := e.drawn.Add(r.c.LoadsAge); !e.drawn.IsZero() && again.After(r.now) && again.Before(until) && r.c.Slots > 0 {
		until = again
	}
	if r.waits == nil {
		r.waits = map[uint64]bool{}
	}
	r.waits[e.ID] = true
	r.decide(e, Wait{until})
}

func (r *round) reject(e *entry, reason error) {
	r.decide(e, Reject{reason, r.retryAfter(e.Deadline.Sub(r.now))})
}

// retryAfter returns when a caller with this remaining time should retry: once those told before
// it have been served, as fast as requests end. Without a prediction it is a random time in a fixed
// range.
func (r *round) retryAfter(remaining time.Duration) time.Duration {
	after, perSecond := r.policy.MinRetryAfter, r.c.ownCompletions()
	if r.c.FirstEvent > 0 && perSecond > 0 {
		after = max(after, seconds(float64(r.retries.pending())/perSecond))
	}
	if jitter := r.policy.RetryJitter; jitter > 0 {
		after += time.Duration(r.random.Int64N(int64(jitter)))
	}
	if r.c.FirstEvent > 0 {
		after = max(0, min(after, fraction(remaining, r.policy.RetryFraction)))
	}
	r.retries.add(r.now.Add(after))
	return after
}

// ownCompletions is the part of the completions whose slots this daemon can expect to fill.
func (c Capacity) ownCompletions() float64 { return c.Completions / float64(max(1, c.Deciders)) }

func fraction(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// maxSeconds bounds durations that are computed from rates close to 0.
const maxSeconds = 3600

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
