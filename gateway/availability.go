package gateway

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// bar has an instance that names a limit be left alone until then.
func (s *scheduler) exclude(id models.InstanceID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excludedUntil[id] = until
}

// isBarred reports whether an instance is to be left alone: it asked for rest, leaves, or names
// a limit and gave no permit. The balance must be locked.
func (s *scheduler) isExcluded(node Node, i models.UpstreamInstance, now time.Time) bool {
	return node.Breakers().Check(i) != nil || s.isPermitDenied(node, i, now)
}

// lacksPermit reports whether an instance is left alone that names a limit. The balance must
// be locked.
func (s *scheduler) isPermitDenied(node Node, i models.UpstreamInstance, now time.Time) bool {
	return now.Before(s.excludedUntil[i.ID]) && node.Limits().Rate(i, now) != models.NoLimit
}

// opening is when a request may be sent that may not be now.
type availability struct {
	at time.Time
	// since is when the instance that may be sent it first began to get none.
	since time.Time
	// reason is why it may not be sent now, errLimited or errResting.
	err error
}

// nextOpening is when the first of some instances may be sent a request again that gets none
// now. It returns false if there is none: all get requests, were tried, or leave.
func (s *scheduler) nextAvailability(node Node, instances []models.UpstreamInstance, tried []models.InstanceID) (availability, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var first availability
	for _, i := range instances {
		at, since, stays := node.Breakers().Next(i, now)
		if !stays || slices.Contains(tried, i.ID) {
			continue
		}
		o := availability{at, since, errAllBackingOff}
		if until := s.excludedUntil[i.ID]; s.isPermitDenied(node, i, now) && !until.Before(at) {
			o = availability{until, now, errAllLimited}
		}
		if o.at.After(now) && (first.at.IsZero() || o.at.Before(first.at)) {
			first = o
		}
	}
	return first, !first.at.IsZero()
}
