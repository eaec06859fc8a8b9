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
func addPeers(o *owner, n int, version int64) { addPeersWithInterval(o, n, version, heartbeatInterval) }

// crowdEvery is crowd where the others tell of themselves so often.
func addPeersWithInterval(o *owner, n int, version int64, interval time.Duration) {
	for i := range n {
		heartbeat := Heartbeat{
			From: models.DaemonID(fmt.Sprintf("peer-%d", i)), Addr: "127.0.0.1:9", Power: 1, ConfigVersion: version, ConfigAge: time.Hour, Interval: interval,
		}
		o.handleHeartbeat(heartbeatReceived{heartbeat: heartbeat, receivedAt: time.Now()})
	}
	o.updateTopology(time.Now())
	o.publish()
}

// TestWhoReads checks that where there are many daemons only those that may
// plan read the configuration ahead: with 61 that all did, a day with trouble
// took 2,400 readings. The others read once they hear of a newer version, or of
// nobody who knows that theirs is still the newest.
func TestWhoReadsConfig(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	now := time.Now()
	o.applyConfig([]byte(`{"Version":7}`), now, "store")
	o.publish()
	c.Assert(o.n.usesRelay(), qt.IsFalse, qt.Commentf("few daemons"))

	addPeers(o, meshLimit+1, 7)
	c.Assert(o.n.usesRelay(), qt.IsTrue)
	c.Assert(o.n.mustReadConfig(), qt.IsFalse)
	c.Assert(o.n.View().configBehind, qt.IsFalse)

	addPeers(o, 1, 8)
	c.Assert(o.n.View().configBehind, qt.IsFalse, qt.Commentf("it is asked for it first"))
	c.Assert(o.n.View().configSource, qt.Equals, models.DaemonID("peer-0"))
	o.peers.configBehindSince = now.Add(-2 * configFetchDelay)
	o.publish()
	c.Assert(o.n.View().configBehind, qt.IsTrue)
	addPeers(o, 1, 7)
	o.requestNewerConfig(now)
	o.config.confirmedAt = now.Add(-2 * relayedConfirmationTimeout)
	o.publish()
	c.Assert(o.n.View().configBehind, qt.IsFalse)
	c.Assert(o.n.mustReadConfig(), qt.IsTrue)

	o.n.cfg.Power = 2
	o.peers.roster = membership.NewRoster(membership.Daemon{ID: "d1", Power: 2}, membership.DefaultPolicy())
	addPeers(o, meshLimit+1, 7)
	c.Assert(o.n.usesRelay(), qt.IsFalse, qt.Commentf("it may plan"))
}
