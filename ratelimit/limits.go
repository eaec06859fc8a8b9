// Package ratelimit keeps the request rates that instances name in their answers, and
// divides each of them among all daemons: one daemon holds the token bucket of an
// instance, the others ask it for a permit before each send.
//
// The package is pure: it does no input or output, and the time is handed in.
package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// leastRate stands for lower limits, in requests a second: an instance that gets none
	// at all could not tell that its limit has ended.
	leastRate = 0.1
	// slowStart is for how long after a limit has ended requests are still bounded,
	// doubling is how long the rate takes to double meanwhile.
	slowStart = 3 * time.Second
	doubling  = 500 * time.Millisecond
	// kept is for how long an ended limit is remembered, so that old word of it is known
	// for what it is.
	kept = time.Minute
	// mostRates bounds the rates remembered of one instance.
	mostRates = 8
)

// Sighting is what the head of one answer told of its instance's limit.
type Sighting struct {
	Instance models.InstanceID
	// Born tells lives of one id apart; it is zero where births are not told.
	Born time.Time
	// Rate is the limit, models.NoLimit if the answer named none.
	Rate float64
	// Asked is when the request was sent, Heard when the head of its answer came. The
	// instance named the limit in between.
	Asked, Heard time.Time
	// By is the daemon that heard the answer, empty for this one, Number rises with what
	// that daemon hears.
	By     models.DaemonID
	Number int64
}

// Source tells who told of something; the empty one is this daemon itself.
type Source = models.DaemonID

// Limits holds what is known of instances' limits. Sightings join in any order and any
// number of times. Of two that overlap in time it is not known which is newer, and the
// lower rate holds; a later one replaces an earlier one. Limits is not safe for use by
// several goroutines.
type Limits struct {
	known map[models.InstanceID]*limit
	// changes numbers what is learned, so that others can be told what is new.
	changes uint64
}

// limit is what is known of one life of an instance.
type limit struct {
	life models.UpstreamInstance
	// spans are the sightings that none is known to follow, joined by rate.
	spans []span
	// numbers are those of the last sightings by each daemon. What is told seems younger
	// by its way here, so that a sighting which came round must not count anew.
	numbers map[models.DaemonID]int64
	// last is the rate that held before the limit ended, at the time ended.
	last   float64
	ended  time.Time
	change uint64
	from   Source
}

// span is the time in which an instance is known to have named a rate.
type span struct {
	rate         float64
	asked, heard time.Time
	// by and number are those of the sighting that was heard last.
	by     models.DaemonID
	number int64
}

// Change is what a sighting changed.
type Change int

// The changes.
const (
	Unchanged Change = iota
	Begun
	Changed
	Ended
)

// Note takes in a sighting. It tells what that changed, and whether there is something to
// tell others.
func (l *Limits) Note(s Sighting, from Source) (Change, bool) {
	known := l.known[s.Instance]
	if known != nil && known.life.LifeOf(s.Born) == models.EarlierLife {
		return Unchanged, false
	}
	if known == nil && s.Rate == models.NoLimit {
		return Unchanged, false
	}
	if known == nil || known.life.LifeOf(s.Born) == models.LaterLife {
		known = &limit{
			life: models.UpstreamInstance{ID: s.Instance, Born: s.Born}, last: models.NoLimit, numbers: map[models.DaemonID]int64{},
		}
		if l.known == nil {
			l.known = map[models.InstanceID]*limit{}
		}
		l.known[s.Instance] = known
	}
	if s.Number > 0 && s.Number <= known.numbers[s.By] {
		return Unchanged, false
	}
	known.numbers[s.By] = s.Number
	before, spans := known.rate(), len(known.spans)
	newer := known.join(span{s.Rate, s.Asked, s.Heard, s.By, s.Number})
	after := known.rate()
	tell := after != before || len(known.spans) != spans
	if !newer && from != "" {
		// Whoever tells what is out of date is to be told what replaced it.
		tell, from = true, ""
	}
	if tell {
		l.changes++
		known.change, known.from = l.changes, from
	}
	return changeOf(before, after), tell
}

