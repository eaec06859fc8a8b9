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

// listen is a daemon's address that a test listens at.
func listen(t *testing.T) *net.TCPListener {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// TestDaemonIsMet checks that a daemon answers one that it hears of for the
// first time, without asking the store for the roster: with 61 daemons that
// start at once, each followed the roster by up to 61 readings.
func TestDaemonIsMet(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.n.cfg.Peer = netip.MustParseAddrPort("127.0.0.1:7340")
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	old, moved := listen(t), listen(t)
	hear := func(incarnation int64, l net.Listener) {
		o.handleHeartbeat(heartbeatSeen{beat: Heartbeat{From: "d2", Incarnation: incarnation, Addr: l.Addr().String()}, at: time.Now()})
		o.arrange(time.Now())
	}
	told := func(l *net.TCPListener) (Heartbeat, error) {
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

	hear(1, old)
	beat, err := told(old)
	c.Assert(err, qt.IsNil)
	c.Assert(beat.From, qt.Equals, models.DaemonID("d1"))
	c.Assert(beat.Addr, qt.Equals, "127.0.0.1:7340")

	hear(2, moved)
	_, err = told(moved)
	c.Assert(err, qt.IsNil)

	hear(1, old)
	c.Assert(o.n.links.known["d2"].addr.String(), qt.Equals, moved.Addr().String(), qt.Commentf("an earlier run tells late"))
}

// TestStartOfManyDaemons replays how 97 daemons of a zone start and ask their relay
// for what it knows of 3,000 instances. The answers must fit well within the time
// after which a relay that is not heard counts as silent, on 200 Mbit/s. They take
// 0.34 s; uncompressed they took 2.5 s, the daemons asked the next relay, and so on
// without an end. An older program, which reads no compressed frames, gets none.
func TestStartOfManyDaemons(t *testing.T) {
	c := qt.New(t)
	const (
		members      = 97
		bytesASecond = 200e6 / 8
		bound        = 500 * time.Millisecond
	)
	o := newTestOwner(t)
	t.Cleanup(func() { c.Check(o.n.links.wait(), qt.IsNil) })
	news := News{From: "d1", Term: 1, Feed: 7, Whole: true, Instances: manyNews(3000)}
	f, ok := o.n.links.encode(frameNews, news)
	c.Assert(ok, qt.IsTrue)
	for id, unpacks := range map[models.DaemonID]bool{"older": false, "d2": true} {
		l := listen(t)
		c.Assert(o.enter(id, rosterEntry{Addr: l.Addr().String(), Incarnation: 1, Unpacks: unpacks}), qt.IsNil)
		o.arrange(time.Now())
		sent := sentOn(c, l, func() { c.Assert(o.n.links.tell(id, f), qt.IsTrue) })

		c.Assert(frame.Kind(sent[kindAt]) == frameNews, qt.Equals, !unpacks, qt.Commentf("an older program knows this kind alone"))
		took := time.Duration(float64(members*len(sent)) / bytesASecond * float64(time.Second))
		c.Assert(took < bound, qt.Equals, unpacks, qt.Commentf("%s: %v", id, took))
		kind, body, err := frame.Read(bytes.NewReader(sent))
		c.Assert(err, qt.IsNil)
		c.Assert(kind, qt.Equals, frameNews)
		var got News
		c.Assert(frame.Decode(body, &got), qt.IsNil)
		c.Assert(got.Instances, qt.HasLen, len(news.Instances))
		c.Assert(got.Instances[2999].Instance.ID, qt.Equals, news.Instances[2999].Instance.ID)
	}
}

// kindAt is where in a frame its kind stands.
const kindAt = 4

// sentOn returns the bytes of the first frame that is no heartbeat on the link to a
// listener. What is to be sent is handed over once the link has begun.
func sentOn(c *qt.C, l *net.TCPListener, tell func()) []byte {
	conn, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(3*time.Second)), qt.IsNil)
	for told := false; ; told = true {
		var bytesOf bytes.Buffer
		kind, _, err := frame.Read(io.TeeReader(conn, &bytesOf))
		c.Assert(err, qt.IsNil)
		if kind == frameNews {
			return bytesOf.Bytes()
		}
		if !told {
			tell()
		}
	}
}

// manyNews are news of instances in groups of four.
func manyNews(n int) []InstanceNews {
	r := rand.New(rand.NewSource(int64(n)))
	news := make([]InstanceNews, 0, n)
	for i := range n {
		group := i / 4
		news = append(news, InstanceNews{Age: time.Duration(r.Int63n(1e9)), Instance: models.UpstreamInstance{
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
	return news
}
