package models

import "cmp"

// Position is a place in one topic of the platform's store: behind all records
// with lower offsets. Offsets count anew once the store came back from a copy that
// was older than what it had acknowledged; each time begins another era.
type Position struct {
	Era    int64 `msgpack:"e,omitempty"`
	Offset int64 `msgpack:"o,omitempty"`
}

// Compare orders places of one topic: it is negative if p comes before o, zero if
// they are the same, and positive if p comes after.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Covers reports whether what was read up to p holds all records before o. Records of
// another era say nothing.
func (p Position) Covers(o Position) bool { return p.Era == o.Era && p.Offset >= o.Offset }
