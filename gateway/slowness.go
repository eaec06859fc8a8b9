package gateway

import (
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/placement"
)

// prediction is the predicted first event of an attempt, and its observation for the slowness of
// the group. The zero value means that nothing was predicted.
type prediction struct {
	// firstEvent is the mean time to the first event, including the group's slowness, spread its
	// standard deviation.
	firstEvent, spread time.Duration
	pending            *placement.PendingFirstEvent
}

// known reports whether the first event was predicted.
func (p prediction) known() bool { return p.firstEvent > 0 }

// overdueAfter returns the time after which the first event is overdue.
func (p prediction) overdueAfter() time.Duration { return p.firstEvent + overdueSpreads*p.spread }

// predictFirstEvent returns the predicted time to the first event of a request that is sent to a
// group now.
func (s *scheduler) predictFirstEvent(node Node, engine *models.EngineProfile, group cluster.Group, name models.ModelName) (time.Duration, bool) {
	base, model, known := s.baseOf(engine, models.ServedModel{Service: group.Service, Model: name})
	if !known {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.FirstEvent(engine, model, base, s.candidate(node, group, time.Now())), true
}

// slownessOf returns the slowness of a group. The scheduler must be locked.
func (s *scheduler) slownessOf(key models.GroupKey) *placement.Slowness {
	found := s.slowness[key]
	if found == nil {
		found = &placement.Slowness{}
		s.slowness[key] = found
	}
	return found
}

// predict predicts the first event of a request that is sent to a group now, and begins its
// observation.
func (s *scheduler) predict(node Node, engine *models.EngineProfile, group cluster.Group, req models.RequestHead, latencyTarget time.Duration) prediction {
	base, model, known := s.baseOf(engine, models.ServedModel{Service: group.Service, Model: req.Model})
	if !known {
		return prediction{}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	candidate := s.candidate(node, group, now)
	first := s.policy.FirstEvent(engine, model, base, candidate)
	candidate.Slowness = 0
	return prediction{
		firstEvent: first,
		spread:     placement.FirstEventSpread(engine, model, latencyTarget, req.PromptTokens),
		pending:    s.slownessOf(group.Key).Begin(s.policy.FirstEvent(engine, model, base, candidate), now),
	}
}

// baseOf returns the base latency and the profile of a model, if both are known. The scheduler must
// not be locked.
func (s *scheduler) baseOf(engine *models.EngineProfile, served models.ServedModel) (time.Duration, models.ModelProfile, bool) {
	if engine == nil {
		return 0, models.ModelProfile{}, false
	}
	model, profiled := engine.Model(served.Model)
	base, known := s.baseLatency(served)
	return base, model, profiled && known && base > 0
}

// endPrediction ends the observation of a first event that arrived or no longer can. It may be
// called again.
func (s *scheduler) endPrediction(group models.GroupKey, p prediction, arrived bool) {
	if !p.known() {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if arrived {
		s.slownessOf(group).Arrived(p.pending, now)
	} else {
		s.slownessOf(group).Abandoned(p.pending, now)
	}
}

// pruneGroups drops the state of groups that are gone. The scheduler must be locked.
func (s *scheduler) pruneGroups(groups map[models.ServedModel][]cluster.Group) {
	there := map[models.GroupKey]bool{}
	for _, of := range groups {
		for _, g := range of {
			there[g.Key] = true
		}
	}
	maps.DeleteFunc(s.groupsSeenAt, func(key models.GroupKey, _ time.Time) bool { return !there[key] })
	maps.DeleteFunc(s.slowness, func(key models.GroupKey, slowness *placement.Slowness) bool {
		return !there[key] && !slowness.InUse()
	})
}

// newGroupTime is how long a group counts as just formed. Loads are 0.2 s old at most, and a daemon
// that gets few requests would otherwise take a third of all groups for new.
const newGroupTime = 2 * time.Second

// noteGroups records when groups of a model are first seen. The epoch of a group tells the order in
// which groups were formed, but not when. The groups that a daemon sees first may be old. The
// scheduler must be locked.
func (s *scheduler) noteGroups(model models.ServedModel, groups []cluster.Group, now time.Time) {
	seenAt := now
	if !s.modelsSeen[model] {
		seenAt = time.Time{}
	}
	for _, g := range groups {
		s.modelsSeen[model] = true
		if _, seen := s.groupsSeenAt[g.Key]; !seen {
			s.groupsSeenAt[g.Key] = seenAt
		}
	}
}

// isUnproven reports whether the speed of a group is unknown: it has just formed, and this daemon
// has received no first event from it, or its head is cold. The scheduler must be locked.
func (s *scheduler) isUnproven(node Node, g cluster.Group, now time.Time) bool {
	known := s.slowness[g.Key]
	isNew := now.Sub(s.groupsSeenAt[g.Key]) < newGroupTime && (known == nil || !known.Observed())
	return isNew || node.Limits().IsCold(g.Head, now)
}

// slownessFactor returns the slowness of a group, 1 if it was not observed. The scheduler must be
// locked.
func (s *scheduler) slownessFactor(key models.GroupKey, now time.Time) float64 {
	if known := s.slowness[key]; known != nil {
		return known.Factor(now)
	}
	return 1
}
