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
	// owner is who holds each partition.
	owner [partsPerTopic]string
}

type member struct {
	until time.Time
	seen  int64
}

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation int64    `json:"generation"`
}

func (s *Store) serveJoin(w http.ResponseWriter, r *http.Request) error {
	var call joinCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[call.Group]
	if g == nil {
		g = &group{members: map[string]*member{}}
		s.groups[call.Group] = g
	}
	now := s.now()
	g.expire(now)
	m := g.members[call.Member]
	if m == nil {
		m = &member{}
		g.members[call.Member] = m
		g.generation++
	}
	m.until, m.seen = now.Add(time.Duration(call.TTL)*time.Millisecond), call.Generation
	g.deal()
	parts := [][]any{}
	for part, owner := range g.owner {
		if owner == call.Member && len(call.Topics) > 0 {
			parts = append(parts, []any{call.Topics[0], part, 0})
		}
	}
	return answer(w, map[string]any{"generation": g.generation, "ttl_ms": call.TTL, "parts": parts})
}

func (s *Store) serveLeave(w http.ResponseWriter, r *http.Request) error {
	var call joinCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[call.Group]; g != nil {
		g.remove(call.Member)
	}
	return answer(w, struct{}{})
}

// Deal deals all partitions of a group anew, as the store does at times.
func (s *Store) Deal(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.owner = [partsPerTopic]string{}
		g.generation++
	}
}

func (g *group) expire(now time.Time) {
	for name, m := range g.members {
		if now.After(m.until) {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	delete(g.members, name)
	g.generation++
	for part, owner := range g.owner {
		if owner == name {
			g.owner[part] = ""
		}
	}
}

// deal gives partitions without an owner to the members that hold the fewest.
func (g *group) deal() {
	held := map[string]int{}
	for _, owner := range g.owner {
		held[owner]++
	}
	for part, owner := range g.owner {
		if owner != "" {
			continue
		}
		least := ""
		for _, name := range slices.Sorted(maps.Keys(g.members)) {
			if least == "" || held[name] < held[least] {
				least = name
			}
		}
		g.owner[part] = least
		held[least]++
	}
}
