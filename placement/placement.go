// Package placement decides to which replica group a request goes, and whether it
// waits, from what a daemon knows of the groups and how old that is. It is pure: it
// does no input or output, and randomness is handed in.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Policy holds the limits by which groups are chosen.
type Policy struct {
	// RequestCost is how much a request that is being answered weighs against
	// prompts that are to be read.
	RunningRequestCost time.Duration
	// FullCost is how long a request waits at a full group for each one that is
	// ahead of it.
	QueuedRequestCost time.Duration
	// ZonePart is the part of the route's aim that a group in another zone must save
	// to be chosen.
	CrossZoneFraction float64
	// FailurePart is the part of the route's aim that a group is set back by for each
	// request that it failed of late.
	FailureFraction float64
	// LeastAtOnce is for how many requests at once, at least, a group is chosen by
	// loads that are not told at once.
	MinConcurrent int
	// Spread is by how much more requests are reckoned with than were sent, on
	// average, since loads were told.
	UnreportedFactor float64
	// OverSlots is how many requests beyond its slots a group is sent.
	ExtraSlots int
}

// DefaultPolicy returns the limits in use.
func DefaultPolicy() Policy {
	return Policy{
		// Each request slows a pass a little, by 0.1 ms of 8 steps on the users'
		// engines, and takes a slot.
		RunningRequestCost: 2 * time.Millisecond,
		// About the time between two ends at a group of 14 to 20 slots.
		QueuedRequestCost: 100 * time.Millisecond,
		// Within it the request is answered in time all the same, and the bytes stay
		// in the zone. 60 ms, a fifth of the shortest aim on the users' smallest site,
		// kept half of all bytes between zones within them, and as many answers were in
		// time as with 5 ms (fifteen runs each).
		CrossZoneFraction: 0.2,
		// An instance that resets connections at once has no requests, and so would
		// draw all: 761 requests of a day were answered with 502.
		FailureFraction: 0.25,
		// Another request may be on its way from a daemon that was not heard of. An
		// estimate.
		MinConcurrent: 2,
		// Requests come unevenly, and those sent a little later are placed by nearly the
		// same word. Late in a hundred with 2 rather than 1: 2.8 and 3.6 in a burst, 3.2
		// and 3.7 of long prompts, 0.6 and 2.4 by news that are a second old; with 3:
		// 2.7, 2.0 and 1.0 (TestReplays).
		UnreportedFactor: 2,
		// The engine queues some itself; what waits there gets the first free place. An
		// estimate.
		ExtraSlots: 2,
	}
}

// Candidate is a group that a request may go to, as far as it is known.
type Candidate struct {
	// Requests is how many requests it has, Unread how many prompt tokens of these
	// it has yet to read.
	Requests, PrefillTokens int
	// Near tells that it is in the daemon's own zone.
	SameZone bool
	// Failures is how many requests it failed of late.
	Failures float64
}

// Request is what a choice needs to know of a request.
type Request struct {
	PromptTokens int
	// Aim is the time in which its first event should come, 0 if every ms counts;
	// RouteAim is that of its route, whatever became of the request.
	LatencyTarget, RouteTarget time.Duration
	// Moved is how many requests are sent elsewhere at the same moment, as their
	// group stands still, this one among them.
	Displaced int
}

// News tells how much may have changed since loads were told.
type Staleness struct {
	// Age is how old the loads of other daemons are, 0 if they are told at once.
	Age time.Duration
	// Sharers is how many daemons choose by the same word, Rate how many requests
	// of the model a second come to this one.
	Daemons     int
	RequestRate float64
}

// Pick returns the index of the group that a request goes to. There must be one.
func (p Policy) Pick(engine *models.EngineProfile, groups []Candidate, req Request, staleness Staleness, random *rand.Rand) int {
	choices := make([]choice, len(groups))
	for i, g := range groups {
		choices[i] = choice{i, p.cost(engine, g, req)}
	}
	// Of equals each daemon is to pick another one.
	random.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
	concurrent := p.concurrentRequests(req, staleness)
	if concurrent <= 1 {
		return slices.MinFunc(choices, byCost).index
	}
	delayPerRequest := p.Delay(engine, Candidate{Requests: 1, PrefillTokens: req.PromptTokens})
	return pickSpread(choices, concurrent, delayPerRequest, random).index
}

// Takes reports whether a group is sent one more request.
func (p Policy) HasCapacity(engine *models.EngineProfile, requests int) bool {
	return requests < engine.Slots+p.ExtraSlots
}

// Delay is how much later than at an idle group a request is answered at one with
// this load.
func (p Policy) Delay(engine *models.EngineProfile, c Candidate) time.Duration {
	delay := time.Duration(c.Requests)*p.RunningRequestCost + engine.ReadTime(c.PrefillTokens)
	if c.Requests >= engine.Slots {
		delay += p.QueuedRequestCost * time.Duration(c.Requests-engine.Slots+1)
	}
	return delay
}

// cost is the delay at a group, and what speaks against it besides.
func (p Policy) cost(engine *models.EngineProfile, c Candidate, req Request) time.Duration {
	cost := p.Delay(engine, c)
	if !c.SameZone {
		cost += time.Duration(p.CrossZoneFraction * float64(req.LatencyTarget))
	}
	return cost + time.Duration(c.Failures*p.FailureFraction*float64(req.RouteTarget))
}

// atOnce is how many requests may be sent at the same moment as one: those that
// were sent since the loads that are known were told, and those that move with it.
func (p Policy) concurrentRequests(req Request, staleness Staleness) int {
	concurrent := max(1, req.Displaced)
	if staleness.Age <= 0 {
		return concurrent
	}
	unreported := p.UnreportedFactor * staleness.RequestRate * float64(staleness.Daemons) * staleness.Age.Seconds()
	return max(concurrent, p.MinConcurrent, int(math.Ceil(unreported)))
}

// choice is a group by its index, and what it would cost the request.
type choice struct {
	index int
	cost  time.Duration
}

func byCost(a, b choice) int { return cmp.Compare(a.cost, b.cost) }

// scatter picks a group at random for one of several requests that are sent at the
// same moment, each of which costs a group as much as the others: daemons that know
// the same would all pick the same group, before they hear of each other's choices.
// Groups are picked as often as it takes to make all equally late.
func pickSpread(choices []choice, concurrent int, delayPerRequest time.Duration, random *rand.Rand) choice {
	slices.SortFunc(choices, byCost)
	level, sum := time.Duration(0), time.Duration(concurrent)*delayPerRequest
	for i, c := range choices {
		if i > 0 && c.cost >= level {
			choices = choices[:i]
			break
		}
		sum += c.cost
		level = sum / time.Duration(i+1)
	}
	offset := random.Int64N(max(1, int64(concurrent)*int64(delayPerRequest)))
	for _, c := range choices {
		if offset -= int64(level - c.cost); offset < 0 {
			return c
		}
	}
	return choices[0]
}
