package gateway

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// queueStep is how often a waiting request looks for a place.
	queueStep = 20 * time.Millisecond
	// queuePart is the part of its aim that a request waits for a place, so
	// that a refusal comes early enough to be made good elsewhere.
	queuePart = 0.22
	// overSlots is how many requests beyond its slots a group is sent.
	overSlots = 2
	// requestCost is how much a request that is being answered weighs against
	// prompts that are to be read: each slows a pass a little, and takes a slot.
	requestCost = 2 * time.Millisecond
	// fullCost is how long a request waits at a full group for each one that is
	// ahead of it: about the time between two ends.
	fullCost = 100 * time.Millisecond
	// zoneCost is what a group in another zone is set back by: the way there
	// and back, some 3 ms on the users' sites, and the price of bytes between
	// zones.
	zoneCost = 5 * time.Millisecond
	// spreadCost scatters requests that are sent again: when a group stands
	// still, all daemons move its streams within a few ms, before they hear of
	// each other's choices. It is about what one prompt more costs a group.
	spreadCost = 40 * time.Millisecond
)

// look returns the best group that was not tried, if there is one, and
// whether it has a place.
func (s *stream) look() (group cluster.Group, found, free bool) {
	engine := s.g.node.View().Routing.Services[s.service].Engine
	if engine == nil {
		return group, false, false
	}
	group, load, found := s.g.balance.pickGroup(s.g.node, engine, s.head.Model, s.tried)
	if found && len(s.tried) == 0 {
		s.load = load
	}
	return group, found, found && load < engine.Slots+overSlots
}

// pick waits for a group with a place. A stream that has begun takes any, and
// waits as long as its caller puts up with a pause.
func (s *stream) pick() (cluster.Group, error) {
	until := s.began.Add(time.Duration(queuePart * float64(s.route.Aim)))
	if s.answering {
		until = s.moved.Add(s.route.Pause)
	}
	for {
		group, found, free := s.look()
		if free || (found && s.answering) {
			return group, nil
		}
		if time.Now().After(until) {
			if found {
				return group, errFull
			}
			return group, errNoUpstream
		}
		select {
		case <-s.ctx.Done():
			return group, errors.Join(errNoUpstream, s.ctx.Err())
		case <-time.After(queueStep):
		}
	}
}

const (
	// manyDaemons is how many daemons may tell all others at once of every
	// change, and someGroups how many groups a model may have for it to be
	// worth while among more: the fewer, the more often two prompts meet.
	manyDaemons = 20
	someGroups  = 24
	// fewGroups is among how many the best is chosen by old news.
	fewGroups = 3
)

// urgent reports whether the others are to be told at once of the model's
// requests.
func urgent(v *cluster.View, model models.ModelName) bool {
	return v.Daemons <= manyDaemons || len(v.Groups[model]) <= someGroups
}

// pickGroup returns the group that was not tried and that answers soonest,
// and how many requests it has.
func (b *balance) pickGroup(node Beliefs, engine *models.EngineProfile, model models.ModelName, tried []models.InstanceID) (cluster.Group, int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := node.View()
	groups := view.Groups[model]
	best, requests, least := -1, 0, math.Inf(1)
	order := rand.Perm(len(groups))
	if !urgent(view, model) {
		// What is known of the others' requests is old: the best of a few is
		// then better than the best of all, which everybody would choose.
		order = order[:min(len(order), fewGroups+len(tried))]
	}
	for _, i := range order {
		g := groups[i]
		if slices.Contains(tried, g.Head.ID) {
			continue
		}
		load := b.loadAt(node, g.Head.ID)
		cost := groupCost(engine, load).Seconds()
		if g.Head.Zone != b.zone {
			cost += zoneCost.Seconds()
		}
		if len(tried) > 0 {
			cost += rand.ExpFloat64() * spreadCost.Seconds()
		}
		if cost < least {
			best, requests, least = i, load.Requests, cost
		}
	}
	if best < 0 {
		return cluster.Group{}, 0, false
	}
	return groups[best], requests, true
}

// groupCost is how much later than at an idle group a request is answered at
// one with this load.
func groupCost(engine *models.EngineProfile, load cluster.Load) time.Duration {
	cost := time.Duration(load.Requests) * requestCost
	if engine.ReadPerSecond > 0 {
		cost += time.Duration(float64(load.Unread) / engine.ReadPerSecond * float64(time.Second))
	}
	if load.Requests >= engine.Slots {
		cost += fullCost * time.Duration(load.Requests-engine.Slots+1)
	}
	return cost
}

// pickInstance returns the instance of a plain service with the fewest
// requests that was not tried, of equals one in this daemon's zone.
func (b *balance) pickInstance(node Beliefs, service models.ServiceName, tried []models.InstanceID) (models.UpstreamInstance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := node.View().Services[service]
	best, least := -1, 0
	for _, i := range rand.Perm(len(all)) {
		if slices.Contains(tried, all[i].ID) {
			continue
		}
		n := b.loadAt(node, all[i].ID).Requests
		nearer := best >= 0 && n == least && all[i].Zone == b.zone && all[best].Zone != b.zone
		if best < 0 || n < least || nearer {
			best, least = i, n
		}
	}
	if best < 0 {
		return models.UpstreamInstance{}, false
	}
	return all[best], true
}
