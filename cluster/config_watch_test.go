package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// addPeers adds a number of daemons, whose configuration has not been confirmed recently.
func addPeers(o *owner, n int, version int64) { addPeersWithInterval(o, n, version, heartbeatInterval) }

// addPeersWithInterval is addPeers with a heartbeat interval.
func addPeersWithInterval(o *owner, n int, version int64, interval time.Duration) {
	for i := range n {
		heartbeat := Heartbeat{
			From: models.DaemonID(fmt.Sprintf("peer-%d", i)), Addr: "127.0.0.1:9", CPUCores: 1, ConfigVersion: version, ConfigAge: time.Hour, Interval: interval,
		}
		o.handleHeartbeat(heartbeatReceived{heartbeat: heartbeat, receivedAt: time.Now()})
	}
	o.updateTopology(time.Now())
	o.publish()
}

// TestWhoReadsConfig checks that unless daemons form a mesh, only those eligible as planner keep
// reading the configuration. When all 61 did, they made 2,400 reads in a day with failures. The
// others read it when a peer has a newer version, or when no peer confirms theirs.
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
	c.Assert(o.n.View().configBehind, qt.IsFalse, qt.Commentf("it is requested from the peer first"))
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

	o.n.cfg.CPUCores = 2
	o.peers.roster = membership.NewRoster(membership.Daemon{ID: "d1", CPUCores: 2}, membership.DefaultPolicy())
	addPeers(o, meshLimit+1, 7)
	c.Assert(o.n.usesRelay(), qt.IsFalse, qt.Commentf("it is eligible as planner"))
}
