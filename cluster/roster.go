package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/pack"
)

// rosterTopic is the store's topic in which each daemon enters itself.
const rosterTopic = "daemons"

const (
	// rosterEvery is how often the roster is read again. Of two daemons that
	// start the one that enters itself later finds the other and tells it of
	// itself, so this only finds those that could not reach each other then.
	rosterInterval = 15 * time.Second
	// sparseRosterEvery takes its place for daemons that rely on others.
	relayedRosterInterval = time.Minute
)

// followRoster writes the node's own entry and keeps a connection to every
// daemon that has one.
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

// enroll writes the node's entry until the store has taken it.
func (n *Node) register(ctx context.Context) error {
	value, err := pack.Marshal(rosterEntry{
		Zone: n.cfg.Zone, Addr: n.cfg.Peer.String(), Incarnation: n.started, Power: n.cfg.Power, AcceptsCompressed: true,
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
