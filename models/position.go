package models

import "cmp"

// Position is a position in a topic of the platform's store: after all records with lower
// offsets. When the store is restored from a backup that lacks records it had already
// acknowledged, it reuses their offsets, and a new era begins. Offsets of different eras are
// unrelated.
type Position struct {
	Era    int64 `msgpack:"e,omitempty"`
	Offset int64 `msgpack:"o,omitempty"`
}

// Compare orders positions in the same topic. It returns a negative number if p is before o,
// zero if they are equal, and a positive number if p is after o.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Covers reports whether a reader that has read up to p has read all records before o. It
// returns false for positions of different eras.
func (p Position) Covers(o Position) bool { return p.Era == o.Era && p.Offset >= o.Offset }
