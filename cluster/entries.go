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
	instancesEvery     = 500 * time.Millisecond
	sparseEntriesEvery = 1500 * time.Millisecond
	planEntriesEvery   = 250 * time.Millisecond
	fedEntriesEvery    = 20 * time.Second
	// aliveWrites is after how many writes of its entry an instance that was found
	// lost counts as alive again at a daemon that does not ask for itself: the
	// first may have been on its way when it was lost.
	aliveWrites = 2
)

// followInstances reads the entries of instances from the store.
func (n *Node) followInstances(ctx context.Context) error {
	if err := n.awaitPart(ctx); err != nil {
		return err
	}
	f := follower{n: n, topic: platform.InstancesTopic, every: n.entriesEvery}
	f.due = func() bool { return !n.awaitsRelay() }
	// What is missed while a reading is under way needs another one.
	var noted int64
	f.begin = func() { noted = n.missed.noted.Load() }
	f.done = func() { n.missed.makeGood(noted) }
	f.known = n.knownEnd
	f.wait = func() time.Duration { return 0 }
	f.whole = func(r reading) message { return instancesRead{r} }
	f.added = func(r reading) message { return instancesChanged{r} }
	return f.run(ctx)
}

// entriesEvery is the pause between two readings of entries. Missed news are
// read at once: those that come next do not bring them.
func (n *Node) entriesEvery() time.Duration {
	switch {
	case n.missed.pending() && !n.awaitsRelay():
		return 0
	case n.planning.Load():
		return planEntriesEvery
	case n.fedLately(), n.relies() && n.fedWithin(feedPatience):
		return fedEntriesEvery
	case n.relies():
		return sparseEntriesEvery
	default:
		return instancesEvery
	}
}

const (
	// relayBound is how old what a daemon knows may grow until it reads the store for
	// itself, though a relay was asked: feedPatience, and two of the relay's heartbeats.
	// With the time of a reading it stays within that in which a leaving instance must get
	// nothing new. 300 daemons that read 0.6 s after a planner had changed, though all of
	// them knew what was 0.6 s old, kept the store from answering for 6 s.
	relayBound = feedPatience + 600*time.Millisecond
	// startBound is the same at the start: it takes 0.5 s until one plans and 0.3 s until
	// the relays hear from it.
	startBound = time.Second
	// startPatience is how long a daemon that starts waits to learn its part: the
	// roster is read within some ms, and a store that is away tells nothing else
	// either.
	startPatience = 300 * time.Millisecond
)

// awaitPart waits until the node knows its part among the daemons, but not for long.
func (n *Node) awaitPart(ctx context.Context) error {
	late := time.NewTimer(startPatience)
	defer late.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.partKnown:
	case <-late.C:
	}
	return nil
}

// awaitsRelay reports whether what this daemon does not know of instances is to
// come from its relay rather than from the store. 295 daemons that all read 766
// entries at their start made 900 calls and moved 0.1 GB.
func (n *Node) awaitsRelay() bool {
	if !n.relies() {
		return false
	}
	if !n.missed.pending() {
		return n.fedWithin(feedPatience)
	}
	bound := relayBound
	if n.entriesAt.Load() == 0 {
		bound = startBound
	}
	return *n.asked.Load() != "" && n.entriesAge() < bound
}

// handleInstances takes in entries read from the store: all of them if whole,
// else those that were written since the last reading.
func (o *owner) handleInstances(read reading, whole bool) {
	o.beginEra(read.end.Era, time.Now())
	if read.end.Era < o.fleet.entries.end.Era {
		// The store has forgotten since what it answered then.
		return
	}
	listed := map[models.InstanceID]bool{}
	for _, r := range read.records {
		listed[models.InstanceID(r.Key)] = len(r.Value) > 0
		o.handleRecord(r, read.asked)
	}
	switch before := o.fleet.entries.end; {
	case !whole || read.end.Compare(before) < 0:
	case read.end.Era > before.Era:
		o.markMissing(listed, time.Now())
	default:
		o.dropUnlisted(listed, read.asked)
	}
	complete := read.asked
	if read.more {
		// What stands behind the part that was read is not known.
		complete = o.fleet.entries.at
	}
	o.fleet.entries.reach(read.end, complete)
	if whole {
		// What came and went between is in no whole reading, and can't be told.
		o.fleet.toldTo = o.fleet.entries.end
	}
	o.showEntriesAge()
	o.noteKnownAnew(time.Now())
	// Even without news the others learn that this one still reads.
	o.spread(o.fleet.changedEntries(read.records, read.asked)...)
	if o.fleet.planner != nil && len(o.fleet.news) == 0 {
		o.sendFeed()
	}
	o.fleetStale = o.fleetStale || len(read.records) > 0
}

// handleRecord takes in one record, unless what it tells is known already, by others'
// word, with all that followed: a reading that was overtaken would bring back an instance
// that is gone.
func (o *owner) handleRecord(r platform.KeyedRecord, asked time.Time) {
	if r.Position.Compare(o.fleet.entries.end) < 0 {
		return
	}
	id := models.InstanceID(r.Key)
	if len(r.Value) == 0 {
		delete(o.fleet.unreadable, id)
		o.dropInstance(id)
		return
	}
	i, err := platform.DecodeInstance(r.Key, r.Value)
	if err != nil {
		// Another writer's: it names no instance, also where one was named before.
		o.noteUnreadable(id, r.Value, err)
		o.dropInstance(id)
		return
	}
	delete(o.fleet.unreadable, id)
	o.noteEntry(i, asked)
	o.fleet.noteListed(id, models.Position{Era: r.Position.Era, Offset: r.Position.Offset + 1}, time.Time{})
}

