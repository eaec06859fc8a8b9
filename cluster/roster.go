package cluster

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// rosterTopic is the store's topic in which daemons register.
const rosterTopic = "daemons"

const (
	// rosterInterval is how often the roster is read again. Of two daemons that start, the one that
	// registers later finds the other and sends it heartbeats, so this only helps daemons that
	// could not reach each other then.
	rosterInterval = 15 * time.Second
	// relayedRosterInterval is rosterInterval for daemons that use a relay. They read the roster at
	// once when too few relays are left.
	relayedRosterInterval = 10 * time.Minute
	// rosterFluxInterval is rosterInterval after a time in which daemons have registered: one that
	// registered last may rank first, and is not known to those that read before.
	rosterFluxInterval = 2 * time.Second
	// registrationSettleTime is how long a daemon that has registered waits for others that register
	// at the same time, before it reads the roster.
	registrationSettleTime = 150 * time.Millisecond
)

// followRoster reads the roster, registers the node if too few others are registered, and closes
// the links in the end.
func (n *Node) followRoster(ctx context.Context) error {
	read := func(r readResult) message { return rosterRead{readResult: r} }
	f := rosterFollower{
		topicReader: topicReader{n: n, topic: rosterTopic, holdTime: func() time.Duration { return 0 }, onSnapshot: read, onDelta: read},
		policy:      membership.DefaultPolicy(),
	}
	err := f.run(ctx)
	return errors.Join(err, n.links.stopAndWait())
}

// rosterFollower reads the roster and registers the node.
type rosterFollower struct {
	topicReader
	policy membership.Policy
	// inFlux is set while daemons may be registering.
	inFlux bool
}

func (f *rosterFollower) run(ctx context.Context) error {
	if err := f.start(ctx); err != nil {
		return err
	}
	f.n.post(ctx, rosterSettled{})
	for {
		if err := f.pause(ctx); err != nil {
			return err
		}
		if err := f.unregisterEnded(ctx); err != nil {
			return err
		}
		if f.inFlux = f.n.mustRegister(); f.inFlux {
			// Daemons that lost their relays at the same time notice it at the same time.
			if err := sleep(ctx, rand.N(f.policy.RegistrationSpread)); err != nil {
				return err
			}
		}
		if err := f.readAndRegister(ctx); err != nil {
			return err
		}
	}
}

// start reads the roster for the first time. The entries of a cluster that was running before are
// used at once; at the first start of all daemons, or if all were stopped as planned, there are none until
// some have registered.
func (f *rosterFollower) start(ctx context.Context) error {
	if f.inFlux = f.n.cfg.FirstStart; !f.inFlux {
		if err := f.read(ctx); err != nil {
			return err
		}
		f.inFlux = f.n.View().Daemons <= 1
	}
	if f.inFlux {
		if err := sleep(ctx, f.policy.RegistrationPause(f.n.cfg.CPUCores, rand.Float64())); err != nil {
			return err
		}
	}
	return f.readAndRegister(ctx)
}

// readAndRegister reads what is new in the roster and registers the node if needed.
func (f *rosterFollower) readAndRegister(ctx context.Context) error {
	if err := f.read(ctx); err != nil {
		return err
	}
	return f.registerIfNeeded(ctx)
}

// read reads the roster until the owner has applied it.
func (f *rosterFollower) read(ctx context.Context) error {
	if err := f.topicReader.read(ctx); err != nil {
		return err
	}
	applied := make(chan struct{})
	f.n.post(ctx, rosterRead{applied: applied})
	select {
	case <-applied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// registerIfNeeded registers the node if it must be registered, and reads who has registered at the
// same time.
func (f *rosterFollower) registerIfNeeded(ctx context.Context) error {
	if !f.n.mustRegister() {
		return nil
	}
	f.inFlux = true
	if err := f.n.register(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, registrationSettleTime); err != nil {
		return err
	}
	return f.read(ctx)
}

// pause waits until the roster is to be read again: after an interval, once the node has to register
// or its process is stopping, or once the store has been restored.
func (f *rosterFollower) pause(ctx context.Context) error {
	for waited := time.Duration(0); waited < f.rereadInterval() && f.next.Era >= f.n.era.Load(); waited += f.n.pollStep() {
		if f.n.mustRegister() || f.n.mustUnregister() {
			return nil
		}
		if err := sleep(ctx, f.n.pollStep()); err != nil {
			return err
		}
	}
	return nil
}

func (f *rosterFollower) rereadInterval() time.Duration {
	switch {
	case f.inFlux:
		return rosterFluxInterval
	case f.n.usesRelay():
		return relayedRosterInterval
	default:
		return rosterInterval
	}
}

// lastHeartbeatTime is how long a daemon that ends waits for its last heartbeats to be sent.
const lastHeartbeatTime = 30 * time.Millisecond

// Leave tells the other daemons that this one ends now, as planned: it may never come back, so that they
// forget it rather than wait for it. It is called once no requests are in flight any more.
func (n *Node) Leave(ctx context.Context) error {
	n.leaving.Store(true)
	n.links.sendHeartbeat("")
	return sleep(ctx, lastHeartbeatTime)
}

// mustUnregister reports whether the node is registered although its process is stopping.
func (n *Node) mustUnregister() bool { return n.registered.Load() && n.resigned.Load() }

// unregister removes a daemon's entry from the roster. The entry of one that has ended costs those that
// start later: they look for it, and count it as one of them.
func (n *Node) unregister(ctx context.Context, id models.DaemonID) error {
	n.stats.storeCalls(rosterTopic).Inc()
	limited, cancel := context.WithTimeout(ctx, responseSlack)
	defer cancel()
	err := n.store.Put(limited, rosterTopic, string(id), nil)
	n.log.Info().Str("peer", string(id)).Err(err).Msg("roster-entry-removed")
	return err
}

// unregisterEnded removes the entries of daemons that ended long ago without announcing it, and that of
// this node if its process is stopping.
func (f *rosterFollower) unregisterEnded(ctx context.Context) error {
	for _, id := range f.n.View().gone {
		if err := f.n.unregister(ctx, id); err != nil {
			// The next look at the roster tries again.
			break
		}
	}
	for f.n.mustUnregister() {
		if err := f.n.unregister(ctx, f.n.cfg.ID); err == nil {
			f.n.registered.Store(false)
			return nil
		}
		if err := sleep(ctx, minRetryBackoff); err != nil {
			return err
		}
	}
	return nil
}

// mustRegister reports whether this incarnation of the node is not registered and has to be: the
// roster holds an earlier incarnation of it, or too few daemons that may be its relays.
func (n *Node) mustRegister() bool {
	return !n.registered.Load() && !n.resigned.Load() && n.View().shouldRegister
}

// register writes the node's roster entry, and retries until the store accepts it.
func (n *Node) register(ctx context.Context) error {
	value, err := pack.Marshal(rosterEntry{
		Zone: n.cfg.Zone, Addr: n.cfg.Peer.String(), Incarnation: n.incarnation(), CPUCores: n.cfg.CPUCores, AcceptsCompressed: true,
	})
	if err != nil {
		return err
	}
	for {
		n.stats.storeCalls(rosterTopic).Inc()
		limited, cancel := context.WithTimeout(ctx, responseSlack)
		err := n.store.Put(limited, rosterTopic, string(n.cfg.ID), value)
		cancel()
		if err == nil {
			n.registered.Store(true)
			return nil
		}
		n.stats.storeErrors.Inc()
		n.post(ctx, storeCallFailed{what: rosterTopic, err: err})
		if err := sleep(ctx, minRetryBackoff); err != nil {
			return err
		}
	}
}
