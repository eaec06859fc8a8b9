// Package placement decides which replica group a request is sent to, and whether it is queued,
// from a daemon's knowledge of the groups' loads and the age of that knowledge. It is pure: it does
// no input or output, and randomness is passed in.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Policy holds the parameters by which groups are picked.
type Policy struct {
	// RunningRequestCost is the delay that each running request of a group adds.
	RunningRequestCost time.Duration
	// QueuedRequestCost is the delay that each request adds which is queued ahead at a full group.
	QueuedRequestCost time.Duration
	// CrossZoneFraction is the fraction of the request's latency target that a group in another
	// zone must save to be picked.
	CrossZoneFraction float64
	// FailureFraction is the penalty of a group for each recent failure, as a fraction of the
	// route's latency target.
	FailureFraction float64
	// MinConcurrent is the least number of requests assumed to be placed concurrently if loads are
	// reported with a delay.
	MinConcurrent int
	// UnreportedFactor multiplies the average number of requests that were sent since loads were
	// reported.
	UnreportedFactor float64
	// ExtraSlots is how many requests a group is sent beyond its slots.
	ExtraSlots int
	// SlowFrom is the slowness from which a group counts as slow.
	SlowFrom float64
	// RequestPasses is the number of passes that a request takes, by which FirstEvent estimates how
	// soon a full group has a free slot.
	RequestPasses int
}

// DefaultPolicy returns the parameters in use.
func DefaultPolicy() Policy {
	return Policy{
		// Each request slows a pass a little, by 0.1 ms in each of 8 steps on the users' engines,
		// and takes a slot.
		RunningRequestCost: 2 * time.Millisecond,
		// About the time between the ends of two requests at a group of 14 to 20 slots.
		QueuedRequestCost: 100 * time.Millisecond,
		// A request that is delayed by less in its own zone still meets its latency target, and its
		// bytes stay in the zone. 60 ms, a fifth of the shortest latency target on the users'
		// smallest site, kept half of the bytes between zones within them, and as many responses
		// met their target as with 5 ms.
		CrossZoneFraction: 0.2,
		// An instance that resets connections at once has no requests, and would attract all: this
		// caused 761 responses with status 502 in one day.
		FailureFraction: 0.25,
		// A daemon whose loads have not been received may have sent another request.
		MinConcurrent: 2,
		// Requests arrive unevenly, and requests sent shortly afterwards are placed by nearly the
		// same loads. With 1 instead of 2, 3.6 % rather than 2.8 % of requests were late in a
		// burst, 3.7 % rather than 3.2 % with long prompts, and 2.4 % rather than 0.6 % with loads
		// that are a second old (TestReplays).
		UnreportedFactor: 2,
		// The engine queues some requests itself and starts them as soon as a slot is free.
		ExtraSlots: 2,
		// A single first event makes an estimate of at most 1.32, however late it is. With 1.25, the
		// chance differences between groups made as many requests late on a deployment with 24 daemons
		// as the slow group did (TestHardLoad).
		SlowFrom: 1.4,
		// Requests of the users' deployments take 23 to 28 passes.
		RequestPasses: 25,
	}
}

// Candidate describes a group that a request may be sent to.
type Candidate struct {
	// Requests is the number of its requests, PrefillTokens how many prompt tokens of these wait
	// for prefill.
	Requests, PrefillTokens int
	// SameZone is set if it is in the daemon's own zone.
	SameZone bool
	// Failures is the decayed number of requests that it failed recently.
	Failures float64
	// Slowness is the factor by which the group's first events are later than predicted; 0 counts
	// as 1.
	Slowness float64
	// Unproven is set if its speed is unknown: it has just formed, and the daemon has received no
	// first event from it, or it is cold.
	Unproven bool
}

// Request describes the request to be placed.
type Request struct {
	PromptTokens int
	// LatencyTarget is the time in which the first event should be sent, 0 if the request is late
	// already; RouteTarget is the latency target of its route in any case.
	LatencyTarget, RouteTarget time.Duration
	// Model is the profile of the request's model, Base the model's base latency, 0 if it is unknown.
	Model models.ModelProfile
	Base  time.Duration
	// TimeLeft is the time until the first event is due, 0 if it is late already or was sent.
	TimeLeft time.Duration
	// Displaced is how many requests fail over at the same moment because their group is stalled,
	// including this one.
	Displaced int
}

// Staleness describes how much loads may have changed since they were reported.
type Staleness struct {
	// Age is the age of other daemons' loads, 0 if they are reported at once.
	Age time.Duration
	// Daemons is how many daemons place requests by the same loads, RequestRate how many requests
	// of the model per second this one gets.
	Daemons     int
	RequestRate float64
}

// Pick returns the index of the group that a request is sent to. There must be at least one group.
func (p Policy) Pick(engine *models.EngineProfile, groups []Candidate, req Request, staleness Staleness, random *rand.Rand) int {
	choices := make([]choice, len(groups))
	for i, g := range groups {
		choices[i] = choice{i, p.cost(engine, g, req)}
	}
	p.addPredictions(engine, groups, req, choices)
	// Daemons break ties differently.
	random.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
	concurrent := p.concurrentRequests(req, staleness)
	if concurrent <= 1 {
		return slices.MinFunc(choices, byCost).index
	}
	delayPerRequest := p.Delay(engine, Candidate{Requests: 1, PrefillTokens: req.PromptTokens})
	return pickSpread(choices, concurrent, delayPerRequest, random).index
}

// HasCapacity reports whether a group is sent one more request.
func (p Policy) HasCapacity(engine *models.EngineProfile, requests int) bool {
	return requests < engine.Slots+p.ExtraSlots
}

// Delay returns how much later a request is answered at a group with this load than at an idle one.
func (p Policy) Delay(engine *models.EngineProfile, c Candidate) time.Duration {
	delay := time.Duration(c.Requests)*p.RunningRequestCost + engine.PrefillTime(c.PrefillTokens)
	if c.Requests >= engine.Slots {
		delay += p.QueuedRequestCost * time.Duration(c.Requests-engine.Slots+1)
	}
	return delay
}

// cost returns the delay at a group plus its penalties.
func (p Policy) cost(engine *models.EngineProfile, c Candidate, req Request) time.Duration {
	cost := p.Delay(engine, c)
	if !c.SameZone {
		cost += time.Duration(p.CrossZoneFraction * float64(req.LatencyTarget))
	}
	return cost + time.Duration(c.Failures*p.FailureFraction*float64(req.RouteTarget))
}

// concurrentRequests returns how many requests may be placed at the same moment: requests sent
// since the known loads were reported, and requests that fail over together.
func (p Policy) concurrentRequests(req Request, staleness Staleness) int {
	concurrent := max(1, req.Displaced)
	if staleness.Age <= 0 {
		return concurrent
	}
	unreported := p.UnreportedFactor * staleness.RequestRate * float64(staleness.Daemons) * staleness.Age.Seconds()
	return max(concurrent, p.MinConcurrent, int(math.Ceil(unreported)))
}

// choice is the index of a group, and its cost for the request.
type choice struct {
	index int
	cost  time.Duration
}

func byCost(a, b choice) int { return cmp.Compare(a.cost, b.cost) }

// pickSpread picks a group at random for one of several requests that are sent at the same moment
// and add the same delay each. Daemons that know the same loads would otherwise all pick the same
// group before they receive each other's loads. The probabilities equalize the costs of the picked
// groups.
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
