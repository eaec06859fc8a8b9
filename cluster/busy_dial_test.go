package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
)

// busyGoroutines is the number of goroutines that keep the only processor busy: each runs for 10 ms
// until the scheduler preempts it.
const busyGoroutines = 20

// keepBusy keeps the only processor of this process busy until the returned function is called.
func keepBusy() (stop func()) {
	procs := runtime.GOMAXPROCS(1)
	var stopped atomic.Bool
	var running sync.WaitGroup
	for range busyGoroutines {
		running.Go(func() {
			for n := 0; !stopped.Load(); {
				n++
			}
		})
	}
	return func() {
		stopped.Store(true)
		running.Wait()
		runtime.GOMAXPROCS(procs)
	}
}

// TestBusyDaemonCannotReachInstances guards against a daemon that takes its own lack of processor
// time for instances that cannot be reached, and burdens other daemons with tunnels to them.
func TestBusyDaemonCannotReachInstances(t *testing.T) {
	s := newTunnelSite(t)
	direct := h1.Direct(dialTimeout)
	var dials atomic.Int32
	daemon := New(Settings{ID: "d1", DialInstance: func(ctx context.Context, addr netip.AddrPort) (h1.Conn, error) {
		dials.Add(1)
		return direct(ctx, addr)
	}}, nil, metrics.NewSet(), zerolog.Nop())
	daemon.view.Store(&View{hasPeers: true})
	daemon.tunnelPeers.Store(s.daemon.tunnelPeers.Load())

	const connections = 10
	var failed atomic.Int32
	stop := keepBusy()
	var dialing sync.WaitGroup
	for range connections {
		dialing.Go(func() {
			conn, err := daemon.DialInstance(context.Background(), s.addr())
			if err != nil {
				failed.Add(1)
				return
			}
			conn.Close()
		})
	}
	dialing.Wait()
	stop()
	s.c.Check(failed.Load(), qt.Equals, int32(0))
	s.c.Check(daemon.paths.tunnels.Get(), qt.Equals, uint64(0))
}

// TestBusyPlannerLosesInstances guards against a planner that takes its own lack of processor time for
// instances that do not answer its probes, and declares them lost for all daemons.
func TestBusyPlannerLosesInstances(t *testing.T) {
	c := qt.New(t)
	node := New(Settings{ID: "d1"}, nil, metrics.NewSet(), zerolog.Nop())
	instance := models.UpstreamInstance{ID: "i1", Addr: serveReports(c).Addr().(*net.TCPAddr).AddrPort()}
	stop := keepBusy()
	defer stop()
	c.Assert(node.sendProbe(t.Context(), instance, stalledProbeTimeout), qt.IsTrue)
	result := (<-node.inbox).(probeFinished)
	c.Assert(errors.Is(result.err, h1.ErrNotSent) || errors.Is(result.err, h1.ErrNoResponse), qt.IsFalse, qt.Commentf("%v", result.err))
}

// serveReports answers each connection with an empty report.
func serveReports(c *qt.C) net.Listener {
	l := listen(c)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			defer conn.Close()
		}
	}()
	return l
}
