package cluster

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/frame"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
)

// tunnelSite is a daemon whose direct connections fail, a peer that it reaches, and an instance.
type tunnelSite struct {
	c        *qt.C
	daemon   *Node
	peer     *Node
	instance net.Listener
	// stopPeer ends the peer's server.
	stopPeer context.CancelFunc
}

func newTunnelSite(t *testing.T) *tunnelSite {
	c := qt.New(t)
	s := &tunnelSite{c: c, instance: listen(c)}
	free := listen(c)
	peerAddr := free.Addr().(*net.TCPAddr).AddrPort()
	c.Assert(free.Close(), qt.IsNil)
	refuse := func(context.Context, netip.AddrPort) (h1.Conn, error) { return nil, syscall.ECONNREFUSED }
	s.daemon = New(Settings{ID: "d1", DialInstance: refuse}, nil, metrics.NewSet(), zerolog.Nop())
	s.peer = New(Settings{ID: "d2", Peer: peerAddr}, nil, metrics.NewSet(), zerolog.Nop())
	s.peer.view.Store(&View{Instances: map[models.InstanceID]models.UpstreamInstance{"i1": {ID: "i1", Addr: s.addr()}}})
	s.daemon.view.Store(&View{hasPeers: true})
	s.daemon.tunnelPeers.Store(&[]tunnelPeer{{addr: peerAddr, alive: true}})
	server, err := listenPeers(s.peer)
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	s.stopPeer = cancel
	running := task.Start(ctx, "peers", server.run)
	c.Cleanup(func() {
		cancel()
		c.Check(task.Wait(running), qt.IsNil)
	})
	return s
}

func listen(c *qt.C) net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { l.Close() })
	return l
}

func (s *tunnelSite) addr() netip.AddrPort { return s.instance.Addr().(*net.TCPAddr).AddrPort() }

// connect returns both ends of a connection from the daemon to the instance.
func (s *tunnelSite) connect() (h1.Conn, *net.TCPConn) {
	conn, err := s.daemon.DialInstance(context.Background(), s.addr())
	s.c.Assert(err, qt.IsNil)
	accepted, err := s.instance.Accept()
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { conn.Close(); accepted.Close() })
	return conn, accepted.(*net.TCPConn)
}

// TestTunnelLooksComplete guards against a response without a length that was cut off on its way
// through another daemon and looks complete, because its end is a regular one.
func TestTunnelLooksComplete(t *testing.T) {
	for _, test := range []struct {
		name     string
		end      func(*tunnelSite, *net.TCPConn)
		complete bool
	}{
		{"instance_closes", func(_ *tunnelSite, i *net.TCPConn) { i.Close() }, true},
		{"instance_resets", func(_ *tunnelSite, i *net.TCPConn) { _ = errors.Join(i.SetLinger(0), i.Close()) }, false},
		{"peer_ends", func(s *tunnelSite, _ *net.TCPConn) { s.stopPeer() }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTunnelSite(t)
			conn, instance := s.connect()
			_, err := conn.Write([]byte("request"))
			s.c.Assert(err, qt.IsNil)
			request := make([]byte, len("request"))
			_, err = io.ReadFull(instance, request)
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(string(request), qt.Equals, "request")
			_, err = instance.Write([]byte("response"))
			s.c.Assert(err, qt.IsNil)
			response := make([]byte, len("response"))
			_, err = io.ReadFull(conn, response)
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(string(response), qt.Equals, "response")
			test.end(s, instance)
			_, err = io.ReadAll(conn)
			s.c.Assert(err == nil, qt.Equals, test.complete, qt.Commentf("%v", err))
		})
	}
}

// TestEndlessTunnel guards against bytes without end that a daemon keeps for another one which does not read
// them, or that go on after the other one has closed its tunnel.
func TestEndlessTunnel(t *testing.T) {
	const maxGrowth, maxSent = 1 << 20, 64 << 20
	s := newTunnelSite(t)
	conn, instance := s.connect()
	before := heapBytes()
	step, sent := make([]byte, 64<<10), 0
	s.c.Assert(instance.SetWriteDeadline(time.Now().Add(300*time.Millisecond)), qt.IsNil)
	var err error
	for err == nil && sent < maxSent {
		var n int
		n, err = instance.Write(step)
		sent += n
	}
	s.c.Assert(err, qt.ErrorIs, os.ErrDeadlineExceeded, qt.Commentf("%d bytes were sent", sent))
	s.c.Assert(heapBytes()-before <= maxGrowth, qt.IsTrue)
	s.c.Assert(conn.Close(), qt.IsNil)
	s.c.Assert(instance.SetWriteDeadline(time.Now().Add(time.Second)), qt.IsNil)
	for err = nil; err == nil; {
		_, err = instance.Write(step)
	}
	s.c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("%v", err))
}

