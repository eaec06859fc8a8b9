package fleet

import (
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// minDemand is the minimum demand of a model, as a fraction of all instances. It applies if the
// demand is unknown.
const minDemand = 0.02

// supply is the number of instances of each model that serve or soon will.
type supply map[models.ModelName]int

// demandOf returns the fraction of all instances that the model needs.
func (s Snapshot) demandOf(m models.ModelProfile) float64 {
	return max(minDemand, s.DemandShares[m.Name])
}

// marginalGain is the gain from one more instance: the decrease in the waiting time of a request,
// times the number of requests.
func (s Snapshot) marginalGain(m models.ModelProfile, sup supply) float64 {
	ratio := s.demandOf(m) / effectiveSupply(m, sup)
	return ratio * ratio
}

// congestion is a measure of how badly all models together are supplied. The waiting time of a
// model's requests grows with its demand over its supply, so each model adds its demand times that
// ratio.
func (s Snapshot) congestion(sup supply) float64 {
	sum := 0.0
	for _, m := range s.Profile.Models {
		sum += s.demandOf(m) * s.demandOf(m) / effectiveSupply(m, sup)
	}
	return sum
}

// noGroupFraction is the fraction of a group that a model without any group is counted with:
// serving no requests at all is far worse than any overload.
const noGroupFraction = 0.1

// effectiveSupply is the supply of a model, positive even if it has no instance.
func effectiveSupply(m models.ModelProfile, s supply) float64 {
	return max(float64(s[m.Name]), noGroupFraction*float64(m.GroupSize))
}

// utilization is the fraction of the model's slots that are in use if its groups have this many
// instances.
func (s Snapshot) utilization(m models.ModelProfile, instances int) float64 {
	slots := float64(instances/m.GroupSize*s.Profile.Slots) - s.LimitedSlots[m.Name]
	return s.InFlight[m.Name] / max(1, slots)
}

// bySize lists the models by group size, largest first.
func (s Snapshot) bySize() []models.ModelProfile {
	out := slices.Clone(s.Profile.Models)
	slices.SortStableFunc(out, func(a, b models.ModelProfile) int { return b.GroupSize - a.GroupSize })
	return out
}

// IsWarm reports whether an instance runs a model or has its weights on its host.
func IsWarm(i models.UpstreamInstance, model models.ModelName) bool {
	return i.LoadedModel == model || slices.Contains(i.StagedModels, model)
}
