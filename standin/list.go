package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/platform"
)

// List is the platform's instance list. Readers see it with a configurable lag.
type List struct {
	mu       sync.Mutex
	versions []listVersion
	lag      time.Duration
	down     bool
}

type listVersion struct {
	created   time.Time
	instances map[models.InstanceID]models.Instance
}

// NewList returns a list without instances.
func NewList() *List {
	return &List{versions: []listVersion{{created: time.Now()}}}
}

// Control changes the instances, the lag and the availability of the list.
func (l *List) Control(c ListControl) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Lag != nil {
		l.lag = time.Duration(*c.Lag)
	}
	setIfPresent(&l.down, c.Down)
	next := maps.Clone(l.versions[len(l.versions)-1].instances)
	if next == nil {
		next = map[models.InstanceID]models.Instance{}
	}
	for _, i := range c.Put {
		next[i.ID] = i
	}
	for _, id := range c.Leaving {
		if i, ok := next[id]; ok {
			i.Leaving = true
			next[id] = i
		}
	}
	for _, id := range c.Remove {
		delete(next, id)
	}
	l.versions = append(l.versions, listVersion{created: time.Now(), instances: next})
}

// visible returns the newest version that is older than the lag, and drops the versions before it.
func (l *List) visible(now time.Time) []models.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.versions) > 1 && now.Sub(l.versions[1].created) >= l.lag {
		l.versions = l.versions[1:]
	}
	all := l.versions[0].instances
	out := make([]models.Instance, 0, len(all))
	for _, id := range slices.Sorted(maps.Keys(all)) {
		out = append(out, all[id])
	}
	return out
}

func (l *List) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *List) serveList(w http.ResponseWriter, _ *http.Request) {
	if l.isDown() {
		writeError(w, http.StatusServiceUnavailable, "the list is away")
		return
	}
	writeJSON(w, http.StatusOK, platform.ListResponse{Instances: l.visible(time.Now())})
}

func (l *List) serveControl(w http.ResponseWriter, r *http.Request) {
	var c ListControl
	if readJSON(w, r, &c) {
		l.Control(c)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Announce applies the change to the instance list of the platform at the address. It retries until
// the platform accepts the change or the context ends.
func Announce(ctx context.Context, platform netip.AddrPort, change ListControl) error {
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	for {
		resp, err := http.Post("http://"+platform.String()+"/control/instances", "application/json", bytes.NewReader(body))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusNoContent {
				return nil
			}
		}
		if sleep(ctx, announceRetryInterval) != nil {
			return ctx.Err()
		}
	}
}

const announceRetryInterval = 100 * time.Millisecond
