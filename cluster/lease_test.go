package cluster

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/models"
)

// noTraffic is the traffic of a daemon without callers.
type noTraffic struct{}

func (noTraffic) Loads() map[models.InstanceID]Load                      { return nil }
func (noTraffic) LoadsSince(uint64) (map[models.InstanceID]Load, uint64) { return nil, 0 }
func (noTraffic) Changed() <-chan struct{}                               { return nil }
func (noTraffic) Work() map[models.ModelName]float64                     { return nil }

func newTestOwner(t *testing.T) *owner {
	n := New(Settings{ID: "d1", InstanceHeartbeat: time.Second, LeaseMin: time.Second}, noTraffic{}, metrics.NewSet(), zerolog.Nop())
	o := newOwner(n)
	o.ctx = t.Context()
	return o
}

// TestTermIsUsedOnce checks that a planner that stopped is not followed by
// another one in the same term: it would give fences and epochs a second time.
// An instance was joined to a group of that epoch while its own group was open.
func TestTermIsUsedOnce(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	until := time.Now().Add(time.Minute)
	o.handleLease(leaseHeld{term: 5, until: until})
	c.Assert(o.fleet.planner, qt.IsNotNil)
	o.stopPlanning("the lease ended")
	o.handleLease(leaseHeld{term: 5, until: until})
	c.Assert(o.fleet.planner, qt.IsNil)
	c.Assert(o.n.lastEndedTerm.Load(), qt.Equals, int64(5))
	o.handleLease(leaseHeld{term: 6, until: until})
	c.Assert(o.fleet.planner, qt.IsNotNil)
}

// TestPlannerWithoutLease checks that a planner whose lease could not be renewed stops as
// soon as it hears that the store has served another daemon since: all had the proof of
// their configuration from it, so that it went on for 1.6 s, and nobody read entries.
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
	c.Assert(o.mayOutliveLease(now), qt.IsTrue, qt.Commentf("an older program does not tell"))
	receive(1100 * time.Millisecond)
	c.Assert(o.mayOutliveLease(now), qt.IsTrue, qt.Commentf("what it knows is of before"))
	receive(500 * time.Millisecond)
	c.Assert(o.mayOutliveLease(now), qt.IsFalse)
}
