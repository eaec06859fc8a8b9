package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestMissedNews checks that a daemon that hears from the planner reads the
// store for itself as soon as it may have missed something: news that were
// dropped, or a new planner. Requests were sent to an instance over 2 s after it
// said that it leaves.
func TestMissedUpdates(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	receive := func(term, seq int64, draining bool) {
		o.handleUpdate(updateReceived{term: term, seq: seq, receivedAt: time.Now(), entries: &EntriesRange{}, instances: []InstanceUpdate{
			{Instance: models.UpstreamInstance{ID: "i-1", Draining: draining}},
		}})
	}
	read := func() { o.n.missedUpdates.recoverTo(o.n.missedUpdates.recorded.Load()) }
	receive(1, 1, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsFalse)
	receive(1, 2, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsFalse, qt.Commentf("what was told before the first is missing"))
	read()
	receive(1, 3, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsTrue)
	receive(1, 5, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsFalse)
	c.Assert(o.n.entriesReadInterval(), qt.Equals, time.Duration(0))
	receive(1, 6, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsFalse, qt.Commentf("the next news don't bring what was missed"))
	c.Assert(o.n.entriesReadInterval(), qt.Equals, time.Duration(0))
	read()
	receive(1, 7, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsTrue)
	receive(2, 1, true)
	c.Assert(o.n.hasFreshUpdates(), qt.IsFalse)
	c.Assert(o.fleet.instances["i-1"].Draining, qt.IsTrue)
	receive(1, 8, false)
	c.Assert(o.fleet.instances["i-1"].Draining, qt.IsTrue)
	c.Assert(o.n.hasFreshUpdates(), qt.IsFalse)
}

// TestNewsInOne checks that what the planner learns within some ms is told at
// once: all 89 others missed news ten times in 20 s, as each of a dozen reports was
// told by itself, and read the store.
func TestUpdatesAreBatched(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.handleLease(leaseHeld{term: 5, until: time.Now().Add(time.Minute)})
	now := time.Now()
	for range 2 * linkQueueLen {
		o.queueUpdates(InstanceUpdate{Instance: models.UpstreamInstance{ID: "i-1"}})
		o.flushUpdates(now)
	}
	c.Assert(o.fleet.updateSeq, qt.Equals, int64(1))
	o.flushUpdates(now.Add(time.Second))
	c.Assert(o.fleet.updateSeq, qt.Equals, int64(2))
	c.Assert(o.fleet.pendingUpdates, qt.HasLen, 0)
}

// TestGoneAfterReport checks that an instance of which a daemon first hears by
// what it told the planner is dropped when the planner reads that its entry is
// gone, also if it asked the store just before it asked the instance: kept, it
// would get requests until the daemon reads all entries again.
func TestGoneAfterReport(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	update := InstanceUpdate{Instance: models.UpstreamInstance{ID: "i-1"}}
	o.applyInstance(update, now, now)
	c.Assert(o.fleet.instances["i-1"], qt.IsNotNil)
	update.Gone = true
	o.applyInstances(updateReceived{instances: []InstanceUpdate{update}, receivedAt: now.Add(-10 * time.Millisecond)}, now)
	c.Assert(o.fleet.instances["i-1"], qt.IsNil)
}

