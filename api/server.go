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
	// notReadyDelay is how long a stopping daemon accepts requests after its readiness probe
	// fails, so that the load balancer stops sending first.
	notReadyDelay = 2 * time.Second
	// closeTimeout bounds how long connections have to close.
	closeTimeout = time.Second
)

// Server serves the callers and operators of one daemon.
type Server struct {
	cfg       config.Serve
	log       zerolog.Logger
	daemon    *daemon.Daemon
	upstream  *upstream.Client
	inFlight  *inFlightCounter
	limits    *router.ConcurrencyLimits
	admission *router.Admission
	prefixes  *router.RecentPrefixes
	budget    router.RetryBudget
	suspects  router.Suspects
	stopping  atomic.Bool
	stats     *stats

	callerListener net.Listener
	adminListener  net.Listener
}

// stats holds the metrics of requests.
type stats struct {
	byOutcome  map[router.Outcome]*metrics.Counter
	rejected   *metrics.Counter
	retries    *metrics.Counter
	firstToken *metrics.Histogram
}

func newStats(set *metrics.Set, inFlight func() int) *stats {
	set.NewGauge("lupinkeel_requests_in_flight", func() float64 { return float64(inFlight()) })
	s := &stats{
		byOutcome:  map[router.Outcome]*metrics.Counter{},
		rejected:   set.NewCounter("lupinkeel_requests_refused_total"),
		retries:    set.NewCounter("lupinkeel_request_retries_total"),
		firstToken: set.NewHistogram("lupinkeel_first_token_seconds"),
	}
	for _, end := range []router.Outcome{router.OutcomeComplete, router.OutcomeNotRun, router.OutcomeMayHaveRun} {
		s.byOutcome[end] = set.NewCounter(fmt.Sprintf("lupinkeel_requests_total{end=%q}", end))
	}
	return s
}

// New creates a server and binds its addresses.
func New(cfg config.Serve, log zerolog.Logger, d *daemon.Daemon) (*Server, error) {
	s := &Server{
		cfg: cfg, log: log.With().Str("daemon", string(cfg.ID)).Logger(), daemon: d,
		upstream: upstream.NewClient(dial.Dialer{Source: cfg.Source}), inFlight: newInFlightCounter(), limits: router.NewConcurrencyLimits(), admission: router.NewAdmission(), prefixes: router.NewRecentPrefixes(),
	}
	s.stats = newStats(d.Metrics(), s.inFlight.count)
	var err error
	if s.callerListener, err = net.Listen("tcp", cfg.Listen.String()); err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	if s.adminListener, err = net.Listen("tcp", cfg.Admin.String()); err != nil {
		s.callerListener.Close()
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	return s, nil
}

// Addr returns the address for callers.
func (s *Server) Addr() netip.AddrPort { return addrOf(s.callerListener) }

// AdminAddr returns the address for operators.
func (s *Server) AdminAddr() netip.AddrPort { return addrOf(s.adminListener) }

func addrOf(l net.Listener) netip.AddrPort {
	bound := l.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
}

// Run serves until the context ends, and then shuts down gracefully: it fails the readiness
// probe, after a delay rejects new requests, and drains the requests in flight.
func (s *Server) Run(ctx context.Context) error {
	callers := &http.Server{Handler: s.callerRoutes(), ReadHeaderTimeout: readHeaderTimeout}
	admin := &http.Server{Handler: s.adminRoutes(), ReadHeaderTimeout: readHeaderTimeout}
	background := context.WithoutCancel(ctx)
	tasks := []task.Task{
		task.Start(background, "callers", func(context.Context) error { return serve(callers, s.callerListener) }),
		task.Start(background, "operators", func(context.Context) error { return serve(admin, s.adminListener) }),
	}
	err := task.WaitAny(ctx, tasks...)
	if err == nil {
		s.shutdown(background)
	}
	closeServer(background, callers)
	closeServer(background, admin)
	return errors.Join(err, task.Wait(tasks...))
}

func (s *Server) shutdown(ctx context.Context) {
	s.log.Info().Int("in-flight", s.inFlight.count()).Msg("stop-begun")
	s.stopping.Store(true)
	if s.cfg.StopGrace > 0 {
		time.Sleep(min(notReadyDelay, s.cfg.StopGrace))
	}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StopGrace)
	defer cancel()
	s.inFlight.drain(ctx)
	s.log.Info().Int("cut-off", s.inFlight.count()).Msg("stop-drained")
}

func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func closeServer(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
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

// serveReady answers the readiness probe of the load balancer.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.stopping.Load():
		writeError(w, ErrStopping, router.OutcomeNone)
	case !s.daemon.View().Current(time.Now()):
		writeError(w, ErrNotCurrent, router.OutcomeNone)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
