// Package ratelimit tracks the rate limits that instances announce in their responses, and divides
// each limit among all daemons: one daemon holds the leaky bucket of an instance, and the others
// ask it for a permit before each request.
//
// The package does no I/O, and the time is passed in.
package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// minRate is the minimum limit in requests per second: an instance that gets no requests at all
	// could not announce the end of its limit.
	minRate = 0.1
	// rampUpTime is how long requests are still limited after the end of a limit; the rate doubles
	// every rampDoublingTime meanwhile.
	rampUpTime       = 3 * time.Second
	rampDoublingTime = 500 * time.Millisecond
	// endedRetention is how long an ended limit is kept, so that outdated observations of it are
	// recognized.
	endedRetention = time.Minute
	// maxSpans bounds the number of spans kept per instance.
	maxSpans = 8
)

// Observation is the limit that an instance announced in the header of one response.
type Observation struct {
	Instance models.InstanceID
	// StartedAt is when the instance started, to distinguish restarts under the same ID; zero if not
	// known.
	StartedAt time.Time
	// Rate is the limit in requests per second, models.NoRateLimit if the response had none.
	Rate float64
	// SentAt is when the request was sent, ReceivedAt when the header of the response arrived. The
	// instance announced the limit between the two.
	SentAt, ReceivedAt time.Time
	// Receiver is the daemon that received the response, empty for this daemon. Seq increases with
	// each response that the daemon receives.
	Receiver models.DaemonID
	Seq      int64
}

// Source is the daemon that an observation came from, empty for this daemon.
type Source = models.DaemonID

// Limits holds the known limits of all instances. Observations may be added in any order and any
// number of times. A later observation replaces an earlier one. If two overlap in time, it is not
// known which is newer, and the lower rate applies. Limits is not safe for concurrent use.
type Limits struct {
	limits map[models.InstanceID]*limit
	// version increases with each change, so that peers can be sent only what is new.
	version uint64
}

// limit is the state of one instance between two restarts.
type limit struct {
	instance models.UpstreamInstance
	// spans holds the observations that no known observation follows, merged by rate.
	spans []span
	// lastSeqs is the number of the last observation by each daemon. The times of a relayed
	// observation get later by the time that the messages take, so an observation that comes back by
	// another path must not count as new.
	lastSeqs map[models.DaemonID]int64
	// lastRate is the rate before the limit ended at endedAt.
	lastRate float64
	endedAt  time.Time
	version  uint64
	source   Source
}

// span is a period in which an instance is known to have announced a rate.
type span struct {
	rate               float64
	sentAt, receivedAt time.Time
	// receiver and seq identify the observation that was received last.
	receiver models.DaemonID
	seq      int64
}

// Change is the effect of an observation on a limit.
type Change int

// The kinds of change.
const (
	Unchanged Change = iota
	Begun
	Changed
	Ended
)

// Add adds an observation. It returns the change of the limit, and whether there is something to
// publish to peers.
func (l *Limits) Add(o Observation, source Source) (Change, bool) {
	lim := l.limits[o.Instance]
	if lim != nil && lim.instance.CompareIncarnation(o.StartedAt) == models.EarlierIncarnation {
		return Unchanged, false
	}
	if lim == nil && o.Rate == models.NoRateLimit {
		return Unchanged, false
	}
	if lim == nil || lim.instance.CompareIncarnation(o.StartedAt) == models.LaterIncarnation {
		lim = &limit{
			instance: models.UpstreamInstance{ID: o.Instance, StartedAt: o.StartedAt}, lastRate: models.NoRateLimit, lastSeqs: map[models.DaemonID]int64{},
		}
		if l.limits == nil {
			l.limits = map[models.InstanceID]*limit{}
		}
		l.limits[o.Instance] = lim
	}
	if o.Seq > 0 && o.Seq <= lim.lastSeqs[o.Receiver] {
		return Unchanged, false
	}
	lim.lastSeqs[o.Receiver] = o.Seq
	before, spans := lim.rate(), len(lim.spans)
	newer := lim.merge(span{o.Rate, o.SentAt, o.ReceivedAt, o.Receiver, o.Seq})
	after := lim.rate()
	publish := after != before || len(lim.spans) != spans
	if !newer && source != "" {
		// A peer that sends an outdated observation must receive the observation that replaced it.
		publish, source = true, ""
	}
	if publish {
		l.version++
		lim.version, lim.source = l.version, source
	}
	return classifyChange(before, after), publish
}

// classifyChange returns the kind of change between two rates.
func classifyChange(before, after float64) Change {
	switch {
	case after == before:
		return Unchanged
	case before == models.NoRateLimit:
		return Begun
	case after == models.NoRateLimit:
		return Ended
	default:
		return Changed
	}
}

