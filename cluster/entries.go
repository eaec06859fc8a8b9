package cluster

import (
	"cmp"
	"context"
	"hash/maphash"
	"maps"
	"reflect"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// instancesEvery is how often a daemon reads the entries of instances,
	// planEntriesEvery how often the one that plans does, and fedEntriesEvery
	// how often one does that hears from it and knows when it missed something.
	// sparseEntriesEvery takes the place of instancesEvery for those that rely
	// on others; it stays well below the time within which an instance that
	// leaves must get nothing new.
	entriesInterval        = 500 * time.Millisecond
	relayedEntriesInterval = 1500 * time.Millisecond
	plannerEntriesInterval = 250 * time.Millisecond
	updatedEntriesInterval = 20 * time.Second
	// aliveWrites is after how many writes of its entry an instance that was found
	// lost counts as alive again at a daemon that does not ask for itself: the
	// first may have been on its way when it was lost.
	writesToRecover = 2
)

// followInstances reads the entries of instances from the store.
func (n *Node) followInstances(ctx context.Context) error {
	if err := n.awaitRoster(ctx); err != nil {
		return err
	}
	f := topicReader{n: n, topic: platform.InstancesTopic, interval: n.entriesReadInterval}
	f.shouldRead = func() bool { return !n.waitsForRelay() }
	// What is missed while a reading is under way needs another one.
	var recorded int64
	f.beforeRead = func() { recorded = n.missedUpdates.recorded.Load() }
	f.afterRead = func() { n.missedUpdates.recoverTo(recorded) }
	f.knownEnd = n.knownEnd
	f.holdTime = func() time.Duration { return 0 }
	f.onSnapshot = func(r readResult) message { return instancesSnapshot{r} }
	f.onDelta = func(r readResult) message { return instancesDelta{r} }
	return f.run(ctx)
}

// entriesEvery is the pause between two readings of entries. Missed news are
// read at once: those that come next do not bring them.
func (n *Node) entriesReadInterval() time.Duration {
	switch {
	case n.missedUpdates.pending() && !n.waitsForRelay():
		return 0
	case n.planning.Load():
		return plannerEntriesInterval
	case n.hasFreshUpdates(), n.usesRelay() && n.updatedWithin(relayedUpdateTimeout):
		return updatedEntriesInterval
	case n.usesRelay():
		return relayedEntriesInterval
	default:
		return entriesInterval
	}
}

const (
	// relayBound is how old what a daemon knows may grow until it reads the store for
	// itself, though a relay was asked: feedPatience, and two of the relay's heartbeats.
	// With the time of a reading it stays within that in which a leaving instance must get
	// nothing new. 300 daemons that read 0.6 s after a planner had changed, though all of
	// them knew what was 0.6 s old, kept the store from answering for 6 s.
	maxRelayWait = relayedUpdateTimeout + 600*time.Millisecond
	// startBound is the same at the start: it takes 0.5 s until one plans and 0.3 s until
	// the relays hear from it.
	maxStartupRelayWait = time.Second
	// startPatience is how long a daemon that starts waits to learn its part: the
	// roster is read within some ms, and a store that is away tells nothing else
	// either.
	rosterTimeout = 300 * time.Millisecond
)

// awaitPart waits until the node knows its part among the daemons, but not for long.
func (n *Node) awaitRoster(ctx context.Context) error {
	late := time.NewTimer(rosterTimeout)
	defer late.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.rosterReady:
	case <-late.C:
	}
	return nil
}

// awaitsRelay reports whether what this daemon does not know of instances is to
// come from its relay rather than from the store. 295 daemons that all read 766
// entries at their start made 900 calls and moved 0.1 GB.
func (n *Node) waitsForRelay() bool {
	if !n.usesRelay() {
		return false
	}
	if !n.missedUpdates.pending() {
		return n.updatedWithin(relayedUpdateTimeout)
	}
	bound := maxRelayWait
	if n.entriesAt.Load() == 0 {
		bound = maxStartupRelayWait
	}
	return *n.snapshotRelay.Load() != "" && n.entriesAge() < bound
}

