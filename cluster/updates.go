package cluster

import "time"

// entryLag is how long an instance's entry may lag behind what the instance
// itself tells: the store takes some ms, a slow store hundreds.
const entryLag = time.Second

const (
	// feedFresh is how recent the planner's news must be for a daemon to spare
	// itself reading entries often.
	updateTimeout = 900 * time.Millisecond
	// feedPatience takes its place where there are many daemons: until another
	// plans none should read that need not. It stays well below the time within
	// which an instance that leaves must get nothing new, 3 s where the users
	// have many daemons.
	relayedUpdateTimeout = 1600 * time.Millisecond
	// newsEvery is the least time between two sendings of news. Reports come by
	// the dozen within some ms; sent one by one they overflow what may wait for
	// a link, and every daemon that misses one reads the store.
	minBroadcastInterval = 15 * time.Millisecond
)

// spread tells all other daemons what this one, which plans, has learned.
func (o *owner) queueUpdates(updates ...InstanceUpdate) {
	if o.fleet.planner == nil {
		return
	}
	o.fleet.pendingUpdates = append(o.fleet.pendingUpdates, updates...)
}

// flushNews sends what spread has gathered, unless some was sent just before.
func (o *owner) flushUpdates(now time.Time) {
	if len(o.fleet.pendingUpdates) == 0 || now.Sub(o.fleet.lastBroadcastAt) < minBroadcastInterval {
		return
	}
	o.broadcastUpdates()
}

// sendFeed sends the news that there are. Without any it tells the others that
// this daemon still reads entries, so that they need not.
func (o *owner) broadcastUpdates() {
	f, now := &o.fleet, time.Now()
	f.updateSeq++
	f.lastBroadcastAt = now
	o.n.links.broadcast(Update{
		From: o.n.cfg.ID, Term: f.heldTerm, Seq: f.updateSeq, Instances: f.pendingUpdates,
		Entries: f.entries.rangeSince(f.broadcastEnd, now),
	})
	f.pendingUpdates, f.broadcastEnd = nil, f.entries.end
}

// handleNews takes in what the daemon that plans tells.
func (o *owner) handleUpdate(m updateReceived) {
	p := &o.peers
	switch {
	case m.term < p.term || o.fleet.planner != nil:
		return
	case m.termEnded:
		p.term, p.plannerSeenAt = m.term, m.receivedAt.Add(-electionTimeout)
		o.n.updatesCurrentAt.Store(0)
		return
	case m.snapshot:
		o.handleSnapshot(m)
		return
	case m.term == p.updateTerm && m.seq <= p.updateSeq:
		// Another relay told it before.
		return
	}
	missed := m.term != p.updateTerm || m.seq != p.updateSeq+1
	p.term, p.updateTerm, p.updateSeq = m.term, m.term, m.seq
	now := time.Now()
	p.plannerSeenAt = now
	o.applyInstances(m, now)
	// News that do not tell which records they hold, as an older program's, do not spare
	// this daemon a reading.
	continuous := m.entries != nil && o.fleet.entries.addRange(m.entries.toRecordRange(m.receivedAt))
	o.publishProgress()
	if missed {
		p.missedSeq = m.seq - 1
	}
	switch {
	case missed, m.entries != nil && !continuous && !o.n.missedUpdates.pending():
		o.requestMissed(now)
	case continuous && !o.n.missedUpdates.pending():
		o.n.updatesCurrentAt.Store(m.receivedAt.Add(-m.entries.Age).UnixNano())
	}
}

// noteAll takes in what news tell of instances.
func (o *owner) applyInstances(m updateReceived, now time.Time) {
	if m.olderThan(o.fleet.entries) {
		m.instances = o.fleet.onlyKnown(m.instances, now)
	}
	for _, u := range m.instances {
		if u.Gone {
			o.applyGone(u, m, now)
			continue
		}
		o.applyInstance(u, m.receivedAt.Add(-u.Age), now)
		if m.entries != nil {
			o.fleet.markListed(u.Instance.ID, m.entries.End, u.missingSince(now))
		}
	}
	o.fleetStale = o.fleetStale || len(m.instances) > 0
}

// noteNews takes in what the daemon that plans tells of one instance, as it was
// at a time.
func (o *owner) applyInstance(u InstanceUpdate, at, now time.Time) {
	id := u.Instance.ID
	k, known := o.fleet.instances[id]
	switch {
	case !known && o.fleet.hasEnded(u.Instance):
	case !known:
		// No entry of it was seen: word that it is gone holds, whenever it was read.
		k = &knownInstance{UpstreamInstance: u.Instance, stateAt: at, bornKnownAt: at}
		if u.Lost {
			k.lostSince = now
		}
		o.fleet.instances[id], o.fleet.listStale = k, true
	case !o.observeIncarnation(k, u.Instance.Born, at):
	case at.Before(k.stateAt):
		// Something newer is known of its group. That it leaves is told by its entry, which
		// may be newer all the same.
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

// noteGone takes in that an instance's entry went, unless it was written again since.
func (o *owner) applyGone(u InstanceUpdate, m updateReceived, now time.Time) {
	id := u.Instance.ID
	k, known := o.fleet.instances[id]
	switch {
	case !known:
	case m.entries != nil && k.knownThrough.Compare(m.entries.End) <= 0, m.entries == nil && m.receivedAt.Add(-u.Age).After(k.entrySeenAt):
		o.handleEntryGone(id)
	}
	if _, known := o.fleet.instances[id]; !known && u.Instance.Heartbeat > 0 {
		o.fleet.markEnded(u.Instance, now)
	}
}

// missingSince is since when the store lacks the instance's entry.
func (u InstanceUpdate) missingSince(now time.Time) time.Time {
	if u.Missing == 0 {
		return time.Time{}
	}
	return now.Add(-u.Missing)
}

// noteLeaving takes in whether others know that an instance leaves. Who does, does not
// come back in this life.
func (o *owner) markLeaving(k *knownInstance, leaving bool, age time.Duration) {
	if k.Draining || !leaving {
		return
	}
	o.n.log.Info().Str("instance", string(k.ID)).Dur("age", age).Msg("instance-leaving")
	k.Draining = true
	o.fleet.listStale = true
}

// fedLately reports whether all instances were told as of late, and none missed since.
func (n *Node) hasFreshUpdates() bool { return n.updatedWithin(updateTimeout) }

func (n *Node) updatedWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, n.updatesCurrentAt.Load())) < d
}
