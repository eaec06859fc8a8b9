package fleet

import (
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Demand is the demand of all callers for a model, as a rate and means over its requests.
type Demand struct {
	// Rate is the number of requests per second.
	Rate float64
	// Prompt is the number of prompt tokens, Output the maximum number of tokens that the caller
	// accepts as a response.
	Prompt, Output float64
	// Target is the latency target, 0 if no route of the model has one.
	Target time.Duration
	// Base is the part of the time to the first event that the passes of the engine do not account
	// for, 0 if none has been observed.
	Base time.Duration
}

const (
	// passesBeforeFirst is how many passes precede the first event on average: the rest of the pass
	// that runs when a request arrives, and its own.
	passesBeforeFirst = 2
	// maxPrefillFraction bounds the fraction of a group's time that is spent on prefill, which
	// divides the duration of a pass by the rest.
	maxPrefillFraction = 0.8
	// typicalPrefillFraction is the fraction where the rate of requests at a group is not known.
	typicalPrefillFraction = 0.15
	// targetDeviation and prefillDeviation make up the standard deviation of the time to the first
	// event, as a fraction of the latency target and as a multiple of the mean prefill time. Both
	// are fitted to the late requests observed in two deployments (TestLateByLoad).
	targetDeviation  = 0.1
	prefillDeviation = 2.3
	// minDeviation keeps the deviation positive for engines without a prefill time.
	minDeviation = time.Millisecond
	// slotMargin is the number of free slots below which a request may have to wait for a slot,
	// since daemons send requests by loads that are slightly old.
	slotMargin = 2
	// saturatedLoad is the fraction of the slots in use, on average, at a group that gets as many
	// requests as it can serve: slots are empty for a moment between two requests.
	saturatedLoad = 0.9
	// unrequestedLate is the expected fraction of late requests of a model without requests and
	// without any group, so that it keeps one unless another model needs the instances.
	unrequestedLate = 0.2
)

// latencyEstimate predicts the time to the first event of a model's requests.
type latencyEstimate struct {
	engine *models.EngineProfile
	model  models.ModelProfile
	demand Demand
	// outputTokens is the mean number of tokens of a response.
	outputTokens float64
	// loadFactor is the ratio of the observed to the expected load of the serving groups, if that
	// is above 1: an overload shows in the requests in flight before the rates and the length of
	// responses follow.
	loadFactor float64
}

// step returns the duration of a decode step at a group with this load, in seconds.
func (e latencyEstimate) step(load float64) float64 {
	return e.model.TimeFactor * (e.engine.StepTime.Seconds() + load*e.engine.StepTimePerRequest.Seconds())
}

// prefill returns the mean prefill time of a prompt, in seconds.
func (e latencyEstimate) prefill() float64 {
	return e.model.TimeFactor * e.demand.Prompt / max(1, e.engine.PrefillTokensPerSecond)
}

// prefillFraction returns the fraction of its time that a group with this rate of requests spends
// on prefill.
func (e latencyEstimate) prefillFraction(rate float64) float64 {
	return min(maxPrefillFraction, rate*e.prefill())
}

// pass returns the duration of a pass, with prefill in between, in seconds.
func (e latencyEstimate) pass(load, prefillFraction float64) float64 {
	return max(1, float64(e.engine.StepsPerSend)) * e.step(load) / (1 - prefillFraction)
}

// target returns the latency target, in seconds. Without a stated one, requests count as late on
// average if they find all slots in use.
func (e latencyEstimate) target() float64 {
	if e.demand.Target > 0 {
		return e.demand.Target.Seconds()
	}
	return e.demand.Base.Seconds() + passesBeforeFirst*e.pass(float64(e.engine.Slots), typicalPrefillFraction)
}

// fullGroups returns how many groups serve all requests if all their slots are in use.
func (e latencyEstimate) fullGroups() float64 {
	slots := float64(e.engine.Slots)
	return e.demand.Rate * (e.prefill() + e.outputTokens*e.step(slots)/slots)
}

// load returns the requests in flight at a group with this rate of requests, which must be below
// that of a group with all slots in use.
func (e latencyEstimate) load(rate float64) float64 {
	perRequest := rate * e.outputTokens * e.model.TimeFactor
	free := 1 - rate*e.prefill() - perRequest*e.engine.StepTimePerRequest.Seconds()
	slots := float64(e.engine.Slots)
	if free <= 0 {
		return slots
	}
	return min(slots, perRequest*e.engine.StepTime.Seconds()/free)
}

// late returns the expected fraction of late requests if this number of groups serves the model.
// With too few groups for the rate even with all slots in use, it rises linearly up to 1 at no
// group.
func (e latencyEstimate) late(groups float64) float64 {
	groups = max(0, groups)
	if e.demand.Rate <= 0 {
		return unrequestedLate * max(0, 1-groups)
	}
	if full := e.fullGroups(); groups <= full {
		return 1 - groups/full*(1-e.lateAt(saturatedLoad*float64(e.engine.Slots), e.demand.Rate/full))
	}
	rate := e.demand.Rate / groups
	return e.lateAt(min(float64(e.engine.Slots), max(1, e.loadFactor)*e.load(rate)), rate)
}

// lateAt returns the probability that the first event comes after the latency target, at a group
// with this load and rate of requests. The time to the first event is taken as normally
// distributed.
func (e latencyEstimate) lateAt(load, rate float64) float64 {
	fraction, slots, target := e.prefillFraction(rate), float64(e.engine.Slots), e.target()
	wait := max(0, load+slotMargin-slots) * e.outputTokens * e.step(load) / (1 - fraction) / slots
	mean := e.demand.Base.Seconds() + passesBeforeFirst*e.pass(load, fraction) + wait
	deviation := math.Hypot(targetDeviation*target, prefillDeviation*e.prefill()/(1-fraction))
	return math.Erfc((target-mean)/max(minDeviation.Seconds(), deviation)/math.Sqrt2) / 2
}
