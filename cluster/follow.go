package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// configWait is how long the store holds a reading of the configuration
	// that finds nothing new. Each answer proves that what is in force is
	// current, so it must stay well below the time within which taken keys
	// must be refused.
	configWait = 1200 * time.Millisecond
	// answerSlack is added to a wait for the answer to arrive.
	answerSlack = 1500 * time.Millisecond
	// retryPause is the pause after a reading that failed.
	retryPause = 150 * time.Millisecond
	// instancesEvery is how often a daemon reads the entries of instances,
	// planEntriesEvery how often the one that plans does.
	instancesEvery   = 500 * time.Millisecond
	planEntriesEvery = 200 * time.Millisecond
	rosterWait       = 20 * time.Second
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
func (n *Node) newest(ctx context.Context, topic string) ([]platform.KeyedRecord, int64, error) {
	n.stats.storeCalls.Inc()
	ctx, cancel := context.WithTimeout(ctx, answerSlack)
	defer cancel()
	return n.store.Newest(ctx, topic)
}

// since reads what came since an offset.
func (n *Node) since(ctx context.Context, topic string, from int64, wait time.Duration) ([]platform.KeyedRecord, int64, error) {
	n.stats.storeCalls.Inc()
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	return n.store.Read(ctx, topic, from, wait)
}

// follower keeps reading one topic: whole at first and whenever the records
// in between are gone, then what is new.
type follower struct {
	n     *Node
	topic string
	wait  time.Duration
	// every is the pause between two readings.
	every func() time.Duration
	whole func(records []platform.KeyedRecord, asked time.Time) message
	added func(records []platform.KeyedRecord, asked time.Time) message
}

func (f *follower) run(ctx context.Context) error {
	from := int64(-1)
	for {
		next, err := f.readOnce(ctx, from)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.Is(err, platform.ErrExpired):
			f.n.log.Info().Str("topic", f.topic).Int64("from", from).Msg("records-expired")
			from = -1
			continue
		case err != nil:
			f.n.stats.storeErrors.Inc()
			f.n.tell(ctx, storeAway{what: f.topic, err: err})
			if err := pause(ctx, retryPause); err != nil {
				return err
			}
			continue
		}
		from = next
		if d := f.every(); d > 0 {
			if err := pause(ctx, d); err != nil {
				return err
			}
		}
	}
}

func (f *follower) readOnce(ctx context.Context, from int64) (int64, error) {
	asked := time.Now()
	if from < 0 {
		records, next, err := f.n.newest(ctx, f.topic)
		if err != nil {
			return 0, err
		}
		f.n.tell(ctx, f.whole(records, asked))
		return next, nil
	}
	records, next, err := f.n.since(ctx, f.topic, from, f.wait)
	if err != nil {
		return 0, err
	}
	f.n.tell(ctx, f.added(records, asked))
	return next, nil
}

func (n *Node) followConfig(ctx context.Context) error {
	read := func(records []platform.KeyedRecord, asked time.Time) message {
		m := configRead{asked: asked}
		for _, r := range records {
			if r.Key == platform.ConfigKey {
				m.data = r.Value
			}
		}
		return m
	}
	f := follower{n: n, topic: platform.ConfigTopic, wait: configWait, whole: read, added: read}
	f.every = func() time.Duration { return 0 }
	return f.run(ctx)
}

func (n *Node) followInstances(ctx context.Context) error {
	f := follower{n: n, topic: platform.InstancesTopic}
	f.whole = func(records []platform.KeyedRecord, asked time.Time) message { return instancesRead{records, asked} }
	f.added = func(records []platform.KeyedRecord, asked time.Time) message { return instancesChanged{records, asked} }
	f.every = func() time.Duration {
		if n.planning.Load() {
			return planEntriesEvery
		}
		return instancesEvery
	}
	return f.run(ctx)
}
