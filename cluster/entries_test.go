package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
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
		return models.UpstreamInstance{ID: "i-1", LoadedModel: loaded}
	}
	loaded := func() models.ModelName { return o.fleet.instances["i-1"].LoadedModel }

	o.noteEntry(instance("m0"), now)
	o.noteEntry(instance(""), now)
	c.Assert(loaded(), qt.Equals, models.ModelName("m0"))
	o.handleReport(reportEnded{instance: instance("m1"), asked: now})
	o.handleReport(reportEnded{instance: instance(""), asked: now})
	c.Assert(loaded(), qt.Equals, models.ModelName("m1"))
	o.handleNews(newsSeen{term: 1, feed: 1, at: now.Add(time.Second), instances: []InstanceNews{{Instance: instance("")}}})
	c.Assert(loaded(), qt.Equals, models.ModelName("m1"))
}

// TestLostIsNotForGood checks that a daemon which missed the word that an
// instance is back learns it from the instance's own writes, and that one that
// begins to plan asks rather than believes. A daemon that had been cut off took 46
// of 165 instances for lost when it began to plan, and closed all groups of eight.
func TestLostIsNotForGood(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	instance := func(beat int64) models.UpstreamInstance {
		return models.UpstreamInstance{ID: "i-1", HeartbeatSeq: beat}
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

	delete(o.fleet.instances, "i-1")
	lose(2, 10)
	c.Assert(lost(), qt.IsTrue, qt.Commentf("also one that is heard of for the first time"))
	o.handleLease(leaseHeld{term: 2, until: now.Add(time.Minute)})
	c.Assert(lost(), qt.IsFalse)
}
