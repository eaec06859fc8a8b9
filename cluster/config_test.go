package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestConfigIsHandedOverOnDemand checks that a daemon asks one other for a
// newer configuration, once its own reading had time to bring it. Handed over
// unasked, every version went from each of 61 daemons to each other one.
func TestConfigIsHandedOverOnDemand(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	beat := func(id models.DaemonID, version int64, wants models.DaemonID) {
		o.handleHeartbeat(heartbeatSeen{beat: Heartbeat{From: id, ConfigVersion: version, Wants: wants}, at: now})
	}
	beat("d2", 7, "")
	o.catchUp(now)
	c.Assert(o.peers.wants, qt.Equals, models.DaemonID(""))
	o.catchUp(now.Add(2 * behindFor))
	c.Assert(o.peers.wants, qt.Equals, models.DaemonID("d2"))
	o.handleConfig([]byte(`{"Version":7}`), now, "peer")
	o.catchUp(now.Add(3 * behindFor))
	c.Assert(o.peers.wants, qt.Equals, models.DaemonID(""))
	o.publish()
	c.Assert(o.n.View().wantedBy["d2"], qt.IsFalse)
	beat("d2", 6, "d1")
	o.publish()
	c.Assert(o.n.View().wantedBy["d2"], qt.IsTrue)
}

// TestConfigNeverGoesBack checks that an older or unreadable configuration
// changes nothing.
func TestConfigNeverGoesBack(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	o.handleConfig([]byte(`{"Version":7}`), now, "store")
	o.handleConfig([]byte(`{"Version":6}`), now.Add(time.Second), "peer")
	o.handleConfig([]byte(`{"Version":`), now.Add(time.Second), "peer")
	c.Assert(o.config.routing.Version, qt.Equals, int64(7))
	c.Assert(o.config.proven.Equal(now), qt.IsTrue)
	o.handleConfig(nil, now.Add(2*time.Second), "store")
	c.Assert(o.config.proven.Equal(now.Add(2*time.Second)), qt.IsTrue)
}
