package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestLoadsOvertake checks that loads which come late by way of another daemon
// do not undo newer ones, and that a daemon which is gone leaves none behind.
func TestLoadsOvertake(t *testing.T) {
	c := qt.New(t)
	p := newPeerLoads()
	tell := func(incarnation int64, change uint64, all bool, requests int) {
		p.take(News{From: "d2", Incarnation: incarnation, Change: change, All: all, Loads: map[models.InstanceID]Load{"i-1": {Requests: requests}}})
	}
	requests := func() int { return p.at("i-1").Requests }

	tell(1, 5, true, 3)
	tell(1, 7, false, 4)
	tell(1, 6, false, 9)
	c.Assert(requests(), qt.Equals, 4, qt.Commentf("an older change comes late"))
	p.take(News{From: "d2", Term: 3, Feed: 1})
	c.Assert(requests(), qt.Equals, 4, qt.Commentf("news without loads"))
	tell(2, 1, true, 2)
	c.Assert(requests(), qt.Equals, 2, qt.Commentf("the daemon was started again"))
	tell(1, 8, false, 9)
	c.Assert(requests(), qt.Equals, 2)

	p.take(News{From: "d2", Incarnation: 2, Change: 3, Loads: map[models.InstanceID]Load{"i-2": {Requests: 5}}})
	tell(2, 2, false, 6)
	c.Assert(requests(), qt.Equals, 6, qt.Commentf("an older change of another instance comes late"))

	p.drop("d2")
	c.Assert(requests(), qt.Equals, 0)
	tell(2, 9, false, 1)
	now := time.Now()
	p.prune(nil, now)
	c.Assert(requests(), qt.Equals, 1)
	p.prune(map[models.DaemonID]seenPeer{"d2": {}}, now.Add(2*relayedLate))
	c.Assert(requests(), qt.Equals, 1)
	p.prune(nil, now.Add(2*relayedLate))
	c.Assert(requests(), qt.Equals, 0)
}
