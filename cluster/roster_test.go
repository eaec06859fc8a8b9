package cluster

import (
	"math"
	"testing"

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
