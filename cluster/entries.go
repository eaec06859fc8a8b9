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
	// entriesInterval is the interval at which a daemon reads the entries of instances. It is
	// plannerEntriesInterval for the planner, updatedEntriesInterval for a daemon that gets all
	// updates of the planner, and relayedEntriesInterval for one that uses a relay and gets none.
	// The last stays well below the time within which a leaving instance must get no new requests.
	entriesInterval        = 500 * time.Millisecond
	relayedEntriesInterval = 1500 * time.Millisecond
	plannerEntriesInterval = 250 * time.Millisecond
	updatedEntriesInterval = 20 * time.Second
	// writesToRecover is the number of writes of its entry after which a lost instance counts as
	// alive again at daemons that are not the planner and so do not probe it. One write is not
	// enough: it may have been in flight when the instance was lost.
	writesToRecover = 2
)

// followInstances reads the entries of instances from the store.
func (n *Node) followInstances(ctx context.Context) error {
	if err := n.awaitRoster(ctx); err != nil {
		return err
	}
	f := topicReader{n: n, topic: platform.InstancesTopic, interval: n.entriesReadInterval}
	f.shouldRead = func() bool { return !n.waitsForRelay() }
	// An update missed during a read requires another read.
	var recorded int64
	f.beforeRead = func() { recorded = n.missedUpdates.recorded.Load() }
	f.afterRead = func() { n.missedUpdates.recoverTo(recorded) }
	f.knownEnd = n.knownEnd
	f.holdTime = func() time.Duration { return 0 }
	f.onSnapshot = func(r readResult) message { return instancesSnapshot{r} }
	f.onDelta = func(r readResult) message { return instancesDelta{r} }
	return f.run(ctx)
}

// entriesReadInterval returns the pause between two reads of entries. Missed updates require a read
// at once, since later updates do not include them.
func (n *Node) entriesReadInterval() time.Duration {
	switch {
	case n.missedUpdates.pending() && !n.waitsForRelay():
		return 0
	case n.planning.Load():
		return plannerEntriesInterval
	case n.hasFreshUpdates(), n.usesRelay() && n.updatedWithin(relayedUpdateTimeout):
		return updatedEntriesInterval
	case n.usesRelay():
		return max(relayedEntriesInterval, n.fallbackSpread(n.entriesBytes()))
	default:
		return entriesInterval
	}
}

const (
	// maxRelayWait is the age of a daemon's entries at which it reads the store although it has
	// asked a relay: relayedUpdateTimeout plus two of the relay's heartbeats. With the duration of
	// the read it stays below the time within which a leaving instance must get no new requests.
	// 300 daemons that read the store 0.6 s after a change of planner, though their entries were
	// just 0.6 s old, kept the store from answering for 6 s.
	maxRelayWait = relayedUpdateTimeout + 600*time.Millisecond
	// maxStartupRelayWait is maxRelayWait for a starting daemon. A first planner is elected after
	// 0.5 s, and its updates reach the relays 0.3 s later.
	maxStartupRelayWait = time.Second
)

// awaitRoster waits until this node knows whether it uses a relay. If the store does not answer, no
// other topic can be read either, and a relay may send what is in them.
func (n *Node) awaitRoster(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.rosterReady:
		return nil
	}
}

// waitsForRelay reports whether this daemon is to get missing entries from its relay and not from
// the store. 295 daemons that each read 766 entries when they started made 900 calls and
// transferred 0.1 GB.
func (n *Node) waitsForRelay() bool {
	if !n.usesRelay() {
		return false
	}
	if !n.missedUpdates.pending() {
		return n.updatedWithin(relayedUpdateTimeout)
	}
	bound := maxRelayWait
	switch {
	case n.entriesAt.Load() == nil:
		bound = maxStartupRelayWait
	case *n.snapshotRelay.Load() == "":
		bound = 0
	}
	return n.entriesAge() < bound+n.fallbackDelay(n.entriesBytes())
}

