package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// A daemon that uses a relay and missed updates of the planner, or has had none yet, requests a
// snapshot of all instances from the relay.

// anyRelay denotes the relay that a starting daemon will find.
const anyRelay models.DaemonID = "*"

// requestMissed records that updates were missed and requests a snapshot from a relay. If there is
// none to ask, the missing entries are read from the store at once.
func (o *owner) requestMissed(now time.Time) {
	o.n.stats.missedUpdates.Inc()
	relay := o.pickRelay(now)
	o.n.log.Info().Int64("term", o.peers.updateTerm).Int64("feed", o.peers.updateSeq).Str("relay", string(relay)).
		Dur("entries-age", o.n.entriesAge()).Msg("news-missed")
	o.n.updatesCurrentAt.Store(nil)
	o.n.missedUpdates.record()
	o.n.snapshotRelay.Store(&relay)
	if relay != "" {
		o.n.links.sendHeartbeat(relay)
	}
}

// pickRelay returns the relay to ask for a snapshot: the first one whose entries are current, or
// none if there is no such relay or this daemon is one. Asking a relay that was cut off from the
// store made daemons send requests to a leaving instance for 3 s.
func (o *owner) pickRelay(now time.Time) models.DaemonID {
	if !o.n.usesRelay() {
		return ""
	}
	a := o.peers.topology
	if !o.isRelayStale(a.LoadRelay, now) {
		return a.LoadRelay
	}
	for id, link := range a.Links {
		if link.UsesRelay && !o.isRelayStale(id, now) {
			return id
		}
	}
	return ""
}

// isRelayStale reports whether the entries of a relay are known to be too old for a snapshot.
func (o *owner) isRelayStale(id models.DaemonID, now time.Time) bool {
	relay, known := o.peers.seen[id]
	return known && relay.heartbeat.EntriesAge > 0 && relay.heartbeat.EntriesAge+now.Sub(relay.receivedAt) > relayedUpdateTimeout
}

// requestIfStale requests a snapshot if this daemon uses a relay and its entries are too old; the
// relays read the store. 285 daemons that read it themselves, once when a planner was cut off from
// the store and once when one was killed, made 730 of 2,420 calls within 27 s.
func (o *owner) requestIfStale(now time.Time) {
	if o.n.usesRelay() && o.n.missedUpdates.pending() {
		o.switchRelay(now)
		return
	}
	if o.n.usesRelay() && !o.n.updatedWithin(relayedUpdateTimeout) && o.n.entriesAge() >= relayedUpdateTimeout {
		o.requestMissed(now)
	}
}

// switchRelay asks another relay if the one that was asked has timed out or has become stale.
func (o *owner) switchRelay(now time.Time) {
	relay := o.pickRelay(now)
	if relay == *o.n.snapshotRelay.Load() {
		return
	}
	o.n.snapshotRelay.Store(&relay)
	if relay != "" {
		o.n.links.sendHeartbeat(relay)
	}
}

// handleSnapshot applies a relay's snapshot. Missed updates count as recovered if the snapshot
// includes them and its entries are current.
func (o *owner) handleSnapshot(m updateReceived) {
	p, now := &o.peers, time.Now()
	o.removeAbsent(m)
	o.applyInstances(m, now)
	if m.entries != nil {
		o.fleet.entries.advance(m.entries.End, dateOf(m.writtenAfter, m.entries.Age))
		o.publishProgress()
	}
	o.n.log.Info().Int64("term", m.term).Int64("feed", m.seq).Int("instances", len(m.instances)).
		Dur("entries-age", o.n.entriesAge()).Msg("told-by-relay")
	switch {
	case m.term != p.updateTerm:
		p.term, p.updateTerm, p.updateSeq, p.plannerSeenAt = m.term, m.term, m.seq, now
	case m.seq < p.missedSeq:
		return
	}
	p.updateSeq = max(p.updateSeq, m.seq)
	entries := &o.fleet.entries
	if m.entries == nil || entries.pending != nil || entries.end.Era < o.n.era.Load() || o.n.clock.Since(entries.currentAt) > relayedUpdateTimeout {
		return
	}
	o.markResynced(now)
	o.n.missedUpdates.recoverTo(o.n.missedUpdates.recorded.Load())
	o.n.setUpdatesCurrentAt(entries.currentAt)
}

