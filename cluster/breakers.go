package cluster

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/breaker"
	"github.com/lupinkeel/lupinkeel/models"
)

// Breakers holds what all daemons heard that instances ask for in their answers. It is safe
// for use by several goroutines.
type Breakers struct {
	log             zerolog.Logger
	rests, leavings *metrics.Counter
	// known tells that any instance asked for anything.
	known atomic.Bool
	// found is called when there is something that others are to be told.
	found func()

	mu       sync.Mutex
	breakers *breaker.Breakers
}

// NewBreakers returns what is known before any instance asked for anything. The function is
// called when there is something to tell other daemons.
func NewBreakers(found func(), set *metrics.Set, log zerolog.Logger) *Breakers {
	b := &Breakers{
		log: log, found: found, rests: set.NewCounter("lupinkeel_instance_rests_total"),
		leavings: set.NewCounter("lupinkeel_instances_leaving_total"),
		breakers: breaker.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	set.NewGauge("lupinkeel_resting_instances", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.breakers.CountBackingOff(time.Now()))
	})
	return b
}

// Heard notes what an answer told of its instance.
func (b *Breakers) Heard(s breaker.Signal) {
	if b.Note(s, "") {
		b.found()
	}
}

// HeardHead notes what the head of an answer told of its instance.
func (b *Breakers) HeardHead(id models.InstanceID, born time.Time, told models.ResponseHead) {
	b.Heard(breaker.Signal{Instance: id, StartedAt: born, ReceivedAt: time.Now(), Backoff: told.Backoff, Leaving: told.Leaving})
}

// Note takes in a signal that a daemon heard, this one if none is named. It tells in the log
// what that changed, and reports whether there is something to tell others.
func (b *Breakers) Note(s breaker.Signal, from breaker.Source) bool {
	if s.IsEmpty() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	change := b.breakers.Apply(s, from)
	b.known.Store(!b.breakers.Empty())
	event := func() *zerolog.Event {
		return b.log.Info().Str("instance", string(s.Instance)).Str("from", string(from)).Dur("age", time.Since(s.ReceivedAt))
	}
	switch {
	case change.Started:
		b.rests.Inc()
		event().Dur("for", s.Backoff).Msg("rest-begun")
	case change.Extended:
		event().Dur("for", s.Backoff).Msg("rest-lengthened")
	}
	if change.Leaving {
		b.leavings.Inc()
		event().Msg("leaving-heard")
	}
	return change.Broadcast
}

// Any reports whether any instance asked for anything. Where none did, none need be looked
// up.
func (b *Breakers) Any() bool { return b.known.Load() }

// Blocks returns why nothing may be sent to an instance at all, nil if something may.
func (b *Breakers) Blocks(i models.UpstreamInstance) error {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Blocks(i, time.Now())
}

// Check returns why no further request may be sent to an instance now, nil if one may.
func (b *Breakers) Check(i models.UpstreamInstance) error {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Check(i, time.Now())
}

// Admit admits a request to an instance, or returns why it may not be sent. The pass is to be
// settled.
func (b *Breakers) Admit(i models.UpstreamInstance) (breaker.Admission, error) {
	if !b.Any() {
		return breaker.Admission{}, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Admit(i, time.Now())
}

// Settle takes in what came of a request that was admitted.
func (b *Breakers) Settle(p breaker.Admission, end breaker.Outcome) {
	if p == (breaker.Admission{}) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breakers.Settle(p, end, time.Now())
}

// Next is when an instance may be sent a request again, and since when it gets none. It
// returns false for one that leaves.
func (b *Breakers) Next(i models.UpstreamInstance, now time.Time) (next, since time.Time, ok bool) {
	if !b.Any() {
		return now, now, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Next(i, now)
}

// IsBusy reports whether an instance asked any daemon for rest, and was not seen to take
// requests since.
func (b *Breakers) IsBusy(i models.UpstreamInstance) bool {
	if !b.Any() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.IsBusy(i, time.Now())
}

// admitReport reports whether an instance may be asked for a report now.
func (b *Breakers) admitReport(i models.UpstreamInstance) bool {
	if !b.Any() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.AdmitReport(i, time.Now())
}

// Prune forgets what is of no use any more.
func (b *Breakers) Prune(listed map[models.InstanceID]models.UpstreamInstance) {
	if !b.Any() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	ended := b.breakers.Prune(func(id models.InstanceID) bool {
		_, known := listed[id]
		return known
	}, time.Now())
	for _, id := range ended {
		b.log.Info().Str("instance", string(id)).Msg("rest-ended")
	}
	b.known.Store(!b.breakers.Empty())
}

// leaving lists the instances that said in answers that they leave.
func (b *Breakers) leaving() []breaker.Signal {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Leaving()
}

// SignalNews is what a daemon tells others that an instance asked for.
type SignalNews struct {
	Instance models.InstanceID `msgpack:"i"`
	Born     time.Time         `msgpack:"b,omitempty"`
	// Age is how long ago it did.
	Age     time.Duration `msgpack:"a"`
	Rest    time.Duration `msgpack:"r,omitempty"`
	Leaving bool          `msgpack:"l,omitempty"`
}

// since is what another daemon is to be told that was learned after a change, and the newest
// change.
func (b *Breakers) since(seen uint64, tells func(breaker.Source) bool) ([]SignalNews, uint64) {
	if !b.Any() {
		return nil, seen
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	signals, last := b.breakers.Since(seen, tells, now)
	out := make([]SignalNews, len(signals))
	for n, s := range signals {
		out[n] = SignalNews{Instance: s.Instance, Born: s.StartedAt, Age: now.Sub(s.ReceivedAt), Rest: s.Backoff, Leaving: s.Leaving}
	}
	return out, last
}

// takeSignals takes in what another daemon tells, and has those told who rely on this one.
func (n *Node) takeSignals(news []SignalNews, from models.DaemonID) {
	now, tell := time.Now(), false
	for _, told := range news {
		tell = n.breakers.Note(breaker.Signal{
			Instance: told.Instance, StartedAt: told.Born, ReceivedAt: now.Add(-told.Age), Backoff: told.Rest, Leaving: told.Leaving,
		}, from) || tell
	}
	if tell {
		n.tellSignals()
	}
}

// tellSignals has all daemons that this one is linked to told what is new of what instances
// ask for, and the owner look at those that leave.
func (n *Node) tellSignals() {
	n.links.wakeAll()
	select {
	case n.inbox <- signalsChanged{}:
	default:
		// The owner is behind; it looks at its next tick.
	}
}

// Breakers holds what instances asked for in their answers.
func (n *Node) Breakers() *Breakers { return n.breakers }

// noteSaidLeaving has the instances leave that said so in answers. Entries may tell it later,
// never, or the contrary.
func (o *owner) noteSaidLeaving(now time.Time) {
	for _, w := range o.n.breakers.leaving() {
		k, known := o.fleet.instances[w.Instance]
		if known && k.CompareIncarnation(w.StartedAt) == models.SameIncarnation && !k.Draining {
			o.noteLeaving(k, true, now.Sub(w.ReceivedAt))
			o.fleetStale = true
		}
	}
}
