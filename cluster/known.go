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
type entriesKnown struct {
	// end is the place before which all records are known.
	end models.Position
	// at is when the store held no others.
	at time.Time
	// ahead are records that were told, but not those between end and them.
	ahead *recordsTold
}

// recordsTold are the records between two places, as of when there were none behind.
type recordsTold struct {
	since, end models.Position
	at         time.Time
}

// reach notes that all records before a place are known, and that the store held no
// others at a time.
func (e *entriesKnown) reach(end models.Position, at time.Time) {
	if end.Era < e.end.Era {
		return
	}
	if e.end.Compare(end) < 0 {
		e.end = end
	}
	if at.After(e.at) {
		e.at = at
	}
	if a := e.ahead; a != nil && e.end.Covers(a.since) {
		e.ahead = nil
		e.reach(a.end, a.at)
	}
}

// join takes in that records were told, and reports whether all before them are known.
// If not, they count once that is made good.
func (e *entriesKnown) join(t recordsTold) bool {
	switch {
	case t.since.Era != t.end.Era:
		return false
	case e.end.Covers(t.since):
		e.reach(t.end, t.at)
		return true
	case e.ahead != nil && e.ahead.end.Covers(t.since):
		e.ahead.end, e.ahead.at = t.end, t.at
	default:
		e.ahead = &t
	}
	return false
}

// told is what this daemon tells others of how far it knows entries. They know them as
// far as since already, or are told all.
func (e *entriesKnown) told(since models.Position, now time.Time) *EntriesTold {
	return &EntriesTold{Since: since, End: e.end, Age: now.Sub(e.at)}
}

// records are those that were told, by a message that came at a time.
func (t *EntriesTold) records(came time.Time) recordsTold {
	return recordsTold{since: t.Since, end: t.End, at: came.Add(-t.Age)}
}

// olderThan reports whether this daemon knows more of the store's records than who told
// these news.
func (m newsSeen) olderThan(known entriesKnown) bool {
	return m.entries != nil && m.entries.End.Compare(known.end) < 0
}

// stillKnown are older news of instances, less those that this daemon does not know: they
// may be gone. Whether the store lacks an entry it knows better too.
func (f *fleetState) stillKnown(told []InstanceNews, now time.Time) []InstanceNews {
	var out []InstanceNews
	for _, news := range told {
		k, known := f.instances[news.Instance.ID]
		if !known {
			continue
		}
		news.Missing = k.missingFor(now)
		out = append(out, news)
	}
	return out
}

// noteListed notes that an instance is among those of the store's records before a place,
// or since when a store that came back from a copy lacks it.
func (f *fleetState) noteListed(id models.InstanceID, end models.Position, missing time.Time) {
	k, known := f.instances[id]
	if !known {
		return
	}
	k.missing = missing
	if k.listed.Compare(end) < 0 {
		k.listed = end
	}
}

// missingFor is for how long the store lacks the instance's entry, zero if it has one.
func (k *knownInstance) missingFor(now time.Time) time.Duration {
	if k.missing.IsZero() {
		return 0
	}
	return max(1, now.Sub(k.missing))
}

// showEntriesAge shows to other goroutines what this daemon knows, and how old it is.
func (o *owner) showEntriesAge() {
	end := o.fleet.entries.end
	o.n.entriesEnd.Store(&end)
	if at := o.fleet.entries.at; !at.IsZero() {
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
type missedNews struct {
	noted, good atomic.Int64
}

func (m *missedNews) note() { m.noted.Add(1) }

// pending reports whether something is missing.
func (m *missedNews) pending() bool { return m.noted.Load() > m.good.Load() }

// makeGood notes that all that was missed until the count stood at noted is known now.
func (m *missedNews) makeGood(noted int64) {
	if noted > m.good.Load() {
		m.good.Store(noted)
	}
}
