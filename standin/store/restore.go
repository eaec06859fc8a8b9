package store

import "maps"

// Copy is what a store held at one moment.
type Copy struct {
	parts  map[string]*partition
	groups map[string]*group
}

// Copy copies what the store holds.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{parts: s.parts, groups: s.groups}.clone()
}

// Restore has the store come back from a copy: what was written since is gone, offsets
// go back and are given out again, and another era begins.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c = c.clone()
	s.parts, s.groups = c.parts, c.groups
	s.era++
}

func (c Copy) clone() Copy {
	out := Copy{parts: map[string]*partition{}, groups: map[string]*group{}}
	for name, p := range c.parts {
		out.parts[name] = &partition{first: p.first, records: append([][]byte{}, p.records...), newest: maps.Clone(p.newest)}
	}
	for name, g := range c.groups {
		members := make(map[string]*member, len(g.members))
		for id, m := range g.members {
			held := *m
			members[id] = &held
		}
		out.groups[name] = &group{generation: g.generation, members: members, owner: g.owner}
	}
	return out
}
