package cluster

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// rosterRecord returns a record of the roster.
func rosterRecord(c *qt.C, id string, entry any) platform.KeyedRecord {
	value, err := pack.Marshal(entry)
	c.Assert(err, qt.IsNil)
	return platform.KeyedRecord{Key: id, Value: value}
}

// TestOddRosterEntryCountsAsDaemon guards against records of other writers in the roster that count as
// registered daemons, or make daemons rank each other differently.
func TestOddRosterEntryCountsAsDaemon(t *testing.T) {
	c := qt.New(t)
	valid := rosterEntry{Zone: "z", Addr: "127.0.0.1:9", Incarnation: 1, CPUCores: 1}
	odd := func(change func(*rosterEntry)) rosterEntry {
		entry := valid
		change(&entry)
		return entry
	}
	for name, record := range map[string]platform.KeyedRecord{
		"no address":        rosterRecord(c, "d9", odd(func(e *rosterEntry) { e.Addr = "" })),
		"host name":         rosterRecord(c, "d9", odd(func(e *rosterEntry) { e.Addr = "host:9" })),
		"port out of range": rosterRecord(c, "d9", odd(func(e *rosterEntry) { e.Addr = "127.0.0.1:99999" })),
		"port 0":            rosterRecord(c, "d9", odd(func(e *rosterEntry) { e.Addr = "127.0.0.1:0" })),
		"any address":       rosterRecord(c, "d9", odd(func(e *rosterEntry) { e.Addr = "0.0.0.0:9" })),
		"cores NaN":         rosterRecord(c, "d9", odd(func(e *rosterEntry) { e.CPUCores = math.NaN() })),
		"cores infinite":    rosterRecord(c, "d9", odd(func(e *rosterEntry) { e.CPUCores = math.Inf(1) })),
		"cores negative":    rosterRecord(c, "d9", odd(func(e *rosterEntry) { e.CPUCores = -1 })),
		"cores too many":    rosterRecord(c, "d9", odd(func(e *rosterEntry) { e.CPUCores = 1e30 })),
		"negative start":    rosterRecord(c, "d9", odd(func(e *rosterEntry) { e.Incarnation = math.MinInt64 })),
		"no ID":             rosterRecord(c, "", valid),
		"a list":            rosterRecord(c, "d9", []int{1}),
		"nested":            rosterRecord(c, "d9", map[string]any{"z": []any{[]any{[]any{}}}}),
		"no msgpack":        {Key: "d9", Value: []byte("{}")},
		"removed":           {Key: "d9"},
	} {
		o := newTestOwner(t)
		o.handleRoster([]platform.KeyedRecord{record, rosterRecord(c, "d2", valid)})
		c.Check(o.peers.roster.Knows(models.DaemonID(record.Key)), qt.IsFalse, qt.Commentf("%s", name))
		c.Check(o.peers.roster.Knows("d2"), qt.IsTrue, qt.Commentf("%s", name))
	}
}

// TestOddRosterEntryHidesDaemon guards against a record of another writer, with a start time far ahead
// under the ID of a daemon, whose address is kept although the daemon sends heartbeats from its own.
func TestOddRosterEntryHidesDaemon(t *testing.T) {
	c := qt.New(t)
	for _, heardBefore := range []bool{false, true} {
		o := newTestOwner(t)
		c.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
		now := time.Now()
		hear := func(incarnation int64, addr string, at time.Time) {
			o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "d2", Incarnation: incarnation, Addr: addr, Zone: "z", CPUCores: 1}, receivedAt: at})
		}
		known := func() string { return o.peers.addrs["d2"].addr.String() }
		if heardBefore {
			hear(5, "127.0.0.1:2", now)
			c.Check(known(), qt.Equals, "127.0.0.1:2")
		}
		o.handleRoster([]platform.KeyedRecord{rosterRecord(c, "d2", rosterEntry{Zone: "z", Addr: "127.0.0.1:9", Incarnation: math.MaxInt64, CPUCores: 1})})
		for at := now; at.Before(now.Add(6 * time.Second)); at = at.Add(heartbeatInterval) {
			hear(5, "127.0.0.1:2", at)
		}
		c.Check(known(), qt.Equals, "127.0.0.1:2", qt.Commentf("heard before: %t", heardBefore))
		hear(6, "127.0.0.1:3", now.Add(9*time.Second))
		c.Check(known(), qt.Equals, "127.0.0.1:3")
	}
}

// TestLateHeartbeatHidesRestart checks that a daemon that has started again, at another address, is not
// hidden by a late heartbeat of the process before.
func TestLateHeartbeatHidesRestart(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	c.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	hear := func() {
		o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "d2", Incarnation: 5, Addr: "127.0.0.1:2", Zone: "z", CPUCores: 1}, receivedAt: time.Now()})
	}
	hear()
	o.handleRoster([]platform.KeyedRecord{rosterRecord(c, "d2", rosterEntry{Zone: "z", Addr: "127.0.0.1:3", Incarnation: 6, CPUCores: 1})})
	hear()
	c.Check(o.peers.addrs["d2"].addr.String(), qt.Equals, "127.0.0.1:3")
}
