package fleet

import (
	"maps"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// callerWeight is the part of the cost that treats all callers alike. The rest treats all models
	// alike, so that none is given up for having few callers.
	callerWeight = 0.8
	// keptPeak is the fraction of a model's recent peak rate for which it keeps its groups: demand
	// oscillates, and groups that are closed in a trough are missing seconds later.
	keptPeak = 0.9
)

// cost returns the weighted fraction of late requests that is expected of a supply. A model that
// would lose instances is judged by its recent peak rate.
func (r *round) cost(s supply) float64 {
	return r.costAt(s, func(m models.ModelProfile) float64 {
		rate := r.Demand[m.Name].Rate
		if s[m.Name] < r.assigned[m.Name] {
			return max(rate, keptPeak*r.calibration.peaks[m.Name])
		}
		return rate
	})
}

// presentCost returns the cost of a supply by the present rates.
func (r *round) presentCost(s supply) float64 {
	return r.costAt(s, func(m models.ModelProfile) float64 { return r.Demand[m.Name].Rate })
}

// costAt returns the cost of a supply for these rates of requests.
func (r *round) costAt(s supply, rate func(models.ModelProfile) float64) float64 {
	total := 0.0
	for _, m := range r.Profile.Models {
		total += r.Demand[m.Name].Rate
	}
	sum := 0.0
	for _, m := range r.Profile.Models {
		e := r.estimate(m)
		e.demand.Rate = rate(m)
		weight := callerWeight*r.Demand[m.Name].Rate/max(1, total) + (1-callerWeight)/float64(len(r.Profile.Models))
		sum += weight * e.late(r.groupsOf(m, s[m.Name]))
	}
	return sum
}

// groupsOf returns the number of groups that instances of a model make up, less those whose slots
// are withheld by rate limits.
func (r *round) groupsOf(m models.ModelProfile, instances int) float64 {
	return float64(instances)/float64(m.GroupSize) - r.LimitedSlots[m.Name]/float64(max(1, r.Profile.Slots))
}

// groupGain returns by how much one more group of the model lowers the cost, for each of its
// instances.
func (r *round) groupGain(m models.ModelProfile) float64 {
	more := maps.Clone(r.assigned)
	more[m.Name] += m.GroupSize
	return (r.cost(r.assigned) - r.cost(more)) / float64(m.GroupSize)
}
