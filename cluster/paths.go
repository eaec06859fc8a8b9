package cluster

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/reachability"
)

const (
	// detourDelay is how long a direct connection may take before a tunnel is tried as well: several
	// round trips within a region.
	detourDelay = 60 * time.Millisecond
	// pathCheckInterval is the minimum time between two checks of paths to silent instances.
	pathCheckInterval = 100 * time.Millisecond
	// recheckInterval is the interval of direct attempts during a partition.
	recheckInterval = 200 * time.Millisecond
)

// ErrUnconfirmed is returned with the error of a failed connection if no other daemon could try the
// instance: the failure may be one of this daemon's network.
var ErrUnconfirmed = errors.New("no other daemon could confirm the failure")

// paths connects to instances, directly or through another daemon, and tracks which way works. It
// is safe for concurrent use.
type paths struct {
	n       *Node
	direct  h1.DialFunc
	tunnels *metrics.Counter

	mu        sync.Mutex
	tracker   reachability.Tracker
	since     time.Time
	checkedAt time.Time
}

func newPaths(n *Node, direct h1.DialFunc, set *metrics.Set) *paths {
	p := &paths{n: n, direct: direct, tunnels: set.NewCounter("lupinkeel_tunnels_total")}
	set.NewGauge("lupinkeel_partitioned", func() float64 {
		if p.partitioned() {
			return 1
		}
		return 0
	})
	return p
}

// partitioned reports whether this daemon is partitioned from most instances.
func (p *paths) partitioned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Partitioned()
}

func (p *paths) needsDetour(addr netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.NeedsDetour(addr, time.Now())
}

func (p *paths) record(addr netip.AddrPort, outcome reachability.Outcome) {
	now := time.Now()
	p.mu.Lock()
	changed, partitioned, lasted := p.tracker.Record(addr, outcome, now), p.tracker.Partitioned(), now.Sub(p.since)
	if changed {
		p.since = now
	}
	p.mu.Unlock()
	switch {
	case !changed:
		return
	case partitioned:
		p.n.log.Warn().Stringer("address", addr).Msg("partition-began")
	default:
		p.n.log.Info().Dur("after", lasted).Msg("partition-ended")
	}
	// Other daemons choose tunnels and the planner by this.
	p.n.links.sendHeartbeat("")
}

// dial connects to an instance. It tries a tunnel through another daemon if the direct connection
// fails or takes long, and tries the tunnel first if the direct one failed shortly before.
func (p *paths) dial(ctx context.Context, addr netip.AddrPort) (h1.Conn, error) {
	if p.needsDetour(addr) {
		conn, err := p.dialTunnel(ctx, addr, tunnelStagger)
		if err == nil || !errors.Is(err, errNoTunnel) {
			return conn, err
		}
	}
	first, stagger := p.startDirect(ctx, addr), tunnelStagger
	slow, cancel := timer.WithTimeout(ctx, detourDelay)
	defer cancel()
	select {
	case <-first.done:
		if first.err == nil {
			return first.take(), nil
		}
		// The instance probably refused, and all daemons find out at once whether it does.
		stagger = 0
	case <-slow.Done():
	}
	switch {
	case first.connected():
		return first.take(), nil
	case ctx.Err() != nil:
		first.abandon()
		return nil, context.Cause(ctx)
	}
	tunnel, err := p.dialTunnel(ctx, addr, stagger)
	switch {
	case err == nil && first.connected():
		// The tunnel is not used.
		_ = tunnel.Close()
		return first.take(), nil
	case err == nil:
		first.bypass()
		return tunnel, nil
	}
	select {
	case <-first.done:
	case <-ctx.Done():
		first.abandon()
		return nil, context.Cause(ctx)
	}
	switch {
	case first.err == nil:
		return first.take(), nil
	case errors.Is(err, errNoTunnel) && p.n.View().hasPeers:
		return nil, errors.Join(first.err, ErrUnconfirmed)
	default:
		return nil, first.err
	}
}

// check finds out in the background whether an instance that is silent can be reached.
func (p *paths) check(ctx context.Context, addr netip.AddrPort) {
	now := time.Now()
	p.mu.Lock()
	due := now.Sub(p.checkedAt) >= pathCheckInterval && !p.tracker.NeedsDetour(addr, now)
	if due {
		p.checkedAt = now
	}
	p.mu.Unlock()
	if !due {
		return
	}
	task.Start(context.WithoutCancel(ctx), "check", func(ctx context.Context) error {
		ctx, cancel := timer.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := p.dial(ctx, addr)
		if err != nil {
			// The attempt has been recorded; the caller's request shows whether the instance failed.
			return err
		}
		return conn.Close()
	})
}

// run attempts direct connections during a partition, to find out when it ends.
func (p *paths) run(ctx context.Context) error {
	ticks := p.n.clock.Subscribe(recheckInterval)
	var next models.InstanceID
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
		}
		if !p.partitioned() {
			continue
		}
		i, known := nextInstance(p.n.View().Instances, next)
		if !known {
			continue
		}
		next = i.ID
		task.Start(ctx, "recheck", func(ctx context.Context) error { return p.recheck(ctx, i.Addr) })
	}
}

// recheck attempts a direct connection to an instance.
func (p *paths) recheck(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := timer.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.direct(ctx, addr)
	if err != nil {
		// During a partition, most failures are due to it.
		p.record(addr, reachability.Bypassed)
		return err
	}
	p.record(addr, reachability.Connected)
	return conn.Close()
}

// nextInstance returns the instance that follows another one in the order of their ids.
func nextInstance(all map[models.InstanceID]models.UpstreamInstance, after models.InstanceID) (models.UpstreamInstance, bool) {
	var first, next models.InstanceID
	for id := range all {
		if first == "" || id < first {
			first = id
		}
		if id > after && (next == "" || id < next) {
			next = id
		}
	}
	if next == "" {
		next = first
	}
	i, known := all[next]
	return i, known
}

// CheckPath finds out in the background whether an instance that does not answer can be reached.
func (n *Node) CheckPath(ctx context.Context, addr netip.AddrPort) { n.paths.check(ctx, addr) }

// DialInstance connects to an instance, through another daemon if this one is partitioned from it.
// The error wraps ErrUnconfirmed if no other daemon could try.
func (n *Node) DialInstance(ctx context.Context, addr netip.AddrPort) (h1.Conn, error) {
	return n.paths.dial(ctx, addr)
}
