package router

import "sync"

// maxPrefixes is how many prompt prefixes a daemon remembers.
const maxPrefixes = 4096

// RecentPrefixes is the set of recently seen prompt prefixes. A prefix that is not in the set is
// not worth routing by, because no engine is likely to have it cached.
type RecentPrefixes struct {
	mu    sync.Mutex
	seen  map[uint64]struct{}
	order []uint64
}

// NewRecentPrefixes returns an empty set.
func NewRecentPrefixes() *RecentPrefixes { return &RecentPrefixes{seen: map[uint64]struct{}{}} }

// Seen adds a prefix to the set and reports whether the set already had it.
func (p *RecentPrefixes) Seen(prefix uint64) bool {
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