// TestMissedIsTold checks that a daemon which leaves reading the store to relays
// gets what it missed from its relay: as soon as that knows all itself, without
// what the relay does not know either, and without going back behind what it heard
// meanwhile. It reads the store only if the relay does not answer.
func TestSnapshotAfterMissedUpdates(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	addPeers(o, meshLimit+1, 7)
	c.Assert(o.n.usesRelay(), qt.IsTrue)
	c.Assert(o.n.waitsForRelay(), qt.IsTrue, qt.Commentf("it has just started"))
	now := time.Now()
	instance := func(id models.InstanceID, draining bool, age time.Duration) InstanceUpdate {
		return InstanceUpdate{Instance: models.UpstreamInstance{ID: id, Draining: draining}, Age: age}
	}
	receive := func(seq int64, snapshot bool, updates ...InstanceUpdate) {
		o.handleUpdate(updateReceived{term: 1, seq: seq, snapshot: snapshot, instances: updates, entries: &EntriesRange{}, receivedAt: now})
	}
	missed := func() bool { return o.n.missedUpdates.pending() }

	receive(4, true, instance("i-1", false, 0), instance("i-2", false, 0))
	c.Assert(missed(), qt.IsFalse)
	c.Assert(o.fleet.instances, qt.HasLen, 2)
	receive(5, false)
	c.Assert(missed(), qt.IsFalse)
	receive(8, false, instance("i-2", true, 0))
	c.Assert(missed(), qt.IsTrue)
	c.Assert(o.n.heartbeat(o.peers.topology.First, membership.Link{RelaysFirst: true}).MissedUpdates, qt.IsTrue)
	receive(6, true, instance("i-2", false, time.Second))
	c.Assert(missed(), qt.IsTrue, qt.Commentf("the relay does not know the seventh either"))
	receive(7, true, instance("i-2", false, time.Second))
	c.Assert(missed(), qt.IsFalse)
	c.Assert(o.fleet.instances["i-2"].Draining, qt.IsTrue, qt.Commentf("the relay told something older"))

	receive(10, false)
	c.Assert(o.n.entriesReadInterval(), qt.Not(qt.Equals), time.Duration(0))
	o.fleet.entries.currentAt = now.Add(-maxRelayWait)
	o.publishProgress()
	c.Assert(o.n.waitsForRelay(), qt.IsFalse)
	c.Assert(o.n.entriesReadInterval(), qt.Equals, time.Duration(0), qt.Commentf("the relay did not answer"))
}

// TestUnfedAsksRelay checks that a daemon which hears of no planner any more asks its
// relay before it reads the store, and that a relay which reads the store answers.
func TestStaleDaemonRequestsSnapshot(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	addPeers(o, meshLimit+1, 7)
	now := time.Now()
	o.handleUpdate(updateReceived{term: 1, seq: 4, snapshot: true, entries: &EntriesRange{}, receivedAt: now})
	c.Assert(o.n.missedUpdates.pending(), qt.IsFalse)
	o.requestIfStale(now)
	c.Assert(o.n.missedUpdates.pending(), qt.IsFalse, qt.Commentf("it is fed"))
	o.n.updatesCurrentAt.Store(now.Add(-relayedUpdateTimeout).UnixNano())
	o.requestIfStale(now)
	c.Assert(o.n.missedUpdates.pending(), qt.IsFalse, qt.Commentf("it has read the store just now"))
	o.fleet.entries.currentAt = now.Add(-relayedUpdateTimeout)
	o.publishProgress()
	o.requestIfStale(now)
	c.Assert(o.n.missedUpdates.pending(), qt.IsTrue)
	c.Assert(o.n.waitsForRelay(), qt.IsTrue)
	o.handleUpdate(updateReceived{term: 1, seq: 4, snapshot: true, entries: &EntriesRange{Age: relayedUpdateTimeout}, receivedAt: now})
	c.Assert(o.n.missedUpdates.pending(), qt.IsTrue, qt.Commentf("the relay knows nothing newer either"))
	o.handleUpdate(updateReceived{term: 1, seq: 4, snapshot: true, entries: &EntriesRange{}, receivedAt: now})
	c.Assert(o.n.missedUpdates.pending(), qt.IsFalse)
	c.Assert(o.n.updatedWithin(relayedUpdateTimeout), qt.IsTrue)

	relay := newTestOwner(t)
	t.Cleanup(func() { c.Check(relay.n.links.stopAndWait(), qt.IsNil) })
	addPeers(relay, 2, 7)
	c.Assert(relay.sendSnapshot("peer-0", now), qt.IsFalse, qt.Commentf("it knows of no planner and has read nothing"))
	relay.handleEntries(readResult{requestedAt: now}, true)
	relay.n.missedUpdates.recoverTo(1)
	c.Assert(relay.sendSnapshot("peer-0", now), qt.IsTrue)
}

