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
		return float64(b.breakers.Resting(time.Now()))
	})
	return b
}

// Heard notes what an answer told of its instance.
func (b *Breakers) Heard(w breaker.Word) {
	if b.Note(w, "") {
		b.found()
	}
}

// HeardHead notes what the head of an answer told of its instance.
func (b *Breakers) HeardHead(id models.InstanceID, born time.Time, told models.AnswerHead) {
	b.Heard(breaker.Word{Instance: id, Born: born, Heard: time.Now(), Rest: told.Rest, Leaving: told.Leaving})
}

// Note takes in a word that a daemon heard, this one if none is named. It tells in the log
// what that changed, and reports whether there is something to tell others.
func (b *Breakers) Note(w breaker.Word, from breaker.Source) bool {
	if w.IsEmpty() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	change := b.breakers.Note(w, from)
	b.known.Store(!b.breakers.Empty())
	event := func() *zerolog.Event {
		return b.log.Info().Str("instance", string(w.Instance)).Str("from", string(from)).Dur("age", time.Since(w.Heard))
	}
	switch {
	case change.Began:
		b.rests.Inc()
		event().Dur("for", w.Rest).Msg("rest-begun")
	case change.Lengthened:
		event().Dur("for", w.Rest).Msg("rest-lengthened")
	}
	if change.Leaving {
		b.leavings.Inc()
		event().Msg("leaving-heard")
	}
	return change.Tell
}

// Any reports whether any instance asked for anything. Where none did, none need be looked
// up.
func (b *Breakers) Any() bool { return b.known.Load() }

// Bars returns why nothing may be sent to an instance at all, nil if something may.
func (b *Breakers) Bars(i models.UpstreamInstance) error {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Bars(i, time.Now())
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
func (b *Breakers) Admit(i models.UpstreamInstance) (breaker.Pass, error) {
	if !b.Any() {
		return breaker.Pass{}, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Admit(i, time.Now())
}

// Settle takes in what came of a request that was admitted.
func (b *Breakers) Settle(p breaker.Pass, end breaker.End) {
	if p == (breaker.Pass{}) {
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
func (b *Breakers) leaving() []breaker.Word {
	if !b.Any() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breakers.Leaving()
}

// WordNews is what a daemon tells others that an instance asked for.
type WordNews struct {
	Instance models.InstanceID `msgpack:"i"`
	Born     time.Time         `msgpack:"b,omitempty"`
	// Age is how long ago it did.
	Age     time.Duration `msgpack:"a"`
	Rest    time.Duration `msgpack:"r,omitempty"`
	Leaving bool          `msgpack:"l,omitempty"`
}

// since is what another daemon is to be told that was learned after a change, and the newest
// change.
func (b *Breakers) since(seen uint64, tells func(breaker.Source) bool) ([]WordNews, uint64) {
	if !b.Any() {
		return nil, seen
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	words, last := b.breakers.Since(seen, tells, now)
	out := make([]WordNews, len(words))
	for n, w := range words {
		out[n] = WordNews{Instance: w.Instance, Born: w.Born, Age: now.Sub(w.Heard), Rest: w.Rest, Leaving: w.Leaving}
	}
	return out, last
}

// takeWords takes in what another daemon tells, and has those told who rely on this one.
func (n *Node) takeWords(news []WordNews, from models.DaemonID) {
	now, tell := time.Now(), false
	for _, told := range news {
		tell = n.breakers.Note(breaker.Word{
			Instance: told.Instance, Born: told.Born, Heard: now.Add(-told.Age), Rest: told.Rest, Leaving: told.Leaving,
		}, from) || tell
	}
	if tell {
		n.tellWords()
	}
}

// tellWords has all daemons that this one is linked to told what is new of what instances
// ask for, and the owner look at those that leave.
func (n *Node) tellWords() {
	n.links.wakeAll()
	select {
	case n.inbox <- wordsChanged{}:
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
		if known && k.LifeOf(w.Born) == models.SameLife && !k.Draining {
			o.noteLeaving(k, true, now.Sub(w.Heard))
			o.fleetStale = true
		}
	}
}
