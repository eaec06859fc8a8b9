package cluster

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/models"
)

// listenTCP listens at a free port on behalf of a daemon.
func listenTCP(t *testing.T) *net.TCPListener {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// TestLinkToNewDaemon checks that a daemon connects to a daemon that it learns of from a heartbeat,
// without reading the roster. When it read the roster, 61 daemons that started at once each did so
// up to 61 times.
func TestLinkToNewDaemon(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.cfg.Peer = netip.MustParseAddrPort("127.0.0.1:7340")
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	old, moved := listenTCP(t), listenTCP(t)
	receive := func(incarnation int64, l net.Listener) {
		o.handleHeartbeat(heartbeatReceived{heartbeat: Heartbeat{From: "d2", Incarnation: incarnation, Addr: l.Addr().String()}, receivedAt: time.Now()})
		o.updateTopology(time.Now())
	}
	acceptHeartbeat := func(l *net.TCPListener) (Heartbeat, error) {
		if err := l.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
			return Heartbeat{}, err
		}
		conn, err := l.Accept()
		if err != nil {
			return Heartbeat{}, err
		}
		t.Cleanup(func() { conn.Close() })
		_, body, err := frame.Read(bufio.NewReader(conn))
		if err != nil {
			return Heartbeat{}, err
		}
		var b Heartbeat
		return b, frame.Decode(body, &b)
	}

	receive(1, old)
	heartbeat, err := acceptHeartbeat(old)
	c.Assert(err, qt.IsNil)
	c.Assert(heartbeat.From, qt.Equals, models.DaemonID("d1"))
	c.Assert(heartbeat.Addr, qt.Equals, "127.0.0.1:7340")

	receive(2, moved)
	_, err = acceptHeartbeat(moved)
	c.Assert(err, qt.IsNil)

	receive(1, old)
	c.Assert(o.n.links.peers["d2"].addr.String(), qt.Equals, moved.Addr().String(), qt.Commentf("a heartbeat of an earlier incarnation is late"))
}

// TestUndatedSnapshotIsRequestedAgain guards against a snapshot that is sent to a starting daemon before
// a heartbeat with an echo: the daemon can't date it, and asks for it again.
func TestUndatedSnapshotIsRequestedAgain(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	f, ok := o.n.links.encode(frameUpdate, Update{From: "d1", Term: 1, Seq: 7, Snapshot: true})
	c.Assert(ok, qt.IsTrue)
	l := listenTCP(t)
	c.Assert(o.addPeer("d2", rosterEntry{Addr: l.Addr().String(), Incarnation: 1}), qt.IsNil)
	o.updateTopology(time.Now())
	conn, err := l.Accept()
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(3*time.Second)), qt.IsNil)
	peer := newTestOwner(t).n
	for sent := false; ; {
		kind, body, err := frame.Read(conn)
		c.Assert(err, qt.IsNil)
		switch kind {
		case frameHeartbeat:
			var b Heartbeat
			c.Assert(frame.Decode(body, &b), qt.IsNil)
			peer.echoes.receive(b.completed(Heartbeat{From: "d1"}), time.Now())
			if !sent {
				o.n.echoes.receive(Heartbeat{From: "d2", Clock: peer.echoes.own.Read(time.Now())}, time.Now())
				c.Assert(o.n.links.sendTo("d2", f), qt.IsTrue)
				sent = true
			}
		case frameUpdate:
			dated := peer.echoes.writtenAfter("d1", o.n.echoes.own.Read(time.Now()), time.Now())
			c.Assert(dated.IsZero(), qt.IsFalse)
			return
		}
	}
}

// TestSnapshotsAtMassStart checks how long it takes a relay to send snapshots of 3,000 instances to
// 97 daemons of its zone that start at once, at 200 Mbit/s. It must be well below the time after
// which a relay without heartbeats is regarded as dead. It takes 0.34 s. Uncompressed it took
// 2.5 s; then the daemons asked the next relay, and so on forever. Older versions, which can't read
// compressed frames, get plain ones.
func TestSnapshotsAtMassStart(t *testing.T) {
	c := qt.New(t)
	const (
		members      = 97
		bytesASecond = 200e6 / 8
		bound        = 500 * time.Millisecond
	)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.stopAndWait(), qt.IsNil) })
	update := Update{From: "d1", Term: 1, Seq: 7, Snapshot: true, Instances: manyInstances(3000)}
	f, ok := o.n.links.encode(frameUpdate, update)
	c.Assert(ok, qt.IsTrue)
	for id, unpacks := range map[models.DaemonID]bool{"older": false, "d2": true} {
		l := listenTCP(t)
		c.Assert(o.addPeer(id, rosterEntry{Addr: l.Addr().String(), Incarnation: 1, AcceptsCompressed: unpacks}), qt.IsNil)
		o.updateTopology(time.Now())
		sent := firstUpdateOn(c, l, func() { c.Assert(o.n.links.sendTo(id, f), qt.IsTrue) })

		c.Assert(frame.Kind(sent[kindOffset]) == frameUpdate, qt.Equals, !unpacks, qt.Commentf("an older version reads plain frames only"))
		took := time.Duration(float64(members*len(sent)) / bytesASecond * float64(time.Second))
		c.Assert(took < bound, qt.Equals, unpacks, qt.Commentf("%s: %v", id, took))
		kind, body, err := frame.Read(bytes.NewReader(sent))
		c.Assert(err, qt.IsNil)
		c.Assert(kind, qt.Equals, frameUpdate)
		var got Update
		c.Assert(frame.Decode(body, &got), qt.IsNil)
		c.Assert(got.Instances, qt.HasLen, len(update.Instances))
		c.Assert(got.Instances[2999].Instance.ID, qt.Equals, update.Instances[2999].Instance.ID)
	}
}

// kindOffset is the offset of the kind in a frame.
const kindOffset = 4

// firstUpdateOn returns the first frame on a link that is no heartbeat. It calls send once the link
// is up.
func firstUpdateOn(c *qt.C, l *net.TCPListener, send func()) []byte {
	conn, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(3*time.Second)), qt.IsNil)
	for sent := false; ; sent = true {
		var bytesOf bytes.Buffer
		kind, _, err := frame.Read(io.TeeReader(conn, &bytesOf))
		c.Assert(err, qt.IsNil)
		if kind == frameUpdate {
			return bytesOf.Bytes()
		}
		if !sent {
			send()
		}
	}
}

// manyInstances returns updates of n instances in groups of four.
func manyInstances(n int) []InstanceUpdate {
	r := rand.New(rand.NewSource(int64(n)))
	updates := make([]InstanceUpdate, 0, n)
	for i := range n {
		group := i / 4
		updates = append(updates, InstanceUpdate{Age: time.Duration(r.Int63n(1e9)), Instance: models.UpstreamInstance{
			ID: models.InstanceID(fmt.Sprintf("i-%010x", r.Int63n(1<<40))), Service: "engines", Slots: 30,
			Zone:   models.Zone(fmt.Sprintf("zone-%d", i%3)),
			Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(r.Intn(256)), byte(r.Intn(256))}), uint16(8000+r.Intn(500))),
			Domain: models.Domain(fmt.Sprintf("fabric-%d", i/37)), LoadedModel: "small-model", StagedModels: []models.ModelName{"small-model", "large-model"},
			HeartbeatSeq: r.Int63n(30),
			Group: models.Membership{
				Key:  models.GroupKey{Name: models.GroupID(fmt.Sprintf("small-model.m%03x", group)), Epoch: int64(group)},
				Rank: i % 4, State: models.MemberReady,
			},
		}})
	}
	return updates
}
