package cluster

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/breaker"
)

// Breakers holds what instances asked for in their answers. It is safe for use by several
// goroutines.
type Breakers struct {
	log             zerolog.Logger
	rests, leavings *metrics.Counter

	mu       sync.Mutex
	breakers breaker.Breakers
}

// NewBreakers returns what is known before any instance asked for anything.
func NewBreakers(set *metrics.Set, log zerolog.Logger) *Breakers {
	b := &Breakers{
		log: log, rests: set.NewCounter("lupinkeel_instance_rests_total"),
		leavings: set.NewCounter("lupinkeel_instances_leaving_total"),
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
	if w.IsEmpty() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	change := b.breakers.Note(w)
	event := func() *zerolog.Event { return b.log.Info().Str("instance", string(w.Instance)) }
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
}

// Breakers holds what instances asked for in their answers.
func (n *Node) Breakers() *Breakers { return n.breakers }
