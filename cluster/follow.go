package cluster

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// responseSlack is added to the time that the store may hold a call, for the response to arrive.
	responseSlack = 1500 * time.Millisecond
	// minRetryBackoff is the pause after a failed read. It doubles up to maxRetryBackoff, or up to
	// maxRelayedRetryBackoff for daemons that use a relay, so as not to overload a store that is
	// down.
	minRetryBackoff        = 150 * time.Millisecond
	maxRetryBackoff        = 600 * time.Millisecond
	maxRelayedRetryBackoff = 2400 * time.Millisecond
	// pollStep is how often a pause between two reads is checked for an earlier end, relayedPollStep
	// the same for daemons that use a relay: these read the store only if their relays fail.
	pollStep        = 125 * time.Millisecond
	relayedPollStep = 250 * time.Millisecond
	// longPollSlack is how much earlier than requested the store may end a long poll.
	longPollSlack = 50 * time.Millisecond
)

// sleep waits for a duration. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// readTopic continues reading the newest record of each key of a topic. Each page has a timeout of
// its own, and a failed read goes on at the page that failed. When all daemons started a whole read
// again after a timeout, each attempt cost as much as the first, and a busy store never recovered.
func (n *Node) readTopic(ctx context.Context, topic string, scan *platform.Scan) error {
	for !scan.Done {
		if err := n.readTopicPage(ctx, topic, scan); err != nil {
			return err
		}
	}
	if scan.Incomplete {
		n.log.Error().Str("topic", topic).Int("records", len(scan.Records)).Msg("keys-unreadable")
	}
	return nil
}

func (n *Node) readTopicPage(ctx context.Context, topic string, scan *platform.Scan) error {
	n.stats.storeCalls(topic).Inc()
	ctx, cancel := context.WithTimeout(ctx, responseSlack)
	defer cancel()
	return n.store.ReadPage(ctx, topic, scan)
}

// readTopicSince reads the records from a position on. The store holds the call up to wait if there
// are none.
func (n *Node) readTopicSince(ctx context.Context, topic string, from models.Position, wait time.Duration) (platform.Page, error) {
	n.stats.storeCalls(topic).Inc()
	ctx, cancel := context.WithTimeout(ctx, wait+responseSlack)
	defer cancel()
	return n.store.Read(ctx, topic, from, wait)
}

// readResult is a response of the store. Together with earlier responses it contains all records up
// to end, and the store held no others at requestedAt, unless more is set.
type readResult struct {
	records     []platform.KeyedRecord
	end         models.Position
	requestedAt time.Time
	// more is set if the store held further records behind end.
	more bool
}

// topicReader keeps reading a topic: a snapshot first, and again whenever the records since the
// last read have expired, otherwise the new records.
type topicReader struct {
	n     *Node
	topic string
	// beforeRead and afterRead, if set, are called before each read and after each successful one.
	beforeRead, afterRead func()
	// holdTime is how long the store may hold a read that finds nothing new.
	holdTime func() time.Duration
	// guardContext, if set, derives the context of a read.
	guardContext func(context.Context) (context.Context, context.CancelFunc)
	// interval is the pause between two reads.
	interval func() time.Duration
	// shouldRead, if set, reports whether to read at all now.
	shouldRead func() bool
	// knownEnd, if set, is the position up to which records are known from other daemons and need
	// not be read.
	knownEnd   func() (models.Position, bool)
	onSnapshot func(readResult) message
	onDelta    func(readResult) message

	// next is the position of the next read; positioned is unset if that is to be a snapshot.
	next       models.Position
	positioned bool
	// scan is the snapshot being read, scanRequestedAt when its first page was requested.
	scan            platform.Scan
	scanRequestedAt time.Time
	// ignoreKnown is set if the store has lost the position from knownEnd.
	ignoreKnown bool
	// more is set if the last read did not reach the end.
	more bool
}

func (f *topicReader) run(ctx context.Context) error {
	for {
		if err := f.read(ctx); err != nil {
			return err
		}
		if f.afterRead != nil {
			f.afterRead()
		}
		// A restored store is read again at the next step.
		for waited := time.Duration(0); waited < f.interval() && (waited == 0 || f.next.Era >= f.n.era.Load()); waited += f.n.pollStep() {
			if err := sleep(ctx, f.n.pollStep()); err != nil {
				return err
			}
		}
	}
}

