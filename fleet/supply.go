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
func (w Snapshot) demandOf(m models.ModelProfile) float64 { return max(minDemand, w.Demand[m.Name]) }

// marginalGain is the gain from one more instance: the decrease in the waiting time of a request,
// times the number of requests.
func (w Snapshot) marginalGain(m models.ModelProfile, s supply) float64 {
	ratio := w.demandOf(m) / effectiveSupply(m, s)
	return ratio * ratio
}

// congestion is a measure of how badly all models together are supplied. The waiting time of a
// model's requests grows with its demand over its supply, so each model adds its demand times that
// ratio.
func (w Snapshot) congestion(s supply) float64 {
	sum := 0.0
	for _, m := range w.Profile.Models {
		sum += w.demandOf(m) * w.demandOf(m) / effectiveSupply(m, s)
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

// utilization is the fraction of the model's slots that are busy if its groups have this many
// instances.
func (w Snapshot) utilization(m models.ModelProfile, instances int) float64 {
	slots := float64(instances/m.GroupSize*w.Profile.Slots) - w.LimitedSlots[m.Name]
	return w.InFlight[m.Name] / max(1, slots)
}

// bySize lists the models by group size, largest first.
func (w Snapshot) bySize() []models.ModelProfile {
	out := slices.Clone(w.Profile.Models)
	slices.SortStableFunc(out, func(a, b models.ModelProfile) int { return b.GroupSize - a.GroupSize })
	return out
}

// IsWarm reports whether an instance runs a model or has its weights on its host.
func IsWarm(i models.UpstreamInstance, model models.ModelName) bool {
	return i.LoadedModel == model || slices.Contains(i.StagedModels, model)
}
