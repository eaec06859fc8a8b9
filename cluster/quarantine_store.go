package cluster

import (
	"context"
	"encoding/hex"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

// The requests that are refused are kept in the store as well, each under its digest: when
// all daemons lose power at once nothing else outlasts them, and each such request would
// end three more instances. What is merely suspected is not kept.

// quarantineTopic is the store's topic of requests that are refused.
const quarantineTopic = "quarantine"

// recordsLen is how many records may wait to be written.
const recordsLen = 64

// fromStore is the source of what was read from the store.
const fromStore quarantine.Source = "(store)"

// storedCrash is a crash that a request is held to have caused, as the store keeps it. The
// time is that of the day: nothing else is common to the processes before and after.
type storedCrash struct {
	Instance models.InstanceID `msgpack:"i"`
	Born     time.Time         `msgpack:"b,omitempty"`
	At       time.Time         `msgpack:"a"`
}

// recordOwn has a request's record written anew if this daemon found any of its crashes:
// those few all do it, since any of them may be lost. The quarantine must be locked.
func (q *Quarantine) recordOwn(d quarantine.Digest) {
	if q.list.RecordedHere(d) {
		q.record(d)
	}
}

// record has a request's record written anew.
func (q *Quarantine) record(d quarantine.Digest) {
	select {
	case q.changed <- d:
	default:
		q.log.Error().Stringer("digest", d).Msg("quarantine-not-kept")
	}
}

// stored is a request's record; it is empty if the request is not refused.
func (q *Quarantine) stored(d quarantine.Digest) ([]byte, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, refused := q.refused[d]; !refused {
		return nil, nil
	}
	var out []storedCrash
	for _, c := range q.list.CrashesOf(d) {
		out = append(out, storedCrash{Instance: c.Instance, Born: c.StartedAt, At: c.At})
	}
	return pack.Marshal(out)
}

// restore takes in a request's record.
func (q *Quarantine) restore(r platform.KeyedRecord) error {
	var d quarantine.Digest
	raw, err := hex.DecodeString(r.Key)
	if err != nil || len(raw) != len(d) {
		return errors.Join(errNoDigest, err)
	}
	copy(d[:], raw)
	var crashes []storedCrash
	if err := pack.Unmarshal(r.Value, &crashes); err != nil {
		return err
	}
	now := time.Now()
	for _, c := range crashes {
		// The clocks of two daemons differ; what is to come has not been.
		at := now.Add(-max(0, now.Sub(c.At)))
		q.add(quarantine.Crash{Instance: c.Instance, StartedAt: c.Born, At: at, Requests: map[quarantine.Digest]bool{d: false}}, fromStore)
	}
	if q.Standing(d).Crashes == 0 {
		// All of it is too long ago: the record goes.
		q.record(d)
	}
	return nil
}

// errNoDigest: the key of a record is no digest.
var errNoDigest = errors.New("the key is no digest of a request")

// keepQuarantine reads which requests are refused, unless a relay tells, and then writes
// what this daemon finds.
func (n *Node) keepQuarantine(ctx context.Context) error {
	if err := n.awaitPart(ctx); err != nil {
		return err
	}
	if !n.relies() {
		if err := n.persist(ctx, n.readQuarantine); err != nil {
			return err
		}
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-n.quarantine.changed:
			write := func(ctx context.Context) error { return n.writeQuarantine(ctx, d) }
			if err := n.persist(ctx, write); err != nil {
				return err
			}
		}
	}
}

// persist makes a call about the quarantine to the store until it succeeds.
func (n *Node) persist(ctx context.Context, call func(context.Context) error) error {
	var lost time.Time
	for wait := retryPause; ; wait = min(n.longestPause(), 2*wait) {
		err := call(ctx)
		if err == nil {
			break
		}
		if lost.IsZero() {
			lost = time.Now()
			n.log.Warn().Str("what", quarantineTopic).Err(err).Msg("store-lost")
		}
		n.stats.storeErrors.Inc()
		if err := pause(ctx, wait); err != nil {
			return err
		}
	}
	if !lost.IsZero() {
		n.log.Info().Str("what", quarantineTopic).Dur("for", time.Since(lost)).Msg("store-regained")
	}
	return nil
}

// readQuarantine takes in what the store kept, and has those told who rely on this
// daemon.
func (n *Node) readQuarantine(ctx context.Context) error {
	records, _, err := n.newest(ctx, quarantineTopic)
	if err != nil {
		return err
	}
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		if err := n.quarantine.restore(r); err != nil {
			n.log.Error().Err(err).Str("key", r.Key).Msg("quarantine-unreadable")
		}
	}
	n.links.wakeAll()
	return nil
}

// writeQuarantine writes a request's record.
func (n *Node) writeQuarantine(ctx context.Context, d quarantine.Digest) error {
	value, err := n.quarantine.stored(d)
	if err != nil {
		return err
	}
	n.stats.storeCalls(quarantineTopic).Inc()
	ctx, cancel := context.WithTimeout(ctx, answerSlack)
	defer cancel()
	return n.store.Put(ctx, quarantineTopic, hex.EncodeToString(d[:]), value)
}
