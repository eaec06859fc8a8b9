package cluster

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/models"
)

// noTraffic is the Traffic of a daemon without callers.
type noTraffic struct{}

func (noTraffic) Loads() map[models.InstanceID]Load                      { return nil }
func (noTraffic) LoadsSince(uint64) (map[models.InstanceID]Load, uint64) { return nil, 0 }
func (noTraffic) Changed() <-chan struct{}                               { return nil }
func (noTraffic) Demand() map[models.ServedModel]ModelDemand             { return nil }

func newTestOwner(t *testing.T) *owner {
	n := New(Settings{ID: "d1", InstanceHeartbeat: time.Second, LeaseMin: time.Second}, noTraffic{}, metrics.NewSet(), zerolog.Nop())
	n.fallbackDraw = 0
	o := newOwner(n)
	o.ctx = t.Context()
	return o
}

// TestTermIsUsedOnce checks that a daemon that ended its term does not become planner in the same
// term again: it would issue fences and epochs twice. An instance was joined to a group of such an
// epoch while its own group was open.
func TestTermIsUsedOnce(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	until := time.Now().Add(time.Minute)
	o.handleLease(leaseHeld{term: 5, until: until})
	c.Assert(o.fleet.planners, qt.IsNotNil)
	o.stopPlanning("the lease ended")
	o.handleLease(leaseHeld{term: 5, until: until})
	c.Assert(o.fleet.planners, qt.IsNil)
	c.Assert(o.n.lastEndedTerm.Load(), qt.Equals, int64(5))
	o.handleLease(leaseHeld{term: 6, until: until})
	c.Assert(o.fleet.planners, qt.IsNotNil)
}

// TestPlannerStopsWithoutLease checks that a planner that could not renew its lease stops as soon
// as a heartbeat shows that the store has answered another daemon since. Without this it continued
// for 1.6 s, because all daemons got their confirmation of the configuration from it, and nobody
// read entries.
func TestPlannerStopsWithoutLease(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	o.handleLease(leaseHeld{term: 5, until: now.Add(-time.Second)})
	receive := func(age time.Duration) {
		heartbeat := Heartbeat{From: "d2", Addr: "127.0.0.1:9", ConfigAge: time.Minute, EntriesAge: age}
		o.peers.seen["d2"] = peerStatus{heartbeat: heartbeat, receivedAt: now}
	}
	receive(0)
	c.Assert(o.mayOutliveLease(now), qt.IsTrue, qt.Commentf("an older version omits EntriesAge"))
	receive(1100 * time.Millisecond)
	c.Assert(o.mayOutliveLease(now), qt.IsTrue, qt.Commentf("its entries are older than the lease's end"))
	receive(500 * time.Millisecond)
	c.Assert(o.mayOutliveLease(now), qt.IsFalse)
}
