package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// answerSlack is added to a wait for the answer to arrive.
	responseSlack = 1500 * time.Millisecond
	// retryPause is the pause after a reading that failed; it doubles up to
	// mostPause, or to sparsePause, so that a store that is away is not
	// pressed.
	minRetryBackoff        = 150 * time.Millisecond
	maxRetryBackoff        = 600 * time.Millisecond
	maxRelayedRetryBackoff = 2400 * time.Millisecond
	// pauseStep is how often a pause between two readings is looked at again:
	// it may have to end sooner.
	pollStep = 125 * time.Millisecond
	// waitSlack is how much earlier than asked the store may end a wait.
	longPollSlack = 50 * time.Millisecond
)

// pause waits; it returns the context's error if that ends first.
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

// newest reads a topic whole.
func (n *Node) readTopic(ctx context.Context, topic string) ([]platform.KeyedRecord, models.Position, error) {
	n.stats.storeCalls(topic).Inc()
	ctx, cancel := context.WithTimeout(ctx, responseSlack)
	defer cancel()
	return n.store.Newest(ctx, topic)
}

// since reads what came since an earlier reading.
func (n *Node) readTopicSince(ctx context.Context, topic string, from models.Position, wait time.Duration) (platform.Page, error) {
	n.stats.storeCalls(topic).Inc()
	ctx, cancel := context.WithTimeout(ctx, wait+responseSlack)
	defer cancel()
	return n.store.Read(ctx, topic, from, wait)
}

// reading is what the store answered. All records before its end are known by it and
// those before, and the store held no others when it was asked.
type readResult struct {
	records     []platform.KeyedRecord
	end         models.Position
	requestedAt time.Time
	// more tells that the store held others behind end.
	more bool
}

// follower keeps reading one topic: whole at first and whenever the records
// in between are gone, then what is new.
type topicReader struct {
	n     *Node
	topic string
	// begin and done, if set, are called before each reading and after one that
	// succeeded.
	beforeRead, afterRead func()
	// wait is how long the store may hold a reading.
	holdTime func() time.Duration
	// guard, if set, bounds the context of a reading.
	guardContext func(context.Context) (context.Context, context.CancelFunc)
	// every is the pause between two readings.
	interval func() time.Duration
	// due, if set, tells whether to read at all now.
	shouldRead func() bool
	// known, if set, is up to where records are known by others' word: there is no use in
	// reading them.
	knownEnd   func() (models.Position, bool)
	onSnapshot func(readResult) message
	onDelta    func(readResult) message

	// from is where the next reading goes on, unless it is to be of everything.
	next       models.Position
	positioned bool
	// anew tells that what is known does not help: the store has lost its place.
	ignoreKnown bool
	// more tells that the last reading did not come to the end.
	more bool
}

func (f *topicReader) run(ctx context.Context) error {
	backoff := minRetryBackoff
	for {
		if f.shouldRead != nil && !f.shouldRead() {
			if err := sleep(ctx, pollStep); err != nil {
				return err
			}
			continue
		}
		err := f.readOnce(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, platform.ErrExpired):
			// What others know of the topic stands at places that the store has lost, too.
			f.n.log.Info().Str("topic", f.topic).Int64("era", f.next.Era).Int64("from", f.next.Offset).Err(err).Msg("records-expired")
			f.positioned, f.ignoreKnown = false, true
			continue
		case err != nil:
			f.n.stats.storeErrors.Inc()
			f.n.post(ctx, storeCallFailed{what: f.topic, err: err})
			if err := sleep(ctx, backoff); err != nil {
				return err
			}
			backoff = min(f.n.maxBackoff(), 2*backoff)
			continue
		}
		backoff = minRetryBackoff
		if f.more {
			// The rest is read at once: until then nothing is known as of now.
			continue
		}
		if f.afterRead != nil {
			f.afterRead()
		}
		// A store that came back from a copy is read again at the next step.
		for waited := time.Duration(0); waited < f.interval() && (waited == 0 || f.next.Era >= f.n.era.Load()); waited += pollStep {
			if err := sleep(ctx, pollStep); err != nil {
				return err
			}
		}
	}
}

// longestPause bounds the pause between readings that fail.
func (n *Node) maxBackoff() time.Duration {
	if n.usesRelay() {
		return maxRelayedRetryBackoff
	}
	return maxRetryBackoff
}

// skipKnown has the next reading begin behind what is known. With 3,000 instances, which
// write 0.6 MB a second, 300 daemons that each read what had been written since they
// started kept the store from answering anybody for 6 s.
func (f *topicReader) skipKnown() {
	if f.knownEnd == nil || f.ignoreKnown {
		return
	}
	if known, all := f.knownEnd(); all && (!f.positioned || f.next.Compare(known) < 0) {
		f.next, f.positioned = known, true
	}
}

// readOnce reads everything, or what is new, and tells the owner.
func (f *topicReader) readOnce(ctx context.Context) error {
	requestedAt := time.Now()
	if f.beforeRead != nil {
		f.beforeRead()
	}
	f.skipKnown()
	if !f.positioned {
		records, next, err := f.n.readTopic(ctx, f.topic)
		if err != nil {
			return err
		}
		f.next, f.positioned, f.ignoreKnown, f.more = next, true, false, false
		f.n.post(ctx, f.onSnapshot(readResult{records: records, end: next, requestedAt: requestedAt}))
		return nil
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
	if len(page.Records) == 0 && wait > longPollSlack && f.n.clock.Suspended(requestedAt) == 0 {
		// The store held the call and looked once more at the end of the wait.
		requestedAt = requestedAt.Add(wait - longPollSlack)
	}
	f.next, f.more = page.Next, page.More
	f.n.post(ctx, f.onDelta(readResult{records: page.Records, end: page.Next, requestedAt: requestedAt, more: page.More}))
	return nil
}
