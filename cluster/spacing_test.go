package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestSpacing checks that work which takes long rests in proportion, and that the
// short work of small deployments rests no longer than before.
func TestSpacing(t *testing.T) {
	c := qt.New(t)
	began := time.Now()
	for _, test := range []struct{ took, least, rest time.Duration }{
		{took: time.Millisecond, least: 20 * time.Millisecond, rest: 20 * time.Millisecond},
		{took: 28 * time.Millisecond, least: 20 * time.Millisecond, rest: 112 * time.Millisecond},
	} {
		s := spacing{began: began, took: test.took}
		c.Check(s.due(began.Add(test.rest-time.Millisecond), test.least), qt.IsFalse)
		c.Check(s.due(began.Add(test.rest), test.least), qt.IsTrue)
	}
}

// TestLongWorkRests checks that planning and views, where they took long, leave the
// owner time for what comes.
func TestLongWorkRests(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	o.handleLease(leaseHeld{term: 1, until: now.Add(time.Minute)})
	o.config.routing = &models.Routing{}
	o.fleet.planned = spacing{began: now, took: 28 * time.Millisecond}
	o.planGroups(now.Add(100 * time.Millisecond))
	c.Assert(o.fleet.planned.began, qt.Equals, now, qt.Commentf("it planned too soon"))
	o.planGroups(now.Add(112 * time.Millisecond))
	c.Assert(o.fleet.planned.began, qt.Not(qt.Equals), now)
	c.Assert(o.fleet.planned.took > 0, qt.IsTrue)

	o.publish()
	c.Assert(o.published.took > 0, qt.IsTrue)
}

// TestLeaseRenewedWhileBusy replays a planner whose owner is behind: its inbox is
// full, and the lease that it was told of has ended. It was renewed meanwhile, so
// that the term goes on. Without that the planner of 3,000 instances stopped each
// second or two, and every daemon asked for all instances anew.
func TestLeaseRenewedWhileBusy(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	h := leaseHolder{n: o.n, term: 5}
	now := time.Now()
	h.tellHeld(t.Context(), leaseHeld{term: 5, until: now.Add(50 * time.Millisecond)})
	o.handle(<-o.n.inbox)
	c.Assert(o.fleet.planner, qt.IsNotNil)
	o.config.routing = &models.Routing{}

	for range inboxLen {
		o.n.inbox <- storeAway{what: "filler"}
	}
	h.tellHeld(t.Context(), leaseHeld{term: 5, until: now.Add(time.Minute)})
	o.planGroups(now.Add(time.Second))
	c.Assert(o.fleet.planner, qt.IsNotNil, qt.Commentf("the lease was renewed"))

	o.planGroups(now.Add(2 * time.Minute))
	c.Assert(o.fleet.planner, qt.IsNil, qt.Commentf("the lease has ended"))
}

// A planner gave up a lease that was renewed while it planned a round.
func TestLeaseRenewedDuringARound(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	h := leaseHolder{n: o.n, term: 5}
	h.tellHeld(t.Context(), leaseHeld{term: 5, until: time.Now().Add(20 * time.Millisecond)})
	o.handle(<-o.n.inbox)
	time.Sleep(30 * time.Millisecond)
	h.tellHeld(t.Context(), leaseHeld{term: 5, until: time.Now().Add(time.Minute)})
	o.giveOrders()
	c.Assert(o.fleet.planner, qt.IsNotNil, qt.Commentf("the lease was renewed"))
}