// handleInstances takes in entries read from the store: all of them if whole,
// else those that were written since the last reading.
func (o *owner) handleEntries(read readResult, snapshot bool) {
	o.advanceEra(read.end.Era, time.Now())
	if read.end.Era < o.fleet.entries.end.Era {
		// The store has forgotten since what it answered then.
		return
	}
	listed := map[models.InstanceID]bool{}
	for _, r := range read.records {
		listed[models.InstanceID(r.Key)] = len(r.Value) > 0
		o.handleEntryRecord(r, read.requestedAt)
	}
	switch before := o.fleet.entries.end; {
	case !snapshot || read.end.Compare(before) < 0:
	case read.end.Era > before.Era:
		o.markMissing(listed, time.Now())
	default:
		o.removeUnlisted(listed, read.requestedAt)
	}
	complete := read.requestedAt
	if read.more {
		// What stands behind the part that was read is not known.
		complete = o.fleet.entries.currentAt
	}
	o.fleet.entries.advance(read.end, complete)
	if snapshot {
		// What came and went between is in no whole reading, and can't be told.
		o.fleet.broadcastEnd = o.fleet.entries.end
	}
	o.publishProgress()
	o.markResynced(time.Now())
	// Even without news the others learn that this one still reads.
	o.queueUpdates(o.fleet.updatesFor(read.records, read.requestedAt)...)
	if o.fleet.planner != nil && len(o.fleet.pendingUpdates) == 0 {
		o.broadcastUpdates()
	}
	o.fleetStale = o.fleetStale || len(read.records) > 0
}

// handleRecord takes in one record, unless what it tells is known already, by others'
// word, with all that followed: a reading that was overtaken would bring back an instance
// that is gone.
func (o *owner) handleEntryRecord(r platform.KeyedRecord, requestedAt time.Time) {
	if r.At.Compare(o.fleet.entries.end) < 0 {
		return
	}
	id := models.InstanceID(r.Key)
	if len(r.Value) == 0 {
		delete(o.fleet.unreadable, id)
		o.handleEntryGone(id)
		return
	}
	i, err := platform.DecodeInstance(r.Key, r.Value)
	if err != nil {
		// Another writer's: it names no instance, also where one was named before.
		o.reportUnreadable(id, r.Value, err)
		o.handleEntryGone(id)
		return
	}
	delete(o.fleet.unreadable, id)
	o.applyEntry(i, requestedAt)
	o.fleet.markListed(id, models.Position{Era: r.At.Era, Offset: r.At.Offset + 1}, time.Time{})
}

// dropUnlisted drops the instances that a whole reading does not list, and tells the
// others: no record does.
func (o *owner) removeUnlisted(listed map[models.InstanceID]bool, requestedAt time.Time) {
	for id := range o.fleet.instances {
		if !listed[id] {
			o.handleEntryGone(id)
			o.queueUpdates(o.fleet.goneUpdate(id, requestedAt))
		}
	}
	maps.DeleteFunc(o.fleet.unreadable, func(id models.InstanceID, _ uint64) bool { return !listed[id] })
}

// goneNews tells that an instance's entry was gone at a time, and what its last one was.
func (f *fleetState) goneUpdate(id models.InstanceID, at time.Time) InstanceUpdate {
	lastState := models.UpstreamInstance{ID: id}
	if e, ended := f.ended[id]; ended {
		lastState.Born, lastState.Heartbeat = e.born, e.heartbeat
	}
	return InstanceUpdate{Instance: lastState, Age: time.Since(at), Gone: true}
}

// noteUnreadable tells of an entry that can't be read, once for each change of it.
func (o *owner) reportUnreadable(id models.InstanceID, value []byte, err error) {
	sum := maphash.Bytes(entryHashSeed, value)
	if before, known := o.fleet.unreadable[id]; known && before == sum {
		return
	}
	o.fleet.unreadable[id] = sum
	o.n.stats.unreadable.Inc()
	o.n.log.Error().Err(err).Msg("instance-unreadable")
}

// entrySeed is that of the sums by which changes of unreadable entries are told.
var entryHashSeed = maphash.MakeSeed()

