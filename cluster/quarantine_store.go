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

// Quarantined requests are also kept in the store, each under its digest. After a power failure of
// all daemons nothing else has them, and each such request would crash three more instances.
// Requests that are only suspected are not stored.

// quarantineTopic is the store's topic of quarantined requests.
const quarantineTopic = "quarantine"

// writeQueueLen is how many records can queue to be written.
const writeQueueLen = 64

// storeSource is the source of crashes read from the store.
const storeSource quarantine.Source = "(store)"

// storedCrash is a crash attributed to a request, as the store keeps it. The time is wall-clock
// time, the only clock that processes before and after a restart have in common.
type storedCrash struct {
	Instance  models.InstanceID `msgpack:"i"`
	StartedAt time.Time         `msgpack:"b,omitempty"`
	At        time.Time         `msgpack:"a"`
}

// enqueueOwnWrite queues the rewrite of a request's record if this daemon found any of its crashes.
// All daemons that did write it, since each of them may fail. The caller must hold the lock.
func (q *Quarantine) enqueueOwnWrite(d quarantine.Digest) {
	if q.list.RecordedHere(d) {
		q.enqueueWrite(d)
	}
}

// enqueueWrite queues the rewrite of a request's record.
func (q *Quarantine) enqueueWrite(d quarantine.Digest) {
	select {
	case q.writeQueue <- d:
	default:
		q.log.Error().Stringer("digest", d).Msg("quarantine-not-kept")
	}
}

// encodeRecord returns a request's record, empty if the request is not quarantined.
func (q *Quarantine) encodeRecord(d quarantine.Digest) ([]byte, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, refused := q.quarantined[d]; !refused {
		return nil, nil
	}
	var out []storedCrash
	for _, c := range q.list.CrashesOf(d) {
		out = append(out, storedCrash{Instance: c.Instance, StartedAt: c.StartedAt, At: c.At})
	}
	return pack.Marshal(out)
}

// applyRecord adds the crashes in a request's record.
func (q *Quarantine) applyRecord(r platform.KeyedRecord) error {
	var d quarantine.Digest
	raw, err := hex.DecodeString(r.Key)
	if err != nil || len(raw) != len(d) {
		return errors.Join(errBadDigestKey, err)
	}
	copy(d[:], raw)
	var crashes []storedCrash
	if err := pack.Unmarshal(r.Value, &crashes); err != nil {
		return err
	}
	now := time.Now()
	for _, c := range crashes {
		// The clocks of two daemons differ; a time in the future is set to now.
		at := now.Add(-max(0, now.Sub(c.At)))
		q.record(quarantine.Crash{Instance: c.Instance, StartedAt: c.StartedAt, At: at, Requests: map[quarantine.Digest]bool{d: false}}, storeSource)
	}
	if q.Status(d).Crashes == 0 {
		// All its crashes have expired: an empty record is written.
		q.enqueueWrite(d)
	}
	return nil
}

// errBadDigestKey: the key of a record is no digest.
var errBadDigestKey = errors.New("the key is no digest of a request")

// syncQuarantine reads the quarantined requests, unless a relay sends them, and then writes the
// changes that this daemon finds.
func (n *Node) syncQuarantine(ctx context.Context) error {
	if err := n.awaitRoster(ctx); err != nil {
		return err
	}
	if !n.usesRelay() {
		if err := n.retryStoreCall(ctx, n.readQuarantine); err != nil {
			return err
		}
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-n.quarantine.writeQueue:
			write := func(ctx context.Context) error { return n.writeQuarantine(ctx, d) }
			if err := n.retryStoreCall(ctx, write); err != nil {
				return err
			}
		}
	}
}

// retryStoreCall retries a store call about the quarantine until it succeeds.
func (n *Node) retryStoreCall(ctx context.Context, call func(context.Context) error) error {
	var failingSince time.Time
	for wait := minRetryBackoff; ; wait = min(n.maxBackoff(), 2*wait) {
		err := call(ctx)
		if err == nil {
			break
		}
		if failingSince.IsZero() {
			failingSince = time.Now()
			n.log.Warn().Str("what", quarantineTopic).Err(err).Msg("store-lost")
		}
		n.stats.storeErrors.Inc()
		if err := sleep(ctx, wait); err != nil {
			return err
		}
	}
	if !failingSince.IsZero() {
		n.log.Info().Str("what", quarantineTopic).Dur("for", time.Since(failingSince)).Msg("store-regained")
	}
	return nil
}

// readQuarantine adds the stored crashes and forwards them.
func (n *Node) readQuarantine(ctx context.Context) error {
	var scan platform.Scan
	if err := n.readTopic(ctx, quarantineTopic, &scan); err != nil {
		return err
	}
	for _, r := range scan.Records {
		if len(r.Value) == 0 {
			continue
		}
		if err := n.quarantine.applyRecord(r); err != nil {
			n.log.Error().Err(err).Str("key", r.Key).Msg("quarantine-unreadable")
		}
	}
	n.links.notifyAll()
	return nil
}

// writeQuarantine writes a request's record.
func (n *Node) writeQuarantine(ctx context.Context, d quarantine.Digest) error {
	value, err := n.quarantine.encodeRecord(d)
	if err != nil {
		return err
	}
	n.stats.storeCalls(quarantineTopic).Inc()
	ctx, cancel := context.WithTimeout(ctx, responseSlack)
	defer cancel()
	return n.store.Put(ctx, quarantineTopic, hex.EncodeToString(d[:]), value)
}
