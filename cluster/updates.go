package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// entryLag is how far an instance's entry may lag behind its own reports. Writing it takes some
// milliseconds, with a slow store hundreds.
const entryLag = time.Second

const (
	// updateTimeout is the age of the planner's updates up to which a daemon reads entries rarely.
	updateTimeout = 900 * time.Millisecond
	// relayedUpdateTimeout is updateTimeout for daemons that use a relay. It is longer, so that
	// they do not read the store while a new planner is elected. It stays well below the time
	// within which a leaving instance must get no new requests, 3 s for users with many daemons.
	relayedUpdateTimeout = 1600 * time.Millisecond
	// minBroadcastInterval is the minimum time between two broadcasts. Reports arrive by the dozen
	// within some milliseconds. Sent one by one, they overflow the queues of links, and each daemon
	// that misses one reads the store.
	minBroadcastInterval = 15 * time.Millisecond
)

// queueUpdates queues updates for the next broadcast, if this node is the planner.
func (o *owner) queueUpdates(updates ...queuedUpdate) {
	if o.fleet.planners == nil {
		return
	}
	o.fleet.pendingUpdates = append(o.fleet.pendingUpdates, updates...)
}

// flushUpdates broadcasts queued updates, unless the last broadcast was within
// minBroadcastInterval.
func (o *owner) flushUpdates(now time.Time) {
	if len(o.fleet.pendingUpdates) == 0 || now.Sub(o.fleet.lastBroadcastAt) < minBroadcastInterval {
		return
	}
	o.broadcastUpdates()
}

// broadcastUpdates broadcasts the queued updates. Without any, the broadcast shows that the planner
// still reads entries, so that the others need not.
func (o *owner) broadcastUpdates() {
	f, now := &o.fleet, time.Now()
	f.updateSeq++
	f.lastBroadcastAt = now
	var instances []InstanceUpdate
	for _, u := range f.pendingUpdates {
		instances = append(instances, u.asOf(now))
	}
	o.n.links.broadcast(Update{
		From: o.n.cfg.ID, Clock: o.n.echoes.own.Read(now), Term: f.heldTerm, Seq: f.updateSeq, Instances: instances,
		Entries: o.entriesSince(f.broadcastEnd),
	})
	f.pendingUpdates, f.broadcastEnd = nil, f.entries.end
}

// handleUpdate applies an update of the planner, or a relay's snapshot.
func (o *owner) handleUpdate(m updateReceived) {
	p := &o.peers
	switch {
	case m.term < p.term || o.fleet.planners != nil:
		return
	case m.termEnded:
		p.term, p.plannerSeenAt = m.term, m.receivedAt.Add(-electionTimeout)
		o.n.updatesCurrentAt.Store(nil)
		return
	case m.snapshot:
		o.handleSnapshot(m)
		return
	case m.term == p.updateTerm && m.seq <= p.updateSeq:
		// The update was already received from another relay.
		return
	}
	missed := m.term != p.updateTerm || m.seq != p.updateSeq+1
	p.term, p.updateTerm, p.updateSeq = m.term, m.term, m.seq
	now := time.Now()
	p.plannerSeenAt = now
	o.applyInstances(m, now)
	// An update without a range of entries, as older versions send it, does not save this daemon a
	// read.
	continuous := m.entries != nil && o.fleet.entries.addRange(m.entries.toRecordRange(m.writtenAfter))
	o.publishProgress()
	if missed {
		p.missedSeq = m.seq - 1
	}
	switch {
	case missed, m.entries != nil && !continuous && !o.n.missedUpdates.pending():
		o.requestMissed(now)
	case continuous && !o.n.missedUpdates.pending():
		o.n.setUpdatesCurrentAt(dateOf(m.writtenAfter, m.entries.Age))
	}
}

// stateAt returns as of when an instance had the state in an update, which orders it among other states.
// Where the update can't be dated, as in the first moments of a connection, this is as if it had just
// been written.
func (m updateReceived) stateAt(u InstanceUpdate) time.Time {
	if m.writtenAfter.IsZero() {
		return m.receivedAt.Add(-u.Age)
	}
	return dateOf(m.writtenAfter, u.Age)
}

