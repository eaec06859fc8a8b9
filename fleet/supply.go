package fleet

import (
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// minDemand stands for the part of instances that a model needs of which
// nothing is known.
const minDemand = 0.02

// supply counts, by model, the instances that serve or soon will.
type supply map[models.ModelName]int

// need is the part of all instances that the model needs.
func (w World) need(m models.ModelProfile) float64 { return max(minDemand, w.Demand[m.Name]) }

// weight tells how much a model gains by one more instance: how much less its
// requests wait, times how many they are.
func (w World) weight(m models.ModelProfile, s supply) float64 {
	lack := w.need(m) / instances(m, s)
	return lack * lack
}

// congestion tells how badly all models together are supplied. The requests of a
// model wait the longer the more of them there are for each of its instances, so
// that a model counts with its need by its need over its supply.
func (w World) congestion(s supply) float64 {
	sum := 0.0
	for _, m := range w.Profile.Models {
		sum += w.need(m) * w.need(m) / instances(m, s)
	}
	return sum
}

// noGroup is the part of a group that stands for none: a model without any serves
// nobody, which is far worse than any crowd.
const noGroup = 0.1

// instances is what a model is supplied with.
func instances(m models.ModelProfile, s supply) float64 {
	return max(float64(s[m.Name]), noGroup*float64(m.Size))
}

// use is the part of its places that the model uses if so many instances are in
// its groups.
func (w World) use(m models.ModelProfile, instances int) float64 {
	places := float64(instances/m.Size*w.Profile.Slots) - w.Withheld[m.Name]
	return w.Busy[m.Name] / max(1, places)
}

// bySize lists the models, those with the largest groups first.
func (w World) bySize() []models.ModelProfile {
	out := slices.Clone(w.Profile.Models)
	slices.SortStableFunc(out, func(a, b models.ModelProfile) int { return b.Size - a.Size })
	return out
}

// IsWarm reports whether an instance has a model's weights at hand, in use or
// on its host.
func IsWarm(i models.UpstreamInstance, model models.ModelName) bool {
	return i.Loaded == model || slices.Contains(i.Staged, model)
}
