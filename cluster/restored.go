package cluster

import (
	"context"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// The store may be restored from a backup that is some seconds old. Then the records written since
// are lost, and their offsets are assigned again; instances and operators rewrite what they wrote.
// Each restore begins a new era. The state of daemons outlasts it:
//
//   - The configuration in force is newer than the restored one, and stays in force.
//   - An instance that the restored store lacks is kept until it has had time to write its entry
//     again. One that has left is not used again although the restored store lists it.
//   - Each daemon registers in the roster again.
//   - The planner begins a new term, since the store may assign its term to another daemon.

const (
	// restoreGrace is how long an instance is kept that a restored store lacks. Instances rewrite
	// their entries with the next heartbeat, every 1.2 s in production, and the planner needs some
	// more time to read them.
	restoreGrace = 2 * time.Second
	// registerCheckInterval is how often a daemon checks whether it has to register again.
	registerCheckInterval = time.Second
)

// observeEra handles the store's era as seen by this or another daemon. For a new era, entries are
// requested from a relay or read again.
func (o *owner) observeEra(era int64, now time.Time) {
	if o.advanceEra(era, now) {
		o.requestMissed(now)
	}
}

// advanceEra records an era, and reports whether it began while this daemon was running.
func (o *owner) advanceEra(era int64, now time.Time) bool {
	previous := o.n.era.Load()
	if era <= previous {
		return false
	}
	o.n.era.Store(era)
	if o.fleet.entries.currentAt.IsZero() {
		// This daemon has just started and has no state of an earlier era.
		return false
	}
	o.n.stats.restores.Inc()
	o.n.log.Warn().Int64("era", era).Int64("was", previous).Dur("entries-age", o.n.entriesAge()).Msg("store-restored")
	o.fleet.restoredAt = now
	return true
}

// markResynced ends the recovery once all entries of the current era are known.
func (o *owner) markResynced(now time.Time) {
	if o.fleet.restoredAt.IsZero() || o.fleet.entries.end.Era < o.n.era.Load() {
		return
	}
	o.n.log.Info().Int64("era", o.n.era.Load()).Dur("after", now.Sub(o.fleet.restoredAt)).Int("instances", len(o.fleet.instances)).
		Msg("store-known-anew")
	o.fleet.restoredAt = time.Time{}
}

// markMissing marks the instances that a restored store lacks. They are kept for restoreGrace.
func (o *owner) markMissing(listed map[models.InstanceID]bool, now time.Time) {
	for id, k := range o.fleet.instances {
		if !listed[id] && k.missingSince.IsZero() {
			k.missingSince = now
			o.broadcastInstance(k, k.stateTime())
		}
	}
}

// removeMissing removes the instances that have not rewritten their entries within restoreGrace.
func (o *owner) removeMissing(now time.Time) {
	for id, k := range o.fleet.instances {
		if !k.missingSince.IsZero() && now.Sub(k.missingSince) >= restoreGrace {
			o.handleEntryGone(id)
			o.queueUpdates(o.fleet.goneUpdate(id, now))
			k.missingSince = time.Time{}
		}
	}
}

// keepRegistered registers the node again whenever the store was restored.
func (n *Node) keepRegistered(ctx context.Context) error {
	for era := n.era.Load(); ; {
		if err := sleep(ctx, registerCheckInterval); err != nil {
			return err
		}
		now := n.era.Load()
		if now <= era {
			continue
		}
		if !n.registered.Load() {
			era = now
			continue
		}
		if err := n.register(ctx); err != nil {
			return err
		}
		era = now
	}
}

// pendingConfig is a configuration that a starting daemon has read and not yet put in force.
type pendingConfig struct {
	configRead
	version int64
}

// handleConfigRead handles a configuration read from the store. A restored store may hold an older
// one than other daemons have in force, with keys that have been revoked since. A starting daemon
// therefore waits for the heartbeats of its peers.
func (o *owner) handleConfigRead(m configRead, now time.Time) {
	o.observeEra(m.end.Era, now)
	o.handleEvacuationsRead(m, now)
	if o.config.routing == nil && m.data != nil && m.end.Era > 0 {
		routing, err := platform.DecodeRouting(m.data)
		if err == nil && !o.isNewestConfig(routing.Version, now) {
			o.config.pending = &pendingConfig{configRead: m, version: routing.Version}
			return
		}
	}
	o.applyConfig(m.data, m.requestedAt, "store")
}

// applyPendingConfig puts the pending configuration in force once no peer can have a newer one.
func (o *owner) applyPendingConfig(now time.Time) {
	if h := o.config.pending; h != nil && o.isNewestConfig(h.version, now) {
		o.config.pending = nil
		o.applyConfig(h.data, h.requestedAt, "store")
	}
}

// isNewestConfig reports whether no linked daemon has a newer configuration than a version. Daemons
// that send no heartbeat are waited for during plannerDiscoveryTimeout.
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
