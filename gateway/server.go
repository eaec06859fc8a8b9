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
	"reflect"
	"time"

	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/entrance"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	sweepInterval     = time.Second
)

// Run serves until the context ends and then stops gracefully: readiness checks fail first, then
// requests in flight finish, then connections close.
func (g *Gateway) Run(ctx context.Context) error {
	callers := g.newServer(http.HandlerFunc(g.serve))
	callers.ReadHeaderTimeout, callers.MaxHeaderBytes = readHeaderTimeout, maxHeaderBytes
	callers.ConnState, callers.ConnContext = g.entrance.ConnState, withCallerConn
	servers := map[netip.AddrPort]*http.Server{g.cfg.Ready: g.newServer(g.readyRoutes())}
	if g.cfg.Admin.IsValid() {
		servers[g.cfg.Admin] = g.newServer(g.adminRoutes())
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := g.entrance.Open(); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	tasks := []task.Task{
		task.Start(background, "sweep", g.sweep), task.Start(background, "queues", g.queues.run), task.Start(background, "entrance", g.entrance.Run),
		task.Start(background, "callers", func(context.Context) error { return serveOn(callers, g.entrance) }),
	}
	for addr, server := range servers {
		socket, err := net.Listen("tcp4", addr.String())
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		l := entrance.NewGuard(socket, g.buffers, g.set)
		l.Protect(server)
		tasks = append(tasks, task.Start(background, addr.String(), func(context.Context) error { return serveOn(server, l) }))
	}
	err := task.WaitAny(ctx, tasks...)
	if err == nil {
		g.shutdown()
	}
	callers.Close()
	for _, server := range servers {
		server.Close()
	}
	cancel()
	return errors.Join(err, task.Wait(tasks...))
}

// newServer returns a server that logs its errors. Its handler gets all requests, since net/http would set no
// deadlines for those that it answers itself.
func (g *Gateway) newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, DisableGeneralOptionsHandler: true, ErrorLog: log.New(serverErrorLog{g.log}, "", 0)}
}

// serverErrorLog logs what an http.Server reports, such as panics of handlers.
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

// sweep periodically closes idle connections and drops the state of instances that are gone.
func (g *Gateway) sweep(ctx context.Context) error {
	ticks := g.node.Clock().Subscribe(sweepInterval)
	var limitsFor *cluster.View
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case tick := <-ticks:
			v := g.node.View()
			if limitsFor == nil || !sameIdleLimits(limitsFor, v) {
				// With 3,000 instances computing the limits takes some milliseconds.
				g.conns.SetMaxIdle(idleConnLimits(v, g.cfg.Listen))
				g.durations.prune(v.Routing)
				limitsFor = v
			}
			g.conns.Sweep(tick.At)
			g.scheduler.prune(v.Instances, v.Groups)
			g.crashes.sweep(tick.At)
			g.node.Quarantine().Prune()
			g.node.Limits().Prune(v.Instances)
			g.node.Breakers().Prune(v.Instances)
		}
	}
}

// idleConnFraction is the fraction of the connections accepted by an instance that may be idle,
// over all daemons, so that there is room for those in use.
const idleConnFraction = 0.5

// sameIdleLimits reports whether idleConnLimits returns the same for two views. The instances of a
// view are never changed in place.
func sameIdleLimits(a, b *cluster.View) bool {
	same := reflect.ValueOf(a.Instances).Pointer() == reflect.ValueOf(b.Instances).Pointer()
	return same && a.Routing == b.Routing && a.Daemons == b.Daemons
}

// idleConnLimits returns how many idle connections to keep per instance address: this daemon's
// share of what the instance accepts. If the share is below one, some daemons keep one connection,
// chosen by a hash that differs between instances, so that all daemons together stay within the
// fraction.
func idleConnLimits(v *cluster.View, self netip.AddrPort) map[netip.AddrPort]int {
	limits := make(map[netip.AddrPort]int, len(v.Instances))
	for _, i := range v.Instances {
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

// hashFraction returns a number from 0 to 1 that is stable for a daemon and an instance.
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

// serveReady answers the load balancer's readiness check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stop.begun() || g.entrance.Overloaded() || g.node.Hangs() || !g.isCurrent(g.node.View(), g.cfg.MaxKeysProofAge) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isCurrent reports whether the configuration was proven to be the newest within the bound.
func (g *Gateway) isCurrent(v *cluster.View, bound time.Duration) bool {
	return v.Routing != nil && g.node.Clock().Since(v.ConfirmedAt) < bound
}
