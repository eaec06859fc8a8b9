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
func TestMissedNews(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	news := func(term, feed int64, draining bool) {
		o.handleNews(newsSeen{term: term, feed: feed, at: time.Now(), entries: &EntriesTold{}, instances: []InstanceNews{
			{Instance: models.UpstreamInstance{ID: "i-1", Draining: draining}},
		}})
	}
	read := func() { o.n.missed.makeGood(o.n.missed.noted.Load()) }
	news(1, 1, false)
	c.Assert(o.n.fedLately(), qt.IsFalse)
	news(1, 2, false)
	c.Assert(o.n.fedLately(), qt.IsFalse, qt.Commentf("what was told before the first is missing"))
	read()
	news(1, 3, false)
	c.Assert(o.n.fedLately(), qt.IsTrue)
	news(1, 5, false)
	c.Assert(o.n.fedLately(), qt.IsFalse)
	c.Assert(o.n.entriesEvery(), qt.Equals, time.Duration(0))
	news(1, 6, false)
	c.Assert(o.n.fedLately(), qt.IsFalse, qt.Commentf("the next news don't bring what was missed"))
	c.Assert(o.n.entriesEvery(), qt.Equals, time.Duration(0))
	read()
	news(1, 7, false)
	c.Assert(o.n.fedLately(), qt.IsTrue)
	news(2, 1, true)
	c.Assert(o.n.fedLately(), qt.IsFalse)
	c.Assert(o.fleet.instances["i-1"].Draining, qt.IsTrue)
	news(1, 8, false)
	c.Assert(o.fleet.instances["i-1"].Draining, qt.IsTrue)
	c.Assert(o.n.fedLately(), qt.IsFalse)
}

// TestNewsInOne checks that what the planner learns within some ms is told at
// once: all 89 others missed news ten times in 20 s, as each of a dozen reports was
// told by itself, and read the store.
func TestNewsInOne(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.handleLease(leaseHeld{term: 5, until: time.Now().Add(time.Minute)})
	now := time.Now()
	for range 2 * newsLen {
		o.spread(InstanceNews{Instance: models.UpstreamInstance{ID: "i-1"}})
		o.flushNews(now)
	}
	c.Assert(o.fleet.feed, qt.Equals, int64(1))
	o.flushNews(now.Add(time.Second))
	c.Assert(o.fleet.feed, qt.Equals, int64(2))
	c.Assert(o.fleet.news, qt.HasLen, 0)
}

// TestGoneAfterReport checks that an instance of which a daemon first hears by
// what it told the planner is dropped when the planner reads that its entry is
// gone, also if it asked the store just before it asked the instance: kept, it
// would get requests until the daemon reads all entries again.
func TestGoneAfterReport(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	news := InstanceNews{Instance: models.UpstreamInstance{ID: "i-1"}}
	o.noteNews(news, now, now)
	c.Assert(o.fleet.instances["i-1"], qt.IsNotNil)
	news.Gone = true
	o.noteAll(newsSeen{instances: []InstanceNews{news}, at: now.Add(-10 * time.Millisecond)}, now)
	c.Assert(o.fleet.instances["i-1"], qt.IsNil)
}

