package fleet

import (
	"maps"
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
	// wayTime is how long requests and events are under way between callers, daemons and
	// instances of one region, a little more than where the users are.
	wayTime = 20 * time.Millisecond
	// passesWaited is how many passes a request waits for besides reading: the rest of
	// the one under way, half of it on average, and its own.
	passesWaited = 1.5
	// crowdPower is how steeply callers feel a crowd. Of 35,000 requests in the logs of
	// 24 daemons on days of losses 2 in 100 were late whose groups were up to 0.7 full, 5
	// at 0.75, 11 at 0.85, 26 at 0.95 and 60 at 1.
	crowdPower = 8
	// mostLess is how many groups less than there should be a model is reckoned with.
	mostLess = 4
	// noticeTime is how long it takes until a planner knows that a member is lost and its
	// group has closed: 0.7 s after its streams stood still, as logged.
	noticeTime = 700 * time.Millisecond
	// assumedFill is how full the site is taken to be before there is traffic, and
	// assumedShared the part of work that requests add where that is not known: the
	// models of two users had 0.3 and 0.5.
	assumedFill   = 0.6
	assumedShared = 0.4
)

// supply counts, by model, the instances that serve or soon will.
type supply map[models.ModelName]int

// groups is how many groups of the model the supply makes.
func (s supply) groups(m models.ModelProfile) float64 {
	return float64(s[m.Name]) / float64(m.Size)
}

// plus adds two supplies.
func (s supply) plus(o supply) supply {
	out := maps.Clone(s)
	for name, n := range o {
		out[name] += n
	}
	return out
}

// less takes one supply from another.
func (s supply) less(o supply) supply {
	out := maps.Clone(s)
	for name, n := range o {
		out[name] -= n
	}
	return out
}

// load is what callers ask of a model. Before there is traffic it is taken from the
// shares that the configuration declares.
func (w World) load(m models.ModelProfile) Load {
	if l, known := w.Load[m.Name]; known && w.Traffic {
		return l
	}
	share := 0.0
	for _, o := range w.Profile.Models {
		share += o.Share
	}
	if share <= 0 {
		return Load{}
	}
	instances := assumedFill * m.Share / share * float64(len(w.Instances))
	return Load{Groups: instances / float64(m.Size), Shared: assumedShared}
}

// strain is what the callers of all models feel with a supply, summed over models.
func (w World) strain(s supply) float64 {
	sum := 0.0
	for _, m := range w.Profile.Models {
		sum += w.strainOf(m, s.groups(m))
	}
	return sum
}

// strainOf is what the callers of a model feel with so many groups: 0 if none has to
// wait for another, 1 if every place is taken, and 2 if there is no group, for each kind
// of request: those of each kind count alike, whether they are few or many, so that none
// are starved. As groups are lost at random and take a while to be whole again, some are
// reckoned to be missing: the more the larger they are.
func (w World) strainOf(m models.ModelProfile, groups float64) float64 {
	l := w.load(m)
	return float64(max(1, l.Kinds)) * w.expected(m, l, groups)
}

// expected is the part of a model's requests that will be late.
func (w World) expected(m models.ModelProfile, l Load, groups float64) float64 {
	missing := groups * float64(m.Size) * w.LossRate * w.mendTime(m).Seconds()
	sum, left, likely := 0.0, 1.0, math.Exp(-missing)
	for less := range mostLess {
		sum += likely * l.late(w.Profile, m, max(0, groups-float64(less)))
		left -= likely
		likely *= missing / float64(less+1)
	}
	return sum + left*l.late(w.Profile, m, max(0, groups-mostLess))
}

// mendTime is how long a group that lost a member does not serve: 4.7 s for a group of
// 16, as logged, if another group had to close for it, and half of that is taken, as
// there may be a spare. With all of it callers were served no better.
func (w World) mendTime(m models.ModelProfile) time.Duration {
	return noticeTime + (closeTime+m.Warm)/2 + w.Profile.FormTime
}

// late is the part of requests that have to wait too long if there are so many groups:
// for a place, or for the prompts of others to be read before their own.
func (l Load) late(engine *models.EngineProfile, m models.ModelProfile, groups float64) float64 {
	if l.Groups <= 0 {
		return 0
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

// relief is by how much less strain there is, for each instance, with one more group
// of the model.
func (w World) relief(m models.ModelProfile, s supply) float64 {
	groups := s.groups(m)
	return (w.strainOf(m, groups) - w.strainOf(m, groups+1)) / float64(m.Size)
}
