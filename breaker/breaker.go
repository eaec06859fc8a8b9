// Package breaker keeps what instances ask of a daemon in their answers: to be left alone
// for a while, or for good, since they are about to leave. It is a circuit breaker for each
// instance that opens by the instance's own word.
//
// The package is pure: it does no input or output, and the time is handed in.
package breaker

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Word is what the head of one answer said of its instance.
type Word struct {
	Instance models.InstanceID
	// Born tells lives of one id apart; it is zero where births are not told.
	Born time.Time
	// Heard is when the head came.
	Heard time.Time
	// Rest is for how long the instance wants nothing from the daemon that it answered, 0
	// if it did not say.
	Rest time.Duration
	// Leaving tells that the instance is about to leave.
	Leaving bool
}

// IsEmpty reports whether the instance asked for nothing.
func (w Word) IsEmpty() bool { return w.Rest <= 0 && !w.Leaving }

// Source tells who heard of something; the empty one is this daemon itself.
type Source = models.DaemonID

// Breakers holds what is known of instances that asked for something. It is not safe for use
// by several goroutines.
type Breakers struct {
	known map[models.InstanceID]*breaker
}

// breaker is what one life of an instance asked for.
type breaker struct {
	life models.UpstreamInstance
	// until is the end of the rest, zero if there was none.
	until time.Time
	// leaving is when the instance first said that it leaves, zero if it did not.
	leaving time.Time
}

// Change is what a word changed.
type Change struct {
	// Began tells that a rest began, Lengthened that it became longer.
	Began, Lengthened bool
	// Leaving tells that the instance was not known to leave.
	Leaving bool
}

// Note takes in a word. The later end of two rests holds, whichever is heard of first.
func (b *Breakers) Note(w Word) Change {
	k := b.known[w.Instance]
	if w.IsEmpty() || (k != nil && k.life.LifeOf(w.Born) == models.EarlierLife) {
		return Change{}
	}
	if k == nil || k.life.LifeOf(w.Born) == models.LaterLife {
		k = &breaker{life: models.UpstreamInstance{ID: w.Instance, Born: w.Born}}
		if b.known == nil {
			b.known = map[models.InstanceID]*breaker{}
		}
		b.known[w.Instance] = k
	}
	var change Change
	if end := w.Heard.Add(w.Rest); w.Rest > 0 && end.After(k.until) {
		change.Began, change.Lengthened = !w.Heard.Before(k.until), w.Heard.Before(k.until)
		k.until = end
	}
	if w.Leaving && k.leaving.IsZero() {
		change.Leaving, k.leaving = true, w.Heard
	}
	return change
}

// Resting is how many instances rest.
func (b *Breakers) Resting(now time.Time) int {
	n := 0
	for _, k := range b.known {
		if now.Before(k.until) {
			n++
		}
	}
	return n
}