// dropUnlisted drops the instances that a whole reading does not list, and tells the
// others: no record does.
func (o *owner) dropUnlisted(listed map[models.InstanceID]bool, asked time.Time) {
	for id := range o.fleet.instances {
		if !listed[id] {
			o.dropInstance(id)
			o.spread(o.fleet.goneNews(id, asked))
		}
	}
	maps.DeleteFunc(o.fleet.unreadable, func(id models.InstanceID, _ uint64) bool { return !listed[id] })
}

// goneNews tells that an instance's entry was gone at a time, and what its last one was.
func (f *fleetState) goneNews(id models.InstanceID, at time.Time) InstanceNews {
	last := models.UpstreamInstance{ID: id}
	if e, ended := f.ended[id]; ended {
		last.StartedAt, last.HeartbeatSeq = e.born, e.heartbeat
	}
	return InstanceNews{Instance: last, Age: time.Since(at), Gone: true}
}

// noteUnreadable tells of an entry that can't be read, once for each change of it.
func (o *owner) noteUnreadable(id models.InstanceID, value []byte, err error) {
	sum := maphash.Bytes(entrySeed, value)
	if before, known := o.fleet.unreadable[id]; known && before == sum {
		return
	}
	o.fleet.unreadable[id] = sum
	o.n.stats.foreign.Inc()
	o.n.log.Error().Err(err).Msg("instance-unreadable")
}

// entrySeed is that of the sums by which changes of unreadable entries are told.
var entrySeed = maphash.MakeSeed()

// noteEntry takes in one entry, as it stood in the store when it was asked for.
func (o *owner) noteEntry(i models.UpstreamInstance, asked time.Time) {
	now := time.Now()
	k, known := o.fleet.instances[i.ID]
	if !known && o.fleet.hasEnded(i) {
		return
	}
	if !known {
		k = &knownInstance{}
		o.fleet.instances[i.ID], o.fleet.listed = k, true
	}
	if !o.noteLife(k, i.StartedAt, asked) {
		o.askAsPlanner(k, now)
		return
	}
	if known && (k.Draining != i.Draining || k.Group != i.Group) {
		o.n.log.Info().Str("instance", string(i.ID)).Str("group", string(i.Group.Key.Name)).Str("state", string(i.Group.State)).
			Bool("draining", i.Draining).Msg("instance-changed")
	}
	// Who leaves does not come back in this life: a reading that was overtaken by the
	// word of it would have it get requests again.
	i.Draining = i.Draining || k.Draining
	o.fleet.listed = o.fleet.listed || i.Draining != k.Draining
	stale := known && o.goesBack(k, i, asked)
	if stale {
		i.Group, i.LoadedModel, i.StagedModels = k.Group, k.LoadedModel, k.StagedModels
	}
	if o.fleet.planner == nil && i.HeartbeatSeq >= k.HeartbeatSeq+aliveWrites {
		// The word that it is back was missed.
		k.lost = time.Time{}
	}
	if k.lost.IsZero() {
		k.takeIn(i)
	} else {
		k.takeInLost(i)
	}
	k.written, k.unlisted = now, false
	if stale || (!k.lost.IsZero() && now.Sub(k.lost) > askAgain) {
		o.askAsPlanner(k, now)
	}
}

// goesBack reports whether an entry tells of an earlier group than is known,
// and what the instance itself told is newer than the entry may be. The one
// that plans takes any such entry for old and asks: it would use a member that
// seems to be free.
func (o *owner) goesBack(k *knownInstance, i models.UpstreamInstance, asked time.Time) bool {
	if i.Group == k.Group || i.Group.Follows(k.Group) {
		return false
	}
	return o.fleet.planner != nil || asked.Before(k.told.Add(entryLag))
}

// takeIn replaces what is known of the instance in this life, but for the model that
// it ran last: an instance in no group tells none.
func (k *knownInstance) takeIn(i models.UpstreamInstance) {
	i.LoadedModel = cmp.Or(i.LoadedModel, k.LoadedModel)
	if i.StartedAt.IsZero() {
		i.StartedAt = k.StartedAt
	}
	k.UpstreamInstance = i
}

// takeInLost is takeIn for an instance that was found lost. It keeps the count
// of writes at that time, against which later ones tell that it lives.
func (k *knownInstance) takeInLost(i models.UpstreamInstance) {
	i.HeartbeatSeq = k.HeartbeatSeq
	k.takeIn(i)
}

// changedEntries are the instances of these records of which the others have
// not been told as they are now.
func (f *fleetState) changedEntries(records []platform.KeyedRecord, asked time.Time) []InstanceNews {
	if f.planner == nil {
		return nil
	}
	var out []InstanceNews
	told := map[models.InstanceID]bool{}
	for _, r := range records {
		id := models.InstanceID(r.Key)
		if told[id] {
			continue
		}
		told[id] = true
		k, known := f.instances[id]
		if !known || k.unlisted {
			out = append(out, f.goneNews(id, asked))
			continue
		}
		if k.differs() {
			k.spread = k.shown()
			out = append(out, k.news(asked))
		}
	}
	return out
}

// shown is what the other daemons are told of the instance.
func (k *knownInstance) shown() models.UpstreamInstance {
	shown := k.UpstreamInstance
	shown.HeartbeatSeq = 0
	return shown
}

// differs reports whether the others were not told of the instance as it is now.
func (k *knownInstance) differs() bool { return !reflect.DeepEqual(k.shown(), k.spread) }

// news is what the other daemons are told of the instance, as it was at a time.
func (k *knownInstance) news(at time.Time) InstanceNews {
	return InstanceNews{
		Instance: k.UpstreamInstance, Age: time.Since(at), Lost: !k.lost.IsZero(), Missing: k.missingFor(time.Now()),
	}
}
