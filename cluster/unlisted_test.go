package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// TestMemberWithoutEntry checks that a group keeps serving when a member that is not its head loses
// its entry, as it does when it is cut off from the store. When 18 of 162 instances were, all eight
// groups of eight were closed within four seconds.
func TestMemberWithoutEntry(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	now := time.Now()
	key := models.GroupKey{Name: "m.1", Epoch: 1}
	member := func(id models.InstanceID, rank int, state models.MemberState) models.UpstreamInstance {
		return models.UpstreamInstance{ID: id, Group: models.Membership{Key: key, Rank: rank, State: state}}
	}
	addEntries := func() {
		o.applyEntry(member("head", 0, models.MemberOpen), now)
		o.applyEntry(member("second", 1, models.MemberReady), now)
	}
	removeEntry := func(id string) {
		o.handleEntries(readResult{records: []platform.KeyedRecord{{Key: id}}, requestedAt: now}, false)
	}
	serving := func() int {
		return len(o.fleet.serving(now)[served("")])
	}
	known := func(id models.InstanceID) bool { return o.fleet.instances[id] != nil }

	addEntries()
	removeEntry("second")
	c.Assert(serving(), qt.Equals, 1)
	c.Assert(o.fleet.instances["second"].unlisted, qt.IsTrue)
	addEntries()
	c.Assert(o.fleet.instances["second"].unlisted, qt.IsFalse)

	removeEntry("second")
	for range 2 {
		o.handleProbeResult(probeFinished{instance: models.UpstreamInstance{ID: "second"}, err: platform.ErrInvalidInstance, sentAt: time.Now()})
	}
	o.checkUnlisted(now)
	c.Assert(known("second"), qt.IsFalse, qt.Commentf("it does not answer"))

	addEntries()
	removeEntry("second")
	o.handleProbeResult(probeFinished{instance: models.UpstreamInstance{ID: "second"}, sentAt: now})
	o.checkUnlisted(now)
	c.Assert(known("second"), qt.IsFalse, qt.Commentf("it has left the group"))

	addEntries()
	removeEntry("second")
	removeEntry("head")
	o.checkUnlisted(now)
	c.Assert(known("head"), qt.IsFalse, qt.Commentf("requests must not go to an instance without an entry"))
	c.Assert(known("second"), qt.IsFalse)
	c.Assert(serving(), qt.Equals, 0)
}

// TestHeadWithoutEntry checks that an instance without an entry never gets requests, even if it
// reports that it has become the head of a group, by an order that was executed late.
func TestHeadWithoutEntry(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = &models.Routing{}
	now := time.Now()
	key, late := models.GroupKey{Name: "m.1", Epoch: 1}, models.GroupKey{Name: "m.2", Epoch: 2}
	o.applyEntry(models.UpstreamInstance{ID: "head", Group: models.Membership{Key: key, State: models.MemberOpen}}, now)
	o.applyEntry(models.UpstreamInstance{ID: "second", Group: models.Membership{Key: key, Rank: 1, State: models.MemberReady}}, now)
	o.handleEntries(readResult{records: []platform.KeyedRecord{{Key: "second"}}, requestedAt: now}, false)
	o.handleProbeResult(probeFinished{sentAt: now, instance: models.UpstreamInstance{
		ID: "second", Group: models.Membership{Key: late, State: models.MemberOpen},
	}})
	for _, g := range o.fleet.serving(now)[served("")] {
		c.Assert(string(g.Head.ID), qt.Equals, "head")
	}
}
