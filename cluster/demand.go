package cluster

import (
	"cmp"
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// busyKept is the part of the former average that is kept at each planning, twenty
	// times a second: the average follows within two seconds.
	busyKept = 0.97
	// lengthKept is the same for how long requests turn out to be.
	lengthKept = 0.99
	// lengthAfter is how long after its beginning a planner learns that: work is
	// averaged over seconds.
	lengthAfter = 4 * time.Second
	// lengthAssumed stands for it until it is known: 0.37 to 0.49 where callers named the
	// most tokens that they take.
	lengthAssumed = 0.45
	// waitsAt is the part of a model's places from which on requests wait for one, so
	// that those under way no longer tell how many there are.
	waitsAt = 0.8
	// leastWork is the work, in groups, below which the shares declared in the
	// configuration are used.
	leastWork = 0.5
	// sharedAssumed is the part of work that requests add to that of their groups where
	// this daemon had none of late. The models of two users had 0.3 and 0.5.
	sharedAssumed = 0.4
)

// asked is what is known of the callers of one model.
type asked struct {
	// busy is how many requests its groups have, averaged since seen.
	busy float64
	seen bool
	// length is how much work requests turn out to be, as a part of what callers say:
	// they name the most tokens that they take. 0 until it is known.
	length float64
	load   fleet.Load
}

// noteLoads works out what the callers of each model ask, from the requests that its
// groups have and, where these are full, from what callers say of their requests.
func (o *owner) noteLoads(engine *models.EngineProfile, now time.Time) map[models.ModelName]fleet.Load {
	work, groups := o.work(), o.fleet.serving(now)
	kinds, out, total := o.n.traffic.Kinds(), map[models.ModelName]fleet.Load{}, float32(0)
	for _, m := range engine.Models {
		total += work[m.Name].Seconds
	}
	o.fleet.traffic = o.fleet.traffic || total > 0
	for _, m := range engine.Models {
		a := o.fleet.asked[m.Name]
		if a == nil {
			a = &asked{}
			o.fleet.asked[m.Name] = a
		}
		a.note(o.requests(groups[m.Name]), len(groups[m.Name]), engine.Slots, work[m.Name], now.Sub(o.fleet.began))
		a.load.Kinds = kinds[m.Name]
		if total > leastWork {
			out[m.Name] = a.load
		}
	}
	return out
}

// requests counts those that groups have from all daemons.
func (o *owner) requests(groups []Group) int {
	own, sum := o.n.traffic.Loads(), 0
	for _, g := range groups {
		sum += own[g.Head.ID].Requests + o.n.PeersLoad(g.Head.ID).Requests
	}
	return sum
}

// note takes in how many requests a model's groups have, and what callers say that
// they ask.
func (a *asked) note(requests, groups, slots int, work Work, planned time.Duration) {
	if !a.seen {
		a.busy, a.seen = float64(requests), true
	}
	a.busy = busyKept*a.busy + (1-busyKept)*float64(requests)
	a.load = fleet.LoadOf(a.busy, float64(groups), slots, work.Shared())
	waits := a.busy >= waitsAt*float64(groups*slots)
	if !waits && work.Seconds > leastWork && planned > lengthAfter {
		length := a.load.Groups / float64(work.Seconds)
		a.length = lengthKept*cmp.Or(a.length, length) + (1-lengthKept)*length
	}
	if waits {
		a.load.Groups = max(a.load.Groups, cmp.Or(a.length, lengthAssumed)*float64(work.Seconds))
	}
	a.load.Rate, a.load.Prompt, a.load.Aim = float64(work.Requests), work.MeanPrompt(), work.MeanAim()
}

// supplyEvery is how often the planner tells what serves.
const supplyEvery = 2 * time.Second

// logSupply tells what each model has and needs.
func (o *owner) logSupply(engine *models.EngineProfile, w fleet.World) {
	if w.Now.Sub(o.fleet.supplyLogged) < supplyEvery {
		return
	}
	o.fleet.supplyLogged = w.Now
	groups := o.fleet.serving(w.Now)
	work := o.work()
	for _, m := range engine.Models {
		a := o.fleet.asked[m.Name]
		o.n.log.Info().Str("model", string(m.Name)).Int("groups", len(groups[m.Name])).Int("size", m.Size).Int("in-flight", int(a.busy)).
			Float64("half-full", a.load.Groups).Float64("shared", a.load.Shared).Float32("work", work[m.Name].Seconds).Float64("rate", a.load.Rate).
			Float64("prompt", a.load.Prompt).Dur("aim", a.load.Aim).
			Int("instances", len(w.Instances)).Int("lost", len(w.Lost)).Msg("supply")
	}
	c := o.fleet.planner.Counts()
	o.n.log.Info().Int("forming", c.Forming).Int("ending", c.Ending).Int("staging", c.Staging).Int("loading", c.Loading).
		Int("free", c.Free).Msg("plan")
}
