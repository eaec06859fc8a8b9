package gateway

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/placement"
)

const (
	// queueStep is how often a waiting request looks for a place.
	queueStep = 20 * time.Millisecond
	// queuePart is the part of its aim that a request waits for a place, so
	// that a refusal comes early enough to be made good elsewhere.
	queuePart = 0.22
)

// look returns the best group that was not tried, if there is one, and whether it
// has a place. Of a group whose head names a limit it then has a permit.
func (s *stream) look() (to placed, found, free bool) {
	engine := s.engine()
	if engine == nil {
		return to, false, false
	}
	for range mostAsks {
		group, load, found := s.g.balance.pickGroup(s.g.node, engine, s.wants())
		if found && len(s.tried) == 0 {
			s.load = load
		}
		free := found && s.g.balance.policy.Takes(engine, load)
		if !found || !(free || s.answering) || !s.g.isLimited(group.Head) {
			return placed{group: group}, found, free
		}
		if to, granted := s.permitted(engine, group); granted {
			return to, true, free
		}
	}
	return to, false, false
}

// lookUnlimited is look for groups whose heads name no limit.
func (s *stream) lookUnlimited() (to placed, free bool) {
	engine := s.engine()
	if engine == nil {
		return to, false
	}
	w := s.wants()
	w.unlimited = true
	group, load, found := s.g.balance.pickGroup(s.g.node, engine, w)
	return placed{group: group}, found && s.g.balance.policy.Takes(engine, load)
}

// heads are those of the groups that serve the stream's model.
func (s *stream) heads() []models.UpstreamInstance {
	groups := s.g.node.View().Groups[s.head.Model]
	out := make([]models.UpstreamInstance, len(groups))
	for n, g := range groups {
		out[n] = g.Head
	}
	return out
}

// pick waits for a group with a place. A stream that has begun takes any, and
// waits as long as its caller puts up with a pause. Where no permit can come in
// time, and no rest ends, it does not wait.
func (s *stream) pick() (placed, error) {
	until := s.began.Add(time.Duration(queuePart * float64(s.route.Aim)))
	if s.answering {
		until = s.moved.Add(s.route.Pause)
	}
	for {
		to, found, free := s.look()
		if free || (found && s.answering) {
			return to, nil
		}
		next, opens := opening{}, false
		if !found {
			next, opens = s.g.balance.nextOpening(s.g.node, s.heads(), s.tried)
		}
		switch {
		case opens && next.at.After(until):
			s.opening = next
			return to, next.reason
		case time.Now().After(until) && found:
			return to, errFull
		case time.Now().After(until):
			return to, errNoUpstream
		}
		select {
		case <-s.ctx.Done():
			return to, errors.Join(errNoUpstream, s.ctx.Err())
		case <-time.After(queueStep):
		}
	}
}

// wanted is what a request asks of the group that is picked for it.
type wanted struct {
	head models.RequestHead
	// aim is the time in which its first event should come, 0 if every ms counts;
	// routeAim is that of its route, whatever became of the request.
	aim, routeAim time.Duration
	tried         []models.InstanceID
	// place picks one of several groups or instances for a request that is on trial; it
	// is nil for others.
	place func(places int) int
	// unlimited tells that only groups are wanted whose heads name no limit.
	unlimited bool
}

// wants tells what the stream asks of its next group. One that is moved is late
// already, wherever it goes on.
func (s *stream) wants() wanted {
	w := wanted{head: s.head, aim: s.route.Aim, routeAim: s.route.Aim, tried: s.tried, place: s.place()}
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
	groups := b.eligible(node, view.Groups[head.Model], w, time.Now())
	if len(groups) == 0 {
		return cluster.Group{}, 0, false
	}
	candidates := make([]placement.Candidate, len(groups))
	for i, g := range groups {
		candidates[i] = b.candidate(node, g)
	}
	if w.place != nil {
		at := b.apart(engine, groups, candidates, w.place)
		return groups[at], candidates[at].Requests, true
	}
	r := placement.Request{PromptTokens: head.PromptTokens, Aim: w.aim, RouteAim: w.routeAim, Moved: 1}
	for _, id := range tried {
		// All that are there move as well.
		r.Moved = max(r.Moved, b.loadAt(node, id).Requests)
	}
	news := placement.News{Age: view.LoadsAge(), Sharers: view.Sharers(), Rate: b.arrivals[head.Model].decayed(time.Now())}
	at := b.policy.Pick(engine, candidates, r, news, b.random)
	return groups[at], candidates[at].Requests, true
}

// apart picks a group for a request that is on trial: its own, or the next one that has a
// place.
func (b *balance) apart(engine *models.EngineProfile, groups []cluster.Group, candidates []placement.Candidate, place func(int) int) int {
	order := make([]int, len(groups))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(groups[a].Head.ID, groups[b].Head.ID) })
	first := place(len(order))
	for n := range order {
		at := order[(first+n)%len(order)]
		if b.policy.Takes(engine, candidates[at].Requests) {
			return at
		}
	}
	return order[first]
}

// candidate is what is known of a group. The balance must be locked.
func (b *balance) candidate(node Beliefs, g cluster.Group) placement.Candidate {
	load := b.loadAt(node, g.Head.ID)
	return placement.Candidate{
		Requests: load.Requests, Unread: load.Unread, Near: g.Head.Zone == b.zone, Failures: b.setback(node, g.Head),
	}
}

// eligible are the groups that were not tried and are not left alone. The balance must be
// locked.
func (b *balance) eligible(node Beliefs, groups []cluster.Group, w wanted, now time.Time) []cluster.Group {
	return slices.DeleteFunc(slices.Clone(groups), func(g cluster.Group) bool {
		return slices.Contains(w.tried, g.Head.ID) || b.isBarred(node, g.Head, now) ||
			(w.unlimited && node.Limits().Rate(g.Head, now) != models.NoLimit)
	})
}

// pickInstance returns the instance of a plain service with the fewest
// requests that was not tried, of equals one in this daemon's zone. Failures of
// late, and rests that others were asked for, count as requests.
func (b *balance) pickInstance(node Beliefs, service models.ServiceName, tried []models.InstanceID) (models.UpstreamInstance, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := node.View().Services[service]
	best, least, now := -1, 0.0, time.Now()
	for _, i := range rand.Perm(len(all)) {
		if slices.Contains(tried, all[i].ID) || b.isBarred(node, all[i], now) {
			continue
		}
		n := float64(b.loadAt(node, all[i].ID).Requests) + failureRequests*b.setback(node, all[i])
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
