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

// toldWithin is how long all daemons may take to learn what one of them found: a tenth of
// the time after which a request may hardly be sent any more.
const toldWithin = 300 * time.Millisecond

// met is how long daemons that start may take to find each other.
const met = 5 * time.Second

// peerNode is a daemon that only hears and tells others.
type peerNode struct {
	*Node
	cancel context.CancelFunc
	tasks  []task.Task
}

// startPeer starts a daemon that knows these others from the roster.
func startPeer(t *testing.T, id models.DaemonID, zone models.Zone, others []*peerNode) *peerNode {
	c := qt.New(t)
	l := listen(t)
	c.Assert(l.Close(), qt.IsNil)
	n := New(Settings{ID: id, Zone: zone, Peer: netip.MustParseAddrPort(l.Addr().String()), InstanceHeartbeat: time.Second, LeaseMin: time.Second},
		noTraffic{}, metrics.NewSet(), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	p := &peerNode{Node: n, cancel: cancel}
	server, err := listenPeers(n)
	c.Assert(err, qt.IsNil)
	o := newOwner(n)
	close(n.partKnown)
	for _, other := range others {
		c.Assert(o.enter(other.cfg.ID, other.entry()), qt.IsNil)
	}
	p.tasks = []task.Task{
		task.Start(ctx, "owner", o.run), task.Start(ctx, "clock", n.clock.Run), task.Start(ctx, "peers", server.run),
		task.Start(ctx, "permits", n.permits.run),
	}
	t.Cleanup(p.stop)
	return p
}

// startPeers starts daemons in some zones and waits until all know of each other and have
// agreed on relays.
func startPeers(t *testing.T, daemons, zones int) []*peerNode {
	var peers []*peerNode
	for n := range daemons {
		peers = append(peers, startNth(t, n, zones, peers))
	}
	waitAll(qt.New(t), peers, met, "met", func(p *peerNode) bool { return p.View().Daemons == daemons })
	time.Sleep(met / 5)
	return peers
}

// startNth starts one more daemon, in the zone whose turn it is.
func startNth(t *testing.T, n, zones int, others []*peerNode) *peerNode {
	return startPeer(t, models.DaemonID(fmt.Sprintf("d%02d", n)), models.Zone(fmt.Sprint("z", n%zones)), others)
}

// entry is what the daemon writes of itself into the roster.
func (p *peerNode) entry() rosterEntry {
	return rosterEntry{Zone: p.cfg.Zone, Addr: p.cfg.Peer.String(), Incarnation: p.started, Unpacks: true}
}

// stop ends the daemon. Its parts end with its context.
func (p *peerNode) stop() {
	p.cancel()
	_ = p.links.wait()
	_ = task.Wait(p.tasks...)
}

// knows reports whether the daemon holds so many crashes against a request.
func (p *peerNode) knows(d quarantine.Digest, crashes int) bool {
	return p.quarantine.Standing(d).Crashes == crashes
}

// waitAll waits until something holds for all daemons, and returns how long that took.
func waitAll(c *qt.C, peers []*peerNode, bound time.Duration, what string, holds func(*peerNode) bool) time.Duration {
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

// Instances crash under a request that comes to another daemon each time. All of them know
// it long before the caller is back, in a mesh and where relays pass it on; a crash that two
// daemons saw counts once; one that starts later, or lost all connections, learns it from
// the first daemon that it reaches; and all take it back once it ended well at any of them.
func TestQuarantineIsTold(t *testing.T) {
	for _, test := range []struct {
		name    string
		daemons int
		zones   int
	}{{"mesh", 3, 1}, {"relays", 24, 3}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			peers := startPeers(t, test.daemons, test.zones)
			guilty, other := quarantine.Request{Target: "/crashes"}.Digest(), quarantine.Request{Target: "/other"}.Digest()

			peers[0].quarantine.Crashed(crashed("i1", guilty, other))
			peers[1].quarantine.Crashed(crashed("i1", guilty))
			waitAll(c, peers, toldWithin, "told of one crash", func(p *peerNode) bool { return p.knows(guilty, 1) && p.knows(other, 1) })
			peers[test.daemons-1].quarantine.Crashed(crashed("i2", guilty))
			waitAll(c, peers, toldWithin, "told of two", func(p *peerNode) bool { return p.knows(guilty, 2) })
			peers[test.daemons/2].quarantine.Crashed(crashed("i3", guilty))
			took := waitAll(c, peers, toldWithin, "refusing", func(p *peerNode) bool { return p.quarantine.Standing(guilty).Quarantined })
			t.Logf("all %d refuse the request after %v", test.daemons, took.Round(time.Millisecond))
			peers[1].quarantine.EndedWell(other)
			waitAll(c, peers, toldWithin, "told who ended well", func(p *peerNode) bool { return p.knows(other, 0) })

			late := startNth(t, test.daemons, test.zones, peers)
			took = waitAll(c, []*peerNode{late}, met, "refusing", func(p *peerNode) bool { return p.quarantine.Standing(guilty).Quarantined })
			t.Logf("one that starts refuses it after %v", took.Round(time.Millisecond))
			c.Assert(late.knows(other, 0), qt.IsTrue)
		})
	}
}

// TestCrashNewsRoundTrip checks what of a crash is told, and that it takes few bytes: all
// daemons are told each one.
func TestCrashNewsRoundTrip(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	guilty, other := quarantine.Request{Target: "/crashes"}.Digest(), quarantine.Request{Target: "/other"}.Digest()
	crash := quarantine.Crash{
		Instance: "i-1e5e60a8b1", StartedAt: time.UnixMilli(1_780_000_000_000), At: now.Add(-time.Second),
		Requests: map[quarantine.Digest]bool{guilty: false, other: true},
	}
	body, err := pack.Marshal(News{Crashes: []CrashNews{newsOf(crash, now)}})
	c.Assert(err, qt.IsNil)
	const most = 64 + 2*40
	c.Assert(len(body) <= most, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
	var news News
	c.Assert(pack.Unmarshal(body, &news), qt.IsNil)
	got := news.Crashes[0].crash(now)
	c.Assert(got.StartedAt.Equal(crash.StartedAt), qt.IsTrue)
	got.StartedAt = crash.StartedAt
	c.Assert(got, qt.DeepEquals, crash)
}
