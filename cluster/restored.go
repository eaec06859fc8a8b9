package cluster

import (
	"context"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// The store may come back from a copy some seconds old. What was written since is gone,
// and offsets are given out again; instances and operators write again what they wrote.
// Each time begins another era. What a daemon knows outlasts it:
//
//   - The configuration in force is newer than that of the copy, and stays.
//   - An instance that the copy lacks is kept until it has had the time to write again;
//     one that has left is not used again because the copy still lists it.
//   - A daemon enters itself into the roster anew.
//   - A planner begins another term: its own may be given to another.

const (
	// restoreGrace is how long an instance is kept that a store lacks which has just
	// come back: instances write again with their next heartbeat, 1.2 s where the users
	// are, and the planner needs some time more to read that.
	restoreGrace = 2 * time.Second
	// enrollCheck is how often a daemon looks whether it has to enter itself anew.
	registerCheckInterval = time.Second
)

// noteEra takes in the era of the store, as it or another daemon tells, and has entries
// of instances told or read anew if it is a new one.
func (o *owner) observeEra(era int64, now time.Time) {
	if o.advanceEra(era, now) {
		o.requestMissed(now)
	}
}

// beginEra notes an era, and reports whether it began while this daemon ran.
func (o *owner) advanceEra(era int64, now time.Time) bool {
	previous := o.n.era.Load()
	if era <= previous {
		return false
	}
	o.n.era.Store(era)
	if o.fleet.entries.currentAt.IsZero() {
		// This daemon has just started, and knows nothing of before.
		return false
	}
	o.n.stats.restores.Inc()
	o.n.log.Warn().Int64("era", era).Int64("was", previous).Dur("entries-age", o.n.entriesAge()).Msg("store-restored")
	o.fleet.restoredAt = now
	return true
}

// noteKnownAnew notes that all entries of the present era are known.
func (o *owner) markResynced(now time.Time) {
	if o.fleet.restoredAt.IsZero() || o.fleet.entries.end.Era < o.n.era.Load() {
		return
	}
	o.n.log.Info().Int64("era", o.n.era.Load()).Dur("after", now.Sub(o.fleet.restoredAt)).Int("instances", len(o.fleet.instances)).
		Msg("store-known-anew")
	o.fleet.restoredAt = time.Time{}
}

// markMissing notes which instances a store lacks that has come back. They are kept for a
// while.
func (o *owner) markMissing(listed map[models.InstanceID]bool, now time.Time) {
	for id, k := range o.fleet.instances {
		if !listed[id] && k.missingSince.IsZero() {
			k.missingSince = now
			o.broadcastInstance(k, k.stateTime())
		}
	}
}

// dropMissing drops those that have not written again.
func (o *owner) removeMissing(now time.Time) {
	for id, k := range o.fleet.instances {
		if !k.missingSince.IsZero() && now.Sub(k.missingSince) >= restoreGrace {
			o.handleEntryGone(id)
			o.queueUpdates(o.fleet.goneUpdate(id, now))
			k.missingSince = time.Time{}
		}
	}
}

// keepEnrolled enters the node into the roster anew whenever the store came back.
func (n *Node) keepRegistered(ctx context.Context) error {
	for era := n.era.Load(); ; {
		if err := sleep(ctx, registerCheckInterval); err != nil {
			return err
		}
		now := n.era.Load()
		if now <= era {
			continue
		}
		if err := n.register(ctx); err != nil {
			return err
		}
		era = now
	}
}

// heldConfig is a configuration that a starting daemon does not put in force yet.
type pendingConfig struct {
	configRead
	version int64
}

// takeConfig takes in what was read of the configuration. That of a store which came
// back may be older than what others have in force, with keys that were taken away since:
// a daemon that starts waits for their word.
func (o *owner) handleConfigRead(m configRead, now time.Time) {
	o.observeEra(m.era, now)
	if o.config.routing == nil && m.data != nil && m.era > 0 {
		routing, err := platform.DecodeRouting(m.data)
		if err == nil && !o.isNewestConfig(routing.Version, now) {
			o.config.pending = &pendingConfig{configRead: m, version: routing.Version}
			return
		}
	}
	o.applyConfig(m.data, m.requestedAt, "store")
}

// releaseConfig puts a configuration in force that was held, once no other daemon can
// have a newer one.
func (o *owner) applyPendingConfig(now time.Time) {
	if h := o.config.pending; h != nil && o.isNewestConfig(h.version, now) {
		o.config.pending = nil
		o.applyConfig(h.data, h.requestedAt, "store")
	}
}

// knowsNewest reports whether no daemon that this one is linked to has a newer
// configuration than a version. Those that say nothing are waited for as long as for word
// of the planner.
func (o *owner) isNewestConfig(version int64, now time.Time) bool {
	for _, p := range o.peers.seen {
		if p.heartbeat.ConfigVersion > version {
			return false
		}
	}
	if o.uptime(now) >= plannerDiscoveryTimeout {
		return true
	}
	for id := range o.peers.topology.Links {
		if _, known := o.peers.seen[id]; !known {
			return false
		}
	}
	return len(o.peers.topology.Links) > 0
}
