package cluster

import (
	"context"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/h1"
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
			for !stopped.Load() {
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
