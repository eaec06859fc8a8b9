package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// maxHeader bounds a request's head where the configuration does not.
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	sweepInterval     = time.Second
	// stopNotice is how long a stopping daemon goes on taking connections,
	// until the balancer has asked twice and left it out.
	readinessDrain = 2500 * time.Millisecond
	// stopMargin is kept for the process to end within StopGrace.
	exitMargin = 400 * time.Millisecond
)

// Run serves until the context ends and then stops as planned: the balancer
// is told first, requests in flight end, and then the connections close.
func (g *Gateway) Run(ctx context.Context) error {
	callers := g.newServer(http.HandlerFunc(g.serve))
	callers.ReadHeaderTimeout, callers.MaxHeaderBytes = readHeaderTimeout, maxHeaderBytes
	servers := map[netip.AddrPort]*http.Server{g.cfg.Listen: callers, g.cfg.Ready: g.newServer(g.readyRoutes())}
	if g.cfg.Admin.IsValid() {
		servers[g.cfg.Admin] = g.newServer(g.adminRoutes())
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tasks := []task.Task{task.Start(background, "sweep", g.sweep)}
	for addr, server := range servers {
		l, err := net.Listen("tcp4", addr.String())
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		tasks = append(tasks, task.Start(background, addr.String(), func(context.Context) error { return serveOn(server, l) }))
	}
	err := task.WaitAny(ctx, tasks...)
	if err == nil {
		g.shutdown(background, callers)
	}
	for _, server := range servers {
		server.Close()
	}
	cancel()
	return errors.Join(err, task.Wait(tasks...))
}

// newServer returns a server that tells in the log what goes wrong in it.
func (g *Gateway) newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ErrorLog: log.New(serverErrorLog{g.log}, "", 0)}
}

// serverErrors writes what a server has to say into the log, panics of handlers
// among it.
type serverErrorLog struct{ log zerolog.Logger }

func (s serverErrorLog) Write(text []byte) (int, error) {
	s.log.Error().Str("text", string(bytes.TrimSpace(text))).Msg("server-error")
	return len(text), nil
}

func serveOn(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// stop ends as planned: the balancer is told first, so that requests no longer
// come when the listener closes.
func (g *Gateway) shutdown(ctx context.Context, callers *http.Server) {
	began := time.Now()
	g.stopping.Store(true)
	g.log.Info().Int64("in-flight", g.stats.inFlight.Load()).Msg("stop-begun")
	time.Sleep(min(readinessDrain, g.cfg.StopGrace/2))
	ctx, cancel := context.WithDeadline(ctx, began.Add(g.cfg.StopGrace-exitMargin))
	defer cancel()
	err := callers.Shutdown(ctx)
	g.log.Info().Int64("cut-off", g.stats.inFlight.Load()).Err(err).Msg("stop-ended")
}

// sweep drops, once a second, what is kept of instances that are gone.
func (g *Gateway) sweep(ctx context.Context) error {
	ticks := g.node.Clock().Subscribe(sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case tick := <-ticks:
			v := g.node.View()
			g.conns.Allow(idleConnLimits(v, g.cfg.Listen))
			g.conns.Sweep(tick.At)
			g.scheduler.prune(v.All)
			g.crashes.sweep(tick.At)
			g.node.Quarantine().Prune()
			g.node.Limits().Prune(v.All)
			g.node.Breakers().Prune(v.All)
		}
	}
}

// restingPart is the part of the connections that an instance takes which may
// rest, those of all daemons together, so that there is room for those in use. An
// estimate.
const idleConnFraction = 0.5

// restingConns is how many connections to each instance may rest: this daemon's
// share of what the instance takes. Of a share below one some daemons keep one
// connection, others to other instances, so that all together keep to their part.
func idleConnLimits(v *cluster.View, self netip.AddrPort) map[netip.AddrPort]int {
	limits := make(map[netip.AddrPort]int, len(v.All))
	for _, i := range v.All {
		limits[i.Addr] = h1.MaxIdle
		if v.Routing == nil {
			continue
		}
		if maxConns := v.Routing.Services[i.Service].MaxConnections; maxConns > 0 {
			share := idleConnFraction * float64(maxConns) / float64(max(1, v.Daemons))
			if share < 1 && hashFraction(self, i.Addr) < share {
				share = 1
			}
			limits[i.Addr] = min(h1.MaxIdle, int(share))
		}
	}
	return limits
}

// lot is a number from 0 to 1 that is a daemon's own for each instance.
func hashFraction(daemon, instance netip.AddrPort) float64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s", daemon, instance)
	const bits = 53
	return float64(h.Sum64()%(1<<bits)) / (1 << bits)
}

func (g *Gateway) readyRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, g.serveReady)
	return mux
}

func (g *Gateway) adminRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { g.set.WritePrometheus(w) })
	mux.HandleFunc("GET "+platform.ReadyPath, g.serveReady)
	mux.HandleFunc("GET /quarantine", g.listQuarantine)
	mux.HandleFunc("DELETE /quarantine/{digest}", g.releaseQuarantine)
	return mux
}

// serveReady tells the balancer whether to send callers here.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.isCurrent(g.node.View(), g.cfg.KeysBound) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// current reports whether the configuration was the newest within the bound.
func (g *Gateway) isCurrent(v *cluster.View, bound time.Duration) bool {
	return v.Routing != nil && g.node.Clock().Since(v.Proven) < bound
}
