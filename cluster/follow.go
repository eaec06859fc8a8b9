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
	answerSlack = 1500 * time.Millisecond
	// retryPause is the pause after a reading that failed; it doubles up to
	// mostPause, or to sparsePause, so that a store that is away is not
	// pressed.
	retryPause  = 150 * time.Millisecond
	mostPause   = 600 * time.Millisecond
	sparsePause = 2400 * time.Millisecond
	// pauseStep is how often a pause between two readings is looked at again:
	// it may have to end sooner.
	pauseStep = 125 * time.Millisecond
	// waitSlack is how much earlier than asked the store may end a wait.
	waitSlack = 50 * time.Millisecond
)

// pause waits; it returns the context's error if that ends first.
func pause(ctx context.Context, d time.Duration) error {
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
func (n *Node) newest(ctx context.Context, topic string) ([]platform.KeyedRecord, models.Position, error) {
	n.stats.storeCalls(topic).Inc()
	ctx, cancel := context.WithTimeout(ctx, answerSlack)
	defer cancel()
	return n.store.Newest(ctx, topic)
}

// since reads what came since an earlier reading.
func (n *Node) since(ctx context.Context, topic string, from models.Position, wait time.Duration) (platform.Page, error) {
	n.stats.storeCalls(topic).Inc()
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	return n.store.Read(ctx, topic, from, wait)
}

// reading is what the store answered. All records before its end are known by it and
// those before, and the store held no others when it was asked.
type reading struct {
	records []platform.KeyedRecord
	end     models.Position
	asked   time.Time
	// more tells that the store held others behind end.
	more bool
}

// follower keeps reading one topic: whole at first and whenever the records
// in between are gone, then what is new.
type follower struct {
	n     *Node
	topic string
	// begin and done, if set, are called before each reading and after one that
	// succeeded.
	begin, done func()
	// wait is how long the store may hold a reading.
	wait func() time.Duration
	// guard, if set, bounds the context of a reading.
	guard func(context.Context) (context.Context, context.CancelFunc)
	// every is the pause between two readings.
	every func() time.Duration
	// due, if set, tells whether to read at all now.
	due func() bool
	// known, if set, is up to where records are known by others' word: there is no use in
	// reading them.
	known func() (models.Position, bool)
	whole func(reading) message
	added func(reading) message

	// from is where the next reading goes on, unless it is to be of everything.
	from  models.Position
	began bool
	// anew tells that what is known does not help: the store has lost its place.
	anew bool
	// more tells that the last reading did not come to the end.
	more bool
}

func (f *follower) run(ctx context.Context) error {
	failed := retryPause
	for {
		if f.due != nil && !f.due() {
			if err := pause(ctx, pauseStep); err != nil {
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
			f.n.log.Info().Str("topic", f.topic).Int64("era", f.from.Era).Int64("from", f.from.Offset).Err(err).Msg("records-expired")
			f.began, f.anew = false, true
			continue
		case err != nil:
			f.n.stats.storeErrors.Inc()
			f.n.tell(ctx, storeAway{what: f.topic, err: err})
			if err := pause(ctx, failed); err != nil {
				return err
			}
			failed = min(f.n.longestPause(), 2*failed)
			continue
		}
		failed = retryPause
		if f.more {
			// The rest is read at once: until then nothing is known as of now.
			continue
		}
		if f.done != nil {
			f.done()
		}
		// A store that came back from a copy is read again at the next step.
		for waited := time.Duration(0); waited < f.every() && (waited == 0 || f.from.Era >= f.n.era.Load()); waited += pauseStep {
			if err := pause(ctx, pauseStep); err != nil {
				return err
			}
		}
	}
}

// longestPause bounds the pause between readings that fail.
func (n *Node) longestPause() time.Duration {
	if n.relies() {
		return sparsePause
	}
	return mostPause
}

// skipKnown has the next reading begin behind what is known. With 3,000 instances, which
// write 0.6 MB a second, 300 daemons that each read what had been written since they
// started kept the store from answering anybody for 6 s.
func (f *follower) skipKnown() {
	if f.known == nil || f.anew {
		return
	}
	if known, all := f.known(); all && (!f.began || f.from.Compare(known) < 0) {
		f.from, f.began = known, true
	}
}

// readOnce reads everything, or what is new, and tells the owner.
func (f *follower) readOnce(ctx context.Context) error {
	asked := time.Now()
	if f.begin != nil {
		f.begin()
	}
	f.skipKnown()
	if !f.began {
		records, next, err := f.n.newest(ctx, f.topic)
		if err != nil {
			return err
		}
		f.from, f.began, f.anew, f.more = next, true, false, false
		f.n.tell(ctx, f.whole(reading{records: records, end: next, asked: asked}))
		return nil
	}
	limited := ctx
	if f.guard != nil {
		guarded, cancel := f.guard(ctx)
		defer cancel()
		limited = guarded
	}
	wait := f.wait()
	page, err := f.n.since(limited, f.topic, f.from, wait)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(limited), errProofLate) {
		return nil
	}
	if err != nil {
		return err
	}
	if len(page.Records) == 0 && wait > waitSlack && f.n.clock.Suspended(asked) == 0 {
		// The store held the call and looked once more at the end of the wait.
		asked = asked.Add(wait - waitSlack)
	}
	f.from, f.more = page.Next, page.More
	f.n.tell(ctx, f.added(reading{records: page.Records, end: page.Next, asked: asked, more: page.More}))
	return nil
}
