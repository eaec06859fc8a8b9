package cluster

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestMissedUpdates checks that a daemon reads the store as soon as it may have missed an update:
// after a gap in the sequence, or a change of planner. Without this, requests were sent to an
// instance over 2 s after its leaving signal.
func TestMissedUpdates(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	receive := func(term, seq int64, draining bool) {
		o.handleUpdate(updateReceived{term: term, seq: seq, receivedAt: time.Now(), writtenAfter: time.Now(), entries: &EntriesRange{}, instances: []InstanceUpdate{
			{Instance: models.UpstreamInstance{ID: "i-1", Draining: draining}},
		}})
	}
	read := func() { o.n.missedUpdates.recoverTo(o.n.missedUpdates.recorded.Load()) }
	receive(1, 1, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsFalse)
	receive(1, 2, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsFalse, qt.Commentf("what preceded the first update is missing"))
	read()
	receive(1, 3, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsTrue)
	receive(1, 5, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsFalse)
	c.Assert(o.n.entriesReadInterval(), qt.Equals, time.Duration(0))
	receive(1, 6, false)
	c.Assert(o.n.hasFreshUpdates(), qt.IsFalse, qt.Commentf("the next update does not include the missed ones"))
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

// TestUpdatesAreBatched checks that updates within some milliseconds are sent in one broadcast.
// When each of a dozen reports was broadcast by itself, all 89 other daemons missed updates ten
// times in 20 s, and read the store.
func TestUpdatesAreBatched(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.handleLease(leaseHeld{term: 5, until: time.Now().Add(time.Minute)})
	now := time.Now()
	for range 2 * linkQueueLen {
		o.queueUpdates(queuedUpdate{InstanceUpdate{Instance: models.UpstreamInstance{ID: "i-1"}}, now})
		o.flushUpdates(now)
	}
	c.Assert(o.fleet.updateSeq, qt.Equals, int64(1))
	o.flushUpdates(now.Add(time.Second))
	c.Assert(o.fleet.updateSeq, qt.Equals, int64(2))
	c.Assert(o.fleet.pendingUpdates, qt.HasLen, 0)
}

// TestGoneAfterReport checks that an instance first known from its report to the planner is removed
// when the planner reads that its entry is gone, even if the planner requested the entries just
// before the report. Otherwise it would get requests until the daemon reads all entries again.
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

// TestSnapshotAfterMissedUpdates checks that a daemon that uses a relay recovers missed updates by
// the relay's snapshot: only from a relay that has the updates itself, and without reverting
// updates received meanwhile. It reads the store only if the relay does not answer.
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
		o.handleUpdate(updateReceived{term: 1, seq: seq, snapshot: snapshot, instances: updates, entries: &EntriesRange{}, receivedAt: now, writtenAfter: now})
	}
	missed := func() bool { return o.n.missedUpdates.pending() }

	receive(4, true, instance("i-1", false, 0), instance("i-2", false, 0))
	c.Assert(missed(), qt.IsFalse)
	c.Assert(o.fleet.instances, qt.HasLen, 2)
	receive(5, false)
	c.Assert(missed(), qt.IsFalse)
	receive(8, false, instance("i-2", true, 0))
	c.Assert(missed(), qt.IsTrue)
	c.Assert(o.n.heartbeat(o.peers.topology.LoadRelay, membership.Link{UsesLoads: true}).MissedUpdates, qt.IsTrue)
	receive(6, true, instance("i-2", false, time.Second))
	c.Assert(missed(), qt.IsTrue, qt.Commentf("the relay lacks the seventh update too"))
	receive(7, true, instance("i-2", false, time.Second))
	c.Assert(missed(), qt.IsFalse)
	c.Assert(o.fleet.instances["i-2"].Draining, qt.IsTrue, qt.Commentf("the relay's state is older"))

	receive(10, false)
	c.Assert(o.n.entriesReadInterval(), qt.Not(qt.Equals), time.Duration(0))
	o.fleet.entries.currentAt = now.Add(-maxRelayWait)
	o.publishProgress()
	c.Assert(o.n.waitsForRelay(), qt.IsFalse)
	c.Assert(o.n.entriesReadInterval(), qt.Equals, time.Duration(0), qt.Commentf("the relay did not answer"))
}