// TestTunnelOutlivesCaller guards against an instance that goes on working for a daemon that has
// closed its tunnel.
func TestTunnelOutlivesCaller(t *testing.T) {
	s := newTunnelSite(t)
	conn, instance := s.connect()
	s.c.Assert(conn.Close(), qt.IsNil)
	s.c.Assert(instance.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
	_, err := instance.Read(make([]byte, 1))
	s.c.Assert(errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// TestTunnelReadDeadline checks that nothing is lost when a read deadline passes inside a chunk.
func TestTunnelReadDeadline(t *testing.T) {
	s := newTunnelSite(t)
	conn, instance := s.connect()
	s.c.Assert(conn.SetReadDeadline(time.Now().Add(20*time.Millisecond)), qt.IsNil)
	_, err := conn.Read(make([]byte, 4))
	var timeout net.Error
	s.c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsTrue)
	s.c.Assert(conn.SetReadDeadline(time.Time{}), qt.IsNil)
	_, err = instance.Write([]byte("late"))
	s.c.Assert(err, qt.IsNil)
	got := make([]byte, 4)
	_, err = io.ReadFull(conn, got)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(string(got), qt.Equals, "late")
}

// TestUnconfirmedFailure checks what a failed connection proves: nothing if no peer could try, a
// refusal if a peer was refused too. A peer connects to known instances only.
func TestUnconfirmedFailure(t *testing.T) {
	s := newTunnelSite(t)
	s.c.Assert(s.instance.Close(), qt.IsNil)
	_, err := s.daemon.DialInstance(context.Background(), s.addr())
	s.c.Assert(err, qt.ErrorIs, syscall.ECONNREFUSED)
	s.c.Assert(errors.Is(err, ErrUnconfirmed), qt.IsFalse)
	_, err = s.daemon.DialInstance(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"))
	s.c.Assert(err, qt.ErrorIs, ErrUnconfirmed)
	s.daemon.tunnelPeers.Store(&[]tunnelPeer{})
	_, err = s.daemon.DialInstance(context.Background(), s.addr())
	s.c.Assert(err, qt.ErrorIs, ErrUnconfirmed)
}

// TestTunnelPeersOfOneZone guards against a daemon that tries only daemons of its own zone, which
// may be partitioned as a whole.
func TestTunnelPeersOfOneZone(t *testing.T) {
	c := qt.New(t)
	n := New(Settings{ID: "d1"}, nil, metrics.NewSet(), zerolog.Nop())
	peer := func(port uint16, near, alive bool) tunnelPeer {
		return tunnelPeer{netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), near, alive}
	}
	n.tunnelPeers.Store(&[]tunnelPeer{
		peer(1, true, true), peer(2, true, true), peer(3, true, true), peer(4, true, true), peer(5, true, true),
		peer(6, false, true), peer(7, false, false), peer(8, false, false), peer(9, true, false),
	})
	for range 20 {
		picked := n.paths.pickTunnelPeers()
		c.Assert(picked, qt.HasLen, maxTunnelPeers)
		c.Assert(picked[0].near && picked[0].alive, qt.IsTrue)
		c.Assert(picked[1], qt.Equals, peer(6, false, true))
	}
	n.tunnelPeers.Store(&[]tunnelPeer{peer(7, false, false), peer(9, true, false)})
	c.Assert(n.paths.pickTunnelPeers()[0], qt.Equals, peer(7, false, false))
}

// TestTunnelDialHangs guards against a connection attempt that outlives its context, because none
// of the daemons that it waits for answers in time.
func TestTunnelDialHangs(t *testing.T) {
	c := qt.New(t)
	silent := listen(c).Addr().(*net.TCPAddr).AddrPort()
	hang := func(ctx context.Context, _ netip.AddrPort) (h1.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n := New(Settings{ID: "d1", DialInstance: hang}, nil, metrics.NewSet(), zerolog.Nop())
	n.view.Store(&View{hasPeers: true})
	n.tunnelPeers.Store(&[]tunnelPeer{{silent, true, true}, {silent, false, true}, {silent, false, true}, {silent, false, true}})
	const attempts = 20
	ended := make(chan error, attempts)
	for range attempts {
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), detourDelay+5*time.Millisecond)
			defer cancel()
			_, err := n.DialInstance(ctx, silent)
			ended <- err
		}()
	}
	timeout := time.After(2 * time.Second)
	for range attempts {
		select {
		case err := <-ended:
			c.Assert(err, qt.IsNotNil)
		case <-timeout:
			c.Fatal("an attempt has not ended 2 s after its context")
		}
	}
}

// TestTunnelEndLooksRegular guards against a daemon that ends while it makes a tunnel, whose closed
// connection looks like the regular end of a response.
func TestTunnelEndLooksRegular(t *testing.T) {
	s := newTunnelSite(t)
	l := listen(s.c)
	s.daemon.tunnelPeers.Store(&[]tunnelPeer{{addr: l.Addr().(*net.TCPAddr).AddrPort(), alive: true}})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _, err = frame.Read(conn)
		_, writeErr := frame.Write(conn, frameTunnelReply, tunnelReply{Accepted: true})
		s.c.Check(errors.Join(err, writeErr, conn.Close()), qt.IsNil)
	}()
	_, err := s.daemon.paths.dialTunnel(context.Background(), s.addr(), 0)
	s.c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	s.c.Assert(errors.Is(err, io.EOF), qt.IsFalse)
}

// TestTunnelWriteHidesReset guards against a reset that the tunnel passes on as the regular end, because a
// write to the instance took the error and the next read found the end.
func TestTunnelWriteHidesReset(t *testing.T) {
	c := qt.New(t)
	connect := func() (dialed, accepted *net.TCPConn) {
		l := listen(c)
		out, err := net.Dial("tcp4", l.Addr().String())
		c.Assert(err, qt.IsNil)
		in, err := l.Accept()
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { out.Close(); in.Close() })
		return out.(*net.TCPConn), in.(*net.TCPConn)
	}
	toInstance, instance := connect()
	toDaemon, daemon := connect()
	c.Assert(errors.Join(instance.SetLinger(0), instance.Close()), qt.IsNil)
	for err := error(nil); err == nil; {
		_, err = toInstance.Write([]byte("more of the request"))
	}
	c.Assert(sendChunks(toDaemon, toInstance), qt.ErrorIs, syscall.ECONNRESET)
	_, err := daemon.Read(make([]byte, chunkHeaderLen))
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
}
