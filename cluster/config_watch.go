package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/evacuation"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/platform"
)

// Every daemon has to confirm every second or two that its configuration is the newest. The planner
// confirms it by reading the store, and the others by the planner's heartbeats. The others also
// keep a long poll at the store open, which returns a newer version at once. Where daemons use
// relays, only the relays, which may become planner, do so; the rest read the store only if a peer
// has a newer version or no confirmation arrives.

const (
	// configHoldTime is how long the store holds a long poll for the configuration. Each response
	// confirms that the configuration in force is the newest, so it must stay well below the time
	// within which revoked keys must be rejected.
	configHoldTime = 1200 * time.Millisecond
	// idleHoldTime is how long the store holds the long poll of a daemon that gets its confirmation
	// from a peer. If none arrives for confirmationTimeout, which is checked every
	// confirmationCheckInterval, the daemon aborts the poll and reads by itself.
	idleHoldTime              = 20 * time.Second
	confirmationTimeout       = 1800 * time.Millisecond
	confirmationCheckInterval = 200 * time.Millisecond
	// relayedConfirmationTimeout is confirmationTimeout for daemons that use a relay. It is longer
	// because after a store failure the relays reach the store first, and their confirmation
	// arrives within two of their heartbeats.
	relayedConfirmationTimeout = 2600 * time.Millisecond
	// relayedConfigInterval is the minimum time between two reads by a daemon that uses a relay.
	// Without it, a store that answers with an old version would be read hundreds of times a
	// second.
	relayedConfigInterval = 250 * time.Millisecond
)

// usesRelay reports whether the node gets data from a relay instead of reading the store.
func (n *Node) usesRelay() bool {
	v := n.View()
	return !v.mesh() && !v.Topology.IsRelay
}

// followConfig reads the configuration from the store.
func (n *Node) followConfig(ctx context.Context) error {
	if err := n.awaitRoster(ctx); err != nil {
		return err
	}
	f := topicReader{n: n, topic: platform.ConfigTopic, guardContext: n.guardConfirmation}
	f.onSnapshot = func(r readResult) message { return toConfigRead(r, true) }
	f.onDelta = func(r readResult) message { return toConfigRead(r, false) }
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

// toConfigRead converts the operators' records.
func toConfigRead(r readResult, snapshot bool) configRead {
	m := configRead{requestedAt: r.requestedAt, end: r.end, snapshot: snapshot}
	if r.more {
		// Records behind this page may hold a newer version.
		m.requestedAt = time.Time{}
	}
	for _, record := range r.records {
		if record.Key == platform.ConfigKey {
			m.data = record.Value
		}
		if zone, found := platform.EvacuatedZone(record.Key); found {
			m.evacuations = append(m.evacuations, evacuation.Change{Zone: zone, Evacuated: len(record.Value) > 0, Position: record.Position})
		}
	}
	return m
}

// shouldReadConfig reports whether the configuration is to be read now.
func (n *Node) shouldReadConfig() bool {
	return !n.usesRelay() || n.mustReadConfig() || n.View().configBehind
}

// mustReadConfig reports whether the node has to confirm the configuration by reading the store:
// while it is the planner, and while the confirmation from its peers is late.
func (n *Node) mustReadConfig() bool {
	v, bound := n.View(), confirmationTimeout
	if n.usesRelay() {
		bound = relayedConfirmationTimeout
		if v.Routing == nil && (v.hasPeers || time.Since(n.startedAt) < maxStartupRelayWait+n.fallbackDelay(typicalConfigBytes)) {
			// Once there is a relay, it sends the configuration. 290 daemons that each read the
			// store four times a second before they had a relay made most of 8,500 calls.
			return false
		}
	}
	return n.planning.Load() || n.clock.Since(v.ConfirmedAt) > bound
}

// errConfirmationLate cancels a long poll because a confirmation is due.
var errConfirmationLate = errors.New("the confirmation from other daemons is late")

// guardConfirmation returns a context that ends once a long poll has to be aborted for a short
// read.
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

// configAge returns the time since the configuration was last confirmed to be the newest, that since the
// start if it never was.
func (n *Node) configAge() time.Duration {
	at := n.View().ConfirmedAt
	if at.IsZero() {
		at = n.startedAt
	}
	return n.clock.Since(at)
}
