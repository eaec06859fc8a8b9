package fleet

import (
	"maps"
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
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

// cost is what a supply costs the callers of all models.
func (w World) cost(s supply) float64 {
	sum := 0.0
	for _, m := range w.Profile.Models {
		sum += w.costOf(m, s.groups(m))
	}
	return sum
}

// costOf is what it costs a model's callers if there are so many groups, as the part of
// their requests that are late: 0 if none has to wait for another, 1 if every place is
// taken, and 2 if there is no group. It counts once for each kind of request: the callers
// of each kind count alike, whether they are few or many, so that none are starved. As
// groups are lost at random and take a while to be whole again, some are reckoned to be
// missing: the more the larger they are.
func (w World) costOf(m models.ModelProfile, groups float64) float64 {
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

// benefit is by how much the cost is lowered, for each instance, by one more group
// of the model.
func (w World) benefit(m models.ModelProfile, s supply) float64 {
	groups := s.groups(m)
	return (w.costOf(m, groups) - w.costOf(m, groups+1)) / float64(m.Size)
}
