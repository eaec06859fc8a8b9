package cluster

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/standin/store"
)

// restorableNode returns a node with a stand-in for the store.
func restorableNode(t *testing.T) (*Node, *store.Store) {
	backend := store.New()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	n := New(Settings{ID: "d1", Store: addr, LeaseMin: time.Second}, noTraffic{}, metrics.NewSet(), zerolog.Nop())
	return n, backend
}

// TestTermsAfterRestore checks that terms increase although a restored store assigns offsets again.
// Instances reject orders of an earlier term, but would accept those of two planners in the same
// term.
func TestTermsAfterRestore(t *testing.T) {
	c := qt.New(t)
	n, backend := restorableNode(t)
	begin := func() int64 {
		term, _ := n.beginTerm(t.Context())
		return term
	}
	copied := backend.Snapshot()
	last := int64(0)
	for range 2 {
		for range 3 {
			term := begin()
			c.Assert(term > last, qt.IsTrue, qt.Commentf("%d after %d", term, last))
			last = term
		}
		backend.Restore(copied)
	}
	c.Assert(begin() > last, qt.IsTrue)
}

// TestTermEndsWithEra checks that a planner begins a new term when the store was restored, even if
// it still holds the lease.
func TestTermEndsWithEra(t *testing.T) {
	c := qt.New(t)
	n, backend := restorableNode(t)
	h := leaseHolder{n: n, member: "m"}
	c.Assert(h.acquire(t.Context()), qt.IsNil)
	first := h.term
	c.Assert(first > 0, qt.IsTrue)
	copied := backend.Snapshot()
	c.Assert(h.acquire(t.Context()), qt.IsNil)
	c.Assert(h.term, qt.Equals, first)
	backend.Restore(copied)
	c.Assert(h.acquire(t.Context()), qt.IsNil)
	c.Assert(h.term > first, qt.IsTrue)
	c.Assert(n.lease.Load().term, qt.Equals, h.term)
}

// TestRegistersAfterRestore checks that a daemon registers again when a restored store lacks its
// roster entry. Otherwise starting daemons would not find it.
func TestRegistersAfterRestore(t *testing.T) {
	c := qt.New(t)
	n, backend := restorableNode(t)
	empty := backend.Snapshot()
	c.Assert(n.register(t.Context()), qt.IsNil)
	registered := func() int {
		records, _, err := n.store.Newest(t.Context(), rosterTopic)
		c.Assert(err, qt.IsNil)
		return len(records)
	}
	c.Assert(registered(), qt.Equals, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- n.keepRegistered(ctx) }()
	backend.Restore(empty)
	c.Assert(registered(), qt.Equals, 0)
	n.era.Store(n.store.Era())
	for end := time.Now().Add(3 * registerCheckInterval); registered() == 0 && time.Now().Before(end); {
		time.Sleep(registerCheckInterval / 10)
	}
	c.Assert(registered(), qt.Equals, 1)
	cancel()
	c.Assert(<-ended, qt.ErrorIs, context.Canceled)
}