// TestMissedIsTold checks that a daemon which leaves reading the store to relays
// gets what it missed from its relay: as soon as that knows all itself, without
// what the relay does not know either, and without going back behind what it heard
// meanwhile. It reads the store only if the relay does not answer.
func TestMissedIsTold(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	crowd(o, few+1, 7)
	c.Assert(o.n.relies(), qt.IsTrue)
	c.Assert(o.n.awaitsRelay(), qt.IsTrue, qt.Commentf("it has just started"))
	now := time.Now()
	instance := func(id models.InstanceID, draining bool, age time.Duration) InstanceNews {
		return InstanceNews{Instance: models.UpstreamInstance{ID: id, Draining: draining}, Age: age}
	}
	tell := func(feed int64, whole bool, news ...InstanceNews) {
		o.handleNews(newsSeen{term: 1, feed: feed, whole: whole, instances: news, entries: &EntriesTold{}, at: now})
	}
	missed := func() bool { return o.n.missed.pending() }

	tell(4, true, instance("i-1", false, 0), instance("i-2", false, 0))
	c.Assert(missed(), qt.IsFalse)
	c.Assert(o.fleet.instances, qt.HasLen, 2)
	tell(5, false)
	c.Assert(missed(), qt.IsFalse)
	tell(8, false, instance("i-2", true, 0))
	c.Assert(missed(), qt.IsTrue)
	c.Assert(o.n.heartbeat(o.peers.arranged.LoadRelay, membership.Link{UsesLoads: true}).Missed, qt.IsTrue)
	tell(6, true, instance("i-2", false, time.Second))
	c.Assert(missed(), qt.IsTrue, qt.Commentf("the relay does not know the seventh either"))
	tell(7, true, instance("i-2", false, time.Second))
	c.Assert(missed(), qt.IsFalse)
	c.Assert(o.fleet.instances["i-2"].Draining, qt.IsTrue, qt.Commentf("the relay told something older"))

	tell(10, false)
	c.Assert(o.n.entriesEvery(), qt.Not(qt.Equals), time.Duration(0))
	o.fleet.entries.at = now.Add(-relayBound)
	o.showEntriesAge()
	c.Assert(o.n.awaitsRelay(), qt.IsFalse)
	c.Assert(o.n.entriesEvery(), qt.Equals, time.Duration(0), qt.Commentf("the relay did not answer"))
}

// TestUnfedAsksRelay checks that a daemon which hears of no planner any more asks its
// relay before it reads the store, and that a relay which reads the store answers.
func TestUnfedAsksRelay(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	crowd(o, few+1, 7)
	now := time.Now()
	o.handleNews(newsSeen{term: 1, feed: 4, whole: true, entries: &EntriesTold{}, at: now})
	c.Assert(o.n.missed.pending(), qt.IsFalse)
	o.askUnfed(now)
	c.Assert(o.n.missed.pending(), qt.IsFalse, qt.Commentf("it is fed"))
	o.n.fedByPlanner.Store(now.Add(-feedPatience).UnixNano())
	o.askUnfed(now)
	c.Assert(o.n.missed.pending(), qt.IsFalse, qt.Commentf("it has read the store just now"))
	o.fleet.entries.at = now.Add(-feedPatience)
	o.showEntriesAge()
	o.askUnfed(now)
	c.Assert(o.n.missed.pending(), qt.IsTrue)
	c.Assert(o.n.awaitsRelay(), qt.IsTrue)
	o.handleNews(newsSeen{term: 1, feed: 4, whole: true, entries: &EntriesTold{Age: feedPatience}, at: now})
	c.Assert(o.n.missed.pending(), qt.IsTrue, qt.Commentf("the relay knows nothing newer either"))
	o.handleNews(newsSeen{term: 1, feed: 4, whole: true, entries: &EntriesTold{}, at: now})
	c.Assert(o.n.missed.pending(), qt.IsFalse)
	c.Assert(o.n.fedWithin(feedPatience), qt.IsTrue)

	relay := newTestOwner(t)
	t.Cleanup(func() { c.Check(relay.n.links.wait(), qt.IsNil) })
	crowd(relay, 2, 7)
	c.Assert(relay.tellWhole("peer-0", now), qt.IsFalse, qt.Commentf("it knows of no planner and has read nothing"))
	relay.handleInstances(reading{asked: now}, true)
	relay.n.missed.makeGood(1)
	c.Assert(relay.tellWhole("peer-0", now), qt.IsTrue)
}