// handleEntries applies entries read from the store: all of them if snapshot is set, otherwise
// those written since the last read.
func (o *owner) handleEntries(read readResult, snapshot bool) {
	o.advanceEra(read.end.Era, time.Now())
	if read.end.Era < o.fleet.entries.end.Era {
		// The store was restored from a backup after it answered this read.
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
		o.removeUnlisted(listed, read.end, read.requestedAt)
	}
	complete := read.requestedAt
	if read.more {
		// Entries behind this page are not known.
		complete = o.fleet.entries.currentAt
	}
	o.fleet.entries.advance(read.end, complete)
	if snapshot {
		// A snapshot lacks instances that were added and removed since the last read, so the next
		// update must not claim to cover these records.
		o.fleet.broadcastEnd = o.fleet.entries.end
	}
	o.publishProgress()
	o.markResynced(time.Now())
	// Even without updates this shows the other daemons that the planner reads entries.
	o.queueUpdates(o.fleet.updatesFor(read.records, read.requestedAt)...)
	if o.fleet.planners != nil && len(o.fleet.pendingUpdates) == 0 {
		o.broadcastUpdates()
	}
	o.fleetStale = o.fleetStale || len(read.records) > 0
}

// handleEntryRecord applies a record, unless its position is below the known end: then the record
// and all that followed it are applied already, from another daemon, and a late read would restore
// an instance that has been removed.
func (o *owner) handleEntryRecord(r platform.KeyedRecord, requestedAt time.Time) {
	if r.Position.Compare(o.fleet.entries.end) < 0 {
		return
	}
	id, end := models.InstanceID(r.Key), models.Position{Era: r.Position.Era, Offset: r.Position.Offset + 1}
	if len(r.Value) == 0 {
		delete(o.fleet.unreadable, id)
		o.handleEntryRemoved(id, end)
		return
	}
	i, err := platform.DecodeInstance(r.Key, r.Value)
	if err != nil {
		// Another writer wrote this record: it describes no instance, even if an earlier one did.
		o.reportUnreadable(id, r.Value, err)
		o.handleEntryRemoved(id, end)
		return
	}
	delete(o.fleet.unreadable, id)
	o.fleet.forgetRemoved(id, end)
	o.observeContradiction(i, end, requestedAt)
	o.applyEntry(i, requestedAt)
	o.fleet.markListed(id, end, time.Time{})
}

// removeUnlisted removes the instances that a snapshot of the store lacks, and broadcasts their
// removal, because no record of the read does. end is the end of the records that the snapshot covers.
func (o *owner) removeUnlisted(listed map[models.InstanceID]bool, end models.Position, requestedAt time.Time) {
	for id := range o.fleet.instances {
		if !listed[id] {
			o.handleEntryRemoved(id, end)
			o.queueUpdates(o.fleet.goneUpdate(id, requestedAt))
		}
	}
	maps.DeleteFunc(o.fleet.unreadable, func(id models.InstanceID, _ uint64) bool { return !listed[id] })
}

// goneUpdate reports that an instance's entry was missing at a time, with its last known state.
func (f *fleetState) goneUpdate(id models.InstanceID, at time.Time) queuedUpdate {
	lastState := models.UpstreamInstance{ID: id}
	if e, ended := f.ended[id]; ended {
		lastState.StartedAt, lastState.HeartbeatSeq = e.startedAt, e.heartbeat
	}
	return queuedUpdate{InstanceUpdate{Instance: lastState, Gone: true}, at}
}

// reportUnreadable logs and counts an entry that can't be decoded, once per content.
func (o *owner) reportUnreadable(id models.InstanceID, value []byte, err error) {
	sum := maphash.Bytes(entryHashSeed, value)
	if before, known := o.fleet.unreadable[id]; known && before == sum {
		return
	}
	o.fleet.unreadable[id] = sum
	o.n.stats.unreadable.Inc()
	o.n.log.Error().Err(err).Msg("instance-unreadable")
}

// entryHashSeed seeds the hashes by which changes of unreadable entries are detected.
var entryHashSeed = maphash.MakeSeed()

