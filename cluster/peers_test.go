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
var few = membership.DefaultPolicy().MaxMeshSize

// TestSparseBeats checks that daemons which tell of themselves less often are not
// dropped in between: with one more than few, the two ends once disagreed on how
// often that is. A heartbeat says it.
func TestSparseBeats(t *testing.T) {
	for _, others := range []int{few - 1, few, few + 1} {
		for _, every := range []time.Duration{heartbeatEvery, sparseEvery} {
			c := qt.New(t)
			o := newTestOwner(t)
			crowdEvery(o, others, 7, every)
			o.dropSilent(time.Now().Add((silentBeats - 1) * every))
			c.Check(o.peers.seen, qt.HasLen, others)
			o.dropSilent(time.Now().Add((silentBeats + 1) * every))
			c.Check(o.peers.seen, qt.HasLen, 0)
			c.Check(o.n.links.wait(), qt.IsNil)
		}
	}
}

// silentBeats is after how many heartbeats that did not come a daemon is dropped.
var silentBeats = time.Duration(membership.DefaultPolicy().MaxMissedHeartbeats)

// TestPassOn checks whom a relay passes news on to: to its zone what other zones
// tell, and everywhere what a daemon of its zone tells that is no relay; never back.
func TestPassOn(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.cfg.Zone, o.n.cfg.Power = "a", 1
	o.peers = newPeersState(o.n.cfg)
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	for i := range 30 {
		zone := models.Zone("abc"[i%3 : i%3+1])
		beat := Heartbeat{From: models.DaemonID(fmt.Sprintf("%s-%d", zone, i)), Addr: "127.0.0.1:9", Power: 0.1 + float64(i)/100, Zone: zone}
		o.handleHeartbeat(heartbeatSeen{beat: beat, at: time.Now()})
	}
	o.arrange(time.Now())
	o.publish()
	c.Assert(o.peers.arranged.IsRelay, qt.IsTrue)
	told := func() (zones map[models.Zone]int) {
		zones = map[models.Zone]int{}
		for id, end := range o.n.links.known {
			zones[models.Zone(id[:1])] += len(end.frames)
			for len(end.frames) > 0 {
				<-end.frames
			}
		}
		return zones
	}
	news := News{Term: 3, Feed: 1}
	o.n.links.passOn("b-28", "b", news)
	c.Assert(told(), qt.DeepEquals, map[models.Zone]int{"a": 10, "b": 0, "c": 0})
	o.n.links.passOn("a-27", "a", news)
	c.Assert(told(), qt.DeepEquals, map[models.Zone]int{"a": 0, "b": 0, "c": 0}, qt.Commentf("the other relay tells itself"))
	news.Spread = true
	o.n.links.passOn("a-3", "a", news)
	c.Assert(told(), qt.DeepEquals, map[models.Zone]int{"a": 9, "b": 2, "c": 2})
	o.n.links.send(News{Term: 3, Feed: 1})
	c.Assert(told(), qt.DeepEquals, map[models.Zone]int{"a": 10, "b": 2, "c": 2})
}

// TestRelayIsAsked checks that a daemon which leaves reading the store to relays
// asks one for a newer configuration as soon as it hears of it, and that the relay
// sends a heartbeat, which brings it, at once.
func TestRelayIsAsked(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	crowd(o, few+1, 0)
	o.handleHeartbeat(heartbeatSeen{beat: Heartbeat{From: "peer-3", Addr: "127.0.0.1:9", Power: 1, ConfigVersion: 7}, at: time.Now()})
	c.Assert(o.n.View().wants, qt.Equals, models.DaemonID("peer-3"))

	o.handleHeartbeat(heartbeatSeen{beat: Heartbeat{From: "peer-4", Addr: "127.0.0.1:9", Power: 1, Wants: "d1"}, at: time.Now()})
	c.Assert(o.n.View().wantedBy["peer-4"], qt.IsTrue)
}
