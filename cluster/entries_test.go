package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// TestLastModelIsRemembered checks that an instance which has left its group
// still counts as one that ran that group's model, although it no longer tells
// so: it joins the next one of that model in a fifth of a second. Without this
// spares were warmed again and again, and the survivors of a broken group taken
// for slower than they are.
func TestLastModelIsRemembered(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	instance := func(loaded models.ModelName) models.UpstreamInstance {
		return models.UpstreamInstance{ID: "i-1", Loaded: loaded}
	}
	loaded := func() models.ModelName { return o.fleet.instances["i-1"].Loaded }

	o.noteEntry(instance("m0"), now)
	o.noteEntry(instance(""), now)
	c.Assert(loaded(), qt.Equals, models.ModelName("m0"))
	o.handleReport(reportEnded{instance: instance("m1"), asked: now})
	o.handleReport(reportEnded{instance: instance(""), asked: now})
	c.Assert(loaded(), qt.Equals, models.ModelName("m1"))
	o.handleNews(newsSeen{term: 1, feed: 1, at: now.Add(time.Second), instances: []InstanceNews{{Instance: instance("")}}})
	c.Assert(loaded(), qt.Equals, models.ModelName("m1"))
}

// TestMemberWithoutEntry checks that a group goes on when a member that is not
// its head loses its entry, as one that is cut off from the store does. A play
// of the grown mtkvari cut off 18 of 162 instances: within four seconds all
// eight groups of eight were closed.
func TestMemberWithoutEntry(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	now := time.Now()
	key := models.GroupKey{Name: "m.1", Epoch: 1}
	member := func(id models.InstanceID, rank int, state models.MemberState) models.UpstreamInstance {
		return models.UpstreamInstance{ID: id, Group: models.Membership{Key: key, Rank: rank, State: state}}
	}
	enter := func() {
		o.noteEntry(member("head", 0, models.MemberOpen), now)
		o.noteEntry(member("second", 1, models.MemberReady), now)
	}
	gone := func(id string) {
		o.handleInstances([]platform.KeyedRecord{{Key: id}}, now, false)
	}
	serving := func() int {
		return len(o.fleet.serving(now)["m"])
	}
	known := func(id models.InstanceID) bool { return o.fleet.instances[id] != nil }

	enter()
	gone("second")
	c.Assert(serving(), qt.Equals, 1)
	c.Assert(o.fleet.instances["second"].unlisted, qt.IsTrue)
	enter()
	c.Assert(o.fleet.instances["second"].unlisted, qt.IsFalse)

	gone("second")
	for range 2 {
		o.handleReport(reportEnded{instance: models.UpstreamInstance{ID: "second"}, err: platform.ErrInstance, asked: now})
	}
	o.watchUnlisted(now)
	c.Assert(known("second"), qt.IsFalse, qt.Commentf("it does not answer"))

	enter()
	gone("second")
	o.handleReport(reportEnded{instance: models.UpstreamInstance{ID: "second"}, asked: now})
	o.watchUnlisted(now)
	c.Assert(known("second"), qt.IsFalse, qt.Commentf("it has left the group"))

	enter()
	gone("second")
	gone("head")
	o.watchUnlisted(now)
	c.Assert(known("head"), qt.IsFalse, qt.Commentf("requests must not go to an instance without an entry"))
	c.Assert(known("second"), qt.IsFalse)
	c.Assert(serving(), qt.Equals, 0)
}

// TestReportsOvertake checks that an answer to an earlier question does not
// undo what a later one told, and that an entry does not either while this node
// plans. (mtkvari-feed, trouble-2, with slow instances: a member of an open
// group seemed to be in none, and was joined to another one: TWO. The day did
// not repeat it in 22 plays with logs; that answers overtake each other is what
// the reading of the code left.)
func TestReportsOvertake(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	now := time.Now()
	member := models.UpstreamInstance{ID: "i-1", Group: models.Membership{Key: models.GroupKey{Name: "m.1", Epoch: 1}, State: models.MemberReady}}
	alone := models.UpstreamInstance{ID: "i-1"}
	group := func() models.MemberState { return o.fleet.instances["i-1"].Group.State }

	o.noteEntry(alone, now)
	o.handleReport(reportEnded{instance: member, asked: now.Add(2 * time.Second)})
	o.handleReport(reportEnded{instance: alone, asked: now.Add(time.Second)})
	c.Assert(group(), qt.Equals, models.MemberReady)
	o.handleReport(reportEnded{instance: alone, err: platform.ErrInstance, asked: now.Add(time.Second)})
	c.Assert(o.fleet.instances["i-1"].lost.IsZero(), qt.IsTrue)

	o.handleLease(leaseHeld{term: 1, until: now.Add(time.Minute)})
	o.noteEntry(alone, now.Add(10*time.Second))
	c.Assert(group(), qt.Equals, models.MemberReady, qt.Commentf("a stale reading of the store"))
	o.handleReport(reportEnded{instance: alone, asked: now.Add(11 * time.Second)})
	c.Assert(group(), qt.Equals, models.MemberNone)
}

// TestLostIsNotForGood checks that a daemon which missed the word that an
// instance is back learns it from the instance's own writes, and that one that
// begins to plan asks rather than believes. (Grown mtkvari, scale-2: a daemon
// that had been cut off took 46 of 165 instances for lost when it began to plan
// and closed all groups of eight.)
func TestLostIsNotForGood(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	instance := func(beat int64) models.UpstreamInstance {
		return models.UpstreamInstance{ID: "i-1", Heartbeat: beat}
	}
	lost := func() bool { return !o.fleet.instances["i-1"].lost.IsZero() }
	lose := func(feed, beat int64) {
		news := []InstanceNews{{Instance: instance(beat), Lost: true}}
		o.handleNews(newsSeen{term: 1, feed: feed, at: now.Add(time.Duration(feed) * time.Second), instances: news})
	}

	o.noteEntry(instance(7), now)
	lose(1, 8)
	c.Assert(lost(), qt.IsTrue)
	o.noteEntry(instance(9), now)
	c.Assert(lost(), qt.IsTrue, qt.Commentf("this may have been on its way"))
	o.noteEntry(instance(10), now)
	c.Assert(lost(), qt.IsFalse)

	lose(2, 10)
	c.Assert(lost(), qt.IsTrue)
	o.handleLease(leaseHeld{term: 2, until: now.Add(time.Minute)})
	c.Assert(lost(), qt.IsFalse)
}

// TestOneMissedAnswer checks that an instance is lost when two questions in a
// row went unanswered, or one if streams found its group to stand still.
func TestOneMissedAnswer(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	now := time.Now()
	key := models.GroupKey{Name: "m.1", Epoch: 1}
	o.noteEntry(models.UpstreamInstance{ID: "i-1", Group: models.Membership{Key: key, State: models.MemberOpen}}, now)
	i := o.fleet.instances["i-1"]
	miss := func() {
		o.handleReport(reportEnded{instance: i.UpstreamInstance, err: platform.ErrInstance, asked: now})
	}
	miss()
	c.Assert(i.lost.IsZero(), qt.IsTrue)
	c.Assert(o.fleet.due, qt.HasLen, 1, qt.Commentf("it is asked again at once"))
	miss()
	c.Assert(i.lost.IsZero(), qt.IsFalse)

	o.handleReport(reportEnded{instance: i.UpstreamInstance, asked: now})
	c.Assert(i.lost.IsZero(), qt.IsTrue)
	o.handleStalled(stalled{group: key, head: "i-1", from: "d2"})
	miss()
	c.Assert(i.lost.IsZero(), qt.IsFalse)
}
