package fleet

import (
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Held says what holds back a move of instances to a model.
type Held string

// Reasons for which no instances are moved to a model.
const (
	// HeldNone: the model has as many groups as it would have in the best split.
	HeldNone Held = "none"
	// HeldDemandUnknown: the demand is not known yet, or can't be turned into lateness.
	HeldDemandUnknown Held = "demand-unknown"
	// HeldMoving: enough instances are being moved, or those of the domains that could be used.
	HeldMoving Held = "moving"
	// HeldNoStagedHosts: no hosts of other models' groups have the model's weights.
	HeldNoStagedHosts Held = "no-staged-hosts"
	// HeldSmallGain: a move would lower the cost too little.
	HeldSmallGain Held = "small-gain"
)

// ModelSupply describes the supply of a model for operators.
type ModelSupply struct {
	// Target is the number of groups in the best split of the instances in groups for the present
	// demand, Reached the number that serve or are being formed.
	Target, Reached int
	// Late is the expected fraction of late requests with the groups reached.
	Late float64
	// Base is the base latency, OutputTokens the length of responses.
	Base         time.Duration
	OutputTokens float64
	Held         Held
}

// Supply describes the supply of each model as of the last Step, nil if there was none.
func (p *Planner) Supply() map[models.ModelName]ModelSupply {
	if p.last == nil {
		return nil
	}
	r := p.last
	target, out := r.bestSplit(), map[models.ModelName]ModelSupply{}
	for _, m := range r.Profile.Models {
		e := r.estimate(m)
		s := ModelSupply{
			Target: target[m.Name] / m.GroupSize, Reached: r.assigned[m.Name] / m.GroupSize,
			Base: e.demand.Base, OutputTokens: e.outputTokens,
		}
		if r.estimatesLateness() {
			s.Late = e.late(r.groupsOf(m, r.assigned[m.Name]))
		}
		s.Held = r.heldBack(m, s)
		out[m.Name] = s
	}
	return out
}

// maxSplitPasses bounds the search for the best split; with two models the first pass finds it.
const maxSplitPasses = 4

// bestSplit returns the split of the instances that are in groups with the lowest cost by the
// present rates. Two models at a time exchange instances, any number of groups at once: the cost
// may be lower only after several groups.
func (r *round) bestSplit() supply {
	best := maps.Clone(r.assigned)
	if !r.estimatesLateness() || !r.HasTraffic {
		return best
	}
	lowest := r.presentCost(best)
	for range maxSplitPasses {
		improved := false
		for at, a := range r.Profile.Models {
			for _, b := range r.Profile.Models[at+1:] {
				total := best[a.Name] + best[b.Name]
				for n := 0; n <= total; n += a.GroupSize {
					trial := maps.Clone(best)
					trial[a.Name], trial[b.Name] = n, (total-n)/b.GroupSize*b.GroupSize
					if cost := r.presentCost(trial); cost < lowest {
						best, lowest, improved = trial, cost, true
					}
				}
			}
		}
		if !improved {
			break
		}
	}
	return best
}

// heldBack returns what holds back a move of instances to the model.
func (r *round) heldBack(m models.ModelProfile, s ModelSupply) Held {
	switch {
	case !r.demandKnown():
		return HeldDemandUnknown
	case s.Reached >= s.Target:
		return HeldNone
	case !r.mayMoveMore():
		return HeldMoving
	}
	free, donors := r.freeInstances(), r.donors()
	resting, planned := false, false
	for _, domain := range r.allDomains() {
		if !r.mayConvert(domain) || r.releasePending(domain, m.Name) {
			resting = true
			continue
		}
		planned = planned || r.planConversion(domain, m, free[domain], donors[domain]) != nil
	}
	switch {
	case planned:
		return HeldSmallGain
	case resting:
		return HeldMoving
	default:
		return HeldNoStagedHosts
	}
}
