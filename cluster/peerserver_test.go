package cluster

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestUpdateSender checks that updates without a sender are attributed to the daemon that sends
// heartbeats on the connection, that forwarded updates keep their sender, and that a change of one
// load is small, because these make up two fifths of the traffic between daemons. It takes 29
// bytes; with the sender and zero fields it took 121.
func TestUpdateSender(t *testing.T) {
	c := qt.New(t)
	n := newTestOwner(t).n
	s := &peerServer{n: n}
	frameOf := func(value any) []byte {
		body, err := pack.Marshal(value)
		c.Assert(err, qt.IsNil)
		return body
	}
	from, err := s.handleFrame(context.Background(), frameHeartbeat, frameOf(Heartbeat{From: "d-2", Incarnation: 7}), Heartbeat{})
	c.Assert(err, qt.IsNil)
	c.Assert(from.From, qt.Equals, models.DaemonID("d-2"))
	c.Assert(from.Incarnation, qt.Equals, int64(7))
	own := frameOf(Update{LoadsVersion: 12, Full: true, Loads: map[models.InstanceID]Load{"i-1e5e60a8b1": {Requests: 3, PrefillTokens: 640}}})
	c.Assert(len(own) <= 32, qt.IsTrue, qt.Commentf("%d bytes", len(own)))
	for _, body := range [][]byte{own, frameOf(Update{From: "d-3", Incarnation: 1, LoadsVersion: 1, Full: true, Loads: map[models.InstanceID]Load{"i-2": {Requests: 1}}})} {
		_, err := s.handleFrame(context.Background(), frameLoads, body, from)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(n.peerLoads.loadOn("i-1e5e60a8b1"), qt.Equals, Load{Requests: 3, PrefillTokens: 640})
	c.Assert(n.peerLoads.byDaemon["d-2"].incarnation, qt.Equals, int64(7))
	c.Assert(n.peerLoads.byDaemon["d-3"].loads["i-2"].Requests, qt.Equals, 1)
}

// TestUpdateRoundTrip checks that encoding loses no field of an instance's update.
func TestUpdateRoundTrip(t *testing.T) {
	c := qt.New(t)
	update := Update{From: "d-2", Term: 3, Seq: 4, Instances: []InstanceUpdate{{
		Age: time.Second, Instance: models.UpstreamInstance{
			ID: "i-1", Service: "engines", Addr: netip.MustParseAddrPort("10.1.64.16:8526"), Zone: "z1", Domain: "f1", Slots: 26,
			LoadedModel: "m", StagedModels: []models.ModelName{"m"}, Group: models.Membership{Key: models.GroupKey{Name: "m.1", Epoch: 1}, State: models.MemberOpen},
		},
	}}}
	body, err := pack.Marshal(update)
	c.Assert(err, qt.IsNil)
	var got Update
	c.Assert(pack.Unmarshal(body, &got), qt.IsNil)
	c.Assert(got, qt.CmpEquals(cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })), update)
}

// TestAbbreviatedHeartbeats checks that the receiver restores the fields that later heartbeats
// omit. Heartbeats are most of the traffic among many daemons: an abbreviated one takes 20 bytes
// besides the demand, and the demand for a model 48 with its name.
func TestAbbreviatedHeartbeats(t *testing.T) {
	c := qt.New(t)
	n := newTestOwner(t).n
	s := &peerServer{n: n}
	full := Heartbeat{
		From: "front-plovdiv-a-1", Incarnation: 1_780_000_000_000_000_000, Addr: "10.1.0.40:7340", Zone: "plovdiv-a", CPUCores: 0.19,
		ConfigVersion: 17, ConfigAge: 400 * time.Millisecond, Term: 4, Demand: map[models.ModelName]ModelDemand{"sexa3699b5": {Work: 1.5, Requests: 7.1, Prompt: 4900, Output: 812, Target: 1.7, Base: 0.8, Observed: 6.9}, "yeti827f2c": {Work: 0.5, Requests: 2.2}},
	}
	var from Heartbeat
	for at, heartbeat := range []Heartbeat{full, full.abbreviated()} {
		body, err := pack.Marshal(heartbeat)
		c.Assert(err, qt.IsNil)
		if at > 0 {
			withoutDemand := heartbeat
			withoutDemand.Demand = nil
			rest, err := pack.Marshal(withoutDemand)
			c.Assert(err, qt.IsNil)
			c.Assert(len(rest) <= 29, qt.IsTrue, qt.Commentf("%d bytes", len(rest)))
			c.Assert(len(body)-len(rest) <= 100, qt.IsTrue, qt.Commentf("%d bytes for two models", len(body)-len(rest)))
		}
		from, err = s.handleFrame(context.Background(), frameHeartbeat, body, from)
		c.Assert(err, qt.IsNil)
		seen := (<-n.inbox).(heartbeatReceived).heartbeat
		c.Assert(seen, qt.CmpEquals(cmp.Comparer(func(a, b ModelDemand) bool { return a == b })), full)
	}
}

// TestLongMessagesFillMemory guards against messages that are announced as long, on many connections, and
// fill the memory, whether or not their bytes arrive.
func TestLongMessagesFillMemory(t *testing.T) {
	const connections, maxGrowth = 24, 64 << 20
	header := binary.BigEndian.AppendUint32(nil, frame.MaxLen)
	for name, body := range map[string][]byte{"announced": {}, "sent": make([]byte, frame.MaxLen-1)} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &peerServer{n: newTestOwner(t).n}
			before := heapBytes()
			var serving, sending sync.WaitGroup
			open := make([]net.Conn, connections)
			for n := range open {
				near, far := net.Pipe()
				open[n] = far
				serving.Go(func() { _ = s.serve(context.Background(), near) })
				sending.Go(func() {
					_, _ = far.Write(append(slices.Clone(header), byte(frameUpdate)))
					_, _ = far.Write(body)
				})
			}
			sending.Wait()
			grown := heapBytes() - before
			for _, conn := range open {
				c.Check(conn.Close(), qt.IsNil)
			}
			serving.Wait()
			c.Assert(grown <= maxGrowth, qt.IsTrue, qt.Commentf("%d MB", grown>>20))
		})
	}
}

// heapBytes returns the length of all objects in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
