package gateway

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestIdleConnLimits checks that the idle connections which all daemons keep to an instance leave
// room below the number that it accepts. With 90 daemons and a limit of 120, instances reset 259
// connections beyond it; with 300 daemons and a limit of 110, the idle ones alone were more than
// twice as many.
func TestIdleConnLimits(t *testing.T) {
	c := qt.New(t)
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	limit := func(maxConns, daemons, self int) int {
		v := &cluster.View{
			Daemons: daemons, Routing: &models.Routing{Services: map[models.ServiceName]models.UpstreamService{"s": {MaxConnections: maxConns}}},
			Instances: map[models.InstanceID]models.UpstreamInstance{"i": {Addr: addr, Service: "s"}},
		}
		listen := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(self % 9), byte(self / 200), byte(self)}), 8080)
		return idleConnLimits(v, listen)[addr]
	}
	c.Assert(limit(378, 9, 1), qt.Equals, 21)
	c.Assert(limit(10_000, 2, 1), qt.Equals, h1.MaxIdle)
	c.Assert(limit(0, 9, 1), qt.Equals, h1.MaxIdle)
	for _, test := range []struct{ maxConns, daemons int }{{120, 90}, {110, 300}, {378, 300}, {48, 1000}} {
		sum := 0
		for self := range test.daemons {
			sum += limit(test.maxConns, test.daemons, self)
		}
		// A fifth more than the fraction: which daemons keep one connection is random.
		c.Assert(float64(sum) <= 1.2*idleConnFraction*float64(test.maxConns), qt.IsTrue, qt.Commentf("%d of %v", sum, test))
		c.Assert(sum > 0, qt.IsTrue)
	}
}
