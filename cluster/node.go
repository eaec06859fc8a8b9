// Package cluster is what one daemon believes of the world and tells others
// of it: the configuration, the upstream instances and their groups, the
// other daemons, and whether it is the one that plans the groups. One
// goroutine owns these beliefs; others read them as views.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// Settings are what a node needs to know from the start.
type Settings struct {
	ID   models.DaemonID
	Zone models.Zone
	// Peer is where other daemons reach this one.
	Peer netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Power is the part of a core that the process may use.
	Power float64
	// LeaseMin is the shortest lease that the store grants.
	LeaseMin time.Duration
	// InstanceHeartbeat is how often an instance writes its entry.
	InstanceHeartbeat time.Duration
}

// Traffic tells what the daemon's callers ask for. It must be safe for use
// by several goroutines.
type Traffic interface {
	// Loads are what the daemon has at instances.
	Loads() map[models.InstanceID]Load
	// LoadsSince are the loads that changed since an earlier call, which
	// gave the number; the first call gives 0.
	LoadsSince(seen uint64) (map[models.InstanceID]Load, uint64)
	// Changed yields after loads have changed.
	Changed() <-chan struct{}
	// Work is the load of each model, in seconds of a replica group for each
	// second.
	Work() map[models.ModelName]float64
}

const (
	// inboxLen is how many messages may wait for the owner.
	inboxLen = 256
	// orderTimeout bounds the wait for an order's answer; instances of the
	// same region answer within some ms.
	orderTimeout = 500 * time.Millisecond
	// promptReport bounds the wait for the report of an instance whose group
	// stands still, patientReport for one of which nothing bad is known: a
	// small instance that plans is itself late at times.
	promptReport  = 200 * time.Millisecond
	patientReport = 600 * time.Millisecond
	// dialTimeout bounds the making of a connection to the store, to
	// instances for orders, and to other daemons.
	dialTimeout = 400 * time.Millisecond
	// planEvery is how often the owner looks for what is due, sweepEvery how
	// often connections that have rested for too long are closed.
	planEvery  = 50 * time.Millisecond
	sweepEvery = time.Second
)

// Node is one daemon's part in the cluster.
type Node struct {
	cfg        Settings
	log        zerolog.Logger
	clock      *timer.Service
	traffic    Traffic
	store      *platform.Store
	instances  *platform.InstanceClient
	conns      *h1.Pool
	inbox      chan message
	view       atomic.Pointer[View]
	stats      *stats
	planning   atomic.Bool
	started    int64
	peerLoads  *peerLoads
	links      *links
	quarantine *Quarantine
	limits     *Limits
	breakers   *Breakers
	permits    *permits
	// leasing tells that this node is among those that the store deals the
	// planner's lease to.
	leasing atomic.Bool
	// lease is the one that this node holds or held last, with its newest renewal.
	lease atomic.Pointer[leaseHeld]
	// standingAside tells that this node is to plan no more.
	standingAside atomic.Bool
	// spentTerm is the last term in which this node planned and stopped: its
	// fences and epochs must not be given a second time.
	spentTerm atomic.Int64
	// fedByPlanner is as of when the planner, or a relay, told of all instances, in Unix
	// nanoseconds; zero once some were missed.
	fedByPlanner atomic.Int64
	// missed tells that some were missed, or none heard yet, since entries
	// were last read; asked is the relay that is asked for them, empty if there is none
	// that could tell.
	missed missedNews
	asked  atomic.Pointer[models.DaemonID]
	// entriesAt is as of when all entries of instances are known, in Unix nanoseconds;
	// zero while they are not.
	entriesAt atomic.Int64
	// entriesEnd is up to where their records are known.
	entriesEnd atomic.Pointer[models.Position]
	// era is the highest of the store that this node or another one saw.
	era atomic.Int64
	// partKnown is closed once the roster was read: this node knows its part among
	// the daemons.
	partKnown chan struct{}
}

type stats struct {
	set         *metrics.Set
	missed      *metrics.Counter
	storeErrors *metrics.Counter
	orders      *metrics.Counter
	reports     *metrics.Counter
	plans       *metrics.Counter
	// orderTime and reportTime are how long instances take to answer orders and questions.
	orderTime, reportTime *metrics.Histogram
	// reborn counts instances that started again under their ids, foreign entries
	// that name no instance.
	reborn  *metrics.Counter
	foreign *metrics.Counter
	// restores counts how often the store came back from a copy.
	restores *metrics.Counter
}

// showAges shows in the metrics how old what others tell is: news of the planner,
// which come four times a second, and sums of loads, which come each totalsEvery;
// and this node's part among the daemons.
func (n *Node) showAges() {
	since := func(nanos int64) float64 { return max(0, time.Since(time.Unix(0, nanos)).Seconds()) }
	n.stats.set.NewGauge("lupinkeel_planner_news_age_seconds", func() float64 {
		if n.planning.Load() {
			return 0
		}
		return since(max(n.started, n.fedByPlanner.Load()))
	})
	n.stats.set.NewGauge("lupinkeel_entries_age_seconds", func() float64 { return n.entriesAge().Seconds() })
	n.stats.set.NewGauge("lupinkeel_load_sums_age_seconds", func() float64 {
		if n.View().mesh() {
			return 0
		}
		return n.peerLoads.age(time.Now()).Seconds()
	})
	n.stats.set.NewGauge("lupinkeel_daemons", func() float64 { return float64(n.View().Daemons) })
	n.stats.set.NewGauge("lupinkeel_relay", func() float64 {
		if a := n.View().Arranged; a != nil && a.IsRelay {
			return 1
		}
		return 0
	})
}

