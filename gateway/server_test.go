package gateway

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestRestingConns checks that the connections which all daemons keep to an
// instance leave room below the number that it takes. With 90 daemons and 120
// connections instances reset 259 that were beyond it.
func TestRestingConns(t *testing.T) {
	c := qt.New(t)
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	rests := func(takes, daemons int) int {
		v := &cluster.View{
			Daemons: daemons, Routing: &models.Routing{Services: map[models.ServiceName]models.UpstreamService{"s": {MaxConnections: takes}}},
			All: map[models.InstanceID]models.UpstreamInstance{"i": {Addr: addr, Service: "s"}},
		}
		return restingConns(v)[addr]
	}
	c.Assert(rests(378, 9), qt.Equals, 21)
	c.Assert(rests(120, 90), qt.Equals, 1)
	c.Assert(rests(10_000, 2), qt.Equals, h1.MaxIdle)
	c.Assert(rests(0, 9), qt.Equals, h1.MaxIdle)
}
