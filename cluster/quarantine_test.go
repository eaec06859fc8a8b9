package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

// propagationTimeout is how long an update may take to reach all daemons: a tenth of the time after
// which a request must hardly be sent any more.
const propagationTimeout = 300 * time.Millisecond

// discoveryTimeout is how long starting daemons may take to discover each other.
const discoveryTimeout = 5 * time.Second

// testPeer is a daemon without a store.
type testPeer struct {
	*Node
	cancel context.CancelFunc
	tasks  []task.Task
}

// startPeer starts a daemon that knows some others from the roster.
func startPeer(t *testing.T, id models.DaemonID, zone models.Zone, others []*testPeer) *testPeer {
	c := qt.New(t)
	l := listenTCP(t)
	c.Assert(l.Close(), qt.IsNil)
	n := New(Settings{ID: id, Zone: zone, Peer: netip.MustParseAddrPort(l.Addr().String()), InstanceHeartbeat: time.Second, LeaseMin: time.Second},
		noTraffic{}, metrics.NewSet(), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	p := &testPeer{Node: n, cancel: cancel}
	server, err := listenPeers(n)
	c.Assert(err, qt.IsNil)
	o := newOwner(n)
	close(n.rosterReady)
	for _, other := range others {
		c.Assert(o.addPeer(other.cfg.ID, other.entry()), qt.IsNil)
	}
	p.tasks = []task.Task{
		task.Start(ctx, "owner", o.run), task.Start(ctx, "clock", n.clock.Run), task.Start(ctx, "peers", server.run),
		task.Start(ctx, "permits", n.permits.run),
	}
	t.Cleanup(p.stop)
	return p
}

// startPeers starts daemons in a number of zones, and waits until all have discovered each other
// and chosen relays.
func startPeers(t *testing.T, daemons, zones int) []*testPeer {
	var peers []*testPeer
	for n := range daemons {
		peers = append(peers, startNth(t, n, zones, peers))
	}
	waitAll(qt.New(t), peers, discoveryTimeout, "discovered", func(p *testPeer) bool { return p.View().Daemons == daemons })
	time.Sleep(discoveryTimeout / 5)
	return peers
}

// startNth starts one more daemon. Zones are assigned round-robin.
func startNth(t *testing.T, n, zones int, others []*testPeer) *testPeer {
	return startPeer(t, models.DaemonID(fmt.Sprintf("d%02d", n)), models.Zone(fmt.Sprint("z", n%zones)), others)
}

// entry returns the daemon's roster entry.
func (p *testPeer) entry() rosterEntry {
	return rosterEntry{Zone: p.cfg.Zone, Addr: p.cfg.Peer.String(), Incarnation: p.incarnation(), AcceptsCompressed: true}
}

// stop stops the daemon and waits for its goroutines.
func (p *testPeer) stop() {
	p.cancel()
	_ = p.links.stopAndWait()
	_ = task.Wait(p.tasks...)
}

// hasCrashes reports whether the daemon attributes a number of crashes to a request.
func (p *testPeer) hasCrashes(d quarantine.Digest, crashes int) bool {
	return p.quarantine.Status(d).Crashes == crashes
}

// waitAll waits until a condition holds for all daemons, and returns how long that took.
func waitAll(c *qt.C, peers []*testPeer, bound time.Duration, what string, holds func(*testPeer) bool) time.Duration {
	began := time.Now()
	for _, p := range peers {
		for !holds(p) {
			if time.Since(began) > bound {
				c.Fatalf("%s: not %s after %v", p.cfg.ID, what, bound)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

func crashed(instance models.InstanceID, requests ...quarantine.Digest) quarantine.Crash {
	out := quarantine.Crash{Instance: instance, At: time.Now(), Requests: map[quarantine.Digest]bool{}}
	for _, d := range requests {
		out.Requests[d] = false
	}
	return out
}

// TestQuarantinePropagation crashes instances with a request that comes to a different daemon each
// time. All daemons must know each crash long before the caller retries, in a mesh and through
// relays. A crash that two daemons observed counts once. A daemon that starts, or lost all
// connections, gets the crashes from its first peer. When an instance answers the request, all
// daemons clear it.
func TestQuarantinePropagation(t *testing.T) {
	for _, test := range []struct {
		name    string
		daemons int
		zones   int
	}{{"mesh", 3, 1}, {"relays", 24, 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peers := startPeers(t, test.daemons, test.zones)
			crashing, other := quarantine.Request{Target: "/crashes"}.Digest(), quarantine.Request{Target: "/other"}.Digest()

			peers[0].quarantine.RecordCrash(crashed("i1", crashing, other))
			peers[1].quarantine.RecordCrash(crashed("i1", crashing))
			waitAll(c, peers, propagationTimeout, "aware of one crash", func(p *testPeer) bool { return p.hasCrashes(crashing, 1) && p.hasCrashes(other, 1) })
			peers[test.daemons-1].quarantine.RecordCrash(crashed("i2", crashing))
			waitAll(c, peers, propagationTimeout, "aware of two crashes", func(p *testPeer) bool { return p.hasCrashes(crashing, 2) })
			peers[test.daemons/2].quarantine.RecordCrash(crashed("i3", crashing))
			took := waitAll(c, peers, propagationTimeout, "refusing", func(p *testPeer) bool { return p.quarantine.Status(crashing).Quarantined })
			t.Logf("all %d refuse the request after %v", test.daemons, took.Round(time.Millisecond))
			peers[1].quarantine.Clear(other)
			waitAll(c, peers, propagationTimeout, "aware of the cleared request", func(p *testPeer) bool { return p.hasCrashes(other, 0) })

			late := startNth(t, test.daemons, test.zones, peers)
			took = waitAll(c, []*testPeer{late}, discoveryTimeout, "refusing", func(p *testPeer) bool { return p.quarantine.Status(crashing).Quarantined })
			t.Logf("a starting daemon refuses it after %v", took.Round(time.Millisecond))
			c.Assert(late.hasCrashes(other, 0), qt.IsTrue)
		})
	}
}

// TestCrashUpdateRoundTrip checks that encoding keeps a crash, and that it is small, because it is
// sent to all daemons.
func TestCrashUpdateRoundTrip(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	crashing, other := quarantine.Request{Target: "/crashes"}.Digest(), quarantine.Request{Target: "/other"}.Digest()
	crash := quarantine.Crash{
		Instance: "i-1e5e60a8b1", StartedAt: time.UnixMilli(1_780_000_000_000), At: now.Add(-time.Second),
		Requests: map[quarantine.Digest]bool{crashing: false, other: true},
	}
	body, err := pack.Marshal(Update{Crashes: []CrashUpdate{crashUpdateOf(crash, now)}})
	c.Assert(err, qt.IsNil)
	const most = 64 + 2*40
	c.Assert(len(body) <= most, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
	var update Update
	c.Assert(pack.Unmarshal(body, &update), qt.IsNil)
	got := update.Crashes[0].toCrash(now)
	c.Assert(got.StartedAt.Equal(crash.StartedAt), qt.IsTrue)
	got.StartedAt = crash.StartedAt
	c.Assert(got, qt.DeepEquals, crash)
}
