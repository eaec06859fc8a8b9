package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/ratelimit"
)

const (
	// maxPermitRequests is how many times a request asks for a permit, each time for other instances,
	// before it counts as rejected.
	maxPermitRequests = 8
	// maxPermitCandidates bounds how many instances a permit request names.
	maxPermitCandidates = 32
	// permitLifetime is for how long a permit may be used.
	permitLifetime = 300 * time.Millisecond
	// unansweredExclusion is for how long instances are not picked after their granter did not
	// respond.
	unansweredExclusion = 300 * time.Millisecond
)

// permit allows one request to be sent to an instance whose rate limit covers all daemons together.
// The zero permit is enough for other instances.
type permit struct {
	instance models.InstanceID
	granted  time.Time
}

// needsPermit reports whether requests to an instance need permits.
func (g *Gateway) needsPermit(i models.UpstreamInstance) bool {
	return g.node.Limits().Rate(i, time.Now()) != models.NoRateLimit
}

// allows reports whether a request may be sent to an instance now. It is called right before the
// send: the instance may have announced a rate limit after it was picked, or the process may have
// been paused.
func (p permit) allows(g *Gateway, i models.UpstreamInstance) bool {
	if !g.needsPermit(i) {
		return true
	}
	return p.instance == i.ID && g.node.Clock().Since(p.granted) < permitLifetime
}

// requestPermit asks for a permit for one of several instances of a zone, the best first, and
// returns the index of the instance that it is for. Instances that can't be sent a request now are
// excluded until they can.
func (e *exchange) requestPermit(ctx context.Context, instances []models.UpstreamInstance) (int, permit, bool) {
	now := time.Now()
	ask := ratelimit.PermitRequest{Priority: e.permitRank(now)}
	for _, i := range instances {
		ask.Candidates = append(ask.Candidates, ratelimit.Candidate{Instance: i.ID, Rate: e.g.node.Limits().Rate(i, now)})
	}
	grant, err := e.g.node.RequestPermit(ctx, instances[0].Zone, ask)
	if err != nil {
		e.g.log.Debug().Str("request", string(e.head.ID)).Str("instance", string(instances[0].ID)).Err(err).Msg("permit-unanswered")
		for _, i := range instances {
			e.g.scheduler.exclude(i.ID, now.Add(unansweredExclusion))
		}
		return 0, permit{}, false
	}
	for n, wait := range grant.Waits[:min(len(grant.Waits), len(instances))] {
		if wait > 0 {
			e.g.scheduler.exclude(instances[n].ID, now.Add(wait))
		}
	}
	if !grant.Granted || grant.Index >= len(instances) {
		return 0, permit{}, false
	}
	return grant.Index, permit{instance: instances[grant.Index].ID, granted: now}, true
}

// permitRank returns the request's priority for permits: a request that is already late ranks below
// those that can still meet their latency target.
func (e *exchange) permitRank(now time.Time) int {
	r := rank(e.owner.Priority, e.route.Priority)
	if latencyTarget := e.route.LatencyTarget; latencyTarget > 0 && !e.headSent && now.Sub(e.started) > latencyTarget {
		return min(maxPriority, r+routeRanks)
	}
	return r
}

// target is a group that was picked for a request, with the permit for its head.
type target struct {
	group  cluster.Group
	permit permit
}

// pickPermittedGroup returns the picked group, or another one of its zone, with a permit for its
// head.
func (s *stream) pickPermittedGroup(engine *models.EngineProfile, picked cluster.Group) (target, bool) {
	groups := []cluster.Group{picked}
	if criteria := s.criteria(); criteria.isolationIndex == nil {
		groups = append(groups, s.g.scheduler.limitedGroups(s.g.node, engine, picked, criteria)...)
	}
	heads := make([]models.UpstreamInstance, len(groups))
	for n, g := range groups {
		heads[n] = g.Head
	}
	at, p, granted := s.requestPermit(s.ctx, heads)
	if !granted {
		return target{}, false
	}
	return target{groups[at], p}, true
}

// limitedGroups returns other groups of the same zone that have capacity and whose heads have a
// rate limit.
func (s *scheduler) limitedGroups(node Node, engine *models.EngineProfile, picked cluster.Group, criteria groupCriteria) []cluster.Group {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []cluster.Group
	for _, g := range s.eligible(node, node.View().Groups[criteria.servedModel()], criteria, now) {
		limited := node.Limits().Rate(g.Head, now) != models.NoRateLimit
		if len(out) < maxPermitCandidates-1 && limited && g.Head.ID != picked.Head.ID && g.Head.Zone == picked.Head.Zone &&
			s.policy.HasCapacity(engine, s.totalLoadLocked(node, g.Head.ID).Requests) {
			out = append(out, g)
		}
	}
	return out
}

// awaitInstance returns the instance of a plain service that the request is sent to next. If all
// have rate limits or back off, it waits as long as a stream waits for a group with capacity.
func (e *exchange) awaitInstance(ctx context.Context) (models.UpstreamInstance, permit, error) {
	until := e.started.Add(time.Duration(queueFraction * float64(e.route.LatencyTarget)))
	for {
		if err := e.checkTimeLeft(0); err != nil {
			return models.UpstreamInstance{}, permit{}, err
		}
		i, p, found := e.pickPermittedInstance(ctx)
		if found {
			return i, p, nil
		}
		next, opens := e.g.scheduler.nextAvailability(e.g.node, e.permittedInstances(), e.tried)
		if !opens {
			return i, p, errNoInstance
		}
		if next.at.After(until) {
			e.available = next
			return i, p, next.err
		}
		select {
		case <-ctx.Done():
			return i, p, errNoInstance
		case <-time.After(time.Until(next.at)):
		}
	}
}

// pickPermittedInstance returns an instance that needs no permit, or one with a permit.
func (e *exchange) pickPermittedInstance(ctx context.Context) (models.UpstreamInstance, permit, bool) {
	for range maxPermitRequests {
		i, found := e.pickInstance()
		if !found || !e.g.needsPermit(i) {
			return i, permit{}, found
		}
		instances := append([]models.UpstreamInstance{i}, e.g.scheduler.limitedInstances(e.g.node, e.permittedInstances(), i, e.tried)...)
		if at, p, granted := e.requestPermit(ctx, instances); granted {
			return instances[at], p, true
		}
	}
	return models.UpstreamInstance{}, permit{}, false
}

// limitedInstances returns the instances of the picked one's zone that have a rate limit, without it.
func (s *scheduler) limitedInstances(node Node, all []models.UpstreamInstance, picked models.UpstreamInstance, tried []models.InstanceID) []models.UpstreamInstance {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []models.UpstreamInstance
	for _, i := range all {
		skip := i.ID == picked.ID || i.Zone != picked.Zone || slices.Contains(tried, i.ID) || s.isExcluded(node, i, now)
		if len(out) < maxPermitCandidates-1 && !skip && node.Limits().Rate(i, now) != models.NoRateLimit {
			out = append(out, i)
		}
	}
	return out
}
