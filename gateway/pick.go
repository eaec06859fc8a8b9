package gateway

import (
	"cmp"
	"errors"
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
)

// look returns the best group that was not tried, if there is one, and
// whether it has a place.
func (s *stream) look() (group cluster.Group, found, free bool) {
	engine := s.g.node.View().Routing.Services[s.service].Engine
	if engine == nil {
		return group, false, false
	}
	group, load, found := s.g.balance.pickGroup(s.g.node, engine, s.head, s.tried)
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
	// unseen is for how many requests at once a group is picked among many
	// daemons: another one may be on its way from a daemon that has not been
	// heard of. News take 10 to 50 ms there, and a request for a model with few
	// groups comes every 15 ms on the users' sites.
	unseen = 2
	// fewGroups is among how many the best is chosen by old news.
	fewGroups = 3
)

// urgent reports whether the others are to be told at once of the model's
// requests.
func urgent(v *cluster.View, model models.ModelName) bool {
	return v.Daemons <= manyDaemons || len(v.Groups[model]) <= someGroups
}

// choice is a group that a request may go to.
type choice struct {
	group    cluster.Group
	requests int
	cost     time.Duration
}

// pickGroup returns a group that was not tried and that answers soon, and how
// many requests it has.
func (b *balance) pickGroup(node Beliefs, engine *models.EngineProfile, head models.RequestHead, tried []models.InstanceID) (cluster.Group, int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := node.View()
	groups := slices.DeleteFunc(slices.Clone(view.Groups[head.Model]), func(g cluster.Group) bool {
		return slices.Contains(tried, g.Head.ID)
	})
	if len(groups) == 0 {
		return cluster.Group{}, 0, false
	}
	rand.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
	if len(tried) == 0 && !urgent(view, head.Model) {
		// What is known of the others' requests is old: the best of a few is
		// then better than the best of all, which everybody would choose.
		groups = groups[:min(len(groups), fewGroups)]
	}
	choices := make([]choice, 0, len(groups))
	for _, g := range groups {
		load := b.loadAt(node, g.Head.ID)
		cost := groupCost(engine, load)
		if g.Head.Zone != b.zone {
			cost += zoneCost
		}
		choices = append(choices, choice{g, load.Requests, cost})
	}
	moving := 1
	if view.Daemons > manyDaemons {
		moving = unseen
	}
	for _, id := range tried {
		moving = max(moving, b.loadAt(node, id).Requests)
	}
	picked := leastCost(choices)
	if moving > 1 {
		picked = scatter(choices, moving, groupCost(engine, cluster.Load{Requests: 1, Unread: head.PromptTokens}))
	}
	return picked.group, picked.requests, true
}

func leastCost(choices []choice) choice {
	return slices.MinFunc(choices, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
}

// scatter picks a group for one of several requests that are moved at the same
// moment, each of which costs a group as much as the others: when a group
// stands still, all daemons move its streams within a few ms, before they hear
// of each other's choices. Groups are picked as often as it takes to make all
// equally late.
func scatter(choices []choice, moving int, each time.Duration) choice {
	slices.SortFunc(choices, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	level, sum := time.Duration(0), time.Duration(moving)*each
	for i, c := range choices {
		if i > 0 && c.cost >= level {
			choices = choices[:i]
			break
		}
		sum += c.cost
		level = sum / time.Duration(i+1)
	}
	at := rand.Int64N(max(1, int64(moving)*int64(each)))
	for _, c := range choices {
		if at -= int64(level - c.cost); at < 0 {
			return c
		}
	}
	return choices[0]
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
