package api

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/config"
	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/lib/buffers"
	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/entrance"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/overload"
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
	budget    *router.RetryBudget
	buffers   *buffers.Budget
	suspects  router.Suspects
	stopping  atomic.Bool
	stats     *stats

	callerListener *entrance.Listener
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
		budget: router.NewRetryBudget(time.Now()), buffers: buffers.New(maxBufferedResponses, d.Metrics()),
		cfg: cfg, log: log.With().Str("daemon", string(cfg.ID)).Logger(), daemon: d,
		upstream: upstream.NewClient(dial.Dialer{Source: cfg.Source}), inFlight: newInFlightCounter(), limits: router.NewConcurrencyLimits(), admission: router.NewAdmission(), prefixes: router.NewRecentPrefixes(),
	}
	s.stats = newStats(d.Metrics(), s.inFlight.count)
	descriptors, err := entrance.DescriptorLimit()
	if err != nil {
		return nil, fmt.Errorf("read the limit on descriptors: %w", err)
	}
	s.callerListener = entrance.New(entrance.Settings{
		Addr: cfg.Listen, Policy: overload.DefaultPolicy(float64(runtime.GOMAXPROCS(0)), cmp.Or(cfg.MaxRequests, entrance.MaxRequests(descriptors, 0))),
		MaxConnections: entrance.MaxConnections(descriptors, 0),
	}, d.Metrics(), s.log)
	if err := s.callerListener.Open(); err != nil {
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
	callers := &http.Server{
		Handler: entrance.Handler(s.callerRoutes()), ReadHeaderTimeout: readHeaderTimeout,
		ConnState: s.callerListener.ConnState, ConnContext: entrance.ConnContext,
	}
	admin := &http.Server{Handler: s.adminRoutes(), ReadHeaderTimeout: readHeaderTimeout}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tasks := []task.Task{
		task.Start(background, "entrance", s.callerListener.Run),
		task.Start(background, "callers", func(context.Context) error { return serve(callers, s.callerListener) }),
		task.Start(background, "operators", func(context.Context) error { return serve(admin, s.adminListener) }),
	}
	err := task.WaitAny(ctx, tasks...)
	if err == nil {
		s.shutdown(background)
	}
	closeServer(background, callers)
	closeServer(background, admin)
	cancel()
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
	case s.callerListener.Overloaded():
		writeError(w, router.ErrOverloaded, router.OutcomeNone)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
