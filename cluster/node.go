// Package cluster holds one daemon's view of the cluster and exchanges state with the other
// daemons: the configuration, the upstream instances and their replica groups, the daemons
// themselves, and which of them is the planner, the elected daemon that plans the groups. One
// goroutine, the owner, holds the state; other goroutines read it as immutable views.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
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

// Settings configures a node.
type Settings struct {
	ID   models.DaemonID
	Zone models.Zone
	// Peer is the address at which this node accepts connections of other daemons.
	Peer netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// CPUCores is the number of processor cores that the process may use, usually a fraction of one.
	CPUCores float64
	// LeaseMin is the shortest lease that the store grants.
	LeaseMin time.Duration
	// InstanceHeartbeat is the interval at which an instance rewrites its entry in the store.
	InstanceHeartbeat time.Duration
	// FirstStart is set if all daemons start for the first time.
	FirstStart bool
	// DialInstance connects to an instance directly; nil connects over TCP.
	DialInstance h1.DialFunc
}

// Traffic reports the load that the daemon's callers cause. Implementations must be safe for
// concurrent use.
type Traffic interface {
	// Loads returns the daemon's current load on each instance.
	Loads() map[models.InstanceID]Load
	// LoadsSince returns the loads that changed since an earlier call, and a number to pass to the
	// next call. The first call passes 0.
	LoadsSince(seen uint64) (map[models.InstanceID]Load, uint64)
	// Changed receives a value after loads have changed.
	Changed() <-chan struct{}
	// Demand returns the demand of this daemon's callers for each model. The caller may keep the map.
	Demand() map[models.ServedModel]ModelDemand
}

const (
	// inboxLen is the number of messages that can queue for the owner.
	inboxLen = 256
	// orderTimeout bounds the wait for an instance's response to an order. Instances in the same
	// region answer within some milliseconds.
	orderTimeout = 500 * time.Millisecond
	// stalledProbeTimeout bounds a probe of an instance whose group is stalled, probeTimeout any
	// other probe. The latter is longer because a planner on a small machine is itself late at
	// times.
	stalledProbeTimeout = 200 * time.Millisecond
	probeTimeout        = 600 * time.Millisecond
	// dialTimeout bounds connecting to the store, to instances and to other daemons.
	dialTimeout = 400 * time.Millisecond
	// tickInterval is the interval of the owner's periodic checks, sweepInterval the interval at
	// which idle connections are closed.
	tickInterval  = 50 * time.Millisecond
	sweepInterval = time.Second
)

// Node is this daemon's member of the cluster.
type Node struct {
	cfg       Settings
	log       zerolog.Logger
	clock     *timer.Service
	traffic   Traffic
	store     *platform.Store
	instances *platform.InstanceClient
	// paths connects to instances, through tunnelPeers where it has to.
	paths       *paths
	tunnelPeers atomic.Pointer[[]tunnelPeer]
	// storeConns and instanceConns are the connections to the store and to instances.
	storeConns    *h1.Pool
	instanceConns *h1.Pool
	inbox         chan message
	view          atomic.Pointer[View]
	stats         *stats
	planning      atomic.Bool
	startedAt     time.Time
	peerLoads     *peerLoads
	links         *links
	echoes        *echoes
	quarantine    *Quarantine
	limits        *Limits
	breakers      *Breakers
	permits       *permits
	// inLeaseGroup is set while this node is a member of the store's group among which the store
	// assigns the planner's lease.
	inLeaseGroup atomic.Bool
	// lease is the lease that this node holds or held last, as of its last renewal.
	lease atomic.Pointer[leaseHeld]
	// resigned is set once this node must not be planner any more, because the process is stopping.
	resigned atomic.Bool
	// turns counts the turns of the owner; hangs is set while it takes none.
	turns atomic.Uint64
	hangs atomic.Bool
	// leaving is set once the process ends as planned.
	leaving atomic.Bool
	// overloaded is set while this daemon refuses connections of callers for a considerable part of
	// the time.
	overloaded atomic.Bool
	// lastEndedTerm is the last term in which this node was planner and stopped. Its fences and
	// epochs must not be issued again.
	lastEndedTerm atomic.Int64
	// updatesCurrentAt is the time up to which the planner's updates, or a relay's snapshot, cover
	// all changes of instances; nil after an update was missed.
	updatesCurrentAt atomic.Pointer[time.Time]
	// missedUpdates is pending while updates are missing, also before the first update, until
	// entries are read or a snapshot arrives. snapshotRelay is the relay that is asked for the
	// snapshot, empty if no relay has current entries.
	missedUpdates missedUpdates
	snapshotRelay atomic.Pointer[models.DaemonID]
	// entriesAt is the time as of which all entries of instances are known; nil until they are.
	entriesAt atomic.Pointer[time.Time]
	// entriesEnd is the position up to which the store's entry records are known.
	entriesEnd atomic.Pointer[models.Position]
	// era is the highest store era that this node or another daemon has seen. The store begins a
	// new era whenever it is restored from a backup.
	era atomic.Int64
	// rosterReady is closed once enough of the roster is known, so that this node knows whether it
	// uses a relay.
	rosterReady chan struct{}
	// registered is set once this incarnation is registered in the roster.
	registered atomic.Bool
	// fallbackDraw is where in the time over which daemons spread their reads of the store this one
	// reads, between 0 and 1.
	fallbackDraw float64
}

