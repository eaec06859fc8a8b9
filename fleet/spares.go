package fleet

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// lossWindow is the time over which losses are counted, and usualLosses how many are
	// added to what was seen in it, so that a quiet time is not taken for a safe one.
	lossWindow  = 20 * time.Second
	usualLosses = 2
	// spareWaits is how long a spare waits, as a rule, until it is needed or another one
	// has come.
	spareWaits = 10 * time.Second
	// spareSaves is the part of that time by which a group is whole again sooner with a
	// spare: else another group closes first, which takes three seconds.
	spareSaves = 0.3
)

// lossRate is how likely a member of a group is to be lost in a second, by the losses
// of late. Where a whole fabric domain is lost at once each of its groups counts.
func (r *round) lossRate() float64 {
	r.losses = slices.DeleteFunc(r.losses, func(at time.Time) bool { return r.Now.Sub(at) > lossWindow })
	return float64(len(r.losses)+usualLosses) / lossWindow.Seconds() / float64(max(1, len(r.Instances)))
}

// spareRisk is how likely a member of a group is to be lost while a spare waits.
func (w World) spareRisk() float64 { return w.LossRate * spareWaits.Seconds() }

// keepsSpares reports whether a group that could be formed is not, as it would take the
// last spare of larger groups of the domain: these lose more, all in all, while one of
// them waits for a member than there is to be gained.
func (r *round) keepsSpares(c candidate, domain models.Domain, free []models.InstanceID) bool {
	gain := r.benefit(c.model, r.settled) * float64(c.model.Size)
	for _, m := range r.Profile.Models {
		here := r.settledIn[domain][m.Name]
		if m.Size <= c.model.Size || here == 0 || !r.Traffic {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(free), func(id models.InstanceID) bool { return slices.Contains(c.members, id) })
		if r.count(left, m.Name) > 0 || r.count(free, m.Name) == 0 {
			continue
		}
		groups := r.settled.groups(m)
		harm := r.spareRisk() * float64(here) * spareSaves * (r.costOf(m, groups-1) - r.costOf(m, groups))
		if harm > gain {
			return true
		}
	}
	return false
}
