package router

import "sync"

// keptPrefixes is how many beginnings of prompts a daemon remembers.
const keptPrefixes = 4096

// Prefixes remembers the beginnings of prompts that came lately. A beginning
// that comes for the first time is in no cache that matters.
type Prefixes struct {
	mu    sync.Mutex
	known map[uint64]struct{}
	order []uint64
}

// NewPrefixes returns an empty memory.
func NewPrefixes() *Prefixes { return &Prefixes{known: map[uint64]struct{}{}} }

// Seen remembers a beginning and reports whether it came before.
func (p *Prefixes) Seen(prefix uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.known[prefix]; known {
		return true
	}
	p.known[prefix] = struct{}{}
	p.order = append(p.order, prefix)
	if len(p.order) > keptPrefixes {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
	return false
}