// applyEntry applies an entry as the store held it at requestedAt.
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
	if !o.observeIncarnation(k, i.StartedAt, requestedAt) {
		o.probeIfPlanner(k, now)
		return
	}
	if known && (k.Draining != i.Draining || k.Group != i.Group) {
		o.n.log.Info().Str("instance", string(i.ID)).Str("group", string(i.Group.Key.Name)).Str("state", string(i.Group.State)).
			Bool("draining", i.Draining).Msg("instance-changed")
	}
	// An instance that leaves never comes back in the same incarnation. A read that arrives after a
	// newer update must not make it eligible for requests again.
	i.Draining = i.Draining || k.Draining
	o.fleet.listStale = o.fleet.listStale || i.Draining != k.Draining
	stale := known && o.hasOutdatedGroup(k, i, requestedAt)
	if stale {
		i.Group, i.LoadedModel, i.StagedModels = k.Group, k.LoadedModel, k.StagedModels
	}
	if o.fleet.planners == nil && i.HeartbeatSeq >= k.HeartbeatSeq+writesToRecover {
		// The update that ended the loss was missed.
		k.lostSince = time.Time{}
	}
	if k.lostSince.IsZero() {
		k.merge(i)
	} else {
		k.mergeLost(i)
	}
	o.observeCold(k, i.ColdFor, now)
	k.entrySeenAt, k.unlisted = now, false
	if stale || (!k.lostSince.IsZero() && now.Sub(k.lostSince) > minProbeInterval) {
		o.probeIfPlanner(k, now)
	}
}

// hasOutdatedGroup reports whether an entry shows an earlier group than the known one, although the
// instance's own report may be newer than the entry. The planner regards every such entry as
// outdated and probes the instance; otherwise it would assign a member that looks free.
func (o *owner) hasOutdatedGroup(k *knownInstance, i models.UpstreamInstance, requestedAt time.Time) bool {
	if i.Group == k.Group || i.Group.Follows(k.Group) {
		return false
	}
	return o.fleet.planners != nil || requestedAt.Before(k.stateAt.Add(entryLag))
}

// merge replaces the state of the instance in this incarnation, except that it keeps the last
// loaded model: the entry of an instance without a group names none.
func (k *knownInstance) merge(i models.UpstreamInstance) {
	i.LoadedModel = cmp.Or(i.LoadedModel, k.LoadedModel)
	if i.StartedAt.IsZero() {
		i.StartedAt = k.StartedAt
	}
	k.UpstreamInstance = i
}

// mergeLost is merge for a lost instance. It keeps the write count as of the loss, which later
// writes are compared with to detect that the instance is alive.
func (k *knownInstance) mergeLost(i models.UpstreamInstance) {
	i.HeartbeatSeq = k.HeartbeatSeq
	k.merge(i)
}

// updatesFor returns the instances of these records whose current state has not been broadcast.
func (f *fleetState) updatesFor(records []platform.KeyedRecord, requestedAt time.Time) []queuedUpdate {
	if f.planners == nil {
		return nil
	}
	var out []queuedUpdate
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
			k.markBroadcast()
			out = append(out, k.toUpdate(requestedAt))
		}
	}
	return out
}

// broadcastState returns the part of the state whose changes are broadcast.
func (k *knownInstance) broadcastState() models.UpstreamInstance {
	shown := k.UpstreamInstance
	shown.HeartbeatSeq, shown.ColdFor = 0, 0
	return shown
}

// markBroadcast records that the current state is broadcast.
func (k *knownInstance) markBroadcast() {
	k.lastBroadcast, k.lastColdUntil = k.broadcastState(), k.coldUntil
}

// needsBroadcast reports whether the state differs from the last broadcast one.
func (k *knownInstance) needsBroadcast() bool {
	return !k.coldUntil.Equal(k.lastColdUntil) || !reflect.DeepEqual(k.broadcastState(), k.lastBroadcast)
}

// toUpdate returns the instance's state, as of a time, in the form sent to other daemons.
func (k *knownInstance) toUpdate(at time.Time) queuedUpdate {
	i := k.UpstreamInstance
	i.ColdFor = max(0, time.Until(k.coldUntil))
	return queuedUpdate{InstanceUpdate{
		Instance: i, Lost: !k.lostSince.IsZero(), Missing: k.missingFor(time.Now()), CorrectedThrough: k.correctedThrough,
	}, at}
}

// queuedUpdate is the state of an instance at a time. Its age is set when it is encoded, since the
// process may be stopped while it is queued.
type queuedUpdate struct {
	InstanceUpdate
	at time.Time
}

// asOf returns the update to encode at a time.
func (u queuedUpdate) asOf(now time.Time) InstanceUpdate {
	u.Age = now.Sub(u.at)
	return u.InstanceUpdate
}
