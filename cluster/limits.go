package cluster

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/ratelimit"
)

// Limits holds what all daemons heard of the requests a second that instances take. It is
// safe for use by several goroutines.
type Limits struct {
	self models.DaemonID
	// began is when the daemon did.
	began   time.Time
	log     zerolog.Logger
	changes *metrics.Counter
	// known tells that any limit is known at all.
	known atomic.Bool
	// found is called when this daemon heard something that others are to be told.
	found func()

	mu     sync.Mutex
	limits ratelimit.Limits
}

// NewLimits returns what is known before any instance named a limit. The function is called
// when there is something to tell other daemons.
func NewLimits(self models.DaemonID, found func(), set *metrics.Set, log zerolog.Logger) *Limits {
	l := &Limits{self: self, began: time.Now(), log: log, found: found, changes: set.NewCounter("lupinkeel_instance_limit_changes_total")}
	set.NewGauge("lupinkeel_limited_instances", func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(l.limits.CountActive())
	})
	return l
}

// Heard notes what an answer told of its instance's limit.
func (l *Limits) Heard(s ratelimit.Observation) {
	if s.Rate == models.NoRateLimit && !l.Any() {
		return
	}
	// The steady clock is read for what is added: the time of day may go back.
	s.Receiver, s.Seq = l.self, l.began.UnixNano()+int64(time.Since(l.began))
	if l.add(s, "") {
		l.found()
	}
}

// Any reports whether any limit is known. Where none is, answers and instances need not be
// looked up.
func (l *Limits) Any() bool { return l.known.Load() }

// Rate is how many requests a second an instance may get from all daemons together.
func (l *Limits) Rate(i models.UpstreamInstance, now time.Time) float64 {
	if !l.Any() {
		return models.NoRateLimit
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits.Rate(i, now)
}

// add takes in a sighting, tells in the log what it changed, and reports whether there is
// something to tell others.
func (l *Limits) add(s ratelimit.Observation, from ratelimit.Source) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.limits.Announced(s.Instance)
	change, tell := l.limits.Add(s, from)
	l.known.Store(!l.limits.Empty())
	if change == ratelimit.Unchanged {
		return tell
	}
	l.changes.Inc()
	event := l.log.Info().Str("instance", string(s.Instance)).Str("from", string(from)).Dur("age", time.Since(s.ReceivedAt))
	switch change {
	case ratelimit.Begun:
		event.Float64("rate", s.Rate).Msg("limit-begun")
	case ratelimit.Changed:
		event.Float64("rate", l.limits.Announced(s.Instance)).Float64("before", before).Msg("limit-changed")
	default:
		event.Float64("before", before).Msg("limit-ended")
	}
	return tell
}

// Prune forgets limits that ended long ago, and those of instances that are not there.
func (l *Limits) Prune(there map[models.InstanceID]models.UpstreamInstance) {
	if !l.Any() {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Prune(func(id models.InstanceID) bool {
		_, known := there[id]
		return !known
	}, now)
	l.known.Store(!l.limits.Empty())
}

// LimitNews is what a daemon tells others of an instance's limit.
type LimitNews struct {
	Instance models.InstanceID `msgpack:"i"`
	Born     time.Time         `msgpack:"b,omitempty"`
	Rate     float64           `msgpack:"r"`
	// Asked and Heard are how long ago the request was sent, and the head of its answer
	// came.
	Asked time.Duration `msgpack:"q"`
	Heard time.Duration `msgpack:"h"`
	// By is the daemon that heard the answer, Number rises with what it hears.
	By     models.DaemonID `msgpack:"d"`
	Number int64           `msgpack:"n"`
}

// sighting is what the news tell, received at some time.
func (n LimitNews) sighting(at time.Time) ratelimit.Observation {
	return ratelimit.Observation{
		Instance: n.Instance, StartedAt: n.Born, Rate: n.Rate, SentAt: at.Add(-n.Asked), ReceivedAt: at.Add(-n.Heard), Receiver: n.By, Seq: n.Number,
	}
}

// since is what another daemon is to be told that was learned after a change, and the
// newest change.
func (l *Limits) since(seen uint64, to models.DaemonID, which tells) ([]LimitNews, uint64) {
	if !l.Any() {
		return nil, seen
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sightings, last := l.limits.Since(seen, func(from ratelimit.Source) bool {
		return from == "" || (which == tellAll && from != to)
	})
	now := time.Now()
	out := make([]LimitNews, len(sightings))
	for n, s := range sightings {
		out[n] = LimitNews{
			Instance: s.Instance, Born: s.StartedAt, Rate: s.Rate, Asked: now.Sub(s.SentAt), Heard: now.Sub(s.ReceivedAt), By: s.Receiver, Number: s.Seq,
		}
	}
	return out, last
}

// takeLimits takes in what another daemon tells, and has those told who rely on this one.
func (n *Node) takeLimits(news []LimitNews, from models.DaemonID) {
	now, tell := time.Now(), false
	for _, told := range news {
		tell = n.limits.add(told.sighting(now), from) || tell
	}
	if tell {
		n.tellLimits()
	}
}

// tellLimits has all daemons that this one is linked to told what is new of limits, and whom
// this one asks for permits.
func (n *Node) tellLimits() {
	n.links.wakeAll()
	select {
	case n.inbox <- limitsChanged{}:
	default:
		// The owner is behind; it tells with the next heartbeats.
	}
}

// Limits holds the limits that instances name.
func (n *Node) Limits() *Limits { return n.limits }
