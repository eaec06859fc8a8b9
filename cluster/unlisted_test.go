package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// TestMemberWithoutEntry checks that a group goes on when a member that is not
// its head loses its entry, as one that is cut off from the store does. When 18 of
// 162 instances were, all eight groups of eight were closed within four seconds.
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
		o.handleInstances(reading{records: []platform.KeyedRecord{{Key: id}}, asked: now}, false)
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
		o.handleReport(reportEnded{instance: models.UpstreamInstance{ID: "second"}, err: platform.ErrInvalidInstance, asked: time.Now()})
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

// TestHeadWithoutEntry checks that no request goes to an instance whose entry is
// gone, not even until it is next looked at: a member that was kept may tell
// that it has become the head of a group, by an order that was carried out late.
func TestHeadWithoutEntry(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	now := time.Now()
	key, late := models.GroupKey{Name: "m.1", Epoch: 1}, models.GroupKey{Name: "m.2", Epoch: 2}
	o.noteEntry(models.UpstreamInstance{ID: "head", Group: models.Membership{Key: key, State: models.MemberOpen}}, now)
	o.noteEntry(models.UpstreamInstance{ID: "second", Group: models.Membership{Key: key, Rank: 1, State: models.MemberReady}}, now)
	o.handleInstances(reading{records: []platform.KeyedRecord{{Key: "second"}}, asked: now}, false)
	o.handleReport(reportEnded{asked: now, instance: models.UpstreamInstance{
		ID: "second", Group: models.Membership{Key: late, State: models.MemberOpen},
	}})
	for _, g := range o.fleet.serving(now)["m"] {
		c.Assert(string(g.Head.ID), qt.Equals, "head")
	}
}
