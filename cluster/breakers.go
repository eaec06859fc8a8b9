package cluster

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/breaker"
	"github.com/lupinkeel/lupinkeel/models"
)

// Breakers holds the circuit breakers of instances. They follow the signals in the responses that
// any daemon receives: requests to back off and notices that the instance leaves. It is safe for
// concurrent use.
type Breakers struct {
	log              zerolog.Logger
	backoffs, leaves *metrics.Counter
	// nonEmpty is set if any signal is recorded.
	nonEmpty atomic.Bool
	// onChange is called when there is a change to send to other daemons.
	onChange func()

	mu       sync.Mutex
	breakers *breaker.Breakers
}

// NewBreakers returns Breakers without signals. found is called when there is a change to send to
// other daemons.
func NewBreakers(found func(), set *metrics.Set, log zerolog.Logger) *Breakers {
	b := &Breakers{
		log: log, onChange: found, backoffs: set.NewCounter("lupinkeel_instance_rests_total"),
		leaves:   set.NewCounter("lupinkeel_instances_leaving_total"),
		breakers: breaker.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	set.NewGauge("lupinkeel_resting_instances", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.breakers.CountBackingOff(time.Now()))
	})
	return b
}

// Observe records a signal from a response that this daemon received.
func (b *Breakers) Observe(s breaker.Signal) {
	if b.Record(s, "") {
		b.onChange()
	}
}

// ObserveHead records the signals in the head of a response that this daemon received.
func (b *Breakers) ObserveHead(id models.InstanceID, startedAt time.Time, head models.ResponseHead) {
	b.Observe(breaker.Signal{Instance: id, StartedAt: startedAt, ReceivedAt: time.Now(), Backoff: head.Backoff, Leaving: head.Leaving})
}

// Record records a signal that the daemon from received, this one if from is empty. It logs the
// change and reports whether there is a change to send to other daemons.
func (b *Breakers) Record(s breaker.Signal, from breaker.Source) bool {
	if s.IsEmpty() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	change := b.breakers.Apply(s, from)
	b.nonEmpty.Store(!b.breakers.Empty())
	event := func() *zerolog.Event {
		return b.log.Info().Str("instance", string(s.Instance)).Str("from", string(from)).Dur("age", time.Since(s.ReceivedAt))
	}
	switch {
	case change.Started:
		b.backoffs.Inc()
		event().Dur("for", s.Backoff).Msg("rest-begun")
	case change.Extended:
		event().Dur("for", s.Backoff).Msg("rest-lengthened")
	}
	if change.Leaving {
		b.leaves.Inc()
		event().Msg("leaving-heard")
	}
	return change.Broadcast
}

// Any reports whether any signal is recorded. If not, no instance needs to be looked up.
func (b *Breakers) Any() bool { return b.nonEmpty.Load() }

// Blocks returns the reason why the instance may get no requests at all, nil if it may.
func (b *Breakers) Blocks(i models.UpstreamInstance) error {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Blocks(i, time.Now())
}

// Check returns the reason why the instance may get no further request now, nil if it may.
func (b *Breakers) Check(i models.UpstreamInstance) error {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Check(i, time.Now())
}

// Admit admits a request to an instance, or returns the reason why it may not be sent. The
// admission must be passed to Settle.
func (b *Breakers) Admit(i models.UpstreamInstance) (breaker.Admission, error) {
	if !b.Any() {
		return breaker.Admission{}, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Admit(i, time.Now())
}

// Settle records the result of an admitted request.
func (b *Breakers) Settle(p breaker.Admission, end breaker.Outcome) {
	if p == (breaker.Admission{}) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breakers.Settle(p, end, time.Now())
}

// Next returns when an instance may next get a request, and since when it gets none. It returns
// false if the instance is leaving.
func (b *Breakers) Next(i models.UpstreamInstance, now time.Time) (next, since time.Time, ok bool) {
	if !b.Any() {
		return now, now, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Next(i, now)
}

// IsBusy reports whether an instance asked any daemon to back off and has not accepted requests
// since.
func (b *Breakers) IsBusy(i models.UpstreamInstance) bool {
	if !b.Any() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.IsBusy(i, time.Now())
}

// admitProbe reports whether an instance may be probed now.
func (b *Breakers) admitProbe(i models.UpstreamInstance) bool {
	if !b.Any() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.AdmitReport(i, time.Now())
}

// Forget drops the signals of an instance.
func (b *Breakers) Forget(id models.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breakers.Forget(id)
	b.nonEmpty.Store(!b.breakers.Empty())
}

// Prune drops the signals of removed instances and those that have expired.
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
	b.nonEmpty.Store(!b.breakers.Empty())
}

// leavingInstances returns the leaving signals.
func (b *Breakers) leavingInstances() []breaker.Signal {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Leaving()
}

// SignalUpdate is an instance's signal as daemons send it to each other.
type SignalUpdate struct {
	Instance  models.InstanceID `msgpack:"i"`
	StartedAt time.Time         `msgpack:"b,omitempty"`
	// Age is the time since the response with the signal was received.
	Age     time.Duration `msgpack:"a"`
	Backoff time.Duration `msgpack:"r,omitempty"`
	Leaving bool          `msgpack:"l,omitempty"`
}

// changesSince returns the signals from the included sources that are newer than a change number,
// and the newest change number.
func (b *Breakers) changesSince(seen uint64, include func(breaker.Source) bool) ([]SignalUpdate, uint64) {
	if !b.Any() {
		return nil, seen
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	signals, last := b.breakers.Since(seen, include, now)
	out := make([]SignalUpdate, len(signals))
	for n, s := range signals {
		out[n] = SignalUpdate{Instance: s.Instance, StartedAt: s.StartedAt, Age: now.Sub(s.ReceivedAt), Backoff: s.Backoff, Leaving: s.Leaving}
	}
	return out, last
}

// handleSignals records signals from another daemon and forwards the new ones.
func (n *Node) handleSignals(updates []SignalUpdate, from models.DaemonID) {
	now, changed := time.Now(), false
	for _, u := range updates {
		changed = n.breakers.Record(breaker.Signal{
			Instance: u.Instance, StartedAt: u.StartedAt, ReceivedAt: now.Add(-u.Age), Backoff: u.Backoff, Leaving: u.Leaving,
		}, from) || changed
	}
	if changed {
		n.notifySignals()
	}
}

// notifySignals makes the links send changed signals, and has the owner mark leaving instances.
func (n *Node) notifySignals() {
	n.links.notifyAll()
	select {
	case n.inbox <- signalsChanged{}:
	default:
		// The inbox is full; the owner checks again at its next tick.
	}
}

// Breakers returns the circuit breakers of instances.
func (n *Node) Breakers() *Breakers { return n.breakers }

// hasLeavingSignal reports whether an instance that leaves has signaled it in a response.
func (o *owner) hasLeavingSignal(k *knownInstance) bool {
	return k.Draining && slices.ContainsFunc(o.n.breakers.leavingInstances(), func(s breaker.Signal) bool {
		return s.Instance == k.ID && k.CompareIncarnation(s.StartedAt) == models.SameIncarnation
	})
}

// applyLeavingSignals marks instances as leaving that signaled it in responses. Their entries may
// show it later, never, or may contradict it.
func (o *owner) applyLeavingSignals(now time.Time) {
	for _, signal := range o.n.breakers.leavingInstances() {
		k, known := o.fleet.instances[signal.Instance]
		if known && k.CompareIncarnation(signal.StartedAt) == models.SameIncarnation && !k.Draining {
			o.markLeaving(k, true, now.Sub(signal.ReceivedAt))
			o.fleetStale = true
		}
	}
}
