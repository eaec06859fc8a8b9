package cluster

import (
	"bufio"
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