// TestRelayAnswers checks that a relay tells those that missed news all it knows,
// each once, but only as long as it misses nothing itself.
func TestRelayAnswers(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	crowd(o, 2, 7)
	beat := Heartbeat{From: "peer-0", Addr: "127.0.0.1:9", Missed: true, RelaysFirst: true}
	o.handleHeartbeat(heartbeatSeen{beat: beat, at: time.Now()})
	told := func() int {
		end := o.n.links.known["peer-0"]
		n := len(end.frames)
		for len(end.frames) > 0 {
			<-end.frames
		}
		return n
	}
	o.answerMissed(time.Now())
	c.Assert(told(), qt.Equals, 0, qt.Commentf("it has heard nothing of a planner"))
	for feed := range int64(2) {
		o.handleNews(newsSeen{term: 1, feed: feed + 1, entries: &EntriesTold{}, at: time.Now()})
	}
	o.answerMissed(time.Now())
	c.Assert(told(), qt.Equals, 0, qt.Commentf("what was told before the first is missing"))
	o.n.missed.makeGood(o.n.missed.noted.Load())
	o.answerMissed(time.Now())
	o.answerMissed(time.Now())
	c.Assert(told(), qt.Equals, 1)
	o.handleHeartbeat(heartbeatSeen{beat: beat, at: time.Now()})
	o.answerMissed(time.Now())
	c.Assert(told(), qt.Equals, 1, qt.Commentf("it asks again"))
}

// TestPartIsAwaited checks that a daemon which starts reads the store as soon as it
// knows its part among the daemons, and soon after if it does not learn that. Looked
// for each 125 ms it took 140 ms from its start to its configuration, 20 ms now.
func TestPartIsAwaited(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	began := time.Now()
	c.Assert(o.n.awaitPart(t.Context()), qt.IsNil)
	c.Assert(time.Since(began) >= startPatience, qt.IsTrue)
	o.handleRoster(nil)
	began = time.Now()
	c.Assert(o.n.awaitPart(t.Context()), qt.IsNil)
	c.Assert(time.Since(began) < startPatience/2, qt.IsTrue)
}

// TestWhichRelayIsAsked checks that a daemon asks the relay whose word it uses, another
// one if that does not know itself what was written of late, and none if neither does: it
// reads the store at once then, and otherwise once what it knows is too old to wait.
func TestWhichRelayIsAsked(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	crowd(o, few+1, 7)
	c.Assert(o.n.relies(), qt.IsTrue)
	first := o.peers.arranged.LoadRelay
	var second models.DaemonID
	for id, link := range o.peers.arranged.Links {
		if link.UsesRelay && id != first {
			second = id
		}
	}
	c.Assert(second, qt.Not(qt.Equals), models.DaemonID(""))
	now := time.Now()
	behind := func(id models.DaemonID, age time.Duration) {
		p := o.peers.seen[id]
		p.beat.EntriesAge, p.at = age, now
		o.peers.seen[id] = p
	}
	known := func(age time.Duration) {
		o.fleet.entries.at = now.Add(-age)
		o.showEntriesAge()
	}
	asks := func(id models.DaemonID) bool { return o.n.heartbeat(id, o.peers.arranged.Links[id]).Missed }

	known(time.Second)
	o.noteMissed(now)
	c.Assert(asks(first), qt.IsTrue)
	c.Assert(asks(second), qt.IsFalse)
	c.Assert(o.n.awaitsRelay(), qt.IsTrue)
	c.Assert(o.n.entriesEvery(), qt.Not(qt.Equals), time.Duration(0))
	known(relayBound)
	c.Assert(o.n.awaitsRelay(), qt.IsFalse, qt.Commentf("what it knows is too old to wait"))
	c.Assert(o.n.entriesEvery(), qt.Equals, time.Duration(0))

	known(time.Second)
	behind(first, 2*feedPatience)
	o.askUnfed(now)
	c.Assert(asks(first), qt.IsFalse)
	c.Assert(asks(second), qt.IsTrue)
	c.Assert(o.n.awaitsRelay(), qt.IsTrue)

	behind(second, 2*feedPatience)
	o.askUnfed(now)
	c.Assert(asks(second), qt.IsFalse)
	c.Assert(o.n.awaitsRelay(), qt.IsFalse, qt.Commentf("no relay could tell"))
	c.Assert(o.n.entriesEvery(), qt.Equals, time.Duration(0))
}
