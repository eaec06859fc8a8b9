// Package gateway accepts callers' HTTP requests and forwards each to an upstream instance. Method,
// path, query, body and headers are forwarded unchanged, in both directions.
package gateway

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/buffers"
	"github.com/lupinkeel/lupinkeel/lib/entrance"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/overload"
	"github.com/lupinkeel/lupinkeel/ratelimit"
)

// Settings configure a gateway.
type Settings struct {
	Zone models.Zone
	// Regions holds the region of each availability zone.
	Regions map[models.Zone]models.Region
	// Listen is the address for callers, Ready for readiness checks by the load balancer, Admin for
	// metrics and the quarantine; Admin may be invalid, and is then not served.
	Listen netip.AddrPort
	Ready  netip.AddrPort
	Admin  netip.AddrPort
	// MaxKeysProofAge is the maximum age of the proof that the configuration is current, for a
	// request that needs a key to be served.
	MaxKeysProofAge time.Duration
	// MaxConfigAge is the maximum age of that proof for an unknown route or key to be rejected as
	// unknown.
	MaxConfigAge time.Duration
	RetryRatio   float64
	RetrySlack   float64
	RetryWindow  time.Duration
	// FirstStart is set if all daemons start for the first time.
	FirstStart bool
	// MaxBufferedBytes bounds the bytes of requests and responses that are held at once; 0 sets no
	// bound.
	MaxBufferedBytes int64
	// CPUCores is the number of processor cores, or the fraction of one, that the process may use.
	CPUCores float64
	// MaxRequests is how many requests the process can hold at once, by its memory and descriptors;
	// 0 sets no bound.
	MaxRequests int
	// MaxConnections is how many connections callers may have open; 0 sets no bound.
	MaxConnections int
	// StopGrace bounds the time that a planned stop takes.
	StopGrace time.Duration
	// StallReportDelay is the time after the start during which the gateway does not report stalled
	// groups: it does not know yet which requests other daemons have there.
	StallReportDelay time.Duration
}

// dialTimeout bounds the time to connect to an upstream: two round trips between zones, far less
// than the retransmission of a lost packet takes.
const dialTimeout = 250 * time.Millisecond

// Node is the gateway's view of the cluster. A cluster.Node implements it.
type Node interface {
	View() *cluster.View
	// PeersLoad returns the load that other daemons have at an instance.
	PeersLoad(id models.InstanceID) cluster.Load
	// LoadsAge returns the age of these loads. It grows while no load totals arrive.
	LoadsAge() time.Duration
	// ReportStalled reports to the other daemons that a group is stalled.
	ReportStalled(group models.GroupKey, head models.InstanceID)
	// Quarantine tracks requests that crash instances.
	Quarantine() *cluster.Quarantine
	// Limits tracks the rate limits that instances announce.
	Limits() *cluster.Limits
	// Breakers tracks the backoffs and leaving signals that instances send in responses.
	Breakers() *cluster.Breakers
	// RequestPermit requests a permit to send a request to one of several rate-limited instances of a
	// zone.
	RequestPermit(ctx context.Context, zone models.Zone, ask ratelimit.PermitRequest) (ratelimit.Grant, error)
	// DialInstance connects to an instance. The error wraps cluster.ErrUnconfirmed if the failure
	// may be one of this daemon's network.
	DialInstance(ctx context.Context, addr netip.AddrPort) (h1.Conn, error)
	// CheckPath finds out in the background whether an instance that does not answer can be reached.
	CheckPath(ctx context.Context, addr netip.AddrPort)
	// SetOverloaded tells the cluster whether this daemon refuses connections of callers for a
	// considerable part of the time.
	SetOverloaded(overloaded bool)
	// Hangs reports whether the node takes no notice of anything any more.
	Hangs() bool
	Clock() *timer.Service
}

// Gateway serves the callers of one daemon.
type Gateway struct {
	cfg       Settings
	log       zerolog.Logger
	node      Node
	scheduler *scheduler
	budget    *retryBudget
	queues    *queues
	buffers   *buffers.Budget
	crashes   *crashDetector
	entrance  *entrance.Listener
	// stallReportsFrom is when the gateway begins to report stalled groups.
	stallReportsFrom time.Time
	conns            *h1.Pool
	stats            *stats
	set              *metrics.Set
	durations        *durations
	endRecords       endRecords
	stop             *plannedStop
}

type stats struct {
	byOutcome map[outcome]*metrics.Counter
	retries   *metrics.Counter
	// quarantineRejections counts requests rejected because they crash instances.
	quarantineRejections *metrics.Counter
	// limitRejections counts requests rejected because all instances have rate limits and no permit
	// was granted in time.
	limitRejections *metrics.Counter
	// backoffRejections counts requests rejected because all instances asked for a backoff.
	backoffRejections *metrics.Counter
	// rejections counts sends that instances rejected without running the request.
	rejections *metrics.Counter
	resumes    *metrics.Counter
	// streamEnds counts complete streams by the framing of their last response.
	streamEnds map[h1.Framing]*metrics.Counter
	// endChecks counts the ends of streams that nothing but a closed connection marked.
	endChecks   map[endCheckResult]*metrics.Counter
	connsOpened *metrics.Counter
	firstByte   *metrics.Histogram
	verdicts    verdictCounter
	inFlight    atomic.Int64
	// ownZone and otherZone count the bytes of connections to upstreams by zone.
	ownZone   byteMeter
	otherZone byteMeter
}

