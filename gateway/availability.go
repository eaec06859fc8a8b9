package gateway

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// exclude stops a rate-limited instance from being picked until a time.
func (s *scheduler) exclude(id models.InstanceID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excludedUntil[id] = until
}

// isExcluded reports whether an instance must not be picked: it backs off, is leaving, or has a
// rate limit and no permit is available. The scheduler must be locked.
func (s *scheduler) isExcluded(node Node, i models.UpstreamInstance, now time.Time) bool {
	return node.Breakers().Check(i) != nil || s.isPermitDenied(node, i, now)
}

// isPermitDenied reports whether a rate-limited instance is excluded because no permit is available
// now. The scheduler must be locked.
func (s *scheduler) isPermitDenied(node Node, i models.UpstreamInstance, now time.Time) bool {
	return now.Before(s.excludedUntil[i.ID]) && node.Limits().Rate(i, now) != models.NoRateLimit
}

// availability is when a request that can't be sent now can be sent.
type availability struct {
	at time.Time
	// since is when the first instance to become available stopped getting requests.
	since time.Time
	// err is why the request can't be sent now, errAllLimited or errAllBackingOff.
	err error
}

// nextAvailability returns when the first of the instances that get no requests now becomes
// available. It returns false if there is none: each instance is available, was tried, or is
// leaving.
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
		candidate := availability{at, since, errAllBackingOff}
		if until := s.excludedUntil[i.ID]; s.isPermitDenied(node, i, now) && !until.Before(at) {
			candidate = availability{until, now, errAllLimited}
		}
		if candidate.at.After(now) && (first.at.IsZero() || candidate.at.Before(first.at)) {
			first = candidate
		}
	}
	return first, !first.at.IsZero()
}
