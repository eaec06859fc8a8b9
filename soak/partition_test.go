package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/gateway"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/logfmt"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// contactTime is how long after the beginning of a partition its effects are excused.
	contactTime = 3 * time.Second
	// partitionDuration is how long a partition lasts.
	partitionDuration = 5 * time.Second
	// minPartitionedFraction is the fraction of their requests that partitioned daemons must serve,
	// relative to the other daemons.
	minPartitionedFraction = 2.0 / 3
	// localDaemons is the number of daemons in the test's process.
	localDaemons = 4
)

// partitionMode is what happens to connections to instances in a partition.
type partitionMode string

const (
	// refusesNew: new connections are refused, open ones go on.
	refusesNew partitionMode = "refused"
	// resets: open connections are reset, new ones are refused.
	resets partitionMode = "reset"
	// drops: packets are lost, so that open connections hang and new ones time out.
	drops partitionMode = "hang"
)

// TestPartitionedDaemonTakesFleetDown guards against daemons that take a partition from all
// instances for the failure of these instances: such a planner made all daemons drop all groups,
// and the groups never came back.
func TestPartitionedDaemonTakesFleetDown(t *testing.T) {
	for _, test := range []struct {
		name string
		mode partitionMode
		// selectCut returns the daemons to partition, and the others.
		selectCut func([]*localDaemon) (cut, others []*localDaemon)
	}{
		{"planner_refused", refusesNew, halfWithPlanner},
		{"planner_reset", resets, halfWithPlanner},
		{"planner_hangs", drops, halfWithPlanner},
		{"others_hang", drops, halfWithoutPlanner},
		{"all_hang", drops, allDaemons},
	} {
		t.Run(test.name, func(t *testing.T) { runPartition(t, test.mode, test.selectCut) })
	}
}

// runPartition partitions daemons from all instances, and checks what callers of these and of the
// others get during the partition and after it.
func runPartition(t *testing.T, mode partitionMode, selectCut func([]*localDaemon) (cut, others []*localDaemon)) {
	p := profile
	p.EntriesOnChange = true
	s := startInstances(t, p)
	s.logs = t.TempDir()
	all := startLocalDaemons(t, s)
	s.waitServing()
	time.Sleep(time.Second)
	cut, others := selectCut(all)
	load := startCallers(s)
	time.Sleep(time.Second)
	for _, d := range cut {
		d.network.partition(mode)
	}
	began := time.Now()
	time.Sleep(partitionDuration)
	for _, d := range cut {
		d.network.heal()
	}
	healed := time.Now()
	time.Sleep(contactTime + time.Second)
	load.stop()
	during := load.outcomes(began.Add(contactTime), healed)
	after := load.outcomes(healed.Add(contactTime), time.Now())

	cutDuring, othersDuring := during.of(cut), during.of(others)
	t.Logf("during the partition: partitioned daemons %v, others %v; after it: %v, %v", cutDuring, othersDuring, after.of(cut), after.of(others))
	c := qt.New(t)
	if len(others) > 0 {
		c.Check(cutDuring.fraction() >= minPartitionedFraction*othersDuring.fraction(), qt.IsTrue, qt.Commentf("partitioned daemons served %v, others %v", cutDuring, othersDuring))
		c.Check(othersDuring.fraction() >= minServedFraction, qt.IsTrue, qt.Commentf("daemons with links to all instances served %v", othersDuring))
	}
	c.Check(after.of(all).fraction() >= minServedFraction, qt.IsTrue, qt.Commentf("%v are served %s after the partition", after.of(all), contactTime))
	violations := append(s.pool.Violations(), load.violations()...)
	c.Check(violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(violations, "\n")))
}

func halfWithPlanner(all []*localDaemon) (cut, others []*localDaemon) { return splitDaemons(all, true) }

func halfWithoutPlanner(all []*localDaemon) (cut, others []*localDaemon) {
	return splitDaemons(all, false)
}

func allDaemons(all []*localDaemon) (cut, others []*localDaemon) { return all, nil }

// splitDaemons returns two halves of the daemons, the planner in the first one if planned is set.
func splitDaemons(all []*localDaemon, planned bool) (first, second []*localDaemon) {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b *localDaemon) int {
		if a.node.View().Planner == b.node.View().Planner {
			return 0
		}
		if a.node.View().Planner == planned {
			return -1
		}
		return 1
	})
	return sorted[:len(sorted)/2], sorted[len(sorted)/2:]
}

// localDaemon is a daemon in the test's process, whose connections to instances can be cut.
type localDaemon struct {
	name    string
	node    *cluster.Node
	network *network
}

// startLocalDaemons starts daemons in the test's process, and adds them to the site.
func startLocalDaemons(t *testing.T, s *site) []*localDaemon {
	var all []*localDaemon
	for n := range localDaemons {
		d := &localDaemon{name: fmt.Sprintf("daemon-%d", n+1), network: newNetwork(t)}
		addr := d.start(t, s)
		s.daemons = append(s.daemons, &daemon{name: d.name, addr: addr.String()})
		all = append(all, d)
	}
	return all
}

