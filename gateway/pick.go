package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/placement"
)

// findGroup returns the best group that was not tried, if any, and whether it has capacity. If the
// group's head has a rate limit, the target includes a permit.
func (s *stream) findGroup() (dest target, found, free bool) {
	engine := s.engine()
	if engine == nil {
		return dest, false, false
	}
	for range maxPermitRequests {
		group, load, found := s.pickFreeGroup(engine)
		if found && len(s.tried) == 0 {
			s.pickedLoad = load
		}
		free := found && s.g.scheduler.policy.HasCapacity(engine, load)
		if !found || !(free || s.headSent) || !s.g.needsPermit(group.Head) {
			return target{group: group}, found, free
		}
		if dest, granted := s.pickPermittedGroup(engine, group); granted {
			return dest, true, free
		}
	}
	return dest, false, false
}

// pickFreeGroup returns the best group. If it is full, it returns the best one with capacity instead,
// if there is any: a random pick among similar groups may be a full one.
func (s *stream) pickFreeGroup(engine *models.EngineProfile) (group cluster.Group, load int, found bool) {
	criteria := s.criteria()
	group, load, found = s.g.scheduler.pickGroup(s.g.node, engine, criteria)
	if !found || s.headSent || s.g.scheduler.policy.HasCapacity(engine, load) {
		return group, load, found
	}
	criteria.maxLoad = engine.Slots + s.g.scheduler.policy.ExtraSlots
	if other, otherLoad, free := s.g.scheduler.pickGroup(s.g.node, engine, criteria); free {
		return other, otherLoad, true
	}
	return group, load, found
}

// findUnlimitedGroup is findGroup for groups whose heads have no rate limit.
func (s *stream) findUnlimitedGroup() (dest target, free bool) {
	engine := s.engine()
	if engine == nil {
		return dest, false
	}
	criteria := s.criteria()
	criteria.unlimitedOnly = true
	group, load, found := s.g.scheduler.pickGroup(s.g.node, engine, criteria)
	return target{group: group}, found && s.g.scheduler.policy.HasCapacity(engine, load)
}

// heads returns the heads of the service's groups that serve the request's model.
func (e *exchange) heads() []models.UpstreamInstance {
	var out []models.UpstreamInstance
	for _, g := range e.g.node.View().Groups[e.servedModel()] {
		out = append(out, g.Head)
	}
	return out
}

// groupCriteria are a request's criteria for the group that is picked for it.
type groupCriteria struct {
	head models.RequestHead
	// service is the one that must run the request: others may serve models of the same name.
	service models.ServiceName
	// latencyTarget is the time in which the first event should be sent, 0 if the request is late
	// already; routeTarget is the latency target of its route in any case.
	latencyTarget, routeTarget time.Duration
	tried                      []models.InstanceID
	// isolationIndex picks one of several groups or instances for an isolated request; it is nil for
	// others.
	isolationIndex func(places int) int
	// timeLeft is the time until the first event is due, 0 if it is late already or was sent.
	timeLeft time.Duration
	// unlimitedOnly excludes groups whose heads have a rate limit.
	unlimitedOnly bool
	// maxLoad excludes groups with this number of requests or more, unless it is 0.
	maxLoad int
	// zones are the zones whose groups may run the request.
	zones zoneFilter
}

// servedModel returns the model that must run the request.
func (c groupCriteria) servedModel() models.ServedModel {
	return models.ServedModel{Service: c.service, Model: c.head.Model}
}

// servedModel returns the model that must run the request.
func (e *exchange) servedModel() models.ServedModel {
	return models.ServedModel{Service: e.service, Model: e.head.Model}
}

// criteria returns the stream's criteria for its next group. After a failover the stream is late
// already, wherever it continues.
func (s *stream) criteria() groupCriteria {
	criteria := groupCriteria{head: s.head, service: s.service, latencyTarget: s.route.LatencyTarget, routeTarget: s.route.LatencyTarget, tried: s.tried, isolationIndex: s.isolationIndex(), zones: s.zones}
	if len(s.tried) > 0 {
		criteria.latencyTarget = 0
	}
	if !s.headSent {
		criteria.timeLeft = max(0, time.Until(s.started.Add(s.route.LatencyTarget)))
	}
	return criteria
}

