package standin

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// prefixBlock is the length of the prompt blocks that are cached, in bytes.
const prefixBlock = 256

const (
	// eventDelay is how late cache events are published.
	eventDelay = 500 * time.Millisecond
	// eventGap is which of the cache events, one in so many, is never
	// published.
	eventGap = 16
)

// CacheEvent tells that a prompt prefix came into or left the cache.
type CacheEvent struct {
	Seq    int    `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Gone   bool   `json:"gone,omitempty"`
}

// prefixCache remembers the prompt prefixes used last.
type prefixCache struct {
	mu    sync.Mutex
	size  int
	order []uint64
	// used and total are the bytes of prompts that were cached, and all.
	used, total int
	events      []timedEvent
	seq         int
}

type timedEvent struct {
	at    time.Time
	event CacheEvent
}

func newPrefixCache(size int) *prefixCache { return &prefixCache{size: size} }

// Prefixes returns a hash for each whole block that the prompt begins with;
// each hash covers all blocks before it.
func Prefixes(prompt string) []uint64 {
	h := fnv.New64a()
	var out []uint64
	for len(prompt) >= prefixBlock {
		h.Write([]byte(prompt[:prefixBlock]))
		out = append(out, h.Sum64())
		prompt = prompt[prefixBlock:]
	}
	return out
}

// use puts the prompt's prefixes into the cache and returns how many bytes
// of it were not there.
func (c *prefixCache) use(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := len(prompt)
	for _, p := range Prefixes(prompt) {
		if i := slices.Index(c.order, p); i >= 0 {
			fresh -= prefixBlock
			c.order = slices.Delete(c.order, i, i+1)
		} else {
			c.publish(p, false)
		}
		c.order = append(c.order, p)
	}
	c.used += len(prompt) - fresh
	c.total += len(prompt)
	for len(c.order) > c.size {
		c.publish(c.order[0], true)
		c.order = c.order[1:]
	}
	return fresh
}

const keptEvents = 4096

func (c *prefixCache) publish(prefix uint64, gone bool) {
	c.seq++
	if c.seq%eventGap == 0 {
		return
	}
	c.events = append(c.events, timedEvent{at: time.Now(), event: CacheEvent{Seq: c.seq, Prefix: prefix, Gone: gone}})
	if len(c.events) > keptEvents {
		c.events = c.events[1:]
	}
}

func (c *prefixCache) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		writeError(w, http.StatusBadRequest, fmt.Sprintf("after: %v", err))
		return
	}
	out := []CacheEvent{}
	c.mu.Lock()
	for _, e := range c.events {
		if e.event.Seq > after && time.Since(e.at) >= eventDelay {
			out = append(out, e.event)
		}
	}
	c.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}
