package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/platform"
)

const (
	// keptTrail is how many of its own entries a daemon keeps at hand.
	keptTrail = 10000
	// maxUnwritten is how many entries wait at most while the log is away;
	// the oldest are dropped first, and counted.
	maxUnwritten = 50000
	// maxTrailBatch is how many entries one record carries.
	maxTrailBatch = 1000
	// searchedTrail is how many records at the end of the stream are
	// searched for a request.
	searchedTrail = 5000
	flushWithin   = 2 * time.Second
)

// trail is the record of where requests ran. Entries are written to the log
// in batches. A request that is still in flight at a batch is in it without
// an end, so that the loss of the daemon does not hide where it ran.
type trail struct {
	mu sync.Mutex
	// open are the requests in flight; written tells which of them a batch
	// has held.
	open    map[models.RequestID]models.TrailEntry
	written map[models.RequestID]bool
	ended   []models.TrailEntry
	waiting []models.TrailEntry
}

func newTrail() *trail {
	return &trail{open: map[models.RequestID]models.TrailEntry{}, written: map[models.RequestID]bool{}}
}

// Note puts an entry on the trail. A request may be noted again and again;
// the last note is the one with an end.
func (d *Daemon) Note(e models.TrailEntry) {
	t := d.trail
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Outcome == "" {
		t.open[e.Request] = e
		return
	}
	delete(t.open, e.Request)
	delete(t.written, e.Request)
	t.waiting = append(t.waiting, e)
	t.ended = append(t.ended, e)
	if len(t.ended) > keptTrail {
		t.ended = t.ended[1:]
	}
	if extra := len(t.waiting) - maxUnwritten; extra > 0 {
		t.waiting = t.waiting[extra:]
		d.stats.trailDropped.Add(extra)
	}
}

// batch takes the entries for the next record.
func (t *trail) batch(now time.Time) []models.TrailEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.waiting), maxTrailBatch)
	out := slices.Clone(t.waiting[:n])
	t.waiting = t.waiting[n:]
	for id, e := range t.open {
		if !t.written[id] && len(out) < maxTrailBatch {
			t.written[id] = true
			e.Elapsed = now.Sub(e.Started)
			out = append(out, e)
		}
	}
	return out
}

// putBack returns entries that could not be written.
func (t *trail) putBack(entries []models.TrailEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []models.TrailEntry
	for _, e := range entries {
		if e.Outcome == "" {
			delete(t.written, e.Request)
		} else {
			ended = append(ended, e)
		}
	}
	t.waiting = append(ended, t.waiting...)
}

func (t *trail) find(id models.RequestID) (models.TrailEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.open[id]; ok {
		return e, true
	}
	for _, e := range slices.Backward(t.ended) {
		if e.Request == id {
			return e, true
		}
	}
	return models.TrailEntry{}, false
}

// runTrail writes a batch at each tick, and what is left when the context
// ends.
func (d *Daemon) runTrail(ticks <-chan timer.Tick) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				last, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushWithin)
				defer cancel()
				d.flushTrail(last)
				return ctx.Err()
			case <-ticks:
				d.flushTrail(ctx)
			}
		}
	}
}

func (d *Daemon) flushTrail(ctx context.Context) {
	for entries := d.trail.batch(time.Now()); len(entries) > 0; entries = d.trail.batch(time.Now()) {
		data, err := pack.Marshal(entries)
		if err == nil {
			_, err = d.platform.Append(ctx, platform.StreamTrail, data)
		}
		if err != nil {
			d.log.Warn().Err(err).Int("entries", len(entries)).Msg("trail-unwritten")
			d.trail.putBack(entries)
			return
		}
	}
}

// FindTrail returns what is known of a request, by this daemon or by the
// log. An entry with an end goes before one without.
func (d *Daemon) FindTrail(ctx context.Context, id models.RequestID) (models.TrailEntry, bool, error) {
	if e, ok := d.trail.find(id); ok {
		return e, true, nil
	}
	records, err := d.platform.ReadTail(ctx, platform.StreamTrail, searchedTrail)
	if err != nil {
		return models.TrailEntry{}, false, fmt.Errorf("%w: %w", ErrLogAway, err)
	}
	var found models.TrailEntry
	for _, rec := range records {
		var entries []models.TrailEntry
		if pack.Unmarshal(rec.Data, &entries) != nil {
			continue
		}
		for _, e := range entries {
			if e.Request == id && found.Outcome == "" {
				found = e
			}
		}
	}
	return found, found.Request != "", nil
}