func newStats(set *metrics.Set) *stats {
	s := &stats{
		byOutcome: map[outcome]*metrics.Counter{}, streamEnds: map[h1.Framing]*metrics.Counter{}, endChecks: map[endCheckResult]*metrics.Counter{}, retries: set.NewCounter("lupinkeel_request_repeats_total"),
		quarantineRejections: set.NewCounter("lupinkeel_quarantine_refusals_total"),
		limitRejections:      set.NewCounter("lupinkeel_limit_refusals_total"),
		backoffRejections:    set.NewCounter("lupinkeel_rest_refusals_total"),
		rejections:           set.NewCounter("lupinkeel_turned_away_total"),
		resumes:              set.NewCounter("lupinkeel_stream_resumes_total"), connsOpened: set.NewCounter("lupinkeel_upstream_connections_total"),
		firstByte: set.NewHistogram("lupinkeel_first_byte_seconds"), verdicts: verdictCounter{set},
		ownZone: newByteMeter(set, "own"), otherZone: newByteMeter(set, "other"),
	}
	set.NewGauge("lupinkeel_requests_in_flight", func() float64 { return float64(s.inFlight.Load()) })
	for _, framing := range []h1.Framing{h1.FramedByLength, h1.FramedByChunks, h1.FramedByClose} {
		s.streamEnds[framing] = set.NewCounter(fmt.Sprintf("lupinkeel_stream_ends_total{framing=%q}", string(framing)))
	}
	for _, result := range endCheckResults {
		s.endChecks[result] = set.NewCounter(fmt.Sprintf("lupinkeel_stream_end_checks_total{result=%q}", string(result)))
	}
	for _, o := range outcomes {
		s.byOutcome[o] = set.NewCounter(fmt.Sprintf("lupinkeel_requests_total{outcome=%q}", string(o)))
	}
	return s
}

// connOpened counts a new connection to an upstream. It returns the meter for its bytes, which
// depends on whether the upstream is in the daemon's zone.
func (g *Gateway) connOpened(addr netip.AddrPort) h1.Meter {
	g.stats.connsOpened.Inc()
	for _, i := range g.node.View().Instances {
		if i.Addr == addr && i.Zone == g.cfg.Zone {
			return g.stats.ownZone
		}
	}
	return g.stats.otherZone
}

// byteMeter counts the bytes of connections to upstreams.
type byteMeter struct{ sent, received *metrics.Counter }

func newByteMeter(set *metrics.Set, zone string) byteMeter {
	counter := func(direction string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("lupinkeel_upstream_bytes_total{zone=%q,way=%q}", zone, direction))
	}
	return byteMeter{counter("sent"), counter("received")}
}

// Sent counts bytes of requests.
func (m byteMeter) Sent(n int) { m.sent.Add(n) }

// Received counts bytes of responses.
func (m byteMeter) Received(n int) { m.received.Add(n) }

// Traffic returns the load counters that a cluster node reads. They are passed to New afterwards,
// since the node is created before its gateway.
func Traffic() cluster.Traffic { return newScheduler() }

// New returns a gateway. The traffic must come from Traffic.
func New(cfg Settings, node Node, traffic cluster.Traffic, set *metrics.Set, log zerolog.Logger) *Gateway {
	g := &Gateway{
		cfg: cfg, log: log, node: node, scheduler: traffic.(*scheduler), stats: newStats(set), set: set,
		buffers: buffers.New(cfg.MaxBufferedBytes, set), durations: newDurations(), stop: newPlannedStop(), endRecords: endRecords{byService: map[models.ServiceName]endRecord{}},
		budget: newRetryBudget(cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow, time.Now(), !cfg.FirstStart), crashes: newCrashDetector(node, set, log),
	}
	g.queues = newQueues(g)
	g.entrance = entrance.New(entrance.Settings{
		Addr: cfg.Listen, Policy: overload.DefaultPolicy(cfg.CPUCores, cmp.Or(cfg.MaxRequests, math.MaxInt32)),
		MaxConnections: cmp.Or(cfg.MaxConnections, math.MaxInt32), Notify: node.SetOverloaded, Memory: g.buffers,
	}, set, log)
	g.buffers.SetReclaim(g.entrance.Reclaim)
	g.scheduler.zone = cfg.Zone
	g.stallReportsFrom = time.Now().Add(cfg.StallReportDelay)
	g.conns = h1.NewPool(g.dialInstance, g.connOpened)
	set.NewGauge("lupinkeel_upstream_peek_errors", func() float64 { return float64(g.conns.PeekErrors()) })
	return g
}

// dialInstance connects to an instance within dialTimeout.
func (g *Gateway) dialInstance(ctx context.Context, addr netip.AddrPort) (h1.Conn, error) {
	ctx, cancel := timer.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return g.node.DialInstance(ctx, addr)
}
