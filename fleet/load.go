package fleet

import (
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Load is what callers ask of a model.
type Load struct {
	// Groups is how many groups the model needs for each to be half full.
	Groups float64
	// Shared is the part of a half full group's time that is taken up by what each
	// request adds to it: its prompt, and a little in each step. The rest is the
	// steps, which take as long for one request as for many.
	Shared float64
	// Rate is how many requests come in a second, Prompt how many tokens each asks to be
	// read, on average, and Aim in which time its first event should come. They are 0
	// where that is not known.
	Rate   float64
	Prompt float64
	Aim    time.Duration
	// Kinds is how many kinds of requests there are, 0 if that is not known.
	Kinds int
}

const (
	// crowdPower is how steeply callers feel a crowd. Of 35,000 requests in the logs of
	// 24 daemons on days of losses 2 in 100 were late whose groups were up to 0.7 full, 5
	// at 0.75, 11 at 0.85, 26 at 0.95 and 60 at 1.
	crowdPower = 8
	// wayTime is how long requests and events are under way between callers, daemons and
	// instances of one region, a little more than where the users are.
	wayTime = 20 * time.Millisecond
	// passesWaited is how many passes a request waits for besides reading: the rest of
	// the one under way, half of it on average, and its own.
	passesWaited = 1.5
	// unasked is what it costs to have no group of a model that nobody asks for just now,
	// in requests: whoever does next waits for seconds. An estimate.
	unasked = 0.2
)

// late is the part of requests that have to wait too long if there are so many groups:
// for a place, or for the prompts of others to be read before their own.
func (l Load) late(engine *models.EngineProfile, m models.ModelProfile, groups float64) float64 {
	if l.Groups <= 0 {
		return unasked * max(0, 1-groups)
	}
	if full := l.fullGroups(engine.Slots); groups <= full {
		return 2 - groups/full
	}
	fill := l.fill(engine.Slots, groups)
	crowded := math.Pow(fill, crowdPower)
	return crowded + (1-crowded)*l.behindPrompts(engine, m, groups, fill)
}

// behindPrompts is the part of requests that come while more prompts are to be read at
// their group than can be within their aim, less the half of a pass that is under way
// and the steps of their own. Prompts come at random.
func (l Load) behindPrompts(engine *models.EngineProfile, m models.ModelProfile, groups, fill float64) float64 {
	read := m.Pace * engine.ReadTime(int(l.Prompt)).Seconds()
	if l.Rate <= 0 || read <= 0 || l.Aim <= 0 {
		return 0
	}
	running := fill * float64(engine.Slots)
	steps := m.Pace * float64(max(1, engine.Stride)) * (engine.Step.Seconds() + running*engine.PerRequest.Seconds())
	left := (l.Aim - wayTime).Seconds() - passesWaited*steps
	return moreThan(math.Floor(left/read)-1, l.Rate/groups*(l.Aim-wayTime).Seconds())
}

// moreThan is how likely more than so many come where so many are expected, at random.
func moreThan(many, expected float64) float64 {
	sum, term := 0.0, math.Exp(-expected)
	for k := 0.0; k <= many; k++ {
		sum += term
		term *= expected / (k + 1)
	}
	return max(0, 1-sum)
}

// fill is the part of their places that is taken, on average, if there are so many
// groups: more than just bear the load.
func (l Load) fill(slots int, groups float64) float64 {
	adds, steps := l.parts(slots)
	return steps / (groups - adds) / float64(slots)
}

// fullGroups is how many groups just bear the load, with every place taken.
func (l Load) fullGroups(slots int) float64 {
	adds, steps := l.parts(slots)
	return adds + steps/float64(slots)
}

// parts splits the load into what requests add to groups, in groups, and how many
// requests there would be if they took no longer than their steps.
func (l Load) parts(slots int) (adds, steps float64) {
	return l.Shared * l.Groups, float64(slots) / 2 * (1 - l.Shared) * l.Groups
}

// LoadOf is what callers ask of a model if its groups have so many requests, as long
// as these have places.
func LoadOf(requests, groups float64, slots int, shared float64) Load {
	if groups <= 0 || requests <= 0 {
		return Load{Shared: shared}
	}
	half := float64(slots) / 2
	return Load{Groups: requests / (half*(1-shared) + shared*requests/groups), Shared: shared}
}
