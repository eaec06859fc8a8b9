package cluster

import (
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// handleStalled raises a suspicion. It is shown in views, and ends after suspicionDuration, by a
// report of the head, or by an update of it.

// suspicionDuration is how long a stalled head gets no requests, unless an update or report clears
// it.
const suspicionDuration = 800 * time.Millisecond

// suspicion marks the head of a group as stalled.
type suspicion struct {
	group models.GroupKey
	until time.Time
	// own is set if this node itself found the stall.
	own bool
}

// stalledHeads returns the suspects that this node itself found stalled.
func (f *fleetState) stalledHeads(now time.Time) []StalledHead {
	var out []StalledHead
	for id, s := range f.suspects {
		if s.own && now.Before(s.until) {
			out = append(out, StalledHead{Group: s.group, Head: id})
		}
	}
	return out
}

// expireSuspicions drops expired suspicions and reports whether there were any.
func (f *fleetState) expireSuspicions(now time.Time) bool {
	before := len(f.suspects)
	maps.DeleteFunc(f.suspects, func(_ models.InstanceID, s suspicion) bool { return now.After(s.until) })
	return len(f.suspects) < before
}

// maxSuspectShare is the share of a model's groups up to which suspects get no requests. A larger
// share does not fail at once (a fabric domain is a third of the groups on the smallest site);
// rather daemons are late or groups overloaded, and each group without requests would slow down the
// others.
const maxSuspectShare = 0.4

// suspectedHeads returns the suspected heads of these groups.
func (f *fleetState) suspectedHeads(groups map[models.ServedModel][]Group, now time.Time) map[models.InstanceID]bool {
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

// withoutSuspects filters out the groups whose heads are suspected.
func withoutSuspects(groups map[models.ServedModel][]Group, suspects map[models.InstanceID]bool) map[models.ServedModel][]Group {
	if len(suspects) == 0 {
		return groups
	}
	out := make(map[models.ServedModel][]Group, len(groups))
	for model, of := range groups {
		for _, g := range of {
			if !suspects[g.Head.ID] {
				out[model] = append(out[model], g)
			}
		}
	}
	return out
}
