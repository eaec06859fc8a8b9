package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// meshLimit is the largest number of daemons that form a mesh.
var meshLimit = membership.DefaultPolicy().MaxMeshSize

// TestHeartbeatIntervals checks that daemons with a longer heartbeat interval do not time out in
// between. The interval is part of the heartbeat because with one daemon more than meshLimit the
// two ends could disagree on it.
func TestHeartbeatIntervals(t *testing.T) {
	for _, others := range []int{meshLimit - 1, meshLimit, meshLimit + 1} {
		for _, every := range []time.Duration{heartbeatInterval, relayHeartbeatInterval} {
			c := qt.New(t)
			o := newTestOwner(t)
			addPeersWithInterval(o, others, 7, every)
			o.removeTimedOutPeers(time.Now().Add((missedHeartbeatLimit - 1) * every))
			c.Check(o.peers.seen, qt.HasLen, others)
			o.removeTimedOutPeers(time.Now().Add((missedHeartbeatLimit + 1) * every))
			c.Check(o.peers.seen, qt.HasLen, 0)
			c.Check(o.n.links.stopAndWait(), qt.IsNil)
		}
	}
}

// missedHeartbeatLimit is the number of missed heartbeats after which a daemon is removed.
var missedHeartbeatLimit = time.Duration(membership.DefaultPolicy().MaxMissedHeartbeats)

// TestForward checks where a relay forwards updates: those from other zones to its own zone, those
// of daemons of its zone that are no relays to all, and none back to the sender.
func TestForward(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.cfg.Zone, o.n.cfg.CPUCores = "a", 1
	o.peers = newPeersState(o.n.cfg)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	for i := range 30 {
		zone := models.Zone("abc"[i%3 : i%3+1])
		heartbeat := Heartbeat{From: models.DaemonID(fmt.Sprintf("%s-%d", zone, i)), Addr: "127.0.0.1:9", CPUCores: 0.1 + float64(i)/100, Zone: zone}
		o.handleHeartbeat(heartbeatReceived{heartbeat: heartbeat, receivedAt: time.Now()})
	}
	o.updateTopology(time.Now())
	o.publish()
	c.Assert(o.peers.topology.IsRelay, qt.IsTrue)
	sentByZone := func() (zones map[models.Zone]int) {
		zones = map[models.Zone]int{}
		for id, end := range o.n.links.peers {
			zones[models.Zone(id[:1])] += len(end.frames)
			for len(end.frames) > 0 {
				<-end.frames
			}
		}
		return zones
	}
	update := Update{Term: 3, Seq: 1}
	o.n.links.forward("b-28", "b", update, time.Now())
	c.Assert(sentByZone(), qt.DeepEquals, map[models.Zone]int{"a": 10, "b": 0, "c": 0})
	o.n.links.forward("a-27", "a", update, time.Now())
	c.Assert(sentByZone(), qt.DeepEquals, map[models.Zone]int{"a": 0, "b": 0, "c": 0}, qt.Commentf("the other relay sends it itself"))
	update.Forward = true
	o.n.links.forward("a-3", "a", update, time.Now())
	c.Assert(sentByZone(), qt.DeepEquals, map[models.Zone]int{"a": 9, "b": 2, "c": 2})
	o.n.links.broadcast(Update{Term: 3, Seq: 1})
	c.Assert(sentByZone(), qt.DeepEquals, map[models.Zone]int{"a": 10, "b": 2, "c": 2})
}

// TestConfigRequestToRelay checks that a daemon that uses a relay requests a newer configuration as
// soon as a heartbeat shows one, and that the relay answers with a heartbeat, followed by the
// configuration, at once.
func TestConfigRequestToRelay(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	addPeers(o, meshLimit+1, 0)
	o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "peer-3", Addr: "127.0.0.1:9", CPUCores: 1, ConfigVersion: 7}, receivedAt: time.Now()})
	c.Assert(o.n.View().configSource, qt.Equals, models.DaemonID("peer-3"))

	o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "peer-4", Addr: "127.0.0.1:9", CPUCores: 1, ConfigSource: "d1"}, receivedAt: time.Now()})
	c.Assert(o.n.View().configRequesters["peer-4"], qt.IsTrue)
}
