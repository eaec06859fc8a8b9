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
	rosterEvery = 15 * time.Second
	// sparseRosterEvery takes its place for daemons that rely on others.
	sparseRosterEvery = time.Minute
)

// followRoster writes the node's own entry and keeps a connection to every
// daemon that has one.
func (n *Node) followRoster(ctx context.Context) error {
	if err := n.enroll(ctx); err != nil {
		return err
	}
	read := func(r reading) message { return rosterRead{r} }
	f := follower{n: n, topic: rosterTopic, wait: func() time.Duration { return 0 }, whole: read, added: read}
	f.every = func() time.Duration {
		if n.relies() {
			return sparseRosterEvery
		}
		return rosterEvery
	}
	err := f.run(ctx)
	return errors.Join(err, n.links.wait())
}

// enroll writes the node's entry until the store has taken it.
func (n *Node) enroll(ctx context.Context) error {
	value, err := pack.Marshal(rosterEntry{
		Zone: n.cfg.Zone, Addr: n.cfg.Peer.String(), Incarnation: n.started, Power: n.cfg.Power, Unpacks: true,
	})
	if err != nil {
		return err
	}
	for {
		n.stats.storeCalls(rosterTopic).Inc()
		limited, cancel := context.WithTimeout(ctx, answerSlack)
		err := n.store.Put(limited, rosterTopic, string(n.cfg.ID), value)
		cancel()
		if err == nil {
			return nil
		}
		n.stats.storeErrors.Inc()
		n.tell(ctx, storeAway{what: rosterTopic, err: err})
		if err := pause(ctx, retryPause); err != nil {
			return err
		}
	}
}
