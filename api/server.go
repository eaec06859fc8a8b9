package api

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/config"
	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/worker/upstream"
)

const (
	readHeaderTimeout = 10 * time.Second
	// stopNotice is how long a stopping daemon still takes requests after
	// it says that it is not ready, so that the balancer sees it first.
	stopNotice = 2 * time.Second
	// closeGrace bounds how long connections are given to close.
	closeGrace = time.Second
)

// Server serves one daemon's callers and operators.
type Server struct {
	cfg      config.Serve
	log      zerolog.Logger
	daemon   *daemon.Daemon
	upstream *upstream.Client
	flights  *flights
	limits   *router.ConcurrencyLimits
	admitted *router.Admission
	prefixes *router.RecentPrefixes
	budget   router.RetryBudget
	suspects router.Suspects
	stopping atomic.Bool
	stats    *stats

	callers net.Listener
	admin   net.Listener
}

// stats are the metrics of requests.
type stats struct {
	ends       map[router.Outcome]*metrics.Counter
	refused    *metrics.Counter
	retries    *metrics.Counter
	firstToken *metrics.Histogram
}

func newStats(set *metrics.Set, count func() int) *stats {
	set.NewGauge("lupinkeel_requests_in_flight", func() float64 { return float64(count()) })
	s := &stats{
		ends:       map[router.Outcome]*metrics.Counter{},
		refused:    set.NewCounter("lupinkeel_requests_refused_total"),
		retries:    set.NewCounter("lupinkeel_request_retries_total"),
		firstToken: set.NewHistogram("lupinkeel_first_token_seconds"),
	}
	for _, end := range []router.Outcome{router.OutcomeComplete, router.OutcomeNotRun, router.OutcomeMayHaveRun} {
		s.ends[end] = set.NewCounter(fmt.Sprintf("lupinkeel_requests_total{end=%q}", end))
	}
	return s
}

// New makes a server and binds its addresses.
func New(cfg config.Serve, log zerolog.Logger, d *daemon.Daemon) (*Server, error) {
	s := &Server{
		cfg: cfg, log: log.With().Str("daemon", string(cfg.ID)).Logger(), daemon: d,
		upstream: upstream.NewClient(dial.Dialer{Source: cfg.Source}), flights: newFlights(), limits: router.NewConcurrencyLimits(), admitted: router.NewAdmission(), prefixes: router.NewRecentPrefixes(),
	}
	s.stats = newStats(d.Metrics(), s.flights.count)
	var err error
	if s.callers, err = net.Listen("tcp", cfg.Listen.String()); err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	if s.admin, err = net.Listen("tcp", cfg.Admin.String()); err != nil {
		s.callers.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return s, nil
}

// Addr is where callers come.
func (s *Server) Addr() netip.AddrPort { return addrOf(s.callers) }

// AdminAddr is where operators come.
func (s *Server) AdminAddr() netip.AddrPort { return addrOf(s.admin) }

func addrOf(l net.Listener) netip.AddrPort {
	bound := l.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
}

// Run serves until the context ends. Then it stops as planned: it says that
// it is not ready, later takes no new requests, and lets those in flight
// end.
func (s *Server) Run(ctx context.Context) error {
	callers := &http.Server{Handler: s.callerRoutes(), ReadHeaderTimeout: readHeaderTimeout}
	admin := &http.Server{Handler: s.adminRoutes(), ReadHeaderTimeout: readHeaderTimeout}
	background := context.WithoutCancel(ctx)
	tasks := []task.Task{
		task.Start(background, "callers", func(context.Context) error { return serve(callers, s.callers) }),
		task.Start(background, "operators", func(context.Context) error { return serve(admin, s.admin) }),
	}
	err := task.WaitAny(ctx, tasks...)
	if err == nil {
		s.stop(background)
	}
	closeServer(background, callers)
	closeServer(background, admin)
	return errors.Join(err, task.Wait(tasks...))
}

func (s *Server) stop(ctx context.Context) {
	s.log.Info().Int("in-flight", s.flights.count()).Msg("stop-begun")
	s.stopping.Store(true)
	if s.cfg.StopGrace > 0 {
		time.Sleep(min(stopNotice, s.cfg.StopGrace))
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StopGrace)
	defer cancel()
	s.flights.drain(ctx)
	s.log.Info().Int("cut-off", s.flights.count()).Msg("stop-drained")
}

func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func closeServer(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, closeGrace)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}

func (s *Server) callerRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("/services/{service}/{path...}", s.serveService)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}

func (s *Server) adminRoutes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /ask", s.serveAsk)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.daemon.WriteMetrics(w) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}

// serveReady tells the balancer whether to send requests here.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.stopping.Load():
		writeProblem(w, ErrStopping, router.OutcomeNone)
	case !s.daemon.View().Current(time.Now()):
		writeProblem(w, ErrNotCurrent, router.OutcomeNone)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
