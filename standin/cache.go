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

// prefixBlockBytes is the size of the prompt blocks that are cached.
const prefixBlockBytes = 256

const (
	// eventPublishDelay is the delay between a cache change and the publication of its event.
	eventPublishDelay = 500 * time.Millisecond
	// Every droppedEventInterval-th cache event is never published.
	droppedEventInterval = 16
)

// CacheEvent reports that a prompt prefix was added to the cache or evicted from it.
type CacheEvent struct {
	Seq     int    `json:"seq"`
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"gone,omitempty"`
}

// prefixCache is an LRU cache of the hashes of prompt prefixes.
type prefixCache struct {
	mu   sync.Mutex
	size int
	lru  []uint64
	// cachedBytes and totalBytes count the prompt bytes that were cached, and all prompt bytes.
	cachedBytes, totalBytes int
	events                  []timedEvent
	seq                     int
}

type timedEvent struct {
	at    time.Time
	event CacheEvent
}

func newPrefixCache(size int) *prefixCache { return &prefixCache{size: size} }

// PrefixHashes returns a hash for each whole block at the beginning of the prompt; each hash covers
// all blocks before it.
func PrefixHashes(prompt string) []uint64 {
	h := fnv.New64a()
	var out []uint64
	for len(prompt) >= prefixBlockBytes {
		h.Write([]byte(prompt[:prefixBlockBytes]))
		out = append(out, h.Sum64())
		prompt = prompt[prefixBlockBytes:]
	}
	return out
}

// add adds the prompt's prefixes to the cache and returns how many bytes of the prompt were not
// cached.
func (c *prefixCache) add(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	uncached := len(prompt)
	for _, p := range PrefixHashes(prompt) {
		if i := slices.Index(c.lru, p); i >= 0 {
			uncached -= prefixBlockBytes
			c.lru = slices.Delete(c.lru, i, i+1)
		} else {
			c.publish(p, false)
		}
		c.lru = append(c.lru, p)
	}
	c.cachedBytes += len(prompt) - uncached
	c.totalBytes += len(prompt)
	for len(c.lru) > c.size {
		c.publish(c.lru[0], true)
		c.lru = c.lru[1:]
	}
	return uncached
}

const maxKeptEvents = 4096

func (c *prefixCache) publish(prefix uint64, evicted bool) {
	c.seq++
	if c.seq%droppedEventInterval == 0 {
		return
	}
	c.events = append(c.events, timedEvent{at: time.Now(), event: CacheEvent{Seq: c.seq, Prefix: prefix, Evicted: evicted}})
	if len(c.events) > maxKeptEvents {
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
		if e.event.Seq > after && time.Since(e.at) >= eventPublishDelay {
			out = append(out, e.event)
		}
	}
	c.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}
