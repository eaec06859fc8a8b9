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
	enrollCheck = time.Second
)

// noteEra takes in the era of the store, as it or another daemon tells, and has entries
// of instances told or read anew if it is a new one.
func (o *owner) noteEra(era int64, now time.Time) {
	if o.beginEra(era, now) {
		o.noteMissed(now)
	}
}

// beginEra notes an era, and reports whether it began while this daemon ran.
func (o *owner) beginEra(era int64, now time.Time) bool {
	was := o.n.era.Load()
	if era <= was {
		return false
	}
	o.n.era.Store(era)
	if o.fleet.entries.at.IsZero() {
		// This daemon has just started, and knows nothing of before.
		return false
	}
	o.n.stats.restores.Inc()
	o.n.log.Warn().Int64("era", era).Int64("was", was).Dur("entries-age", o.n.entriesAge()).Msg("store-restored")
	o.fleet.restored = now
	return true
}

// noteKnownAnew notes that all entries of the present era are known.
func (o *owner) noteKnownAnew(now time.Time) {
	if o.fleet.restored.IsZero() || o.fleet.entries.end.Era < o.n.era.Load() {
		return
	}
	o.n.log.Info().Int64("era", o.n.era.Load()).Dur("after", now.Sub(o.fleet.restored)).Int("instances", len(o.fleet.instances)).
		Msg("store-known-anew")
	o.fleet.restored = time.Time{}
}

// markMissing notes which instances a store lacks that has come back. They are kept for a
// while.
func (o *owner) markMissing(listed map[models.InstanceID]bool, now time.Time) {
	for id, k := range o.fleet.instances {
		if !listed[id] && k.missing.IsZero() {
			k.missing = now
			o.tellOthers(k, k.knownAt())
		}
	}
}

// dropMissing drops those that have not written again.
func (o *owner) dropMissing(now time.Time) {
	for id, k := range o.fleet.instances {
		if !k.missing.IsZero() && now.Sub(k.missing) >= restoreGrace {
			o.dropInstance(id)
			o.spread(o.fleet.goneNews(id, now))
			k.missing = time.Time{}
		}
	}
}

// keepEnrolled enters the node into the roster anew whenever the store came back.
func (n *Node) keepEnrolled(ctx context.Context) error {
	for era := n.era.Load(); ; {
		if err := pause(ctx, enrollCheck); err != nil {
			return err
		}
		now := n.era.Load()
		if now <= era {
			continue
		}
		if err := n.enroll(ctx); err != nil {
			return err
		}
		era = now
	}
}

// heldConfig is a configuration that a starting daemon does not put in force yet.
type heldConfig struct {
	configRead
	version int64
}

// takeConfig takes in what was read of the configuration. That of a store which came
// back may be older than what others have in force, with keys that were taken away since:
// a daemon that starts waits for their word.
func (o *owner) takeConfig(m configRead, now time.Time) {
	o.noteEra(m.era, now)
	if o.config.routing == nil && m.data != nil && m.era > 0 {
		routing, err := platform.DecodeRouting(m.data)
		if err == nil && !o.knowsNewest(routing.Version, now) {
			o.config.held = &heldConfig{configRead: m, version: routing.Version}
			return
		}
	}
	o.handleConfig(m.data, m.asked, "store")
}

// releaseConfig puts a configuration in force that was held, once no other daemon can
// have a newer one.
func (o *owner) releaseConfig(now time.Time) {
	if h := o.config.held; h != nil && o.knowsNewest(h.version, now) {
		o.config.held = nil
		o.handleConfig(h.data, h.asked, "store")
	}
}

// knowsNewest reports whether no daemon that this one is linked to has a newer
// configuration than a version. Those that say nothing are waited for as long as for word
// of the planner.
func (o *owner) knowsNewest(version int64, now time.Time) bool {
	for _, p := range o.peers.seen {
		if p.beat.ConfigVersion > version {
			return false
		}
	}
	if o.running(now) >= plannerWord {
		return true
	}
	for id := range o.peers.arranged.Links {
		if _, heard := o.peers.seen[id]; !heard {
			return false
		}
	}
	return len(o.peers.arranged.Links) > 0
}
