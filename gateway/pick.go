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
)

// look returns the best group that was not tried, if there is one, and
// whether it has a place.
func (s *stream) look() (group cluster.Group, found, free bool) {
	engine := s.engine()
	if engine == nil {
		return group, false, false
	}
	group, load, found := s.g.balance.pickGroup(s.g.node, engine, s.wants())
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
	// leastAtOnce is for how many requests at once, at least, a group is picked
	// by loads that are not told at once: another one may be on its way from a
	// daemon that has not been heard of. An estimate.
	leastAtOnce = 2
)

// wanted is what a request asks of the group that is picked for it.
type wanted struct {
	head models.RequestHead
	// aim is the time in which its first event should come, 0 if every ms counts;
	// routeAim is that of its route, whatever became of the request.
	aim, routeAim time.Duration
	tried         []models.InstanceID
}

// wants tells what the stream asks of its next group. One that is moved is late
// already, wherever it goes on.
func (s *stream) wants() wanted {
	w := wanted{s.head, s.route.Aim, s.route.Aim, s.tried}
	if len(s.tried) > 0 {
		w.aim = 0
	}
	return w
}

// pickGroup returns a group that was not tried and that answers soon, and how
// many requests it has.
func (b *balance) pickGroup(node Beliefs, engine *models.EngineProfile, w wanted) (cluster.Group, int, bool) {
	head, tried := w.head, w.tried
	b.mu.Lock()
	defer b.mu.Unlock()
	view := node.View()
	groups := untried(view.Groups[head.Model], tried)
	if len(groups) == 0 {
		return cluster.Group{}, 0, false
	}
	// Of equals each daemon is to pick another one.
	rand.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
	choices := b.choices(node, engine, groups, w)
	var picked choice
	if atOnce := b.atOnce(node, view, w); atOnce > 1 {
		picked = scatter(choices, atOnce, groupCost(engine, cluster.Load{Requests: 1, Unread: head.PromptTokens}))
	} else {
		picked = slices.MinFunc(choices, byCost)
	}
	return picked.group, picked.requests, true
}

func untried(groups []cluster.Group, tried []models.InstanceID) []cluster.Group {
	return slices.DeleteFunc(slices.Clone(groups), func(g cluster.Group) bool {
		return slices.Contains(tried, g.Head.ID)
	})
}

// atOnce is how many requests may be sent at the same moment as one: those that
// were sent since the loads that are known were told, and, if it was tried at
// these heads, all that are there, which move as well. The balance must be locked.
func (b *balance) atOnce(node Beliefs, view *cluster.View, w wanted) int {
	n := 1
	if age := view.LoadsAge(); age > 0 {
		sent := b.arrivals[w.head.Model].decayed(time.Now()) * float64(view.Sharers()) * age.Seconds()
		n = max(leastAtOnce, int(math.Ceil(sent)))
	}
	for _, id := range w.tried {
		n = max(n, b.loadAt(node, id).Requests)
	}
	return n
}

// pickInstance returns the instance of a plain service with the fewest
// requests that was not tried, of equals one in this daemon's zone. Failures of
// late count as requests.
func (b *balance) pickInstance(node Beliefs, service models.ServiceName, tried []models.InstanceID) (models.UpstreamInstance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := node.View().Services[service]
	best, least := -1, 0.0
	for _, i := range rand.Perm(len(all)) {
		if slices.Contains(tried, all[i].ID) {
			continue
		}
		n := float64(b.loadAt(node, all[i].ID).Requests) + failureRequests*b.failing(all[i].ID)
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
