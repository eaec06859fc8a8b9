// Package echo bounds how old a message of another process is, without comparable clocks.
//
// Each process sends readings of its own clock. The other one returns the last reading that it has
// received, and for how long it has held it. The message that returns a reading was written no
// earlier than the reading, plus the time for which it was held. If either process stops at any
// moment, or a message waits in a buffer or a queue, the bound only gets earlier. What a message says
// to be so old is therefore dated by the bound, and not by the time at which the message is read.
package echo

import (
	"math/rand/v2"
	"time"
)

// Reading is a reading of the clock of one process. Only that process can interpret it. The zero value
// means that there is none.
type Reading uint64

// Echo is a reading that is returned to the process whose clock it is of.
type Echo struct {
	Reading Reading `msgpack:"r,omitempty"`
	// Held is how long before the message was written the reading was received.
	Held time.Duration `msgpack:"h,omitempty"`
}

// Clock is the clock of one process. It is immutable.
type Clock struct {
	startedAt time.Time
	// offset is the reading at startedAt. It is random, so that the readings of an earlier process,
	// which may come back after a restart, are not readings of this clock.
	offset uint64
}

// NewClock returns a clock that shows readings of times since startedAt, which must include a
// monotonic clock reading.
func NewClock(startedAt time.Time) *Clock { return &Clock{startedAt: startedAt, offset: rand.Uint64()} }

// Read returns the reading at a time.
func (c *Clock) Read(at time.Time) Reading { return Reading(c.offset + uint64(at.Sub(c.startedAt))) }

// Time returns the time of a reading. It returns false if the clock has not shown the reading by now.
func (c *Clock) Time(r Reading, now time.Time) (time.Time, bool) {
	elapsed := uint64(r) - c.offset
	if r == 0 || elapsed > uint64(now.Sub(c.startedAt)) {
		return time.Time{}, false
	}
	return c.startedAt.Add(time.Duration(elapsed)), true
}

// WrittenAfter returns a time after which the message that contains an echo was written. It returns
// false if the echo's reading is not one of this clock. The result is at most now, which it would
// exceed where the other clock is faster.
func (c *Clock) WrittenAfter(e Echo, now time.Time) (time.Time, bool) {
	readAt, ok := c.Time(e.Reading, now)
	if !ok || e.Held < 0 {
		return time.Time{}, false
	}
	return readAt.Add(min(e.Held, now.Sub(readAt))), true
}

// maxAnchorDistance bounds the time between two readings of one process: readings of different
// processes are farther apart, but for a chance of one in millions.
const maxAnchorDistance = time.Hour

// Anchor relates the clock of another process to this one's: the other process read its clock after At.
// The zero value relates nothing.
type Anchor struct {
	Reading Reading
	At      time.Time
}

// WrittenAfter returns a time after which the other process read its clock. It returns false if the
// anchor does not relate to this reading. The result is at most now, see [Clock.WrittenAfter].
func (a Anchor) WrittenAfter(r Reading, now time.Time) (time.Time, bool) {
	since := time.Duration(r - a.Reading)
	if a.Reading == 0 || r == 0 || since.Abs() > maxAnchorDistance {
		return time.Time{}, false
	}
	at := a.At.Add(since)
	if at.After(now) {
		return now, true
	}
	return at, true
}

// Received is a reading of another process's clock.
type Received struct {
	Reading Reading
	// At is when the reading was received, or later.
	At time.Time
}

// Echo returns the reading for a message whose contents are as of now or later.
func (r Received) Echo(now time.Time) Echo {
	if r.Reading == 0 {
		return Echo{}
	}
	return Echo{Reading: r.Reading, Held: now.Sub(r.At)}
}
