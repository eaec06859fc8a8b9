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
	configHoldTime = 1200 * time.Millisecond
	// idleWait is how long it holds the reading of a daemon that has the
	// proof from another one. If that fails to come for proofBound, the
	// daemon breaks the reading off and reads for itself.
	idleHoldTime              = 20 * time.Second
	confirmationTimeout       = 1800 * time.Millisecond
	confirmationCheckInterval = 200 * time.Millisecond
	// lateBound is proofBound for daemons that rely on others: those that
	// read for all find the store again first, and their word comes within
	// two of their heartbeats.
	relayedConfirmationTimeout = 2600 * time.Millisecond
	// behindEvery is how often such a daemon reads at most while it has a
	// reason to: a store that lags would be asked hundreds of times a second.
	relayedConfigInterval = 250 * time.Millisecond
)

// relies reports whether the node leaves reading the store to others as long
// as it hears of them: where there are many daemons, the relays read.
func (n *Node) usesRelay() bool {
	v := n.View()
	return !v.mesh() && !v.Arranged.Relay
}

// followConfig reads the configuration from the store.
func (n *Node) followConfig(ctx context.Context) error {
	if err := n.awaitRoster(ctx); err != nil {
		return err
	}
	read := func(r readResult) message {
		m := configRead{requestedAt: r.requestedAt, era: r.end.Era}
		if r.more {
			// A newer one may stand behind these.
			m.requestedAt = time.Time{}
		}
		for _, record := range r.records {
			if record.Key == platform.ConfigKey {
				m.data = record.Value
			}
		}
		return m
	}
	f := topicReader{n: n, topic: platform.ConfigTopic, onSnapshot: read, onDelta: read, guardContext: n.guardConfirmation}
	f.holdTime = func() time.Duration {
		switch {
		case n.usesRelay():
			return 0
		case n.mustReadConfig():
			return configHoldTime
		default:
			return idleHoldTime
		}
	}
	f.shouldRead = n.shouldReadConfig
	f.interval = func() time.Duration {
		if n.usesRelay() {
			return relayedConfigInterval
		}
		return 0
	}
	return f.run(ctx)
}

// configDue reports whether to read the configuration now.
func (n *Node) shouldReadConfig() bool {
	return !n.usesRelay() || n.mustReadConfig() || n.View().configBehind
}

// readsForOthers reports whether the node proves to itself, and so to others,
// that the configuration is current: as the one that plans, and as long as
// the proof of another is late.
func (n *Node) mustReadConfig() bool {
	v, bound := n.View(), confirmationTimeout
	if n.usesRelay() {
		bound = relayedConfirmationTimeout
		if v.Routing == nil && (v.hasPeers || time.Since(time.Unix(0, n.started)) < maxStartupRelayWait) {
			// A relay tells when there is one: 290 daemons that each looked four times
			// a second before the first one came made most of 8,500 calls.
			return false
		}
	}
	return n.planning.Load() || n.clock.Since(v.Proven) > bound
}

// errProofLate ends a long reading because a proof is due.
var errConfirmationLate = errors.New("the proof of another daemon is late")

// guardProof returns a context that ends once a reading that may take long
// has to make way for a short one.
func (n *Node) guardConfirmation(ctx context.Context) (context.Context, context.CancelFunc) {
	if n.mustReadConfig() {
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watch := task.Start(ctx, "proof", func(ctx context.Context) error {
		for !n.mustReadConfig() {
			if err := sleep(ctx, confirmationCheckInterval); err != nil {
				return err
			}
		}
		cancel(errConfirmationLate)
		return nil
	})
	return ctx, func() {
		cancel(context.Canceled)
		<-watch.Done
	}
}