// storeCalls counts the calls to the store about one topic or group.
func (s *stats) storeCalls(about string) *metrics.Counter {
	return s.set.GetOrCreateCounter(fmt.Sprintf("lupinkeel_store_calls_total{about=%q}", about))
}

// New returns a node that is not running yet.
func New(cfg Settings, traffic Traffic, set *metrics.Set, log zerolog.Logger) *Node {
	now := time.Now()
	n := &Node{
		cfg: cfg, log: log, clock: timer.New(now), traffic: traffic, inbox: make(chan message, inboxLen),
		started: now.UnixNano(), peerLoads: newPeerLoads(), partKnown: make(chan struct{}),
		stats: &stats{
			set:         set,
			missed:      set.NewCounter("lupinkeel_news_missed_total"),
			storeErrors: set.NewCounter("lupinkeel_store_errors_total"),
			orders:      set.NewCounter("lupinkeel_group_orders_total"),
			reports:     set.NewCounter("lupinkeel_instance_reports_total"),
			plans:       set.NewCounter("lupinkeel_plans_total"),
			orderTime:   set.NewHistogram("lupinkeel_order_seconds"),
			reportTime:  set.NewHistogram("lupinkeel_report_seconds"),
			reborn:      set.NewCounter("lupinkeel_instance_restarts_total"),
			foreign:     set.NewCounter("lupinkeel_unreadable_entries_total"),
			restores:    set.NewCounter("lupinkeel_store_restores_total"),
		},
	}
	n.conns = h1.NewPool(dialTimeout, nil)
	n.store = platform.NewStore(cfg.Store, n.conns)
	n.instances = platform.NewInstanceClient(n.conns, n.hearInstance)
	n.links = newLinks(n)
	n.quarantine = NewQuarantine(n.links.wakeAll, set, log)
	n.limits = NewLimits(cfg.ID, n.tellLimits, set, log)
	n.breakers = NewBreakers(n.tellSignals, set, log)
	n.permits = newPermits(n, set)
	n.view.Store(&View{})
	n.entriesEnd.Store(&models.Position{})
	n.missed.note()
	asked := anyRelay
	n.asked.Store(&asked)
	n.showAges()
	return n
}

// View returns what the node believes now.
func (n *Node) View() *View { return n.view.Load() }

// Clock is the node's timer service.
func (n *Node) Clock() *timer.Service { return n.clock }

// ReportStalled tells the node that nothing moves at a group's head.
func (n *Node) ReportStalled(group models.GroupKey, head models.InstanceID) {
	select {
	case n.inbox <- stalled{group: group, head: head}:
	default:
		// The owner is behind; the next stream at the head tells again.
	}
}

// StandAside has the node give up planning, and plan no more, before the process
// stops: while it still runs another can be told to take over at once.
func (n *Node) StandAside() { n.standingAside.Store(true) }

// Run runs the node until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers, err := listenPeers(n)
	if err != nil {
		return err
	}
	o := newOwner(n)
	parts := map[string]func(context.Context) error{
		"owner":      o.run,
		"clock":      n.clock.Run,
		"config":     n.followConfig,
		"instances":  n.followInstances,
		"roster":     n.followRoster,
		"enroll":     n.keepEnrolled,
		"lease":      n.holdLease,
		"peers":      peers.run,
		"sweep":      n.sweep,
		"announce":   n.announce,
		"totals":     n.tellTotals,
		"quarantine": n.keepQuarantine,
		"permits":    n.permits.run,
	}
	var tasks []task.Task
	for name, run := range parts {
		tasks = append(tasks, task.Start(ctx, name, run))
	}
	err = task.WaitAny(ctx, tasks...)
	cancel()
	return errors.Join(err, task.Wait(tasks...))
}

func (n *Node) sweep(ctx context.Context) error {
	ticks := n.clock.Subscribe(sweepEvery)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case tick := <-ticks:
			n.conns.Sweep(tick.At)
		}
	}
}

// tell hands a message to the owner.
func (n *Node) tell(ctx context.Context, m message) {
	select {
	case n.inbox <- m:
	case <-ctx.Done():
	}
}

// giveOrder sends an order in the background and tells the owner its end.
func (n *Node) giveOrder(ctx context.Context, addr netip.AddrPort, o types.GroupOrder) {
	n.stats.orders.Inc()
	task.Start(ctx, "order", func(ctx context.Context) error {
		given := time.Now()
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		outcome, err := n.instances.SendOrder(limited, addr, o)
		took := time.Since(given)
		n.stats.orderTime.Update(took.Seconds())
		n.tell(ctx, orderEnded{order: o, outcome: outcome, err: err, at: time.Now(), took: took})
		return nil
	})
}

// hearInstance notes what an answer to an order or a question told of its instance.
func (n *Node) hearInstance(id models.InstanceID, told models.ResponseHead) {
	n.breakers.HeardHead(id, n.View().All[id].StartedAt, told)
}

// askReport asks an instance how it is, in the background. It returns false if the instance
// wants nothing now.
func (n *Node) askReport(ctx context.Context, i models.UpstreamInstance, timeout time.Duration) bool {
	if !n.breakers.admitReport(i) {
		return false
	}
	n.stats.reports.Inc()
	task.Start(ctx, "report", func(ctx context.Context) error {
		asked := time.Now()
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		told, err := n.instances.FetchReport(limited, i)
		took := time.Since(asked)
		n.stats.reportTime.Update(took.Seconds())
		n.tell(ctx, reportEnded{instance: told, err: err, asked: asked, took: took})
		n.permits.charge(ctx, i)
		return nil
	})
	return true
}