type stats struct {
	set           *metrics.Set
	missedUpdates *metrics.Counter
	storeErrors   *metrics.Counter
	orders        *metrics.Counter
	reports       *metrics.Counter
	plans         *metrics.Counter
	// The conversions count moves of instances between models.
	conversionsBegun, conversionsCompleted, conversionsGivenUp *metrics.Counter
	// orderTime and reportTime are the response times of instances to orders and probes.
	orderTime, reportTime *metrics.Histogram
	// restarted counts instances that restarted under the same ID, unreadable counts entries that
	// could not be decoded.
	restarted  *metrics.Counter
	unreadable *metrics.Counter
	// restores counts the times that the store was restored from a backup.
	restores *metrics.Counter
}

// registerAgeMetrics registers gauges for the age of data received from other daemons: the
// planner's updates, which are sent four times a second, load totals, which are sent every
// totalsInterval, and the confirmation of the configuration. It also registers gauges for the number
// of daemons and this node's role.
func (n *Node) registerAgeMetrics() {
	n.stats.set.NewGauge("lupinkeel_planner_news_age_seconds", func() float64 {
		if n.planning.Load() {
			return 0
		}
		at := n.updatesCurrentAt.Load()
		if at == nil {
			at = &n.startedAt
		}
		return max(0, n.clock.Since(*at).Seconds())
	})
	n.stats.set.NewGauge("lupinkeel_config_age_seconds", func() float64 { return n.configAge().Seconds() })
	n.stats.set.NewGauge("lupinkeel_entries_age_seconds", func() float64 { return n.entriesAge().Seconds() })
	n.stats.set.NewGauge("lupinkeel_load_sums_age_seconds", func() float64 {
		if n.View().mesh() {
			return 0
		}
		return n.peerLoads.totalsAge(time.Now()).Seconds()
	})
	n.stats.set.NewGauge("lupinkeel_evacuated_zones", func() float64 { return float64(len(n.View().Evacuated)) })
	n.stats.set.NewGauge("lupinkeel_requests_in_evacuated_zones", func() float64 { return float64(n.requestsInEvacuatedZones()) })
	n.stats.set.NewGauge("lupinkeel_daemons", func() float64 { return float64(n.View().Daemons) })
	n.stats.set.NewGauge("lupinkeel_relay", func() float64 {
		if a := n.View().Topology; a != nil && a.IsRelay {
			return 1
		}
		return 0
	})
}

// storeCalls returns the counter of store calls for one topic or group.
func (s *stats) storeCalls(about string) *metrics.Counter {
	return s.set.GetOrCreateCounter(fmt.Sprintf("lupinkeel_store_calls_total{about=%q}", about))
}

// New returns a node that is not running yet.
func New(cfg Settings, traffic Traffic, set *metrics.Set, log zerolog.Logger) *Node {
	now := time.Now()
	n := &Node{
		cfg: cfg, log: log, clock: timer.New(now), traffic: traffic, inbox: make(chan message, inboxLen),
		startedAt: now, peerLoads: newPeerLoads(), rosterReady: make(chan struct{}), fallbackDraw: rand.Float64(),
		stats: &stats{
			set:                  set,
			missedUpdates:        set.NewCounter("lupinkeel_news_missed_total"),
			storeErrors:          set.NewCounter("lupinkeel_store_errors_total"),
			orders:               set.NewCounter("lupinkeel_group_orders_total"),
			reports:              set.NewCounter("lupinkeel_instance_reports_total"),
			plans:                set.NewCounter("lupinkeel_plans_total"),
			conversionsBegun:     set.NewCounter("lupinkeel_conversions_begun_total"),
			conversionsCompleted: set.NewCounter("lupinkeel_conversions_completed_total"),
			conversionsGivenUp:   set.NewCounter("lupinkeel_conversions_given_up_total"),
			orderTime:            set.NewHistogram("lupinkeel_order_seconds"),
			reportTime:           set.NewHistogram("lupinkeel_report_seconds"),
			restarted:            set.NewCounter("lupinkeel_instance_restarts_total"),
			unreadable:           set.NewCounter("lupinkeel_unreadable_entries_total"),
			restores:             set.NewCounter("lupinkeel_store_restores_total"),
		},
	}
	direct := cfg.DialInstance
	if direct == nil {
		direct = h1.Direct(dialTimeout)
	}
	n.paths = newPaths(n, direct, set)
	n.tunnelPeers.Store(&[]tunnelPeer{})
	n.storeConns = h1.NewPool(h1.Direct(dialTimeout), nil)
	n.instanceConns = h1.NewPool(n.DialInstance, nil)
	n.store = platform.NewStore(cfg.Store, n.storeConns)
	n.instances = platform.NewInstanceClient(n.instanceConns, n.recordResponseHead)
	n.links = newLinks(n)
	n.echoes = newEchoes(n.clock, now)
	n.quarantine = NewQuarantine(n.links.notifyAll, set, log)
	n.limits = NewLimits(cfg.ID, n.notifyLimits, set, log)
	n.breakers = NewBreakers(n.notifySignals, set, log)
	n.permits = newPermits(n, set)
	n.view.Store(&View{})
	n.entriesEnd.Store(&models.Position{})
	n.missedUpdates.record()
	relay := anyRelay
	n.snapshotRelay.Store(&relay)
	n.registerAgeMetrics()
	return n
}

