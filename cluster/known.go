package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// entriesKnown is how far a daemon knows the entries that instances write into the
// store: from reading them, from the planner's news, or from its relay.
type entriesKnown struct {
	// end is the place before which all records are known.
	end models.Position
	// at is when the store held no others.
	at time.Time
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
}

// reachEntries is reach for this daemon, and shows how old what it knows is.
func (o *owner) reachEntries(end models.Position, at time.Time) {
	o.fleet.entries.reach(end, at)
	if known := o.fleet.entries.at; !known.IsZero() {
		o.n.entriesAt.Store(known.UnixNano())
	}
}

// told is what this daemon tells others of how far it knows entries. They know them as
// far as since already, or are told all.
func (e *entriesKnown) told(since models.Position, now time.Time) *EntriesTold {
	return &EntriesTold{Since: since, End: e.end, Age: now.Sub(e.at)}
}

// joinsOn reports whether no record is left out between those that a daemon knows and
// those that were told.
func (t *EntriesTold) joinsOn(known entriesKnown) bool {
	return t.Since.Era == t.End.Era && known.end.Covers(t.Since)
}

// entriesAge is how old what the node knows of entries is.
func (n *Node) entriesAge() time.Duration {
	at := n.entriesAt.Load()
	if at == 0 {
		at = n.started
	}
	return time.Since(time.Unix(0, at))
}