// start starts the daemon and returns its address for callers.
func (d *localDaemon) start(t *testing.T, s *site) netip.AddrPort {
	logFile, err := os.Create(filepath.Join(s.logs, d.name+".log"))
	qt.Assert(t, err, qt.IsNil)
	log := logfmt.New(logFile, zerolog.InfoLevel)
	address := func() netip.AddrPort { return netip.MustParseAddrPort(freeAddr(t)) }
	set, traffic, listen := metrics.NewSet(), gateway.Traffic(), address()
	d.node = cluster.New(cluster.Settings{
		ID: models.DaemonID(d.name), Zone: "z", Peer: address(), Store: netip.MustParseAddrPort(strings.TrimPrefix(s.server.URL, "http://")), CPUCores: 1,
		LeaseMin: 300 * time.Millisecond, InstanceHeartbeat: profile.HeartbeatInterval, DialInstance: d.network.dial,
	}, traffic, set, log)
	g := gateway.New(gateway.Settings{
		Zone: "z", Listen: listen, Ready: address(), MaxKeysProofAge: keysBound, MaxConfigAge: time.Second, RetryRatio: 0.2, RetrySlack: 1000, RetryWindow: 10 * time.Second,
		StopGrace: time.Second, StallReportDelay: 2 * time.Second, CPUCores: 1, MaxRequests: 1000, MaxConnections: 1000,
	}, d.node, traffic, set, log)
	ctx, cancel := context.WithCancel(context.Background())
	node, serving := task.Start(ctx, "node", d.node.Run), task.Start(ctx, "gateway", g.Run)
	t.Cleanup(func() {
		cancel()
		// Both only report that the context ended.
		_ = errors.Join(task.Wait(serving), task.Wait(node), logFile.Close())
	})
	return listen
}

// network makes the connections of one daemon to instances. Bytes pass through a relay, so that
// a partition can stop them.
type network struct {
	listener net.Listener
	state    atomic.Pointer[partitionState]

	mu     sync.Mutex
	relays map[*relay]struct{}
}

// partitionState is a partition, or none if its mode is empty. ended is closed at its end.
type partitionState struct {
	mode  partitionMode
	ended chan struct{}
}

// relay passes the bytes of a connection between a daemon and an instance.
type relay struct{ daemon, instance *net.TCPConn }

func newNetwork(t *testing.T) *network {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	n := &network{listener: l, relays: map[*relay]struct{}{}}
	n.state.Store(&partitionState{ended: make(chan struct{})})
	return n
}

// partition cuts the daemon off from all instances.
func (n *network) partition(mode partitionMode) {
	n.state.Store(&partitionState{mode: mode, ended: make(chan struct{})})
	if mode != resets {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for r := range n.relays {
		r.reset()
	}
}

// heal ends the partition.
func (n *network) heal() {
	before := n.state.Swap(&partitionState{ended: make(chan struct{})})
	close(before.ended)
}

// dial connects to an instance, unless there is a partition.
func (n *network) dial(ctx context.Context, addr netip.AddrPort) (h1.Conn, error) {
	state := n.state.Load()
	switch state.mode {
	case refusesNew, resets:
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.ECONNREFUSED}
	case drops:
		timeout, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-timeout.Done()
		return nil, timeout.Err()
	}
	instance, err := h1.Direct(time.Second)(ctx, addr)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	near, err := net.Dial("tcp4", n.listener.Addr().String())
	if err != nil {
		return nil, errors.Join(err, instance.Close())
	}
	far, err := n.listener.Accept()
	if err != nil {
		return nil, errors.Join(err, near.Close(), instance.Close())
	}
	r := &relay{daemon: far.(*net.TCPConn), instance: instance.(*net.TCPConn)}
	n.relays[r] = struct{}{}
	go n.run(r)
	return near.(*net.TCPConn), nil
}

// run passes bytes until one side closes.
func (n *network) run(r *relay) {
	var both sync.WaitGroup
	both.Go(func() { n.pass(r, r.daemon, r.instance) })
	both.Go(func() { n.pass(r, r.instance, r.daemon) })
	both.Wait()
	n.mu.Lock()
	delete(n.relays, r)
	n.mu.Unlock()
}

// pass copies bytes one way. While packets are dropped it passes neither bytes nor the end.
func (n *network) pass(r *relay, from, to *net.TCPConn) {
	buf := make([]byte, 4<<10)
	for {
		count, err := from.Read(buf)
		if state := n.state.Load(); state.mode == drops {
			<-state.ended
		}
		if _, writeErr := to.Write(buf[:count]); err == nil {
			err = writeErr
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			// An error of Close has no consequence here.
			_, _ = to.Close(), from.Close()
			return
		default:
			r.reset()
			return
		}
	}
}

// reset resets both connections.
func (r *relay) reset() {
	for _, conn := range []*net.TCPConn{r.daemon, r.instance} {
		// The connection may already be closed.
		_, _ = conn.SetLinger(0), conn.Close()
	}
}

// outcomes are how many requests each daemon served, by its name.
type outcomes map[string]servedCount

// servedCount is how many of a number of requests were served.
type servedCount struct{ served, total int }

func (c servedCount) fraction() float64 { return float64(c.served) / float64(max(1, c.total)) }

func (c servedCount) String() string { return fmt.Sprintf("%d of %d", c.served, c.total) }

// outcomes returns the outcomes of the requests that were sent in an interval. The load must have
// stopped.
func (c *callerLoad) outcomes(from, until time.Time) outcomes {
	out := outcomes{}
	for _, r := range c.replies {
		sent := c.sent[models.RequestID(r.id)]
		if sent.at.Before(from) || !sent.at.Before(until) {
			continue
		}
		count := out[sent.daemon]
		count.total++
		if r.complete {
			count.served++
		}
		out[sent.daemon] = count
	}
	return out
}

// of returns the sum over some daemons.
func (o outcomes) of(daemons []*localDaemon) servedCount {
	var sum servedCount
	for _, d := range daemons {
		sum.served += o[d.name].served
		sum.total += o[d.name].total
	}
	return sum
}
