package cluster

import (
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// A daemon that does not know that an instance leaves keeps sending requests to it. So each daemon
// tracks the time as of which it knows all entries of instances, and reads newer ones once that is
// too long ago, whatever other messages it receives.

// entriesProgress is how far a daemon knows the store's entry records, from reading the store, from
// the planner's updates or from its relay's snapshots.
type entriesProgress struct {
	// end is the position before which all records are known.
	end models.Position
	// currentAt is when the store held no records behind end.
	currentAt time.Time
	// pending is a known range of records behind a gap that starts at end.
	pending *recordRange
}

// recordRange is a range of records. currentAt is when the store held none behind it.
type recordRange struct {
	since, end models.Position
	currentAt  time.Time
}

// advance marks all records before a position as known. at is when the store held no others.
func (e *entriesProgress) advance(end models.Position, at time.Time) {
	if end.Era < e.end.Era {
		return
	}
	if e.end.Compare(end) < 0 {
		e.end = end
	}
	if at.After(e.currentAt) {
		e.currentAt = at
	}
	if a := e.pending; a != nil && e.end.Covers(a.since) {
		e.pending = nil
		e.advance(a.end, a.currentAt)
	}
}

// addRange marks a range of records as known and reports whether all records before it are. If not,
// the range is pending until the gap is filled.
func (e *entriesProgress) addRange(t recordRange) bool {
	switch {
	case t.since.Era != t.end.Era:
		return false
	case e.end.Covers(t.since):
		e.advance(t.end, t.currentAt)
		return true
	case e.pending != nil && e.pending.end.Covers(t.since):
		e.pending.end, e.pending.currentAt = t.end, t.currentAt
	default:
		e.pending = &t
	}
	return false
}

// entriesSince returns the range of records that an update covers. Receivers know the records before
// since, or since is zero and the update is a snapshot.
func (o *owner) entriesSince(since models.Position) *EntriesRange {
	e := &o.fleet.entries
	return &EntriesRange{Since: since, End: e.end, Age: o.n.clock.Since(e.currentAt)}
}

// toRecordRange converts the range of an update whose ages are as of a time or later, zero if that is
// not known.
func (t *EntriesRange) toRecordRange(writtenAfter time.Time) recordRange {
	return recordRange{since: t.Since, end: t.End, currentAt: dateOf(writtenAfter, t.Age)}
}

// olderThan reports whether this daemon knows more of the store's entry records than the sender of
// the update did.
func (m updateReceived) olderThan(known entriesProgress) bool {
	return m.entries != nil && m.entries.End.Compare(known.end) < 0
}

// onlyKnown filters an older update: instances that this daemon does not know may have been removed
// since. Whether the store lacks an entry is taken from this daemon's newer state.
func (f *fleetState) onlyKnown(updates []InstanceUpdate, now time.Time) []InstanceUpdate {
	var out []InstanceUpdate
	for _, u := range updates {
		k, known := f.instances[u.Instance.ID]
		if !known {
			continue
		}
		u.Missing = k.missingFor(now)
		out = append(out, u)
	}
	return out
}

// markListed records that the instance is covered by the records before end, and since when a
// restored store has lacked its entry.
func (f *fleetState) markListed(id models.InstanceID, end models.Position, missing time.Time) {
	k, known := f.instances[id]
	if !known {
		return
	}
	k.missingSince = missing
	if k.knownThrough.Compare(end) < 0 {
		k.knownThrough = end
	}
}

// missingFor returns how long a restored store has lacked the instance's entry, 0 if it has one.
func (k *knownInstance) missingFor(now time.Time) time.Duration {
	if k.missingSince.IsZero() {
		return 0
	}
	return max(1, now.Sub(k.missingSince))
}

// publishProgress makes the progress available to other goroutines.
func (o *owner) publishProgress() {
	end := o.fleet.entries.end
	o.n.entriesEnd.Store(&end)
	if at := o.fleet.entries.currentAt; !at.IsZero() {
		o.n.entriesAt.Store(&at)
	}
}

// knownEnd returns the position before which all entry records are known, if any are.
func (n *Node) knownEnd() (models.Position, bool) {
	end := n.entriesEnd.Load()
	return *end, *end != models.Position{}
}

// entriesAge returns the time since all entries were known, or since the start.
func (n *Node) entriesAge() time.Duration {
	at := n.entriesAt.Load()
	if at == nil {
		at = &n.startedAt
	}
	return n.clock.Since(*at)
}

// missedUpdates tracks missed updates of instances: recorded counts them, and recovered is the
// count up to which they have been recovered by a read or a snapshot. It is safe for concurrent
// use.
type missedUpdates struct {
	recorded, recovered atomic.Int64
}

func (m *missedUpdates) record() { m.recorded.Add(1) }

// pending reports whether any missed update has not been recovered.
func (m *missedUpdates) pending() bool { return m.recorded.Load() > m.recovered.Load() }

// recoverTo marks the missed updates up to a count as recovered.
func (m *missedUpdates) recoverTo(recorded int64) {
	if recorded > m.recovered.Load() {
		m.recovered.Store(recorded)
	}
}
