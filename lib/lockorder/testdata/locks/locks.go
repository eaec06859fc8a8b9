// Package locks has mutexes that are locked in all ways that the analysis tells apart. A comment at
// the end of a line names what is found there.
package locks

import (
	"maps"
	"sync"
)

type table struct {
	mu   sync.Mutex
	rows map[string]int
	log  chan string
	next *index
}

type index struct {
	mu   sync.RWMutex
	keys map[string]bool
}

type reader interface{ count(own func() int) int }

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

func (i *index) count(own func() int) int {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return len(i.keys) - own() // cycle
}

func (t *table) total(r reader) int {
	before := r.count(t.size)
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.rows, func(key string, _ int) bool { return !t.next.has(key) }) // cycle
	return before
}

func (t *table) again() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.size() // cycle
}

func (i *index) has(key string) bool {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.keys[key]
}

func (t *table) add(key string) {
	t.mu.Lock()
	t.rows[key]++
	t.log <- key // blocks
	t.mu.Unlock()
	t.log <- key
}

func (t *table) tryAdd(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[key]++
	select {
	case t.log <- key:
	default:
	}
	go func() { t.log <- key }()
}

// Use makes all of them reachable.
func Use(t *table) int {
	t.add("a")
	t.tryAdd("b")
	return t.total(t.next) + t.again()
}
