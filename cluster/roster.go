package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/pack"
)

// rosterTopic is the store's topic in which each daemon registers.
const rosterTopic = "daemons"

const (
	// rosterInterval is how often the roster is read again. Of two daemons that start, the one that
	// registers later finds the other and sends it heartbeats, so this only helps daemons that
	// could not reach each other then.
	rosterInterval = 15 * time.Second
	// relayedRosterInterval is rosterInterval for daemons that use a relay.
	relayedRosterInterval = time.Minute
)

// followRoster registers the node, reads the roster, and closes the links in the end.
func (n *Node) followRoster(ctx context.Context) error {
	if err := n.register(ctx); err != nil {
		return err
	}
	read := func(r readResult) message { return rosterRead{r} }
	f := topicReader{n: n, topic: rosterTopic, holdTime: func() time.Duration { return 0 }, onSnapshot: read, onDelta: read}
	f.interval = func() time.Duration {
		if n.usesRelay() {
			return relayedRosterInterval
		}
		return rosterInterval
	}
	err := f.run(ctx)
	return errors.Join(err, n.links.stopAndWait())
}

// register writes the node's roster entry, and retries until the store accepts it.
func (n *Node) register(ctx context.Context) error {
	value, err := pack.Marshal(rosterEntry{
		Zone: n.cfg.Zone, Addr: n.cfg.Peer.String(), Incarnation: n.started, CPUCores: n.cfg.CPUCores, AcceptsCompressed: true,
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
			return nil
		}
		n.stats.storeErrors.Inc()
		n.post(ctx, storeCallFailed{what: rosterTopic, err: err})
		if err := sleep(ctx, minRetryBackoff); err != nil {
			return err
		}
	}
}