// changeOf names the change of a rate.
func changeOf(before, after float64) Change {
	switch {
	case after == before:
		return Unchanged
	case before == models.NoLimit:
		return Begun
	case after == models.NoLimit:
		return Ended
	default:
		return Changed
	}
}

// join takes in a span unless a known one is later, and reports whether it did. What it
// is later than is dropped.
func (k *limit) join(s span) bool {
	if slices.ContainsFunc(k.spans, func(other span) bool { return other.asked.After(s.heard) }) {
		return false
	}
	before := k.rate()
	k.spans = slices.DeleteFunc(k.spans, func(other span) bool { return s.asked.After(other.heard) })
	at := slices.IndexFunc(k.spans, func(other span) bool { return other.rate == s.rate })
	switch {
	case at >= 0:
		k.spans[at].joinSame(s)
	default:
		k.spans = append(k.spans, s)
		k.dropHighest()
	}
	if before != models.NoLimit && k.rate() == models.NoLimit {
		k.last, k.ended = before, s.heard
	}
	return true
}

// dropHighest drops the span of the highest rate if there are too many: the lowest one holds.
func (k *limit) dropHighest() {
	if len(k.spans) <= mostRates {
		return
	}
	slices.SortFunc(k.spans, func(a, b span) int { return cmp.Compare(a.rate, b.rate) })
	k.spans = k.spans[:mostRates]
}

// joinSame takes in a sighting of the same rate.
func (s *span) joinSame(o span) {
	s.asked = later(s.asked, o.asked)
	if o.heard.After(s.heard) {
		s.heard, s.by, s.number = o.heard, o.by, o.number
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rate is the limit in force, models.NoLimit if there is none.
func (k *limit) rate() float64 {
	rate := models.NoLimit
	for _, s := range k.spans {
		rate = min(rate, s.rate)
	}
	return rate
}

// heard is when the instance was heard of last.
func (k *limit) heard() time.Time {
	var at time.Time
	for _, s := range k.spans {
		at = later(at, s.heard)
	}
	return at
}

// Rate is how many requests a second an instance may get from all daemons together,
// models.NoLimit if it is not bounded. After a limit has ended the rate rises from it.
func (l *Limits) Rate(i models.UpstreamInstance, now time.Time) float64 {
	known := l.known[i.ID]
	if known == nil || i.LifeOf(known.life.Born) == models.EarlierLife {
		return models.NoLimit
	}
	if rate := known.rate(); rate != models.NoLimit {
		return max(leastRate, rate)
	}
	since := now.Sub(known.ended)
	if known.last == models.NoLimit || since >= slowStart {
		return models.NoLimit
	}
	return max(leastRate, known.last) * math.Exp2(max(0, since.Seconds())/doubling.Seconds())
}

// Named is the limit that an instance names itself.
func (l *Limits) Named(id models.InstanceID) float64 {
	if known := l.known[id]; known != nil {
		return known.rate()
	}
	return models.NoLimit
}

// InForce is how many instances name a limit.
func (l *Limits) InForce() int {
	n := 0
	for _, known := range l.known {
		if known.rate() != models.NoLimit {
			n++
		}
	}
	return n
}

// Empty reports whether no limit is known, ended ones among them.
func (l *Limits) Empty() bool { return len(l.known) == 0 }

// Since returns what was learned after a change from those sources that are to be told
// of, and the newest change.
func (l *Limits) Since(seen uint64, tells func(Source) bool) ([]Sighting, uint64) {
	var out []Sighting
	for id, known := range l.known {
		if known.change <= seen || !tells(known.from) {
			continue
		}
		for _, s := range known.spans {
			out = append(out, Sighting{Instance: id, Born: known.life.Born, Rate: s.rate, Asked: s.asked, Heard: s.heard, By: s.by, Number: s.number})
		}
	}
	return out, l.changes
}

// Prune forgets instances that are gone, and limits that ended long ago.
func (l *Limits) Prune(gone func(models.InstanceID) bool, now time.Time) {
	for id, known := range l.known {
		inForce := known.rate() != models.NoLimit
		switch {
		case inForce && gone(id) && now.Sub(known.heard()) > kept, !inForce && now.Sub(known.ended) > kept:
			delete(l.known, id)
		}
	}
}
