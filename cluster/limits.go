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

// Limits holds the rate limits, in requests per second, of instances: those that they announced in
// responses to any daemon, and those of cold instances. It is safe for concurrent use.
type Limits struct {
	self models.DaemonID
	// began is when the daemon started.
	began   time.Time
	log     zerolog.Logger
	changes *metrics.Counter
	// nonEmpty is set if any limit is known.
	nonEmpty atomic.Bool
	// onChange is called when there is a change to send to other daemons.
	onChange func()

	mu     sync.Mutex
	limits ratelimit.Limits
	cold   ratelimit.Cold
}

// NewLimits returns Limits without any limit. found is called when there is a change to send to
// other daemons.
func NewLimits(self models.DaemonID, found func(), set *metrics.Set, log zerolog.Logger) *Limits {
	l := &Limits{self: self, began: time.Now(), log: log, onChange: found, changes: set.NewCounter("lupinkeel_instance_limit_changes_total")}
	set.NewGauge("lupinkeel_limited_instances", func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(l.limits.CountActive())
	})
	set.NewGauge("lupinkeel_cold_instances", func() float64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return float64(l.cold.Count(time.Now()))
	})
	return l
}

// Observe records the limit in a response that this daemon received.
func (l *Limits) Observe(s ratelimit.Observation) {
	if s.Rate == models.NoRateLimit && !l.Any() {
		return
	}
	// The elapsed time is monotonic; the wall clock may go back.
	s.Receiver, s.Seq = l.self, l.began.UnixNano()+int64(time.Since(l.began))
	if l.record(s, "") {
		l.onChange()
	}
}

// Any reports whether any limit is known. If not, no response or instance needs to be looked up.
func (l *Limits) Any() bool { return l.nonEmpty.Load() }

// Rate returns the requests per second that an instance may get from all daemons together.
func (l *Limits) Rate(i models.UpstreamInstance, now time.Time) float64 {
	if !l.Any() {
		return models.NoRateLimit
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.limits.Rate(i, now), l.cold.Rate(i, now))
}

// IsCold reports whether an instance announced that it is cold.
func (l *Limits) IsCold(i models.UpstreamInstance, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Contains(i, now)
}

// SetColdRates sets the rates of cold instances by service. Services without one are left out.
func (l *Limits) SetColdRates(rates map[models.ServiceName]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.SetRates(rates)
	l.updateNonEmpty()
}

// SetCold records until when an instance is cold; a past time means that it is not.
func (l *Limits) SetCold(i models.UpstreamInstance, until, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cold.Set(i, until, now) {
		l.log.Info().Str("instance", string(i.ID)).Str("group", string(i.Group.Key.Name)).Dur("for", max(0, until.Sub(now))).Msg("instance-cold")
	}
	l.updateNonEmpty()
}

// updateNonEmpty updates nonEmpty. The caller must hold the lock.
func (l *Limits) updateNonEmpty() { l.nonEmpty.Store(!l.limits.Empty() || !l.cold.Empty()) }

// record adds a sighting, logs the change and reports whether there is a change to send to other
// daemons.
func (l *Limits) record(s ratelimit.Observation, from ratelimit.Source) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.limits.Announced(s.Instance)
	change, changed := l.limits.Add(s, from)
	l.updateNonEmpty()
	if change == ratelimit.Unchanged {
		return changed
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
	return changed
}

// Forget drops what is known of an instance.
func (l *Limits) Forget(id models.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits.Forget(id)
	l.cold.Forget(id)
	l.updateNonEmpty()
}

// Prune drops limits that ended long ago, and those of removed instances.
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
	l.cold.Prune(now)
	l.updateNonEmpty()
}

// LimitUpdate is an observation of an instance's limit as daemons send it to each other.
type LimitUpdate struct {
	Instance  models.InstanceID `msgpack:"i"`
	StartedAt time.Time         `msgpack:"b,omitempty"`
	Rate      float64           `msgpack:"r"`
	// RequestAge is the time since the request was sent, ResponseAge the time since the head of its
	// response arrived.
	RequestAge  time.Duration `msgpack:"q"`
	ResponseAge time.Duration `msgpack:"h"`
	// Observer is the daemon that received the response. Seq increases with each of its observations.
	Observer models.DaemonID `msgpack:"d"`
	Seq      int64           `msgpack:"n"`
}

// toSighting converts an update written after one time and received at another. The times of the
// observation are such that the instance announced the limit between them, whenever the update was
// written.
func (n LimitUpdate) toSighting(writtenAfter, receivedAt time.Time) ratelimit.Observation {
	return ratelimit.Observation{
		Instance: n.Instance, StartedAt: n.StartedAt, Rate: n.Rate, SentAt: writtenAfter.Add(-n.RequestAge), ReceivedAt: receivedAt.Add(-n.ResponseAge), Receiver: n.Observer, Seq: n.Seq,
	}
}

// changesSince returns the sightings in scope that are newer than a change number, and the newest
// change number.
func (l *Limits) changesSince(seen uint64, to models.DaemonID, scope findingScope) ([]LimitUpdate, uint64) {
	if !l.Any() {
		return nil, seen
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sightings, last := l.limits.Since(seen, func(from ratelimit.Source) bool {
		return from == "" || (scope == allFindings && from != to)
	})
	now := time.Now()
	out := make([]LimitUpdate, len(sightings))
	for n, s := range sightings {
		out[n] = LimitUpdate{
			Instance: s.Instance, StartedAt: s.StartedAt, Rate: s.Rate, RequestAge: now.Sub(s.SentAt), ResponseAge: now.Sub(s.ReceivedAt), Observer: s.Receiver, Seq: s.Seq,
		}
	}
	return out, last
}

// handleLimits records limits from another daemon and forwards the new ones. writtenAfter is zero if it
// is not known; the limits are then dated by their receipt.
func (n *Node) handleLimits(updates []LimitUpdate, from models.DaemonID, writtenAfter, receivedAt time.Time) {
	if writtenAfter.IsZero() {
		writtenAfter = receivedAt
	}
	changed := false
	for _, u := range updates {
		changed = n.limits.record(u.toSighting(writtenAfter, receivedAt), from) || changed
	}
	if changed {
		n.notifyLimits()
	}
}

// notifyLimits makes the links send changed limits, and has the owner tell granters that this node
// needs permits.
func (n *Node) notifyLimits() {
	n.links.notifyAll()
	select {
	case n.inbox <- limitsChanged{}:
	default:
		// The inbox is full; the next heartbeats tell the granters.
	}
}

// Limits returns the rate limits that instances name.
func (n *Node) Limits() *Limits { return n.limits }
