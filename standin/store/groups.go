package store

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

type group struct {
	generation int64
	members    map[string]*member
	// owners holds the owner of each partition.
	owners [partitionsPerTopic]string
}

type member struct {
	expires    time.Time
	generation int64
}

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

func (s *Store) serveJoin(w http.ResponseWriter, r *http.Request) error {
	var req joinRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[req.Group]
	if g == nil {
		g = &group{members: map[string]*member{}}
		s.groups[req.Group] = g
	}
	now := s.now()
	g.expire(now)
	m := g.members[req.Member]
	if m == nil {
		m = &member{}
		g.members[req.Member] = m
		g.generation++
	}
	m.expires, m.generation = now.Add(time.Duration(req.TTL)*time.Millisecond), req.Generation
	g.assign()
	parts := [][]any{}
	for part, owner := range g.owners {
		if owner == req.Member && len(req.Topics) > 0 {
			parts = append(parts, []any{req.Topics[0], part, 0})
		}
	}
	return writeJSON(w, map[string]any{"generation": g.generation, "ttl_ms": req.TTL, "parts": parts})
}

func (s *Store) serveLeave(w http.ResponseWriter, r *http.Request) error {
	var req joinRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[req.Group]; g != nil {
		g.remove(req.Member)
	}
	return writeJSON(w, struct{}{})
}

// DropAssignments drops all partition assignments of a group, as the platform's store does
// occasionally. Partitions are reassigned when members join next.
func (s *Store) DropAssignments(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.owners = [partitionsPerTopic]string{}
		g.generation++
	}
}

func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.After(m.expires) {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	delete(g.members, name)
	g.generation++
	for part, owner := range g.owners {
		if owner == name {
			g.owners[part] = ""
		}
	}
}

// assign assigns each partition without an owner to the member that owns the fewest.
func (g *group) assign() {
	counts := map[string]int{}
	for _, owner := range g.owners {
		counts[owner]++
	}
	for part, owner := range g.owners {
		if owner != "" {
			continue
		}
		chosen := ""
		for _, name := range slices.Sorted(maps.Keys(g.members)) {
			if chosen == "" || counts[name] < counts[chosen] {
				chosen = name
			}
		}
		g.owners[part] = chosen
		counts[chosen]++
	}
}