// TestConfigAfterRestore checks that the configuration never regresses when the store is restored:
// a configuration in force stays, and a read of an older one confirms it; and a starting daemon
// does not apply an older one while a peer has a newer one. Otherwise revoked keys would be
// accepted again.
func TestConfigAfterRestore(t *testing.T) {
	c := qt.New(t)
	config := func(version string) []byte { return []byte(`{"Version":` + version + `}`) }
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	now := time.Now()
	inForce := func(o *owner) int64 {
		if o.config.routing == nil {
			return 0
		}
		return o.config.routing.Version
	}

	o.handleConfigRead(configRead{data: config("7"), requestedAt: now}, now)
	later := now.Add(time.Second)
	o.handleConfigRead(configRead{data: config("5"), requestedAt: later, end: models.Position{Era: 1}}, later)
	c.Assert(inForce(o), qt.Equals, int64(7))
	c.Assert(o.config.confirmedAt, qt.Equals, later, qt.Commentf("valid keys would be refused"))

	starting := newTestOwner(t)
	t.Cleanup(func() { c.Check(starting.n.links.stopAndWait(), qt.IsNil) })
	starting.handleConfigRead(configRead{data: config("5"), requestedAt: now, end: models.Position{Era: 1}}, now)
	c.Assert(inForce(starting), qt.Equals, int64(0), qt.Commentf("no heartbeat was received yet"))
	starting.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "d9", Addr: "127.0.0.1:9", ConfigVersion: 7}, receivedAt: now})
	starting.applyPendingConfig(now.Add(plannerDiscoveryTimeout))
	c.Assert(inForce(starting), qt.Equals, int64(0), qt.Commentf("a peer has a newer one"))
	starting.applyConfig(config("7"), now, "peer")
	starting.applyPendingConfig(now.Add(plannerDiscoveryTimeout))
	c.Assert(inForce(starting), qt.Equals, int64(7))

	alone := newTestOwner(t)
	began := time.Now()
	alone.handleConfigRead(configRead{data: config("5"), requestedAt: began, end: models.Position{Era: 1}}, began)
	c.Assert(inForce(alone), qt.Equals, int64(0))
	alone.applyPendingConfig(began.Add(plannerDiscoveryTimeout))
	c.Assert(inForce(alone), qt.Equals, int64(5), qt.Commentf("all daemons were killed: no peer has a newer one"))

	first := newTestOwner(t)
	first.handleConfigRead(configRead{data: config("5"), requestedAt: now}, now)
	c.Assert(inForce(first), qt.Equals, int64(5), qt.Commentf("the store was never restored"))
}

// TestTruncatedReadIsNotCurrent checks that a read that the store truncated does not make entries
// current. A daemon that was 25 s behind regarded its entries as current after the first megabyte
// of fifteen.
func TestTruncatedReadIsNotCurrent(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	o.handleEntries(readResult{end: models.Position{Offset: 5}, requestedAt: now, more: true}, false)
	c.Assert(o.fleet.entries.end.Offset, qt.Equals, int64(5))
	c.Assert(o.fleet.entries.currentAt.IsZero(), qt.IsTrue)
	o.handleEntries(readResult{end: models.Position{Offset: 9}, requestedAt: now}, false)
	c.Assert(o.fleet.entries.currentAt, qt.Equals, now)
}

// TestReaderSkipsKnownRecords checks that a daemon skips records that it knows from other daemons,
// and reads a snapshot once the store has lost that position.
func TestReaderSkipsKnownRecords(t *testing.T) {
	c := qt.New(t)
	n, backend := restorableNode(t)
	copied := backend.Snapshot()
	for range 3 {
		backend.Put(platform.InstancesTopic, "i-1", []byte("{}"))
	}
	f := topicReader{n: n, topic: platform.InstancesTopic, knownEnd: n.knownEnd, holdTime: func() time.Duration { return 0 }}
	f.onSnapshot = func(r readResult) message { return instancesSnapshot{r} }
	f.onDelta = func(r readResult) message { return instancesDelta{r} }
	n.entriesEnd.Store(&models.Position{Offset: 2})
	read := func() message {
		c.Assert(f.readOnce(t.Context()), qt.IsNil)
		return <-n.inbox
	}
	delta, ok := read().(instancesDelta)
	c.Assert(ok, qt.IsTrue)
	c.Assert(delta.records, qt.HasLen, 1)
	c.Assert(delta.end.Offset, qt.Equals, int64(3))

	backend.Restore(copied)
	c.Assert(f.readOnce(t.Context()), qt.ErrorIs, platform.ErrExpired)
	f.positioned, f.ignoreKnown = false, true
	snapshot, ok := read().(instancesSnapshot)
	c.Assert(ok, qt.IsTrue)
	c.Assert(snapshot.end, qt.Equals, models.Position{Era: 1})
}
