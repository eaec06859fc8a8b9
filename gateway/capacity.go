package gateway

import (
	"sort"
	"time"

	"github.com/lupinkeel/lupinkeel/admission"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/placement"
)

// groupsCapacity is what the groups that may run a queue's requests can take.
type groupsCapacity struct {
	admission.Capacity
	// groups is the number of these groups, load the least number of requests that one has.
	groups, load int
}

// horizon is the time within which first events count as in time: the longest latency target of a
// queue's requests. Each request's own time is compared with the prediction for the best group.
type horizon time.Duration

// capacity returns what the groups that may run a request with these criteria can take now. Without
// a known base latency nothing is predicted, and slots alone count.
func (s *scheduler) capacity(node Node, engine *models.EngineProfile, criteria groupCriteria, within horizon) groupsCapacity {
	now, served := time.Now(), criteria.servedModel()
	base, known := s.baseLatency(served)
	view := node.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := groupsCapacity{Capacity: admission.Capacity{LoadsAge: node.LoadsAge(), Deciders: max(1, view.LoadSharers()), Rate: s.demand[served].requests(now)}}
	model, profiled := engine.Model(served.Model)
	predicts := known && profiled && engine.StepTime > 0 && engine.PrefillTokensPerSecond > 0
	for _, g := range s.eligible(node, view.Groups[served], criteria, now) {
		c := s.candidate(node, g, now)
		free := max(0, engine.Slots+s.policy.ExtraSlots-c.Requests)
		if out.groups++; out.groups == 1 || c.Requests < out.load {
			out.load = c.Requests
		}
		if !predicts {
			out.Slots += free
			out.SlotsInTime += free
			continue
		}
		inTime := s.slotsInTime(engine, model, base, c, free, within)
		out.SlotsInTime += inTime
		out.Slots += max(inTime, min(free, engine.Slots-c.Requests))
		// A request that waits in the queue is sent once a slot is free.
		c.Requests = min(c.Requests, engine.Slots-1)
		if first := s.policy.FirstEvent(engine, model, base, c); out.FirstEvent == 0 || first < out.FirstEvent {
			out.FirstEvent = first
		}
	}
	return out
}

// slotsInTime returns how many of a group's free slots can be filled with requests whose first event
// is in time. If not even an idle group's would be, the load makes no difference, and all of them
// count.
func (s *scheduler) slotsInTime(engine *models.EngineProfile, model models.ModelProfile, base time.Duration, c placement.Candidate, free int, within horizon) int {
	limit := time.Duration(within) - placement.FirstEventSpread(engine, model, time.Duration(within), 0)
	late := func(c placement.Candidate) bool { return s.policy.FirstEvent(engine, model, base, c) > limit }
	if idle := (placement.Candidate{Slowness: c.Slowness}); late(idle) {
		return free
	}
	// First events grow with the load.
	return sort.Search(free, func(n int) bool {
		filled := c
		filled.Requests += n
		return late(filled)
	})
}
