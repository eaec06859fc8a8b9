package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestLoadsOvertake checks that loads which come late, on a connection that has
// been replaced, do not undo newer ones, that changes of what was never told whole
// say nothing, and that a daemon which is gone leaves no loads behind.
func TestLoadsOvertake(t *testing.T) {
	c := qt.New(t)
	p := newPeerLoads()
	tell := func(incarnation int64, change uint64, all bool, requests int) {
		p.take(News{From: "d2", Incarnation: incarnation, Change: change, All: all, Loads: map[models.InstanceID]Load{"i-1": {Requests: requests}}}, "a", nil)
	}
	requests := func() int { return p.at("i-1").Requests }

	tell(1, 5, true, 3)
	tell(1, 7, false, 4)
	tell(1, 6, false, 9)
	c.Assert(requests(), qt.Equals, 4, qt.Commentf("an older change comes late"))
	p.take(News{From: "d2", Term: 3, Feed: 1}, "a", nil)
	c.Assert(requests(), qt.Equals, 4, qt.Commentf("news without loads"))
	tell(2, 1, true, 2)
	c.Assert(requests(), qt.Equals, 2, qt.Commentf("the daemon was started again"))
	tell(1, 8, false, 9)
	c.Assert(requests(), qt.Equals, 2)

	p.take(News{From: "d2", Incarnation: 2, Change: 3, Loads: map[models.InstanceID]Load{"i-2": {Requests: 5}}}, "a", nil)
	tell(2, 2, false, 6)
	c.Assert(requests(), qt.Equals, 2, qt.Commentf("an older change comes late"))
	c.Assert(p.at("i-2").Requests, qt.Equals, 5)

	p.drop("d2")
	c.Assert(requests(), qt.Equals, 0)
	tell(2, 9, false, 1)
	c.Assert(requests(), qt.Equals, 0, qt.Commentf("a change comes after the daemon was dropped"))
	tell(2, 10, true, 1)
	c.Assert(requests(), qt.Equals, 1)
	p.take(News{From: "d2", Incarnation: 2, Change: 11, All: true}, "a", nil)
	c.Assert(requests(), qt.Equals, 0, qt.Commentf("it tells another relay from now on"))
}

// TestSums checks that a daemon which is told the loads of all leaves out its own,
// that a relay adds up its zone and what the other zones tell, and that sums are
// replaced by those of another relay and forgotten when they grow old.
func TestSums(t *testing.T) {
	c := qt.New(t)
	p := newPeerLoads()
	own := map[models.InstanceID]Load{"i-1": {Requests: 1, Unread: 100}}
	loads := func(requests int) map[models.InstanceID]Load {
		return map[models.InstanceID]Load{"i-1": {Requests: requests, Unread: 100 * requests}}
	}
	tell := func(from models.DaemonID, zone models.Zone, of loadsOf, change uint64, requests int) {
		news := News{From: from, Change: change, Of: of, All: change == 1, Loads: loads(requests)}
		p.take(news, zone, func() map[models.InstanceID]Load { return own })
	}

	tell("r1", "a", loadsOfAll, 1, 7)
	c.Assert(p.at("i-1"), qt.Equals, Load{Requests: 6, Unread: 600})
	tell("r2", "a", loadsOfAll, 2, 9)
	c.Assert(p.at("i-1").Requests, qt.Equals, 6, qt.Commentf("only a change, and of another's word"))
	tell("r2", "a", loadsOfAll, 1, 9)
	c.Assert(p.at("i-1").Requests, qt.Equals, 8, qt.Commentf("another relay takes over"))
	tell("r1", "a", loadsOfAll, 8, 3)
	c.Assert(p.at("i-1").Requests, qt.Equals, 8)

	p.dropSums()
	tell("d2", "a", loadsOfOne, 1, 2)
	tell("d3", "a", loadsOfOne, 1, 3)
	tell("r3", "b", loadsOfZone, 1, 10)
	tell("r5", "c", loadsOfZone, 1, 20)
	all, zone := p.totals(own)
	c.Assert(all["i-1"].Requests, qt.Equals, 36)
	c.Assert(zone["i-1"].Requests, qt.Equals, 6)
	tell("r4", "b", loadsOfZone, 1, 11)
	all, _ = p.totals(own)
	c.Assert(all["i-1"].Requests, qt.Equals, 37, qt.Commentf("the other zone has another relay"))

	p.prune(time.Now().Add(2 * staleSums))
	all, _ = p.totals(own)
	c.Assert(all["i-1"].Requests, qt.Equals, 6, qt.Commentf("only what single daemons told stays"))
}