// removeAbsent removes the instances that a snapshot lacks, unless this daemon has newer state of
// them.
func (o *owner) removeAbsent(m updateReceived) {
	listed := make(map[models.InstanceID]bool, len(m.instances))
	for _, u := range m.instances {
		listed[u.Instance.ID] = true
	}
	for id, k := range o.fleet.instances {
		if !listed[id] && k.supersededBy(m) {
			o.handleEntryGone(id)
		}
	}
}

// supersededBy reports whether the relay knows at least as many of the store's entry records as the
// source of the instance's state did. For older versions, which don't send the range, it compares
// times.
func (k *knownInstance) supersededBy(m updateReceived) bool {
	if m.entries == nil {
		return k.stateAt.Before(m.receivedAt.Add(-entryLag))
	}
	return k.knownThrough.Compare(m.entries.End) <= 0
}

// answerSnapshotRequests sends a snapshot to each daemon that missed updates and uses this one as
// relay.
func (o *owner) answerSnapshotRequests(now time.Time) {
	for id, p := range o.peers.seen {
		if p.heartbeat.MissedUpdates && !p.snapshotSent && o.sendSnapshot(id, now) {
			p.snapshotSent = true
			o.peers.seen[id] = p
		}
	}
}

// sendSnapshot sends all known instances to a daemon that missed updates, and reports whether it
// did. It does not if this daemon has missed updates itself and not recovered them, or if its
// entries are not current: the receiver would regard its own entries as current, and keep sending
// requests to leaving instances.
func (o *owner) sendSnapshot(to models.DaemonID, now time.Time) bool {
	if o.n.clock.Since(o.fleet.entries.currentAt) > updateTimeout || o.fleet.entries.end.Era < o.n.era.Load() {
		return false
	}
	term, seq := o.peers.updateTerm, o.peers.updateSeq
	if o.fleet.planners != nil {
		term, seq = o.fleet.heldTerm, o.fleet.updateSeq
	} else if o.n.missedUpdates.pending() {
		return false
	}
	w := &o.peers.snapshot
	if w.term != term || w.seq != seq || now.Sub(w.encodedAt) > snapshotReuse {
		// The encoded snapshot is reused for up to snapshotReuse, so its age is overstated by that
		// much.
		entries := o.entriesSince(models.Position{})
		entries.Age += snapshotReuse
		update := Update{From: o.n.cfg.ID, Clock: o.n.echoes.own.Read(now), Term: term, Seq: seq, Snapshot: true, Entries: entries}
		for _, k := range o.fleet.instances {
			if !k.unlisted {
				update.Instances = append(update.Instances, k.toUpdate(k.stateTime()).asOf(now))
			}
		}
		f, ok := o.n.links.encode(frameUpdate, update)
		if !ok {
			return false
		}
		*w = encodedSnapshot{term: term, seq: seq, encodedAt: now, frame: f}
	}
	sent := o.n.links.sendTo(to, w.frame)
	o.n.log.Info().Str("peer", string(to)).Int64("term", term).Int64("feed", seq).Dur("entries-age", o.n.entriesAge()).
		Bool("sent", sent).Msg("told-all")
	return sent
}

// stateTime returns the time as of which the instance's state is known.
func (k *knownInstance) stateTime() time.Time {
	if k.stateAt.IsZero() {
		return k.entrySeenAt
	}
	return k.stateAt
}

// snapshotReuse is how long an encoded snapshot is reused. When all daemons start at once, 58 ask a
// relay within some milliseconds, and encoding 766 instances takes a tenth of a second on a fifth
// of a core.
const snapshotReuse = 100 * time.Millisecond

// encodedSnapshot is a snapshot ready to be sent, as of one of the planner's updates.
type encodedSnapshot struct {
	term, seq int64
	encodedAt time.Time
	frame     sharedFrame
}
