package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/platform"
)

// Every daemon needs the proof, every second or two, that its configuration is
// the newest. The one that plans gets it from the store and tells the others by
// its heartbeats. The others hold one long reading of the store, which brings a
// newer version at once; where there are many daemons only those that may plan
// do, and the rest read if they hear of a newer version or of no proof.

const (
	// configWait is how long the store holds a reading of the configuration
	// that finds nothing new. Each answer proves that what is in force is
	// current, so it must stay well below the time within which taken keys
	// must be refused.
	configWait = 1200 * time.Millisecond
	// idleWait is how long it holds the reading of a daemon that has the
	// proof from another one. If that fails to come for proofBound, the
	// daemon breaks the reading off and reads for itself.
	idleWait   = 20 * time.Second
	proofBound = 1800 * time.Millisecond
	proofCheck = 200 * time.Millisecond
	// lateBound is proofBound for daemons that rely on others: those that
	// read for all find the store again first, and their word comes within
	// two of their heartbeats.
	lateBound = 2600 * time.Millisecond
	// behindEvery is how often such a daemon reads at most while it has a
	// reason to: a store that lags would be asked hundreds of times a second.
	behindEvery = 250 * time.Millisecond
)

// relies reports whether the node leaves reading the store to others as long
// as it hears of them: where there are many daemons, the relays read.
func (n *Node) relies() bool {
	v := n.View()
	return !v.mesh() && !v.Arranged.IsRelay
}

// followConfig reads the configuration from the store.
func (n *Node) followConfig(ctx context.Context) error {
	if err := n.awaitPart(ctx); err != nil {
		return err
	}
	read := func(r reading) message {
		m := configRead{asked: r.asked, era: r.end.Era}
		if r.more {
			// A newer one may stand behind these.
			m.asked = time.Time{}
		}
		for _, record := range r.records {
			if record.Key == platform.ConfigKey {
				m.data = record.Value
			}
		}
		return m
	}
	f := follower{n: n, topic: platform.ConfigTopic, whole: read, added: read, guard: n.guardProof}
	f.wait = func() time.Duration {
		switch {
		case n.relies():
			return 0
		case n.readsForOthers():
			return configWait
		default:
			return idleWait
		}
	}
	f.due = n.configDue
	f.every = func() time.Duration {
		if n.relies() {
			return behindEvery
		}
		return 0
	}
	return f.run(ctx)
}

// configDue reports whether to read the configuration now.
func (n *Node) configDue() bool {
	return !n.relies() || n.readsForOthers() || n.View().behind
}

// readsForOthers reports whether the node proves to itself, and so to others,
// that the configuration is current: as the one that plans, and as long as
// the proof of another is late.
func (n *Node) readsForOthers() bool {
	v, bound := n.View(), proofBound
	if n.relies() {
		bound = lateBound
		if v.Routing == nil && (v.hears || time.Since(time.Unix(0, n.started)) < startBound) {
			// A relay tells when there is one: 290 daemons that each looked four times
			// a second before the first one came made most of 8,500 calls.
			return false
		}
	}
	return n.planning.Load() || n.clock.Since(v.Proven) > bound
}

// errProofLate ends a long reading because a proof is due.
var errProofLate = errors.New("the proof of another daemon is late")

// guardProof returns a context that ends once a reading that may take long
// has to make way for a short one.
func (n *Node) guardProof(ctx context.Context) (context.Context, context.CancelFunc) {
	if n.readsForOthers() {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watch := task.Start(ctx, "proof", func(ctx context.Context) error {
		for !n.readsForOthers() {
			if err := pause(ctx, proofCheck); err != nil {
				return err
			}
		}
		cancel(errProofLate)
		return nil
	})
	return ctx, func() {
		cancel(context.Canceled)
		<-watch.Done
	}
}
