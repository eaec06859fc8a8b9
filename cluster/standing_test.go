package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestRelays checks that where there are many daemons a change of loads goes to
// those of the same zone and to one in each other zone, which passes it on: with
// 61 daemons most of the bytes between zones were such changes.
func TestRelays(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.cfg.Zone = "a"
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	meet := func(n int) {
		for i := range n {
			beat := Heartbeat{From: models.DaemonID(fmt.Sprintf("d-%d", i)), Addr: "127.0.0.1:9", Power: float64(i), Zone: models.Zone("abc"[i%3 : i%3+1])}
			o.handleHeartbeat(heartbeatSeen{beat: beat, at: time.Now()})
		}
		o.publish()
	}
	woken := func() int {
		o.n.links.wake(o.n.View().relays)
		n := 0
		for _, end := range o.n.links.known {
			n += len(end.woken)
			for len(end.woken) > 0 {
				<-end.woken
			}
		}
		return n
	}
	meet(3)
	c.Assert(o.n.View().relays, qt.IsNil)
	c.Assert(woken(), qt.Equals, 3)

	meet(30)
	c.Assert(o.n.View().relays, qt.DeepEquals, map[models.DaemonID]bool{"d-28": true, "d-29": true})
	c.Assert(woken(), qt.Equals, 10+2)

	o.n.links.relay(LoadNews{From: "d-28", Loads: map[models.InstanceID]Load{"i-1": {Requests: 1}}})
	passed := 0
	for _, end := range o.n.links.known {
		passed += len(end.news)
	}
	c.Assert(passed, qt.Equals, 10)
}
