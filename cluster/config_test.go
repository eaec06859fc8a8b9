package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestConfigSentOnRequest checks that a daemon requests a newer configuration from one peer, once
// its own read had time to return it. When daemons sent it unrequested, each of 61 sent every
// version to each other one.
func TestConfigSentOnRequest(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	receive := func(id models.DaemonID, version int64, configSource models.DaemonID) {
		o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: id, ConfigVersion: version, ConfigSource: configSource}, receivedAt: now})
	}
	receive("d2", 7, "")
	o.requestNewerConfig(now)
	c.Assert(o.peers.configSource, qt.Equals, models.DaemonID(""))
	o.requestNewerConfig(now.Add(2 * configFetchDelay))
	c.Assert(o.peers.configSource, qt.Equals, models.DaemonID("d2"))
	o.applyConfig([]byte(`{"Version":7}`), now, "peer")
	o.requestNewerConfig(now.Add(3 * configFetchDelay))
	c.Assert(o.peers.configSource, qt.Equals, models.DaemonID(""))
	o.publish()
	c.Assert(o.n.View().configRequesters["d2"], qt.IsFalse)
	receive("d2", 6, "d1")
	o.publish()
	c.Assert(o.n.View().configRequesters["d2"], qt.IsTrue)
}

// TestConfigNeverRegresses checks that an older or undecodable configuration changes nothing.
func TestConfigNeverRegresses(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	o.applyConfig([]byte(`{"Version":7}`), now, "store")
	o.applyConfig([]byte(`{"Version":6}`), now.Add(time.Second), "peer")
	o.applyConfig([]byte(`{"Version":`), now.Add(time.Second), "peer")
	c.Assert(o.config.routing.Version, qt.Equals, int64(7))
	c.Assert(o.config.confirmedAt.Equal(now), qt.IsTrue)
	o.applyConfig(nil, now.Add(2*time.Second), "store")
	c.Assert(o.config.confirmedAt.Equal(now.Add(2*time.Second)), qt.IsTrue)
}

// TestNewConfigKeepsConfirmation checks that a version that a long poll returns, or a peer sends, is
// as current as the earlier one was. Otherwise keyed requests were rejected after each change until
// the next heartbeat, since the poll had been requested seconds before.
func TestNewConfigKeepsConfirmation(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	o.applyConfig([]byte(`{"Version":7}`), now, "store")
	for _, from := range []string{"store", "peer"} {
		version := o.config.routing.Version + 1
		o.applyConfig(fmt.Appendf(nil, `{"Version":%d}`, version), now.Add(-7*time.Second), from)
		c.Assert(o.config.routing.Version, qt.Equals, version)
		c.Assert(o.config.confirmedAt, qt.Equals, now)
	}
	o.applyConfig([]byte(`{"Version":10}`), now.Add(time.Second), "store")
	c.Assert(o.config.confirmedAt, qt.Equals, now.Add(time.Second))
}
