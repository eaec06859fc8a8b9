package cluster

import (
	"context"
	"fmt"
	"net"
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

// TestReplacedDaemonsCountForGood guards against daemons that were replaced as planned, and that the others
// go on to count, to look for and to choose as relays.
func TestReplacedDaemonsCountForGood(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	now := time.Now()
	const live, replaced = 5, 33
	for n := range live + replaced {
		id, addr := models.DaemonID(fmt.Sprintf("d%d", n+2)), fmt.Sprintf("127.0.0.1:%d", n+2)
		o.handleRoster([]platform.KeyedRecord{rosterRecord(c, string(id), rosterEntry{Zone: "z", Addr: addr, Incarnation: 1, CPUCores: 1})})
		hear := func(leaving bool) {
			o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: id, Incarnation: 1, Addr: addr, Zone: "z", CPUCores: 1, Registered: true, Leaving: leaving}, receivedAt: now})
		}
		hear(false)
		if n < replaced {
			hear(true)
			hear(true)
			o.handleRoster([]platform.KeyedRecord{{Key: string(id)}})
		}
		o.updateTopology(now)
		c.Assert(o.peers.topology.IsMesh, qt.IsTrue, qt.Commentf("after %d daemons", n+1))
	}
	c.Assert(o.peers.topology.Size, qt.Equals, live+1)
	c.Assert(o.peers.addrs, qt.HasLen, live)
	c.Assert(o.peers.seen, qt.HasLen, live)
}

// TestDaemonLeaves checks that a daemon that stops as planned is forgotten at once, and that its entry is
// gone from the roster.
func TestDaemonLeaves(t *testing.T) {
	c := qt.New(t)
	backend := store.New()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	start := func(id models.DaemonID) (n *Node, stop func()) {
		free, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		peer := netip.MustParseAddrPort(free.Addr().String())
		c.Assert(free.Close(), qt.IsNil)
		n = New(Settings{
			ID: id, Zone: "z", Peer: peer, Store: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
			LeaseMin: time.Second, InstanceHeartbeat: time.Second, CPUCores: 1,
		}, noTraffic{}, metrics.NewSet(), zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		return n, func() {
			cancel()
			c.Check(<-ended, qt.IsNil)
		}
	}
	staying, stop := start("d1")
	defer stop()
	leaving, end := start("d2")
	eventually(c, "both know each other", func() bool { return staying.View().Daemons == 2 && leaving.View().Daemons == 2 })
	listed := func() string {
		records, _, err := staying.store.Newest(t.Context(), rosterTopic)
		c.Assert(err, qt.IsNil)
		out := ""
		for _, r := range records {
			out += r.Key + " "
		}
		return out
	}
	eventually(c, "both are registered", func() bool { return listed() == "d1 d2 " })
	leaving.Resign()
	eventually(c, "the roster has one entry", func() bool { return listed() == "d1 " })
	c.Assert(leaving.Leave(t.Context()), qt.IsNil)
	end()
	eventually(c, "the other one is forgotten", func() bool { return staying.View().Daemons == 1 })
}

// TestRemovedEntryStaysAway guards against a running daemon that those which start can't find, because its entry
// was removed from the roster: by another daemon from which it was cut off, or by a late call of its earlier
// process.
func TestRemovedEntryStaysAway(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	read := func(records ...platform.KeyedRecord) {
		o.handleRoster(records)
		o.updateTopology(time.Now().Add(topologyInterval))
		o.publish()
	}
	own := rosterRecord(c, "d1", rosterEntry{Zone: "z", Addr: "127.0.0.1:9", Incarnation: 1, CPUCores: 1})
	o.n.registered.Store(true)
	read(own)
	c.Assert(o.n.mustRegister(), qt.IsFalse)
	c.Assert(o.peers.roster.IsRegistered(), qt.IsTrue)
	read(platform.KeyedRecord{Key: "d1"})
	c.Assert(o.n.mustRegister(), qt.IsTrue)
	c.Assert(o.peers.roster.IsRegistered(), qt.IsFalse)

	o.n.Resign()
	c.Assert(o.n.mustRegister(), qt.IsFalse, qt.Commentf("a daemon that stops has removed it itself"))
}

// eventually waits for a condition.
func eventually(c *qt.C, what string, holds func() bool) {
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			c.Fatalf("not in 10 s: %s", what)
		}
	}
}