// View returns the current view.
func (n *Node) View() *View { return n.view.Load() }

// incarnation returns the number of this process among those of the daemon, which increases.
func (n *Node) incarnation() int64 { return n.startedAt.UnixNano() }

// Clock returns the node's timer service.
func (n *Node) Clock() *timer.Service { return n.clock }

// ReportStalled reports that the streams at a group's head make no progress.
func (n *Node) ReportStalled(group models.GroupKey, head models.InstanceID) {
	select {
	case n.inbox <- stallDetected{group: group, head: head}:
	default:
		// The inbox is full; the next stream at the head reports it again.
	}
}

// Resign makes the node give up the planner's lease and not run for it again. It is called
// before the process stops, while the node can still announce the end of its term, so that another
// daemon takes over at once.
func (n *Node) Resign() { n.resigned.Store(true) }

// SetOverloaded tells the node whether the daemon refuses connections of callers for a considerable
// part of the time. Meanwhile it leaves planning to other daemons, and makes no connections to
// instances for them.
func (n *Node) SetOverloaded(overloaded bool) { n.overloaded.Store(overloaded) }

// Run runs the node until the context ends.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers, err := listenPeers(n)
	if err != nil {
		return err
	}
	o := newOwner(n)
	loops := map[string]func(context.Context) error{
		"owner":      o.run,
		"clock":      n.clock.Run,
		"config":     n.followConfig,
		"instances":  n.followInstances,
		"roster":     n.followRoster,
		"enroll":     n.keepRegistered,
		"lease":      n.holdLease,
		"peers":      peers.run,
		"sweep":      n.sweep,
		"announce":   n.notifyLoadChanges,
		"totals":     n.broadcastTotals,
		"quarantine": n.syncQuarantine,
		"permits":    n.permits.run,
		"paths":      n.paths.run,
	}
	var tasks []task.Task
	for name, run := range loops {
		tasks = append(tasks, task.Start(ctx, name, run))
	}
	err = task.WaitAny(ctx, tasks...)
	cancel()
	return errors.Join(err, task.Wait(tasks...))
}

func (n *Node) sweep(ctx context.Context) error {
	ticks := n.clock.Subscribe(sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case tick := <-ticks:
			n.storeConns.Sweep(tick.At)
			n.instanceConns.Sweep(tick.At)
		}
	}
}

// post queues a message for the owner.
func (n *Node) post(ctx context.Context, m message) {
	select {
	case n.inbox <- m:
	case <-ctx.Done():
	}
}

// sendOrder sends an order in the background and posts the result to the owner.
func (n *Node) sendOrder(ctx context.Context, addr netip.AddrPort, o types.GroupOrder) {
	n.stats.orders.Inc()
	task.Start(ctx, "order", func(ctx context.Context) error {
		sentAt := time.Now()
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		outcome, err := n.instances.SendOrder(limited, addr, o)
		took := time.Since(sentAt)
		n.stats.orderTime.Update(took.Seconds())
		n.post(ctx, orderFinished{order: o, outcome: outcome, err: err, finishedAt: time.Now(), took: took})
		return nil
	})
}

// recordResponseHead records the backoff and leaving signals in an instance's response to an order
// or a probe.
func (n *Node) recordResponseHead(id models.InstanceID, head models.ResponseHead) {
	n.breakers.ObserveHead(id, n.View().Instances[id].StartedAt, head)
}

// sendProbe asks an instance for a report in the background. It returns false if the instance's
// circuit breaker admits no probe now.
func (n *Node) sendProbe(ctx context.Context, i models.UpstreamInstance, timeout time.Duration) bool {
	if !n.breakers.admitProbe(i) {
		return false
	}
	n.stats.reports.Inc()
	task.Start(ctx, "report", func(ctx context.Context) error {
		sentAt := time.Now()
		limited, cancel := timer.WithTimeout(ctx, timeout)
		defer cancel()
		// A connection from before may hang, which is no evidence about the instance.
		report, err := n.instances.FetchReport(limited, i, timeout < probeTimeout)
		took := time.Since(sentAt)
		n.stats.reportTime.Update(took.Seconds())
		n.post(ctx, probeFinished{instance: report, err: err, sentAt: sentAt, took: took})
		n.permits.charge(ctx, i)
		return nil
	})
	return true
}