// TestRelayAnswers checks that a relay tells those that missed news all it knows,
// each once, but only as long as it misses nothing itself.
func TestRelaySendsSnapshots(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	addPeers(o, 2, 7)
	heartbeat := Heartbeat{From: "peer-0", Addr: "127.0.0.1:9", MissedUpdates: true, UsesPrimaryRelay: true}
	o.handleHeartbeat(heartbeatReceived{heartbeat: heartbeat, receivedAt: time.Now()})
	sentFrames := func() int {
		end := o.n.links.peers["peer-0"]
		n := len(end.frames)
		for len(end.frames) > 0 {
			<-end.frames
		}
		return n
	}
	o.answerSnapshotRequests(time.Now())
	c.Assert(sentFrames(), qt.Equals, 0, qt.Commentf("it has heard nothing of a planner"))
	for seq := range int64(2) {
		o.handleUpdate(updateReceived{term: 1, seq: seq + 1, entries: &EntriesRange{}, receivedAt: time.Now()})
	}
	o.answerSnapshotRequests(time.Now())
	c.Assert(sentFrames(), qt.Equals, 0, qt.Commentf("what was told before the first is missing"))
	o.n.missedUpdates.recoverTo(o.n.missedUpdates.recorded.Load())
	o.answerSnapshotRequests(time.Now())
	o.answerSnapshotRequests(time.Now())
	c.Assert(sentFrames(), qt.Equals, 1)
	o.handleHeartbeat(heartbeatReceived{heartbeat: heartbeat, receivedAt: time.Now()})
	o.answerSnapshotRequests(time.Now())
	c.Assert(sentFrames(), qt.Equals, 1, qt.Commentf("it asks again"))
}

// TestPartIsAwaited checks that a daemon which starts reads the store as soon as it
// knows its part among the daemons, and soon after if it does not learn that. Looked
// for each 125 ms it took 140 ms from its start to its configuration, 20 ms now.
func TestAwaitRoster(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	began := time.Now()
	c.Assert(o.n.awaitRoster(t.Context()), qt.IsNil)
	c.Assert(time.Since(began) >= rosterTimeout, qt.IsTrue)
	o.handleRoster(nil)
	began = time.Now()
	c.Assert(o.n.awaitRoster(t.Context()), qt.IsNil)
	c.Assert(time.Since(began) < rosterTimeout/2, qt.IsTrue)
}

// TestWhichRelayIsAsked checks that a daemon asks the relay whose word it uses, another
// one if that does not know itself what was written of late, and none if neither does: it
// reads the store at once then, and otherwise once what it knows is too old to wait.
func TestPickRelay(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	addPeers(o, meshLimit+1, 7)
	c.Assert(o.n.usesRelay(), qt.IsTrue)
	first := o.peers.topology.First
	var second models.DaemonID
	for id, link := range o.peers.topology.Links {
		if link.Relies && id != first {
			second = id
		}
	}
	c.Assert(second, qt.Not(qt.Equals), models.DaemonID(""))
	now := time.Now()
	setRelayAge := func(id models.DaemonID, age time.Duration) {
		p := o.peers.seen[id]
		p.heartbeat.EntriesAge, p.receivedAt = age, now
		o.peers.seen[id] = p
	}
	setOwnAge := func(age time.Duration) {
		o.fleet.entries.currentAt = now.Add(-age)
		o.publishProgress()
	}
	requestsFrom := func(id models.DaemonID) bool { return o.n.heartbeat(id, o.peers.topology.Links[id]).MissedUpdates }

	setOwnAge(time.Second)
	o.requestMissed(now)
	c.Assert(requestsFrom(first), qt.IsTrue)
	c.Assert(requestsFrom(second), qt.IsFalse)
	c.Assert(o.n.waitsForRelay(), qt.IsTrue)
	c.Assert(o.n.entriesReadInterval(), qt.Not(qt.Equals), time.Duration(0))
	setOwnAge(maxRelayWait)
	c.Assert(o.n.waitsForRelay(), qt.IsFalse, qt.Commentf("what it knows is too old to wait"))
	c.Assert(o.n.entriesReadInterval(), qt.Equals, time.Duration(0))

	setOwnAge(time.Second)
	setRelayAge(first, 2*relayedUpdateTimeout)
	o.requestIfStale(now)
	c.Assert(requestsFrom(first), qt.IsFalse)
	c.Assert(requestsFrom(second), qt.IsTrue)
	c.Assert(o.n.waitsForRelay(), qt.IsTrue)

	setRelayAge(second, 2*relayedUpdateTimeout)
	o.requestIfStale(now)
	c.Assert(requestsFrom(second), qt.IsFalse)
	c.Assert(o.n.waitsForRelay(), qt.IsFalse, qt.Commentf("no relay could tell"))
	c.Assert(o.n.entriesReadInterval(), qt.Equals, time.Duration(0))
}
