package store

import "maps"

// Snapshot is a copy of a store's content.
type Snapshot struct {
	partitions map[string]*partition
	groups     map[string]*group
}

// Snapshot returns a copy of the store's content.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{partitions: s.partitions, groups: s.groups}.clone()
}

// Restore replaces the store's content by a snapshot, as a restore from a backup does: later writes
// are lost, their offsets are assigned again, and a new era begins.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c = c.clone()
	s.partitions, s.groups = c.partitions, c.groups
	s.era++
}

func (c Snapshot) clone() Snapshot {
	out := Snapshot{partitions: map[string]*partition{}, groups: map[string]*group{}}
	for name, p := range c.partitions {
		out.partitions[name] = &partition{firstOffset: p.firstOffset, records: append([][]byte{}, p.records...), newest: maps.Clone(p.newest)}
	}
	for name, g := range c.groups {
		members := make(map[string]*member, len(g.members))
		for id, m := range g.members {
			held := *m
			members[id] = &held
		}
		out.groups[name] = &group{generation: g.generation, members: members, owners: g.owners}
	}
	return out
}