// merge adds a span unless a known span is later, and reports whether it was added. Spans that are
// earlier than s are dropped.
func (l *limit) merge(s span) bool {
	if slices.ContainsFunc(l.spans, func(other span) bool { return other.sentAt.After(s.receivedAt) }) {
		return false
	}
	before := l.rate()
	l.spans = slices.DeleteFunc(l.spans, func(other span) bool { return s.sentAt.After(other.receivedAt) })
	at := slices.IndexFunc(l.spans, func(other span) bool { return other.rate == s.rate })
	switch {
	case at >= 0:
		l.spans[at].extend(s)
	default:
		l.spans = append(l.spans, s)
		l.dropHighest()
	}
	if before != models.NoRateLimit && l.rate() == models.NoRateLimit {
		l.lastRate, l.endedAt = before, s.receivedAt
	}
	return true
}

// dropHighest drops the span with the highest rate if there are too many. The limit is the lowest
// rate.
func (l *limit) dropHighest() {
	if len(l.spans) <= maxSpans {
		return
	}
	slices.SortFunc(l.spans, func(a, b span) int { return cmp.Compare(a.rate, b.rate) })
	l.spans = l.spans[:maxSpans]
}

// extend merges a span of the same rate.
func (s *span) extend(o span) {
	s.sentAt = later(s.sentAt, o.sentAt)
	if o.receivedAt.After(s.receivedAt) {
		s.receivedAt, s.receiver, s.seq = o.receivedAt, o.receiver, o.seq
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rate is the limit in force, models.NoRateLimit if there is none.
func (l *limit) rate() float64 {
	rate := models.NoRateLimit
	for _, s := range l.spans {
		rate = min(rate, s.rate)
	}
	return rate
}

// lastReceived is the time of the last known observation of the instance.
func (l *limit) lastReceived() time.Time {
	var at time.Time
	for _, s := range l.spans {
		at = later(at, s.receivedAt)
	}
	return at
}

// Rate is the number of requests per second that an instance may get from all daemons together,
// models.NoRateLimit if it is not limited. After a limit has ended, the rate increases gradually.
func (l *Limits) Rate(i models.UpstreamInstance, now time.Time) float64 {
	lim := l.limits[i.ID]
	if lim == nil || i.CompareIncarnation(lim.instance.StartedAt) == models.EarlierIncarnation {
		return models.NoRateLimit
	}
	if rate := lim.rate(); rate != models.NoRateLimit {
		return max(minRate, rate)
	}
	since := now.Sub(lim.endedAt)
	if lim.lastRate == models.NoRateLimit || since >= rampUpTime {
		return models.NoRateLimit
	}
	return max(minRate, lim.lastRate) * math.Exp2(max(0, since.Seconds())/rampDoublingTime.Seconds())
}

// Announced is the limit that an instance announces.
func (l *Limits) Announced(id models.InstanceID) float64 {
	if lim := l.limits[id]; lim != nil {
		return lim.rate()
	}
	return models.NoRateLimit
}

// CountActive is the number of instances that announce a limit.
func (l *Limits) CountActive() int {
	n := 0
	for _, lim := range l.limits {
		if lim.rate() != models.NoRateLimit {
			n++
		}
	}
	return n
}

// Empty reports whether no limit is known, ended limits included.
func (l *Limits) Empty() bool { return len(l.limits) == 0 }

// Since returns the observations added after a version from the included sources, and the current
// version.
func (l *Limits) Since(seen uint64, include func(Source) bool) ([]Observation, uint64) {
	var out []Observation
	for id, lim := range l.limits {
		if lim.version <= seen || !include(lim.source) {
			continue
		}
		for _, s := range lim.spans {
			out = append(out, Observation{Instance: id, StartedAt: lim.instance.StartedAt, Rate: s.rate, SentAt: s.sentAt, ReceivedAt: s.receivedAt, Receiver: s.receiver, Seq: s.seq})
		}
	}
	return out, l.version
}

// Forget drops the limit of an instance.
func (l *Limits) Forget(id models.InstanceID) { delete(l.limits, id) }

// Prune drops instances that are gone, and limits that ended longer than endedRetention ago.
func (l *Limits) Prune(gone func(models.InstanceID) bool, now time.Time) {
	for id, lim := range l.limits {
		inForce := lim.rate() != models.NoRateLimit
		switch {
		case inForce && gone(id) && now.Sub(lim.lastReceived()) > endedRetention, !inForce && now.Sub(lim.endedAt) > endedRetention:
			delete(l.limits, id)
		}
	}
}
