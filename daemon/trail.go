package daemon

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/platform"
)

const (
	// maxEndedTrail is how many entries of ended requests that it served itself a daemon keeps in
	// memory.
	maxEndedTrail = 10000
	// maxUnwrittenTrail is how many entries are buffered while the log is unavailable; beyond it
	// the oldest are dropped and counted.
	maxUnwrittenTrail = 50000
	// maxTrailBatch is the maximum number of entries in one record.
	maxTrailBatch = 1000
	// maxTrailSearch is how many records at the end of the stream are searched for a request.
	maxTrailSearch = 5000
	// maxReasonLen is the length in bytes to which a reason is cut. An error may quote whatever an upstream
	// sent.
	maxReasonLen      = 1 << 10
	finalFlushTimeout = 2 * time.Second
)

// trail records where requests ran. Entries are written to the log in batches. A batch includes
// requests still in flight, without an end, so that it is known where they ran even if the daemon
// is lost.
type trail struct {
	mu sync.Mutex
	// active are the requests in flight; flushed reports which of them a batch has included.
	active    map[models.RequestID]models.TrailEntry
	flushed   map[models.RequestID]bool
	recent    []models.TrailEntry
	unwritten []models.TrailEntry
}

func newTrail() *trail {
	return &trail{active: map[models.RequestID]models.TrailEntry{}, flushed: map[models.RequestID]bool{}}
}

// RecordTrail adds an entry to the trail. A request may be recorded repeatedly; its last entry is
// the one with an end.
func (d *Daemon) RecordTrail(e models.TrailEntry) {
	if len(e.Reason) > maxReasonLen {
		// A clone, so that the rest is not kept.
		e.Reason = strings.Clone(strings.ToValidUTF8(e.Reason[:maxReasonLen], ""))
	}
	t := d.trail
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Outcome == "" {
		t.active[e.Request] = e
		return
	}
	delete(t.active, e.Request)
	delete(t.flushed, e.Request)
	t.unwritten = append(t.unwritten, e)
	t.recent = append(t.recent, e)
	if len(t.recent) > maxEndedTrail {
		t.recent = t.recent[1:]
	}
	if extra := len(t.unwritten) - maxUnwrittenTrail; extra > 0 {
		t.unwritten = t.unwritten[extra:]
		d.stats.trailDropped.Add(extra)
	}
}

// nextBatch returns the entries for the next record: unwritten entries, and requests in flight
// that no batch has included.
func (t *trail) nextBatch(now time.Time) []models.TrailEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.unwritten), maxTrailBatch)
	out := slices.Clone(t.unwritten[:n])
	t.unwritten = t.unwritten[n:]
	for id, e := range t.active {
		if !t.flushed[id] && len(out) < maxTrailBatch {
			t.flushed[id] = true
			e.Elapsed = now.Sub(e.Started)
			out = append(out, e)
		}
	}
	return out
}

// requeue queues entries again that could not be written.
func (t *trail) requeue(entries []models.TrailEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []models.TrailEntry
	for _, e := range entries {
		if e.Outcome == "" {
			delete(t.flushed, e.Request)
		} else {
			ended = append(ended, e)
		}
	}
	t.unwritten = append(ended, t.unwritten...)
}

func (t *trail) find(id models.RequestID) (models.TrailEntry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.active[id]; ok {
		return e, true
	}
	for _, e := range slices.Backward(t.recent) {
		if e.Request == id {
			return e, true
		}
	}
	return models.TrailEntry{}, false
}

// trailWriter returns a function that writes the pending batches at each tick, and once more when
// the context ends.
func (d *Daemon) trailWriter(ticks <-chan timer.Tick) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
				defer cancel()
				d.flushTrail(flushCtx)
				return ctx.Err()
			case <-ticks:
				d.flushTrail(ctx)
			}
		}
	}
}

func (d *Daemon) flushTrail(ctx context.Context) {
	for entries := d.trail.nextBatch(time.Now()); len(entries) > 0; entries = d.trail.nextBatch(time.Now()) {
		data, err := pack.Marshal(entries)
		if err == nil {
			_, err = d.platform.Append(ctx, platform.StreamTrail, data)
		}
		if err != nil {
			d.log.Warn().Err(err).Int("entries", len(entries)).Msg("trail-unwritten")
			d.trail.requeue(entries)
			return
		}
	}
}

// FindTrail returns the entry of a request from this daemon's memory or else from the log. An
// entry with an end takes precedence over one without.
func (d *Daemon) FindTrail(ctx context.Context, id models.RequestID) (models.TrailEntry, bool, error) {
	if e, ok := d.trail.find(id); ok {
		return e, true, nil
	}
	records, err := d.platform.ReadTail(ctx, platform.StreamTrail, maxTrailSearch)
	if err != nil {
		return models.TrailEntry{}, false, fmt.Errorf("%w: %w", ErrLogUnavailable, err)
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