// read reads until it has reached the end of the topic, with growing pauses between failures. It
// returns an error only if the context ended.
func (f *topicReader) read(ctx context.Context) error {
	backoff := minRetryBackoff
	for {
		if f.shouldRead != nil && !f.shouldRead() {
			if err := sleep(ctx, f.n.pollStep()); err != nil {
				return err
			}
			continue
		}
		err := f.readOnce(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, platform.ErrExpired):
			// Positions known from other daemons have expired as well.
			f.n.log.Info().Str("topic", f.topic).Int64("era", f.next.Era).Int64("from", f.next.Offset).Err(err).Msg("records-expired")
			f.positioned, f.ignoreKnown, f.scan = false, true, platform.Scan{}
		case err != nil:
			f.n.stats.storeErrors.Inc()
			f.n.post(ctx, storeCallFailed{what: f.topic, err: err})
			if err := sleep(ctx, withJitter(backoff)); err != nil {
				return err
			}
			backoff = min(f.n.maxBackoff(), 2*backoff)
		case f.more:
			// The rest is read at once: until then the topic is not known as of any time.
			backoff = minRetryBackoff
		default:
			return nil
		}
	}
}

// withJitter returns a random pause between half of d and one and a half times d, so that daemons
// that failed together do not retry together.
func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// pollStep returns how often a pause between two reads is checked for an earlier end.
func (n *Node) pollStep() time.Duration {
	if n.usesRelay() {
		return relayedPollStep
	}
	return pollStep
}

// maxBackoff returns the longest pause after a failed call to the store.
func (n *Node) maxBackoff() time.Duration {
	if n.usesRelay() {
		return maxRelayedRetryBackoff
	}
	return maxRetryBackoff
}

// skipKnown advances the next read past known records. With 3,000 instances, which write 0.6 MB a
// second, 300 daemons that each read all records since their start kept the store from answering
// any call for 6 s.
func (f *topicReader) skipKnown() {
	if f.knownEnd == nil || f.ignoreKnown {
		return
	}
	if known, all := f.knownEnd(); all && (!f.positioned || f.next.Compare(known) < 0) {
		f.next, f.positioned, f.scan = known, true, platform.Scan{}
	}
}

// readOnce reads a snapshot or the new records and posts them to the owner.
func (f *topicReader) readOnce(ctx context.Context) error {
	requestedAt := time.Now()
	f.skipKnown()
	if f.beforeRead != nil && !f.scan.Begun {
		f.beforeRead()
	}
	if !f.positioned {
		return f.readSnapshot(ctx, requestedAt)
	}
	limited := ctx
	if f.guardContext != nil {
		guarded, cancel := f.guardContext(ctx)
		defer cancel()
		limited = guarded
	}
	wait := f.holdTime()
	page, err := f.n.readTopicSince(limited, f.topic, f.next, wait)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(limited), errConfirmationLate) {
		return nil
	}
	if err != nil {
		return err
	}
	held := time.Since(requestedAt) >= wait-longPollSlack && f.n.clock.Suspended(requestedAt) == 0
	if len(page.Records) == 0 && wait > longPollSlack && held {
		// The store checked for records again when the hold time ended.
		requestedAt = requestedAt.Add(wait - longPollSlack)
	}
	f.next, f.more = page.Next, page.More
	f.n.post(ctx, f.onDelta(readResult{records: page.Records, end: page.Next, requestedAt: requestedAt, more: page.More}))
	return nil
}

// readSnapshot reads the rest of a snapshot and posts it to the owner.
func (f *topicReader) readSnapshot(ctx context.Context, requestedAt time.Time) error {
	if !f.scan.Begun {
		f.scanRequestedAt = requestedAt
	}
	if err := f.n.readTopic(ctx, f.topic, &f.scan); err != nil {
		return err
	}
	done := f.scan
	f.next, f.positioned, f.ignoreKnown, f.more, f.scan = done.Next, true, false, false, platform.Scan{}
	f.n.post(ctx, f.onSnapshot(readResult{records: done.Records, end: done.Next, requestedAt: f.scanRequestedAt}))
	return nil
}