// TestStaleDaemonRequestsSnapshot checks that a daemon that gets no updates any more asks its relay
// before it reads the store, and that a relay that reads the store sends it a snapshot.
func TestStaleDaemonRequestsSnapshot(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	addPeers(o, meshLimit+1, 7)
	now := time.Now()
	o.handleUpdate(updateReceived{term: 1, seq: 4, snapshot: true, entries: &EntriesRange{}, receivedAt: now, writtenAfter: now})
	c.Assert(o.n.missedUpdates.pending(), qt.IsFalse)
	o.requestIfStale(now)
	c.Assert(o.n.missedUpdates.pending(), qt.IsFalse, qt.Commentf("it gets updates"))
	o.n.setUpdatesCurrentAt(now.Add(-relayedUpdateTimeout))
	o.requestIfStale(now)
	c.Assert(o.n.missedUpdates.pending(), qt.IsFalse, qt.Commentf("it has just read the store"))
	o.fleet.entries.currentAt = now.Add(-relayedUpdateTimeout)
	o.publishProgress()
	o.requestIfStale(now)
	c.Assert(o.n.missedUpdates.pending(), qt.IsTrue)
	c.Assert(o.n.waitsForRelay(), qt.IsTrue)
	o.handleUpdate(updateReceived{term: 1, seq: 4, snapshot: true, entries: &EntriesRange{Age: relayedUpdateTimeout}, receivedAt: now, writtenAfter: now})
	c.Assert(o.n.missedUpdates.pending(), qt.IsTrue, qt.Commentf("the relay's entries are no newer"))
	o.handleUpdate(updateReceived{term: 1, seq: 4, snapshot: true, entries: &EntriesRange{}, receivedAt: now, writtenAfter: now})
	c.Assert(o.n.missedUpdates.pending(), qt.IsFalse)
	c.Assert(o.n.updatedWithin(relayedUpdateTimeout), qt.IsTrue)

	relay := newTestOwner(t)
	t.Cleanup(func() { c.Check(relay.n.links.stopAndWait(), qt.IsNil) })
	addPeers(relay, 2, 7)
	c.Assert(relay.sendSnapshot("peer-0", now), qt.IsFalse, qt.Commentf("it has no updates and has read nothing"))
	relay.handleEntries(readResult{requestedAt: now}, true)
	relay.n.missedUpdates.recoverTo(1)
	c.Assert(relay.sendSnapshot("peer-0", now), qt.IsTrue)
}

// TestRelaySendsSnapshots checks that a relay sends one snapshot for each request, but only while
// it has missed no updates itself.
func TestRelaySendsSnapshots(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	addPeers(o, 2, 7)
	heartbeat := Heartbeat{From: "peer-0", Addr: "127.0.0.1:9", MissedUpdates: true, UsesLoads: true}
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
	c.Assert(sentFrames(), qt.Equals, 0, qt.Commentf("it has had no update of a planner"))
	for seq := range int64(2) {
		o.handleUpdate(updateReceived{term: 1, seq: seq + 1, entries: &EntriesRange{}, receivedAt: time.Now(), writtenAfter: time.Now()})
	}
	o.answerSnapshotRequests(time.Now())
	c.Assert(sentFrames(), qt.Equals, 0, qt.Commentf("what preceded the first update is missing"))
	o.n.missedUpdates.recoverTo(o.n.missedUpdates.recorded.Load())
	o.answerSnapshotRequests(time.Now())
	o.answerSnapshotRequests(time.Now())
	c.Assert(sentFrames(), qt.Equals, 1)
	o.handleHeartbeat(heartbeatReceived{heartbeat: heartbeat, receivedAt: time.Now()})
	o.answerSnapshotRequests(time.Now())
	c.Assert(sentFrames(), qt.Equals, 1, qt.Commentf("it requests again"))
}

// TestAwaitRoster checks that a starting daemon reads the store as soon as enough of the roster is
// known, or a daemon has sent a heartbeat, and not before: 986 daemons that read everything while
// the roster was still being read stopped the store for good.
func TestAwaitRoster(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	limited, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	o.handleRoster(nil)
	c.Assert(o.n.awaitRoster(limited), qt.ErrorIs, context.DeadlineExceeded, qt.Commentf("others may be about to register"))
	o.handle(rosterSettled{})
	c.Assert(o.n.awaitRoster(t.Context()), qt.IsNil)

	found := newTestOwner(t)
	t.Cleanup(func() { c.Check(found.n.links.stopAndWait(), qt.IsNil) })
	addPeers(found, 1, 7)
	c.Assert(found.n.awaitRoster(t.Context()), qt.IsNil)
}

// TestPickRelay checks that a daemon asks its load relay for a snapshot, another relay if the
// load relay's entries are stale, and none if all are. Then it reads the store at once, otherwise
// when its own entries are too old to wait.
func TestPickRelay(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	addPeers(o, meshLimit+1, 7)
	c.Assert(o.n.usesRelay(), qt.IsTrue)
	first := o.peers.topology.LoadRelay
	var second models.DaemonID
	for id, link := range o.peers.topology.Links {
		if link.UsesRelay && id != first {
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
	c.Assert(o.n.waitsForRelay(), qt.IsFalse, qt.Commentf("its entries are too old to wait"))
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
	c.Assert(o.n.waitsForRelay(), qt.IsFalse, qt.Commentf("no relay has current entries"))
	c.Assert(o.n.entriesReadInterval(), qt.Equals, time.Duration(0))
}
