package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Where lateness is not estimated, conversions follow the shares of the instances that the models
// need, and only one runs at a time.

const (
	// minShareRepairGain is the fraction by which a conversion must reduce the congestion if at least
	// half of its members are free instances, left by a broken group: closing a group and forming
	// another takes about 3 s. minShareShiftGain applies if most of its members come from serving
	// groups: their domain then has no spares to repair the next loss with.
	minShareRepairGain = 0.02
	minShareShiftGain  = 0.12
	// maxDonorUtilization is the utilization up to which a model may always give up instances: its
	// streams are not slowed down at that utilization.
	maxDonorUtilization = 0.35
	// highUtilization is the utilization from which a model is short of instances: from 0.75 on, an
	// engine's pauses get longer. lowUtilization is the utilization up to which another model can do
	// without new instances.
	highUtilization = 0.8
	lowUtilization  = 0.62
	// minShiftInterval is the minimum time from a planner's start, and from its last conversion,
	// until it moves serving groups from one model to another: before that, neither the demand nor
	// the effect of the last conversion is known well enough.
	minShiftInterval = 4 * time.Second
)

// startShareConversion starts the worthwhile conversion that leaves the lowest congestion over all
// models, if there is one.
func (r *round) startShareConversion() {
	sinceLast := r.Now.Sub(r.began)
	for _, at := range r.converted {
		sinceLast = min(sinceLast, r.Now.Sub(at))
	}
	if len(r.converting) > 0 || !r.HasTraffic || sinceLast < minConversionInterval {
		return
	}
	var best *conversion
	lowest := 0.0
	for _, c := range r.conversionOptions() {
		if !r.shareWorthwhile(c, sinceLast) {
			continue
		}
		if congestion := r.congestion(r.supplyAfter(c)); best == nil || congestion < lowest {
			best, lowest = c, congestion
		}
	}
	if best != nil {
		r.beginConversion(best)
	}
}

// supplyAfter returns the supply of all models after the conversion.
func (r *round) supplyAfter(c *conversion) supply {
	out := maps.Clone(r.assigned)
	for name, n := range c.supplyChange {
		out[name] += n
	}
	return out
}

// shareWorthwhile reports whether a conversion may start. Its members must not be about to serve in
// another way, and it must either reduce the congestion while the donor models keep enough
// capacity, or relieve an overloaded model.
func (r *round) shareWorthwhile(c *conversion, sinceLast time.Duration) bool {
	if r.releasePending(c.domain, c.model.Name) {
		return false
	}
	gain := minShareRepairGain
	if 2*c.freeCount < c.model.GroupSize {
		if sinceLast < minShiftInterval || r.repairPending(c) {
			return false
		}
		gain = minShareShiftGain
	}
	after := r.supplyAfter(c)
	gains := r.congestion(after) < r.congestion(r.assigned)*(1-gain)
	donors, utilization := r.highestDonorUtilization(after), r.utilization(c.model, r.assigned[c.model.Name])
	return gains && donors <= max(maxDonorUtilization, utilization) || utilization >= highUtilization && donors <= lowUtilization
}

// highestDonorUtilization returns the highest utilization among the models that lose instances.
func (r *round) highestDonorUtilization(after supply) float64 {
	most := 0.0
	for _, m := range r.Profile.Models {
		if after[m.Name] < r.assigned[m.Name] {
			most = max(most, r.utilization(m, after[m.Name]))
		}
	}
	return most
}

// repairPending reports whether a broken group of the conversion's model is about to be repaired in
// any domain.
func (r *round) repairPending(c *conversion) bool {
	return slices.ContainsFunc(r.allDomains(), func(domain models.Domain) bool { return r.releasePending(domain, c.model.Name) })
}
