package cluster

import (
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// A suspicion is raised by handleStalled, shown to those who pick groups, and
// ends by itself, by a report of the head or by news of it.

// suspectFor is how long a stalled head is passed over without news.
const suspicionDuration = 800 * time.Millisecond

// suspicion is that nothing moves at a group's head.
type suspicion struct {
	group models.GroupKey
	until time.Time
	// own tells that this node itself found it.
	own bool
}

// stalledHeads lists what this node itself found to stand still.
func (f *fleetState) stalledHeads(now time.Time) []StalledHead {
	var out []StalledHead
	for id, s := range f.suspects {
		if s.own && now.Before(s.until) {
			out = append(out, StalledHead{Group: s.group, Head: id})
		}
	}
	return out
}

// endSuspicions forgets those that have lasted long enough, and reports whether
// there were any.
func (f *fleetState) expireSuspicions(now time.Time) bool {
	before := len(f.suspects)
	maps.DeleteFunc(f.suspects, func(_ models.InstanceID, s suspicion) bool { return now.After(s.until) })
	return len(f.suspects) < before
}

// mostSuspect is the part of a model's groups beyond which all that seem to
// stand still are used all the same: so many are not lost at once (a fabric
// domain is a third of the groups on the smallest site), but where daemons are
// late or groups overloaded each one passed over makes the others slower.
const maxSuspectShare = 0.4

// suspected lists the heads of these groups that any daemon found to stand
// still.
func (f *fleetState) suspectedHeads(groups map[models.ModelName][]Group, now time.Time) map[models.InstanceID]bool {
	out := map[models.InstanceID]bool{}
	for _, of := range groups {
		var heads []models.InstanceID
		for _, g := range of {
			if s, suspect := f.suspects[g.Head.ID]; suspect && now.Before(s.until) {
				heads = append(heads, g.Head.ID)
			}
		}
		if len(heads) > 1 && float64(len(heads)) > maxSuspectShare*float64(len(of)) {
			continue
		}
		for _, id := range heads {
			out[id] = true
		}
	}
	return out
}

// trusted leaves out the groups whose heads are suspected.
func withoutSuspects(groups map[models.ModelName][]Group, suspects map[models.InstanceID]bool) map[models.ModelName][]Group {
	if len(suspects) == 0 {
		return groups
	}
	out := make(map[models.ModelName][]Group, len(groups))
	for model, of := range groups {
		for _, g := range of {
			if !suspects[g.Head.ID] {
				out[model] = append(out[model], g)
			}
		}
	}
	return out
}
