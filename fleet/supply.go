package fleet

import (
	"cmp"
	"slices"

	"github.com/lupinkeel/lupinkeel/models"
)

// bySize lists the models, those with the largest groups first.
func (w World) bySize() []models.ModelProfile {
	out := slices.Clone(w.Profile.Models)
	slices.SortStableFunc(out, func(a, b models.ModelProfile) int { return b.Size - a.Size })
	return out
}

// smallest is the model with the smallest groups.
func (w World) smallest() models.ModelProfile {
	return slices.MinFunc(w.Profile.Models, func(a, b models.ModelProfile) int { return a.Size - b.Size })
}

// byBenefit lists the models, that first whose callers gain most by an instance.
func (w World) byBenefit(s supply) []models.ModelProfile {
	out := slices.Clone(w.Profile.Models)
	slices.SortStableFunc(out, func(a, b models.ModelProfile) int { return cmp.Compare(w.benefit(b, s), w.benefit(a, s)) })
	return out
}

// IsWarm reports whether an instance has a model's weights at hand, in use or
// on its host.
func IsWarm(i models.UpstreamInstance, model models.ModelName) bool {
	return i.Loaded == model || slices.Contains(i.Staged, model)
}
