// Package gateway takes callers' requests over HTTP and passes each to an
// upstream instance, raw: method, path, query, body and headers go through
// as they came, both ways.
package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// Settings are what a gateway needs to know from the start.
type Settings struct {
	Zone models.Zone
	// Listen is where callers come, Ready where the balancer asks, Admin
	// where metrics are served; Admin may be invalid.
	Listen netip.AddrPort
	Ready  netip.AddrPort
	Admin  netip.AddrPort
	// KeysBound is how old the proof that the keys are current may be.
	KeysBound time.Duration
	// ConfigBound is how old it may be for a route or key that is not known
	// to be refused as unknown.
	ConfigBound time.Duration
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// StopGrace is how long a planned stop may take.
	StopGrace time.Duration
	// Settle is how long after its start a gateway keeps to itself that a
	// group seems to stand still: it does not know yet what the other daemons
	// have there.
	Settle time.Duration
}

const (
	// dialTimeout bounds the making of a connection to an upstream: two
	// round trips between zones, far less than a lost packet's repeat.
	dialTimeout = 250 * time.Millisecond
	// maxHeader bounds a request's head where the configuration does not.
	maxHeader         = 64 << 10
	readHeaderTimeout = 10 * time.Second
	sweepEvery        = time.Second
	// stopNotice is how long a stopping daemon goes on taking connections,
	// until the balancer has asked twice and left it out.
	stopNotice = 2500 * time.Millisecond
	// stopMargin is kept for the process to end within StopGrace.
	stopMargin = 400 * time.Millisecond
)

// Beliefs are what the gateway is told of the world, as a cluster.Node does.
type Beliefs interface {
	View() *cluster.View
	// PeersLoad is what other daemons have at an instance.
	PeersLoad(id models.InstanceID) cluster.Load
	// ReportStalled tells that nothing moves at a group's head.
	ReportStalled(group models.GroupKey, head models.InstanceID)
	Clock() *timer.Service
}

// Gateway serves one daemon's callers.
type Gateway struct {
	cfg     Settings
	log     zerolog.Logger
	node    Beliefs
	balance *balance
	budget  *budget
	// settled is when what it sees of groups may be relied on.
	settled  time.Time
	conns    *h1.Pool
	stats    *stats
	set      *metrics.Set
	stopping atomic.Bool
}

type stats struct {
	ends      map[outcome]*metrics.Counter
	repeats   *metrics.Counter
	resumes   *metrics.Counter
	opened    *metrics.Counter
	firstByte *metrics.Histogram
	inFlight  atomic.Int64
}

func newStats(set *metrics.Set) *stats {
	s := &stats{
		ends: map[outcome]*metrics.Counter{}, repeats: set.NewCounter("lupinkeel_request_repeats_total"),
		resumes: set.NewCounter("lupinkeel_stream_resumes_total"), opened: set.NewCounter("lupinkeel_upstream_connections_total"),
		firstByte: set.NewHistogram("lupinkeel_first_byte_seconds"),
	}
	set.NewGauge("lupinkeel_requests_in_flight", func() float64 { return float64(s.inFlight.Load()) })
	for _, o := range outcomes {
		s.ends[o] = set.NewCounter(fmt.Sprintf("lupinkeel_requests_total{outcome=%q}", string(o)))
	}
	return s
}

// Traffic is what a node reads of a gateway that is yet to be made.
func Traffic() cluster.Traffic { return newBalance() }

// New returns a gateway. The traffic must come from Traffic.
func New(cfg Settings, node Beliefs, traffic cluster.Traffic, set *metrics.Set, log zerolog.Logger) *Gateway {
	g := &Gateway{
		cfg: cfg, log: log, node: node, balance: traffic.(*balance), stats: newStats(set), set: set,
		budget: newBudget(cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow),
	}
	g.balance.zone = cfg.Zone
	g.settled = time.Now().Add(cfg.Settle)
	g.conns = h1.NewPool(dialTimeout, func() { g.stats.opened.Inc() })
	return g
}

// Run serves until the context ends and then stops as planned: the balancer
// is told first, requests in flight end, and then the connections close.
func (g *Gateway) Run(ctx context.Context) error {
	callers := g.newServer(http.HandlerFunc(g.serve))
	callers.ReadHeaderTimeout, callers.MaxHeaderBytes = readHeaderTimeout, maxHeader
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
		g.stop(background, callers)
	}
	for _, server := range servers {
		server.Close()
	}
	cancel()
	return errors.Join(err, task.Wait(tasks...))
}

// newServer returns a server that tells in the log what goes wrong in it.
func (g *Gateway) newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ErrorLog: log.New(serverErrors{g.log}, "", 0)}
}

// serverErrors writes what a server has to say into the log, panics of handlers
// among it.
type serverErrors struct{ log zerolog.Logger }

func (s serverErrors) Write(text []byte) (int, error) {
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
func (g *Gateway) stop(ctx context.Context, callers *http.Server) {
	began := time.Now()
	g.stopping.Store(true)
	g.log.Info().Int64("in-flight", g.stats.inFlight.Load()).Msg("stop-begun")
	time.Sleep(min(stopNotice, g.cfg.StopGrace/2))
	ctx, cancel := context.WithDeadline(ctx, began.Add(g.cfg.StopGrace-stopMargin))
	defer cancel()
	err := callers.Shutdown(ctx)
	g.log.Info().Int64("cut-off", g.stats.inFlight.Load()).Err(err).Msg("stop-ended")
}

// sweep drops, once a second, what is kept of instances that are gone.
func (g *Gateway) sweep(ctx context.Context) error {
	ticks := g.node.Clock().Subscribe(sweepEvery)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case tick := <-ticks:
			v := g.node.View()
			g.conns.Allow(restingConns(v))
			g.conns.Sweep(tick.At)
			g.balance.forget(v.All)
		}
	}
}

// restingPart is the part of the connections that an instance takes from all
// daemons which may rest there, so that there is room for those in use.
const restingPart = 0.5

// restingConns is how many connections to each instance may rest: this daemon's
// share of what the instance takes, but one at least.
func restingConns(v *cluster.View) map[netip.AddrPort]int {
	most := make(map[netip.AddrPort]int, len(v.All))
	for _, i := range v.All {
		most[i.Addr] = h1.MaxIdle
		if v.Routing == nil {
			continue
		}
		if takes := v.Routing.Services[i.Service].MaxConnections; takes > 0 {
			share := int(restingPart * float64(takes) / float64(max(1, v.Daemons)))
			most[i.Addr] = min(h1.MaxIdle, max(1, share))
		}
	}
	return most
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
	return mux
}

// serveReady tells the balancer whether to send callers here.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.current(g.node.View(), g.cfg.KeysBound) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// current reports whether the configuration was the newest within the bound.
func (g *Gateway) current(v *cluster.View, bound time.Duration) bool {
	return v.Routing != nil && time.Since(v.Proven) < bound
}