// pickGroup returns a group that was not tried and is expected to answer soon, and how many
// requests it has.
func (s *scheduler) pickGroup(node Node, engine *models.EngineProfile, criteria groupCriteria) (cluster.Group, int, bool) {
	head, served, tried, now := criteria.head, criteria.servedModel(), criteria.tried, time.Now()
	base, model, _ := s.baseOf(engine, served)
	s.mu.Lock()
	defer s.mu.Unlock()
	view := node.View()
	s.noteGroups(served, view.Groups[served], now)
	groups := s.eligible(node, view.Groups[served], criteria, now)
	if len(groups) == 0 {
		return cluster.Group{}, 0, false
	}
	candidates := make([]placement.Candidate, len(groups))
	for i, g := range groups {
		candidates[i] = s.candidate(node, g, now)
	}
	if criteria.isolationIndex != nil {
		index := s.pickIsolated(engine, groups, candidates, criteria.isolationIndex)
		return groups[index], candidates[index].Requests, true
	}
	req := placement.Request{PromptTokens: head.PromptTokens, LatencyTarget: criteria.latencyTarget, RouteTarget: criteria.routeTarget, Displaced: 1, Model: model, Base: base, TimeLeft: criteria.timeLeft}
	for _, id := range tried {
		// Its other requests fail over as well.
		req.Displaced = max(req.Displaced, s.totalLoadLocked(node, id).Requests)
	}
	staleness := placement.Staleness{Age: view.LoadsAge(), Daemons: view.LoadSharers(), RequestRate: s.demand[served].requests(now)}
	index := s.policy.Pick(engine, candidates, req, staleness, s.random)
	return groups[index], candidates[index].Requests, true
}

// pickIsolated picks a group for an isolated request: the one that isolationIndex names, or the
// next one with capacity.
func (s *scheduler) pickIsolated(engine *models.EngineProfile, groups []cluster.Group, candidates []placement.Candidate, isolationIndex func(int) int) int {
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(groups[a].Head.ID, groups[b].Head.ID) })
	first := isolationIndex(len(order))
	for n := range order {
		index := order[(first+n)%len(order)]
		if s.policy.HasCapacity(engine, candidates[index].Requests) {
			return index
		}
	}
	return order[first]
}

// candidate returns the placement candidate of a group. The scheduler must be locked.
func (s *scheduler) candidate(node Node, g cluster.Group, now time.Time) placement.Candidate {
	load := s.totalLoadLocked(node, g.Head.ID)
	return placement.Candidate{
		Requests: load.Requests, PrefillTokens: load.PrefillTokens, SameZone: g.Head.Zone == s.zone, Failures: s.penalty(node, g.Head),
		Slowness: s.slownessFactor(g.Key, now), Unproven: s.isUnproven(node, g, now),
	}
}

// eligible returns the groups that may run the request, were not tried and are not excluded. The scheduler must be
// locked.
func (s *scheduler) eligible(node Node, groups []cluster.Group, criteria groupCriteria, now time.Time) []cluster.Group {
	return slices.DeleteFunc(slices.Clone(groups), func(g cluster.Group) bool {
		return !criteria.zones.permits(g.Head.Zone) || slices.Contains(criteria.tried, g.Head.ID) || s.isExcluded(node, g.Head, now) ||
			(criteria.maxLoad > 0 && s.totalLoadLocked(node, g.Head.ID).Requests >= criteria.maxLoad) ||
			(criteria.unlimitedOnly && node.Limits().Rate(g.Head, now) != models.NoRateLimit)
	})
}

// pickInstance returns the one of several instances with the fewest requests that was not tried; a
// tie goes to this daemon's zone. Recent failures, and backoffs that other daemons were asked
// for, count as requests.
func (s *scheduler) pickInstance(node Node, all []models.UpstreamInstance, tried []models.InstanceID) (models.UpstreamInstance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, minLoad, now := -1, 0.0, time.Now()
	for _, i := range rand.Perm(len(all)) {
		if slices.Contains(tried, all[i].ID) || s.isExcluded(node, all[i], now) {
			continue
		}
		load := float64(s.totalLoadLocked(node, all[i].ID).Requests) + requestsPerFailure*s.penalty(node, all[i])
		sameZone := best >= 0 && load == minLoad && all[i].Zone == s.zone && all[best].Zone != s.zone
		if best < 0 || load < minLoad || sameZone {
			best, minLoad = i, load
		}
	}
	if best < 0 {
		return models.UpstreamInstance{}, false
	}
	return all[best], true
}
