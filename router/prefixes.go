package router

import "sync"

// keptPrefixes is how many beginnings of prompts a daemon remembers.
const maxPrefixes = 4096

// Prefixes remembers the beginnings of prompts that came lately. A beginning
// that comes for the first time is in no cache that matters.
type Prefixes struct {
	mu    sync.Mutex
	seen  map[uint64]struct{}
	order []uint64
}

// NewPrefixes returns an empty memory.
func NewPrefixes() *Prefixes { return &Prefixes{seen: map[uint64]struct{}{}} }

// Seen remembers a beginning and reports whether it came before.
func (p *Prefixes) Seen(prefix uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, seen := p.seen[prefix]; seen {
		return true
	}
	p.seen[prefix] = struct{}{}
	p.order = append(p.order, prefix)
	if len(p.order) > maxPrefixes {
		delete(p.seen, p.order[0])
		p.order = p.order[1:]
	}
	return false
}