// applyInstances applies the instances in an update.
func (o *owner) applyInstances(m updateReceived, now time.Time) {
	if m.olderThan(o.fleet.entries) {
		m.instances = o.fleet.onlyKnown(m.instances, now)
	}
	for _, u := range m.instances {
		if u.Gone {
			o.applyGone(u, m, now)
			continue
		}
		if m.entries != nil {
			o.fleet.forgetRemoved(u.Instance.ID, m.entries.End)
			o.applyCorrection(u, m.entries.End, m.stateAt(u))
		}
		o.applyInstance(u, m.stateAt(u), now)
		o.fleet.markCorrected(u)
		if k := o.fleet.instances[u.Instance.ID]; k != nil && k.CompareIncarnation(u.Instance.StartedAt) != models.EarlierIncarnation {
			o.observeCold(k, u.Instance.ColdFor, now)
		}
		if m.entries != nil {
			o.fleet.markListed(u.Instance.ID, m.entries.End, u.missingSince(now))
		}
	}
	o.fleetStale = o.fleetStale || len(m.instances) > 0
}

// applyInstance applies the planner's state of one instance as of a time.
func (o *owner) applyInstance(u InstanceUpdate, at, now time.Time) {
	id := u.Instance.ID
	k, known := o.fleet.instances[id]
	switch {
	case !known && o.fleet.hasEnded(u.Instance):
	case !known:
		// The instance was not known, so that its loss applies whenever it was found.
		k = &knownInstance{UpstreamInstance: u.Instance, stateAt: at, incarnationKnownAt: at}
		if u.Lost {
			k.lostSince = now
		}
		o.fleet.instances[id], o.fleet.listStale = k, true
	case !o.observeIncarnation(k, u.Instance.StartedAt, at):
	case at.Before(k.stateAt):
		// A newer state of the instance's group is known. Leaving is taken from its entry, which
		// may still be newer.
		o.markLeaving(k, u.Instance.Draining, now.Sub(at))
	default:
		o.markLeaving(k, u.Instance.Draining, now.Sub(at))
		draining := k.Draining
		k.merge(u.Instance)
		k.Draining, k.stateAt = draining, at
		k.lostSince = time.Time{}
		delete(o.fleet.suspects, id)
		if u.Lost {
			k.lostSince = now
		}
	}
}

// applyGone handles the removal of an entry, unless the entry was written again since.
func (o *owner) applyGone(u InstanceUpdate, m updateReceived, now time.Time) {
	id := u.Instance.ID
	k, known := o.fleet.instances[id]
	switch {
	case !known:
	case m.entries != nil && k.knownThrough.Compare(m.entries.End) <= 0, m.entries == nil && m.stateAt(u).After(k.entrySeenAt):
		o.handleEntryGone(id)
	}
	if _, stillKnown := o.fleet.instances[id]; !stillKnown && u.Instance.HeartbeatSeq > 0 {
		o.fleet.markEnded(u.Instance, now)
	}
	if m.entries != nil {
		o.fleet.markRemoved(id, m.entries.End)
	}
}

// missingSince returns since when a restored store has lacked the instance's entry.
func (u InstanceUpdate) missingSince(now time.Time) time.Time {
	if u.Missing == 0 {
		return time.Time{}
	}
	return now.Add(-u.Missing)
}

// markLeaving marks an instance as leaving. It stays so for the rest of its incarnation.
func (o *owner) markLeaving(k *knownInstance, leaving bool, age time.Duration) {
	if k.Draining || !leaving {
		return
	}
	o.n.log.Info().Str("instance", string(k.ID)).Dur("age", age).Msg("instance-leaving")
	k.Draining = true
	o.fleet.listStale = true
}

// hasFreshUpdates reports whether updates cover all instances as of recently, with none missed
// since.
func (n *Node) hasFreshUpdates() bool { return n.updatedWithin(updateTimeout) }

func (n *Node) updatedWithin(d time.Duration) bool {
	at := n.updatesCurrentAt.Load()
	return at != nil && n.clock.Since(*at) < d
}

// setUpdatesCurrentAt sets the time up to which updates cover all changes. The zero time means that
// none is known.
func (n *Node) setUpdatesCurrentAt(at time.Time) {
	if at.IsZero() {
		n.updatesCurrentAt.Store(nil)
		return
	}
	n.updatesCurrentAt.Store(&at)
}
