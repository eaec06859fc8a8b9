package cluster

import (
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// A daemon may go on sending to an instance that leaves for as long as it does not know
// of that. So it keeps as of when it knows all entries that instances write, and looks
// for newer ones once that is too long ago, whatever else it hears.

// entriesKnown is how far a daemon knows the store's records of instances: from reading
// them, from the planner's news, or from its relay.
type entriesProgress struct {
	// end is the place before which all records are known.
	end models.Position
	// at is when the store held no others.
	currentAt time.Time
	// ahead are records that were told, but not those between end and them.
	pending *recordRange
}

// recordsTold are the records between two places, as of when there were none behind.
type recordRange struct {
	since, end models.Position
	currentAt  time.Time
}

// reach notes that all records before a place are known, and that the store held no
// others at a time.
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

// join takes in that records were told, and reports whether all before them are known.
// If not, they count once that is made good.
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

// told is what this daemon tells others of how far it knows entries. They know them as
// far as since already, or are told all.
func (e *entriesProgress) rangeSince(since models.Position, now time.Time) *EntriesRange {
	return &EntriesRange{Since: since, End: e.end, Age: now.Sub(e.currentAt)}
}

// records are those that were told, by a message that came at a time.
func (t *EntriesRange) toRecordRange(receivedAt time.Time) recordRange {
	return recordRange{since: t.Since, end: t.End, currentAt: receivedAt.Add(-t.Age)}
}

// olderThan reports whether this daemon knows more of the store's records than who told
// these news.
func (m updateReceived) olderThan(known entriesProgress) bool {
	return m.entries != nil && m.entries.End.Compare(known.end) < 0
}

// stillKnown are older news of instances, less those that this daemon does not know: they
// may be gone. Whether the store lacks an entry it knows better too.
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

// noteListed notes that an instance is among those of the store's records before a place,
// or since when a store that came back from a copy lacks it.
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

// missingFor is for how long the store lacks the instance's entry, zero if it has one.
func (k *knownInstance) missingFor(now time.Time) time.Duration {
	if k.missingSince.IsZero() {
		return 0
	}
	return max(1, now.Sub(k.missingSince))
}

// showEntriesAge shows to other goroutines what this daemon knows, and how old it is.
func (o *owner) publishProgress() {
	end := o.fleet.entries.end
	o.n.entriesEnd.Store(&end)
	if at := o.fleet.entries.currentAt; !at.IsZero() {
		o.n.entriesAt.Store(at.UnixNano())
	}
}

// knownEnd is the place before which all records of entries are known, if that is so.
func (n *Node) knownEnd() (models.Position, bool) {
	end := n.entriesEnd.Load()
	return *end, *end != models.Position{}
}

// entriesAge is how old what the node knows of entries is.
func (n *Node) entriesAge() time.Duration {
	at := n.entriesAt.Load()
	if at == 0 {
		at = n.started
	}
	return time.Since(time.Unix(0, at))
}

// missedNews counts how often a node missed something that others told of instances, and
// up to which time that was made good. It is safe for use by several goroutines.
type missedUpdates struct {
	recorded, recovered atomic.Int64
}

func (m *missedUpdates) record() { m.recorded.Add(1) }

// pending reports whether something is missing.
func (m *missedUpdates) pending() bool { return m.recorded.Load() > m.recovered.Load() }

// makeGood notes that all that was missed until the count stood at noted is known now.
func (m *missedUpdates) recoverTo(recorded int64) {
	if recorded > m.recovered.Load() {
		m.recovered.Store(recorded)
	}
}
