// Package gateway takes callers' requests over HTTP and passes each to an
// upstream instance, raw: method, path, query, body and headers go through
// as they came, both ways.
package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/ratelimit"
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

// dialTimeout bounds the making of a connection to an upstream: two
// round trips between zones, far less than a lost packet's repeat.
const dialTimeout = 250 * time.Millisecond

// Beliefs are what the gateway is told of the world, as a cluster.Node does.
type Node interface {
	View() *cluster.View
	// PeersLoad is what other daemons have at an instance.
	PeersLoad(id models.InstanceID) cluster.Load
	// ReportStalled tells that nothing moves at a group's head.
	ReportStalled(group models.GroupKey, head models.InstanceID)
	// Quarantine holds the requests that crash instances.
	Quarantine() *cluster.Quarantine
	// Limits holds the limits that instances name.
	Limits() *cluster.Limits
	// Breakers holds what instances asked for in their answers.
	Breakers() *cluster.Breakers
	// AskPermit asks for a permit to send a request to one of several instances of a
	// zone that name limits.
	AskPermit(ctx context.Context, zone models.Zone, ask ratelimit.Ask) (ratelimit.Grant, error)
	Clock() *timer.Service
}

// Gateway serves one daemon's callers.
type Gateway struct {
	cfg       Settings
	log       zerolog.Logger
	node      Node
	scheduler *scheduler
	budget    *retryBudget
	crashes   *crashDetector
	// settled is when what it sees of groups may be relied on.
	stallReportsFrom time.Time
	conns            *h1.Pool
	stats            *stats
	set              *metrics.Set
	stopping         atomic.Bool
}

type stats struct {
	byOutcome map[outcome]*metrics.Counter
	retries   *metrics.Counter
	// quarantined counts the requests that were refused since they crash instances.
	quarantineRefusals *metrics.Counter
	// limited counts those that were refused since all instances had named limits.
	limitRefusals *metrics.Counter
	// rested counts those that were refused since all instances had asked for rest.
	backoffRefusals *metrics.Counter
	// turnedAway counts the sends that instances did not run.
	rejections  *metrics.Counter
	resumes     *metrics.Counter
	connsOpened *metrics.Counter
	firstByte   *metrics.Histogram
	inFlight    atomic.Int64
	// ownZone and otherZone count the bytes of connections to upstreams.
	ownZone   byteMeter
	otherZone byteMeter
}

func newStats(set *metrics.Set) *stats {
	s := &stats{
		byOutcome: map[outcome]*metrics.Counter{}, retries: set.NewCounter("lupinkeel_request_repeats_total"),
		quarantineRefusals: set.NewCounter("lupinkeel_quarantine_refusals_total"),
		limitRefusals:      set.NewCounter("lupinkeel_limit_refusals_total"),
		backoffRefusals:    set.NewCounter("lupinkeel_rest_refusals_total"),
		rejections:         set.NewCounter("lupinkeel_turned_away_total"),
		resumes:            set.NewCounter("lupinkeel_stream_resumes_total"), connsOpened: set.NewCounter("lupinkeel_upstream_connections_total"),
		firstByte: set.NewHistogram("lupinkeel_first_byte_seconds"),
		ownZone:   newByteMeter(set, "own"), otherZone: newByteMeter(set, "other"),
	}
	set.NewGauge("lupinkeel_requests_in_flight", func() float64 { return float64(s.inFlight.Load()) })
	for _, o := range outcomes {
		s.byOutcome[o] = set.NewCounter(fmt.Sprintf("lupinkeel_requests_total{outcome=%q}", string(o)))
	}
	return s
}

// opened counts a new connection to an upstream, and its bytes by whether they
// stay in the daemon's availability zone.
func (g *Gateway) connOpened(addr netip.AddrPort) h1.Meter {
	g.stats.connsOpened.Inc()
	for _, i := range g.node.View().All {
		if i.Addr == addr && i.Zone == g.cfg.Zone {
			return g.stats.ownZone
		}
	}
	return g.stats.otherZone
}

// meter counts the bytes of connections to upstreams.
type byteMeter struct{ sent, received *metrics.Counter }

func newByteMeter(set *metrics.Set, zone string) byteMeter {
	counter := func(direction string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("lupinkeel_upstream_bytes_total{zone=%q,way=%q}", zone, direction))
	}
	return byteMeter{counter("sent"), counter("received")}
}

// Sent counts bytes of requests.
func (m byteMeter) Sent(n int) { m.sent.Add(n) }

// Received counts bytes of answers.
func (m byteMeter) Received(n int) { m.received.Add(n) }

// Traffic is what a node reads of a gateway that is yet to be made.
func Traffic() cluster.Traffic { return newScheduler() }

// New returns a gateway. The traffic must come from Traffic.
func New(cfg Settings, node Node, traffic cluster.Traffic, set *metrics.Set, log zerolog.Logger) *Gateway {
	g := &Gateway{
		cfg: cfg, log: log, node: node, scheduler: traffic.(*scheduler), stats: newStats(set), set: set,
		budget: newRetryBudget(cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow), crashes: newCrashDetector(node, set, log),
	}
	g.scheduler.zone = cfg.Zone
	g.stallReportsFrom = time.Now().Add(cfg.Settle)
	g.conns = h1.NewPool(dialTimeout, g.connOpened)
	return g
}
