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
	// mostAsks is how often a request asks for a permit until it counts as refused, each
	// time for other instances.
	mostAsks = 8
	// mostWanted bounds how many instances one ask names.
	mostWanted = 32
	// permitValid is for how long a permit may be used.
	permitValid = 300 * time.Millisecond
	// unansweredBar is for how long instances are left alone whose granter did not answer.
	unansweredBar = 300 * time.Millisecond
)

// permit allows one request to be sent to an instance that bounds how many it gets from all
// daemons. The zero permit is enough for other instances.
type permit struct {
	instance models.InstanceID
	granted  time.Time
}

// isLimited reports whether requests to an instance need permits.
func (g *Gateway) isLimited(i models.UpstreamInstance) bool {
	return g.node.Limits().Rate(i, time.Now()) != models.NoLimit
}

// allows reports whether a request may be sent to an instance now. It is asked at the send
// itself: the instance may have named a limit since it was picked, or the process may have
// stood still.
func (p permit) allows(g *Gateway, i models.UpstreamInstance) bool {
	if !g.isLimited(i) {
		return true
	}
	return p.instance == i.ID && g.node.Clock().Since(p.granted) < permitValid
}

// askPermit asks for a permit for one of some instances of a zone, the best first, and
// returns which one it is for. Instances that can't be sent a request now are left alone for
// as long.
func (e *exchange) askPermit(ctx context.Context, instances []models.UpstreamInstance) (int, permit, bool) {
	now := time.Now()
	ask := ratelimit.Ask{Rank: e.permitRank(now)}
	for _, i := range instances {
		ask.Wanted = append(ask.Wanted, ratelimit.Wanted{Instance: i.ID, Rate: e.g.node.Limits().Rate(i, now)})
	}
	grant, err := e.g.node.AskPermit(ctx, instances[0].Zone, ask)
	if err != nil {
		e.g.log.Debug().Str("request", string(e.head.ID)).Str("instance", string(instances[0].ID)).Err(err).Msg("permit-unanswered")
		for _, i := range instances {
			e.g.balance.bar(i.ID, now.Add(unansweredBar))
		}
		return 0, permit{}, false
	}
	for n, wait := range grant.Waits[:min(len(grant.Waits), len(instances))] {
		if wait > 0 {
			e.g.balance.bar(instances[n].ID, now.Add(wait))
		}
	}
	if !grant.Granted || grant.At >= len(instances) {
		return 0, permit{}, false
	}
	return grant.At, permit{instance: instances[grant.At].ID, granted: now}, true
}

// permitRank is how urgent the request is: one that is late already comes after those that
// can still be in time.
func (e *exchange) permitRank(now time.Time) int {
	r := rank(e.holder.Priority, e.route.Priority)
	if aim := e.route.Aim; aim > 0 && !e.answering && now.Sub(e.began) > aim {
		return min(maxPriority, r+routeRanks)
	}
	return r
}

// placed is a group that a request goes to, with the permit for its head.
type placed struct {
	group  cluster.Group
	permit permit
}

// permitted returns the group that was picked, or another one whose head its zone's granter
// gives a permit for.
func (s *stream) permitted(engine *models.EngineProfile, picked cluster.Group) (placed, bool) {
	groups := []cluster.Group{picked}
	if w := s.wants(); w.place == nil {
		groups = append(groups, s.g.balance.limitedBeside(s.g.node, engine, picked, w)...)
	}
	heads := make([]models.UpstreamInstance, len(groups))
	for n, g := range groups {
		heads[n] = g.Head
	}
	at, p, granted := s.askPermit(s.ctx, heads)
	if !granted {
		return placed{}, false
	}
	return placed{groups[at], p}, true
}

// limitedBeside are other groups of the same zone that have a place and whose heads name a
// limit.
func (b *balance) limitedBeside(node Beliefs, engine *models.EngineProfile, picked cluster.Group, w wanted) []cluster.Group {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []cluster.Group
	for _, g := range b.eligible(node, node.View().Groups[w.head.Model], w, now) {
		limited := node.Limits().Rate(g.Head, now) != models.NoLimit
		if len(out) < mostWanted-1 && limited && g.Head.ID != picked.Head.ID && g.Head.Zone == picked.Head.Zone &&
			b.policy.Takes(engine, b.loadAt(node, g.Head.ID).Requests) {
			out = append(out, g)
		}
	}
	return out
}

// pickPermitted returns the instance of a plain service that the request is sent to next.
// Where all of them name limits or rest it waits as long as others wait for a place.
func (e *exchange) pickPermitted(ctx context.Context) (models.UpstreamInstance, permit, error) {
	until := e.began.Add(time.Duration(queuePart * float64(e.route.Aim)))
	for {
		i, p, found := e.askInstances(ctx)
		if found {
			return i, p, nil
		}
		next, opens := e.g.balance.nextOpening(e.g.node, e.g.node.View().Services[e.service], e.tried)
		if !opens {
			return i, p, errNoUpstream
		}
		if next.at.After(until) {
			e.opening = next
			return i, p, next.reason
		}
		select {
		case <-ctx.Done():
			return i, p, errNoUpstream
		case <-time.After(time.Until(next.at)):
		}
	}
}

// askInstances returns an instance that needs no permit, or one with a permit.
func (e *exchange) askInstances(ctx context.Context) (models.UpstreamInstance, permit, bool) {
	for range mostAsks {
		i, found := e.pickInstance()
		if !found || !e.g.isLimited(i) {
			return i, permit{}, found
		}
		instances := append([]models.UpstreamInstance{i}, e.g.balance.instancesBeside(e.g.node, e.service, i, e.tried)...)
		if at, p, granted := e.askPermit(ctx, instances); granted {
			return instances[at], p, true
		}
	}
	return models.UpstreamInstance{}, permit{}, false
}

// instancesBeside are other instances of the same service and zone that name a limit.
func (b *balance) instancesBeside(node Beliefs, service models.ServiceName, picked models.UpstreamInstance, tried []models.InstanceID) []models.UpstreamInstance {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []models.UpstreamInstance
	for _, i := range node.View().Services[service] {
		skip := i.ID == picked.ID || i.Zone != picked.Zone || slices.Contains(tried, i.ID) || b.isBarred(node, i, now)
		if len(out) < mostWanted-1 && !skip && node.Limits().Rate(i, now) != models.NoLimit {
			out = append(out, i)
		}
	}
	return out
}
