package cluster

import (
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"
)

// TestClockStepMakesEntriesCurrent guards against a daemon that claims to know all entries for as long
// as the clock of its machine has been set back, and does not read them meanwhile.
func TestClockStepMakesEntriesCurrent(t *testing.T) {
	c := qt.New(t)
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		o := newTestOwner(t)
		at := readBeforeStep(time.Now(), step)
		c.Assert(time.Until(at).Abs() < time.Second, qt.IsTrue)
		c.Assert(at.UnixNano()-time.Now().UnixNano() < 0, qt.Equals, step > 0)
		o.fleet.entries.currentAt = at.Add(-time.Second)
		o.publishProgress()
		o.n.setUpdatesCurrentAt(at.Add(-time.Second))
		age := o.n.entriesAge()
		c.Check(age >= time.Second && age < 2*time.Second, qt.IsTrue, qt.Commentf("clock set by %v: entries are %v old", step, age))
		c.Check(o.n.updatedWithin(time.Second), qt.IsFalse, qt.Commentf("clock set by %v", step))
		c.Check(o.n.updatedWithin(2*time.Second), qt.IsTrue, qt.Commentf("clock set by %v", step))
	}
}

// readBeforeStep returns a time as it would have been read if the time of day had been set by a step
// since: it differs in its wall clock reading only.
func readBeforeStep(t time.Time, step time.Duration) time.Time {
	// The first word of a time with a monotonic clock reading holds the seconds from bit 30 on.
	wall := (*uint64)(unsafe.Pointer(&t))
	*wall -= uint64(step/time.Second) << 30
	return t
}
