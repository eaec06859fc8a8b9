package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestThrottle checks that a long task pauses in proportion to its duration, and a short one for
// the minimum interval.
func TestThrottle(t *testing.T) {
	c := qt.New(t)
	began := time.Now()
	for _, test := range []struct{ took, least, pause time.Duration }{
		{took: time.Millisecond, least: 20 * time.Millisecond, pause: 20 * time.Millisecond},
		{took: 28 * time.Millisecond, least: 20 * time.Millisecond, pause: 112 * time.Millisecond},
	} {
		s := throttle{started: began, took: test.took}
		c.Check(s.ready(began.Add(test.pause-time.Millisecond), test.least), qt.IsFalse)
		c.Check(s.ready(began.Add(test.pause), test.least), qt.IsTrue)
	}
}

// TestLongRunsAreThrottled checks that long planning rounds and views are throttled.
func TestLongRunsAreThrottled(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	o.handleLease(leaseHeld{term: 1, until: now.Add(time.Minute)})
	o.config.routing = &models.Routing{}
	o.fleet.lastPlan = throttle{started: now, took: 28 * time.Millisecond}
	o.planGroups(now.Add(100 * time.Millisecond))
	c.Assert(o.fleet.lastPlan.started, qt.Equals, now, qt.Commentf("planning was not throttled"))
	o.planGroups(now.Add(112 * time.Millisecond))
	c.Assert(o.fleet.lastPlan.started, qt.Not(qt.Equals), now)
	c.Assert(o.fleet.lastPlan.took > 0, qt.IsTrue)

	o.publish()
	c.Assert(o.lastPublish.took > 0, qt.IsTrue)
}

// TestLeaseRenewedWhileBusy checks that a term continues if the lease was renewed while the owner
// was busy: its inbox is full, and the expiry that it has handled is over. Without this a planner
// of 3,000 instances stopped every second or two, and every daemon requested a snapshot of all
// instances.
func TestLeaseRenewedWhileBusy(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	h := leaseHolder{n: o.n, term: 5}
	now := time.Now()
	h.postHeld(t.Context(), leaseHeld{term: 5, until: now.Add(50 * time.Millisecond)})
	o.handle(<-o.n.inbox)
	c.Assert(o.fleet.planners, qt.IsNotNil)
	o.config.routing = &models.Routing{}

	for range inboxLen {
		o.n.inbox <- storeCallFailed{what: "filler"}
	}
	h.postHeld(t.Context(), leaseHeld{term: 5, until: now.Add(time.Minute)})
	o.planGroups(now.Add(time.Second))
	c.Assert(o.fleet.planners, qt.IsNotNil, qt.Commentf("the lease was renewed"))

	o.planGroups(now.Add(2 * time.Minute))
	c.Assert(o.fleet.planners, qt.IsNil, qt.Commentf("the lease has expired"))
}

// TestLeaseRenewedDuringPlanning checks that a planner does not give up a lease that was renewed
// during a planning round.
func TestLeaseRenewedDuringPlanning(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	h := leaseHolder{n: o.n, term: 5}
	h.postHeld(t.Context(), leaseHeld{term: 5, until: time.Now().Add(20 * time.Millisecond)})
	o.handle(<-o.n.inbox)
	time.Sleep(30 * time.Millisecond)
	h.postHeld(t.Context(), leaseHeld{term: 5, until: time.Now().Add(time.Minute)})
	o.sendOrders()
	c.Assert(o.fleet.planners, qt.IsNotNil, qt.Commentf("the lease was renewed"))
}