// noteEntry takes in one entry, as it stood in the store when it was asked for.
func (o *owner) applyEntry(i models.UpstreamInstance, requestedAt time.Time) {
	now := time.Now()
	k, known := o.fleet.instances[i.ID]
	if !known && o.fleet.hasEnded(i) {
		return
	}
	if !known {
		k = &knownInstance{}
		o.fleet.instances[i.ID], o.fleet.listStale = k, true
	}
	if !o.observeIncarnation(k, i.Born, requestedAt) {
		o.probeIfPlanner(k, now)
		return
	}
	if known && (k.Draining != i.Draining || k.Group != i.Group) {
		o.n.log.Info().Str("instance", string(i.ID)).Str("group", string(i.Group.Key.Name)).Str("state", string(i.Group.State)).
			Bool("draining", i.Draining).Msg("instance-changed")
	}
	// Who leaves does not come back in this life: a reading that was overtaken by the
	// word of it would have it get requests again.
	i.Draining = i.Draining || k.Draining
	o.fleet.listStale = o.fleet.listStale || i.Draining != k.Draining
	stale := known && o.hasOutdatedGroup(k, i, requestedAt)
	if stale {
		i.Group, i.Loaded, i.Staged = k.Group, k.Loaded, k.Staged
	}
	if o.fleet.planner == nil && i.Heartbeat >= k.Heartbeat+writesToRecover {
		// The word that it is back was missed.
		k.lostSince = time.Time{}
	}
	if k.lostSince.IsZero() {
		k.merge(i)
	} else {
		k.mergeLost(i)
	}
	k.entrySeenAt, k.unlisted = now, false
	if stale || (!k.lostSince.IsZero() && now.Sub(k.lostSince) > minProbeInterval) {
		o.probeIfPlanner(k, now)
	}
}

// goesBack reports whether an entry tells of an earlier group than is known,
// and what the instance itself told is newer than the entry may be. The one
// that plans takes any such entry for old and asks: it would use a member that
// seems to be free.
func (o *owner) hasOutdatedGroup(k *knownInstance, i models.UpstreamInstance, requestedAt time.Time) bool {
	if i.Group == k.Group || i.Group.Follows(k.Group) {
		return false
	}
	return o.fleet.planner != nil || requestedAt.Before(k.stateAt.Add(entryLag))
}

// takeIn replaces what is known of the instance in this life, but for the model that
// it ran last: an instance in no group tells none.
func (k *knownInstance) merge(i models.UpstreamInstance) {
	i.Loaded = cmp.Or(i.Loaded, k.Loaded)
	if i.Born.IsZero() {
		i.Born = k.Born
	}
	k.UpstreamInstance = i
}

// takeInLost is takeIn for an instance that was found lost. It keeps the count
// of writes at that time, against which later ones tell that it lives.
func (k *knownInstance) mergeLost(i models.UpstreamInstance) {
	i.Heartbeat = k.Heartbeat
	k.merge(i)
}

// changedEntries are the instances of these records of which the others have
// not been told as they are now.
func (f *fleetState) updatesFor(records []platform.KeyedRecord, requestedAt time.Time) []InstanceUpdate {
	if f.planner == nil {
		return nil
	}
	var out []InstanceUpdate
	seen := map[models.InstanceID]bool{}
	for _, r := range records {
		id := models.InstanceID(r.Key)
		if seen[id] {
			continue
		}
		seen[id] = true
		k, known := f.instances[id]
		if !known || k.unlisted {
			out = append(out, f.goneUpdate(id, requestedAt))
			continue
		}
		if k.needsBroadcast() {
			k.lastBroadcast = k.broadcastState()
			out = append(out, k.toUpdate(requestedAt))
		}
	}
	return out
}

// shown is what the other daemons are told of the instance.
func (k *knownInstance) broadcastState() models.UpstreamInstance {
	shown := k.UpstreamInstance
	shown.Heartbeat = 0
	return shown
}

// differs reports whether the others were not told of the instance as it is now.
func (k *knownInstance) needsBroadcast() bool {
	return !reflect.DeepEqual(k.broadcastState(), k.lastBroadcast)
}

// news is what the other daemons are told of the instance, as it was at a time.
func (k *knownInstance) toUpdate(at time.Time) InstanceUpdate {
	return InstanceUpdate{
		Instance: k.UpstreamInstance, Age: time.Since(at), Lost: !k.lostSince.IsZero(), Missing: k.missingFor(time.Now()),
	}
}
