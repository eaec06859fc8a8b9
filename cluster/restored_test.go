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

// restorableNode is a node on a stand-in of the store.
func restorableNode(t *testing.T) (*Node, *store.Store) {
	backend := store.New()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	n := New(Settings{ID: "d1", Store: addr, LeaseMin: time.Second}, noTraffic{}, metrics.NewSet(), zerolog.Nop())
	return n, backend
}

// TestTermsAfterRestore checks that no term is given twice, and none lower than one
// before, though the store gives out offsets again: instances refuse orders of an earlier
// term, and would take those of two planners in the same.
func TestTermsAfterRestore(t *testing.T) {
	c := qt.New(t)
	n, backend := restorableNode(t)
	begin := func() int64 {
		term, _ := n.beginTerm(t.Context())
		return term
	}
	copied := backend.Copy()
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

// TestTermEndsWithEra checks that a planner begins another term when the store has come
// back, though it still holds the lease.
func TestTermEndsWithEra(t *testing.T) {
	c := qt.New(t)
	n, backend := restorableNode(t)
	h := leaseHolder{n: n, member: "m"}
	c.Assert(h.acquire(t.Context()), qt.IsNil)
	first := h.term
	c.Assert(first > 0, qt.IsTrue)
	copied := backend.Copy()
	c.Assert(h.acquire(t.Context()), qt.IsNil)
	c.Assert(h.term, qt.Equals, first)
	backend.Restore(copied)
	c.Assert(h.acquire(t.Context()), qt.IsNil)
	c.Assert(h.term > first, qt.IsTrue)
	c.Assert(n.lease.Load().term, qt.Equals, h.term)
}

// TestEnrolledAnew checks that a daemon enters itself again when the store came back
// without its entry: a daemon that starts would not find it.
func TestRegistersAfterRestore(t *testing.T) {
	c := qt.New(t)
	n, backend := restorableNode(t)
	empty := backend.Copy()
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

// TestConfigAfterRestore checks that a configuration never goes back with the store: not
// where one is in force, which the copy proves to be the newest, and not at a daemon that
// starts, as long as another one has a newer one. A key that was taken away would be
// good again.
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
	o.handleConfigRead(configRead{data: config("5"), requestedAt: later, era: 1}, later)
	c.Assert(inForce(o), qt.Equals, int64(7))
	c.Assert(o.config.confirmedAt, qt.Equals, later, qt.Commentf("good keys would be refused"))

	starting := newTestOwner(t)
	t.Cleanup(func() { c.Check(starting.n.links.stopAndWait(), qt.IsNil) })
	starting.handleConfigRead(configRead{data: config("5"), requestedAt: now, era: 1}, now)
	c.Assert(inForce(starting), qt.Equals, int64(0), qt.Commentf("nobody was heard yet"))
	starting.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "d9", Addr: "127.0.0.1:9", ConfigVersion: 7}, receivedAt: now})
	starting.applyPendingConfig(now.Add(plannerDiscoveryTimeout))
	c.Assert(inForce(starting), qt.Equals, int64(0), qt.Commentf("another one has a newer one"))
	starting.applyConfig(config("7"), now, "peer")
	starting.applyPendingConfig(now.Add(plannerDiscoveryTimeout))
	c.Assert(inForce(starting), qt.Equals, int64(7))

	alone := newTestOwner(t)
	began := time.Now()
	alone.handleConfigRead(configRead{data: config("5"), requestedAt: began, era: 1}, began)
	c.Assert(inForce(alone), qt.Equals, int64(0))
	alone.applyPendingConfig(began.Add(plannerDiscoveryTimeout))
	c.Assert(inForce(alone), qt.Equals, int64(5), qt.Commentf("all were killed: nobody knows a newer one"))

	first := newTestOwner(t)
	first.handleConfigRead(configRead{data: config("5"), requestedAt: now}, now)
	c.Assert(inForce(first), qt.Equals, int64(5), qt.Commentf("the store never came back from a copy"))
}

// TestPartOfWhatWasWritten checks that a reading which the store cut short proves nothing
// of what stands behind it: a daemon that was 25 s behind took itself for current after
// the first megabyte of fifteen.
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

// TestReadingsSkipWhatIsKnown checks that a daemon which was told of entries by others
// reads from there on, and all anew once the store has lost that place.
func TestReaderSkipsKnownRecords(t *testing.T) {
	c := qt.New(t)
	n, backend := restorableNode(t)
	copied := backend.Copy()
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
