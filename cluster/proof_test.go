package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// crowd makes the owner know of so many other daemons, which have a
// configuration that they can't prove to be the newest.
func crowd(o *owner, n int, version int64) { crowdEvery(o, n, version, heartbeatEvery) }

// crowdEvery is crowd where the others tell of themselves so often.
func crowdEvery(o *owner, n int, version int64, every time.Duration) {
	for i := range n {
		beat := Heartbeat{
			From: models.DaemonID(fmt.Sprintf("peer-%d", i)), Addr: "127.0.0.1:9", Power: 1, ConfigVersion: version, ConfigAge: time.Hour, Every: every,
		}
		o.handleHeartbeat(heartbeatSeen{beat: beat, at: time.Now()})
	}
	o.arrange(time.Now())
	o.publish()
}

// TestWhoReads checks that where there are many daemons only those that may
// plan read the configuration ahead: with 61 that all did, a day with trouble
// took 2,400 readings. The others read once they hear of a newer version, or of
// nobody who knows that theirs is still the newest.
func TestWhoReads(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	now := time.Now()
	o.handleConfig([]byte(`{"Version":7}`), now, "store")
	o.publish()
	c.Assert(o.n.relies(), qt.IsFalse, qt.Commentf("few daemons"))

	crowd(o, few+1, 7)
	c.Assert(o.n.relies(), qt.IsTrue)
	c.Assert(o.n.readsForOthers(), qt.IsFalse)
	c.Assert(o.n.View().behind, qt.IsFalse)

	crowd(o, 1, 8)
	c.Assert(o.n.View().behind, qt.IsFalse, qt.Commentf("it is asked for it first"))
	c.Assert(o.n.View().wants, qt.Equals, models.DaemonID("peer-0"))
	o.peers.behind = now.Add(-2 * behindFor)
	o.publish()
	c.Assert(o.n.View().behind, qt.IsTrue)
	crowd(o, 1, 7)
	o.catchUp(now)
	o.config.proven = now.Add(-2 * lateBound)
	o.publish()
	c.Assert(o.n.View().behind, qt.IsFalse)
	c.Assert(o.n.readsForOthers(), qt.IsTrue)

	o.n.cfg.Power = 2
	o.peers.roster = membership.NewRoster(membership.Daemon{ID: "d1", CPUCores: 2}, membership.DefaultPolicy())
	crowd(o, few+1, 7)
	c.Assert(o.n.relies(), qt.IsFalse, qt.Commentf("it may plan"))
}
