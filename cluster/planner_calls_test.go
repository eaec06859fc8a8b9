package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// TestPlannerCallsAreBounded checks that a planner does not probe all instances at once, which made
// its other calls time out.
func TestPlannerCallsAreBounded(t *testing.T) {
	const instances = 3000
	fill := func(o *owner) {
		for n := range instances {
			i := models.UpstreamInstance{ID: models.InstanceID(fmt.Sprint("i", n)), Service: "s"}
			o.fleet.instances[i.ID] = &knownInstance{UpstreamInstance: i}
		}
		o.handleLease(leaseHeld{term: 2, until: time.Now().Add(time.Minute)})
	}
	t.Run("probes", func(t *testing.T) {
		c := qt.New(t)
		o := newTestOwner(t)
		fill(o)
		o.probeUnverified("s", time.Now())
		c.Assert(int(o.n.stats.reports.Get()) <= maxCalls, qt.IsTrue, qt.Commentf("%d at once", o.n.stats.reports.Get()))
	})
	t.Run("orders_are_answered_late", func(t *testing.T) {
		c := qt.New(t)
		o := newTestOwner(t)
		fill(o)
		o.config.routing = &models.Routing{}
		for n := range instances {
			o.fleet.orders = append(o.fleet.orders, types.GroupOrder{Instance: models.InstanceID(fmt.Sprint("i", n))})
		}
		o.sendOrders()
		took := 5 * time.Millisecond
		for n := range 1000 {
			// The more calls queue for the processor, the later responses arrive.
			took = time.Duration(5+3*o.fleet.ordersInFlight) * time.Millisecond
			o.handleOrderResult(orderFinished{order: types.GroupOrder{Instance: models.InstanceID(fmt.Sprint("i", n))}, outcome: types.OrderDone, finishedAt: time.Now(), took: took})
		}
		c.Assert(took < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%d orders in flight, answered after %v", o.fleet.ordersInFlight, took))
	})
}
