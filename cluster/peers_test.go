package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// few is up to how many daemons each tells every other one.
var meshLimit = membership.DefaultPolicy().Few

// TestSparseBeats checks that daemons which tell of themselves less often are not
// dropped in between: with one more than few, the two ends once disagreed on how
// often that is. A heartbeat says it.
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

// silentBeats is after how many heartbeats that did not come a daemon is dropped.
var missedHeartbeatLimit = time.Duration(membership.DefaultPolicy().Beats)

// TestPassOn checks whom a relay passes news on to: to its zone what other zones
// tell, and everywhere what a daemon of its zone tells that is no relay; never back.
func TestForward(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.cfg.Zone, o.n.cfg.Power = "a", 1
	o.peers = newPeersState(o.n.cfg)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	for i := range 30 {
		zone := models.Zone("abc"[i%3 : i%3+1])
		heartbeat := Heartbeat{From: models.DaemonID(fmt.Sprintf("%s-%d", zone, i)), Addr: "127.0.0.1:9", Power: 0.1 + float64(i)/100, Zone: zone}
		o.handleHeartbeat(heartbeatReceived{heartbeat: heartbeat, receivedAt: time.Now()})
	}
	o.updateTopology(time.Now())
	o.publish()
	c.Assert(o.peers.topology.Relay, qt.IsTrue)
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
	o.n.links.forward("b-28", "b", update)
	c.Assert(sentByZone(), qt.DeepEquals, map[models.Zone]int{"a": 10, "b": 0, "c": 0})
	o.n.links.forward("a-27", "a", update)
	c.Assert(sentByZone(), qt.DeepEquals, map[models.Zone]int{"a": 0, "b": 0, "c": 0}, qt.Commentf("the other relay tells itself"))
	update.Forward = true
	o.n.links.forward("a-3", "a", update)
	c.Assert(sentByZone(), qt.DeepEquals, map[models.Zone]int{"a": 9, "b": 2, "c": 2})
	o.n.links.broadcast(Update{Term: 3, Seq: 1})
	c.Assert(sentByZone(), qt.DeepEquals, map[models.Zone]int{"a": 10, "b": 2, "c": 2})
}

// TestRelayIsAsked checks that a daemon which leaves reading the store to relays
// asks one for a newer configuration as soon as it hears of it, and that the relay
// sends a heartbeat, which brings it, at once.
func TestConfigRequestToRelay(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	addPeers(o, meshLimit+1, 0)
	o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "peer-3", Addr: "127.0.0.1:9", Power: 1, ConfigVersion: 7}, receivedAt: time.Now()})
	c.Assert(o.n.View().configSource, qt.Equals, models.DaemonID("peer-3"))

	o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "peer-4", Addr: "127.0.0.1:9", Power: 1, ConfigSource: "d1"}, receivedAt: time.Now()})
	c.Assert(o.n.View().configRequesters["peer-4"], qt.IsTrue)
}
