package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// A daemon that missed news of the planner, or has heard none yet, asks the relay
// that it relies on, which tells all that it knows of instances.

// anyRelay stands for the relay that a daemon which starts will find.
const anyRelay models.DaemonID = "*"

// noteMissed has what was not told read from the store at once, or told by the
// relay that this daemon relies on.
func (o *owner) requestMissed(now time.Time) {
	o.n.stats.missedUpdates.Inc()
	relay := o.pickRelay(now)
	o.n.log.Info().Int64("term", o.peers.updateTerm).Int64("feed", o.peers.updateSeq).Str("relay", string(relay)).
		Dur("entries-age", o.n.entriesAge()).Msg("news-missed")
	o.n.updatesCurrentAt.Store(0)
	o.n.missedUpdates.record()
	o.n.snapshotRelay.Store(&relay)
	if relay != "" {
		o.n.links.sendHeartbeat(relay)
	}
}

// relayToAsk is the relay to be asked for what was missed: the first of those that know
// what was written of late themselves, none if no relay does or this daemon is one. A
// relay that the store turned away, and was asked, had those who rely on it send to a
// leaving instance for 3 s.
func (o *owner) pickRelay(now time.Time) models.DaemonID {
	if !o.n.usesRelay() {
		return ""
	}
	a := o.peers.topology
	if !o.isRelayStale(a.First, now) {
		return a.First
	}
	for id, link := range a.Links {
		if link.Relies && !o.isRelayStale(id, now) {
			return id
		}
	}
	return ""
}

// isBehind reports whether a relay tells that it does not know what was written of late.
func (o *owner) isRelayStale(id models.DaemonID, now time.Time) bool {
	relay, known := o.peers.seen[id]
	return known && relay.heartbeat.EntriesAge > 0 && relay.heartbeat.EntriesAge+now.Sub(relay.receivedAt) > relayedUpdateTimeout
}

// askUnfed has a daemon that leaves reading the store to its relay, and does not know
// what was written of late, ask it what it knows: relays read the store meanwhile. 285
// daemons that each read it for themselves, once a planner was cut off and once more
// when one was killed, made 730 of 2,420 calls within 27 s.
func (o *owner) requestIfStale(now time.Time) {
	if o.n.usesRelay() && o.n.missedUpdates.pending() {
		o.switchRelay(now)
		return
	}
	if o.n.usesRelay() && !o.n.updatedWithin(relayedUpdateTimeout) && o.n.entriesAge() >= relayedUpdateTimeout {
		o.requestMissed(now)
	}
}

// askOther asks another relay if the one that was asked is silent or behind by now.
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

// handleWhole takes in what a relay knows of all instances. That makes good for
// what was missed if the relay had heard it, and knows what was written of late.
func (o *owner) handleSnapshot(m updateReceived) {
	p, now := &o.peers, time.Now()
	o.removeAbsent(m)
	o.applyInstances(m, now)
	if m.entries != nil {
		o.fleet.entries.advance(m.entries.End, m.receivedAt.Add(-m.entries.Age))
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
	if m.entries == nil || entries.pending != nil || entries.end.Era < o.n.era.Load() || now.Sub(entries.currentAt) > relayedUpdateTimeout {
		return
	}
	o.markResynced(now)
	o.n.missedUpdates.recoverTo(o.n.missedUpdates.recorded.Load())
	o.n.updatesCurrentAt.Store(entries.currentAt.UnixNano())
}

// dropUntold drops the instances that a relay does not list, unless something newer is
// known of them.
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

// outdatedBy reports whether a relay knows at least as much of the store's records as who
// told of the instance last. An older program does not say.
func (k *knownInstance) supersededBy(m updateReceived) bool {
	if m.entries == nil {
		return k.stateAt.Before(m.receivedAt.Add(-entryLag))
	}
	return k.knownThrough.Compare(m.entries.End) <= 0
}

// answerMissed tells those who rely on this daemon and missed news what it knows.
func (o *owner) answerSnapshotRequests(now time.Time) {
	for id, p := range o.peers.seen {
		if p.heartbeat.MissedUpdates && !p.snapshotSent && o.sendSnapshot(id, now) {
			p.snapshotSent = true
			o.peers.seen[id] = p
		}
	}
}

// tellWhole tells all that this daemon knows of instances to one that relies on
// it and missed news. It does not if it missed some itself and has not read the store
// since, or does not know what was written of late: who asks would take itself for
// complete, and go on sending to instances that leave. It reports whether it did.
func (o *owner) sendSnapshot(to models.DaemonID, now time.Time) bool {
	if now.Sub(o.fleet.entries.currentAt) > updateTimeout || o.fleet.entries.end.Era < o.n.era.Load() {
		return false
	}
	term, seq := o.peers.updateTerm, o.peers.updateSeq
	if o.fleet.planner != nil {
		term, seq = o.fleet.heldTerm, o.fleet.updateSeq
	} else if o.n.missedUpdates.pending() {
		return false
	}
	w := &o.peers.snapshot
	if w.term != term || w.seq != seq || now.Sub(w.encodedAt) > snapshotReuse {
		// By the time that it is sent last it is older by wholeFresh.
		entries := o.fleet.entries.rangeSince(models.Position{}, now.Add(snapshotReuse))
		update := Update{From: o.n.cfg.ID, Term: term, Seq: seq, Snapshot: true, Entries: entries}
		for _, k := range o.fleet.instances {
			if !k.unlisted {
				update.Instances = append(update.Instances, k.toUpdate(k.stateTime()))
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

// knownAt is when what is known of the instance was so.
func (k *knownInstance) stateTime() time.Time {
	if k.stateAt.IsZero() {
		return k.entrySeenAt
	}
	return k.stateAt
}

// wholeFresh is for how long what is known of all instances is told as it was
// encoded once: where all daemons start at the same moment, 58 ask a relay
// within some ms, and to encode 766 instances takes one of a fifth of a core a
// tenth of a second.
const snapshotReuse = 100 * time.Millisecond

// wholeNews are news of all instances, ready to be sent, as of the planner's news
// with a number.
type encodedSnapshot struct {
	term, seq int64
	encodedAt time.Time
	frame     sharedFrame
}
