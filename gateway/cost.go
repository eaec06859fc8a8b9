package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// requestCost is how much a request that is being answered weighs against
	// prompts that are to be read: each slows a pass a little, and takes a slot.
	requestCost = 2 * time.Millisecond
	// fullCost is how long a request waits at a full group for each one that is
	// ahead of it: about the time between two ends.
	fullCost = 100 * time.Millisecond
	// zonePart is the part of the route's aim that a group in another zone must
	// save to be chosen: within it the request is answered in time all the same,
	// and the bytes stay in the zone. 60 ms, a fifth of the shortest aim on the
	// users' smallest site, kept half of all bytes between zones within them, and
	// as many answers were in time as with 5 ms (fifteen plays each).
	zonePart = 0.2
)

// zoneCost is what a group in another zone is set back by for a route.
func zoneCost(aim time.Duration) time.Duration { return time.Duration(zonePart * float64(aim)) }

// choice is a group that a request may go to.
type choice struct {
	group    cluster.Group
	requests int
	cost     time.Duration
}

// choices are the groups with what each would cost the request. The balance must
// be locked.
func (b *balance) choices(node Beliefs, engine *models.EngineProfile, groups []cluster.Group, w wanted) []choice {
	choices := make([]choice, 0, len(groups))
	for _, g := range groups {
		load := b.loadAt(node, g.Head.ID)
		cost := groupCost(engine, load)
		if g.Head.Zone != b.zone {
			cost += zoneCost(w.aim)
		}
		cost += time.Duration(b.failing(g.Head.ID) * failurePart * float64(w.routeAim))
		choices = append(choices, choice{g, load.Requests, cost})
	}
	return choices
}

// groupCost is how much later than at an idle group a request is answered at
// one with this load.
func groupCost(engine *models.EngineProfile, load cluster.Load) time.Duration {
	cost := time.Duration(load.Requests)*requestCost + readTime(engine, load.Unread)
	if load.Requests >= engine.Slots {
		cost += fullCost * time.Duration(load.Requests-engine.Slots+1)
	}
	return cost
}

func byCost(a, b choice) int { return cmp.Compare(a.cost, b.cost) }

// scatter picks a group at random for one of several requests that are sent at
// the same moment, each of which costs a group as much as the others: when a
// group stands still, all daemons move its streams within a few ms, before they
// hear of each other's choices. Groups are picked as often as it takes to make
// all equally late.
func scatter(choices []choice, atOnce int, each time.Duration) choice {
	slices.SortFunc(choices, byCost)
	level, sum := time.Duration(0), time.Duration(atOnce)*each
	for i, c := range choices {
		if i > 0 && c.cost >= level {
			choices = choices[:i]
			break
		}
		sum += c.cost
		level = sum / time.Duration(i+1)
	}
	at := rand.Int64N(max(1, int64(atOnce)*int64(each)))
	for _, c := range choices {
		if at -= int64(level - c.cost); at < 0 {
			return c
		}
	}
	return choices[0]
}
