package cluster

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestSenderOfNews checks that news without a sender are the daemon's whose
// heartbeat came on the connection, that relayed news keep theirs, and that a
// change of one load takes few bytes: they are two fifths of all that daemons
// tell each other. The message has 29 bytes and had 121 when it named its sender
// and all that is zero, by encoding it both ways.
func TestSenderOfNews(t *testing.T) {
	c := qt.New(t)
	n := newTestOwner(t).n
	s := &peerServer{n: n}
	frameOf := func(value any) []byte {
		body, err := pack.Marshal(value)
		c.Assert(err, qt.IsNil)
		return body
	}
	from, err := s.take(context.Background(), frameHeartbeat, frameOf(Heartbeat{From: "d-2", Incarnation: 7}), Heartbeat{})
	c.Assert(err, qt.IsNil)
	c.Assert(from.From, qt.Equals, models.DaemonID("d-2"))
	c.Assert(from.Incarnation, qt.Equals, int64(7))
	own := frameOf(News{Change: 12, All: true, Loads: map[models.InstanceID]Load{"i-1e5e60a8b1": {Requests: 3, Unread: 640}}})
	c.Assert(len(own) <= 32, qt.IsTrue, qt.Commentf("%d bytes", len(own)))
	for _, body := range [][]byte{own, frameOf(News{From: "d-3", Incarnation: 1, Change: 1, All: true, Loads: map[models.InstanceID]Load{"i-2": {Requests: 1}}})} {
		_, err := s.take(context.Background(), frameLoads, body, from)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(n.peerLoads.at("i-1e5e60a8b1"), qt.Equals, Load{Requests: 3, Unread: 640})
	c.Assert(n.peerLoads.by["d-2"].incarnation, qt.Equals, int64(7))
	c.Assert(n.peerLoads.by["d-3"].loads["i-2"].Requests, qt.Equals, 1)
}

// TestNewsRoundTrip checks that no field of what the planner tells of an instance
// is lost on the way.
func TestNewsRoundTrip(t *testing.T) {
	c := qt.New(t)
	news := News{From: "d-2", Term: 3, Feed: 4, Instances: []InstanceNews{{
		Age: time.Second, Instance: models.UpstreamInstance{
			ID: "i-1", Service: "engines", Addr: netip.MustParseAddrPort("10.1.64.16:8526"), Zone: "z1", Domain: "f1", Slots: 26,
			LoadedModel: "m", StagedModels: []models.ModelName{"m"}, Group: models.Membership{Key: models.GroupKey{Name: "m.1", Epoch: 1}, State: models.MemberOpen},
		},
	}}}
	body, err := pack.Marshal(news)
	c.Assert(err, qt.IsNil)
	var got News
	c.Assert(pack.Unmarshal(body, &got), qt.IsNil)
	c.Assert(got, qt.CmpEquals(cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })), news)
}

// TestShortHeartbeats checks that nothing is lost by what later heartbeats leave
// out. They are the most of what daemons tell where there are many of them: one has
// 51 bytes rather than 125.
func TestShortHeartbeats(t *testing.T) {
	c := qt.New(t)
	n := newTestOwner(t).n
	s := &peerServer{n: n}
	full := Heartbeat{
		From: "front-plovdiv-a-1", Incarnation: 1_780_000_000_000_000_000, Addr: "10.1.0.40:7340", Zone: "plovdiv-a", Power: 0.19,
		ConfigVersion: 17, ConfigAge: 400 * time.Millisecond, Term: 4, Work: map[models.ModelName]float32{"sexa3699b5": 1.5, "yeti827f2c": 0.5},
	}
	var from Heartbeat
	for at, beat := range []Heartbeat{full, full.short()} {
		body, err := pack.Marshal(beat)
		c.Assert(err, qt.IsNil)
		if at > 0 {
			c.Assert(len(body) <= 64, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
		}
		from, err = s.take(context.Background(), frameHeartbeat, body, from)
		c.Assert(err, qt.IsNil)
		seen := (<-n.inbox).(heartbeatSeen).beat
		c.Assert(seen, qt.DeepEquals, full)
	}
}
