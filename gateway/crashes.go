package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/sse"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

const (
	// restartWindow is for how long after a disconnect a restart of the instance shows that it
	// crashed then: an instance writes its entry when it starts.
	restartWindow = 3 * time.Second
	// disconnectRetention is for how long a confirmed crash is remembered: other requests on the
	// instance may end later.
	disconnectRetention = 10 * time.Second
	// maxLoggedDigests bounds the digests in a log line.
	maxLoggedDigests = 8
)

// probeDelays are the delays before each probe of an instance that disconnected. A process that
// ends may close its connections some ms before its listening socket.
var probeDelays = []time.Duration{0, 40 * time.Millisecond, 200 * time.Millisecond}

// evidence shows that an instance crashed rather than closed a connection.
type evidence string

const (
	// evidenceRefused: its address refuses connections.
	evidenceRefused evidence = "refused"
	// evidenceRestarted: it has restarted since.
	evidenceRestarted evidence = "restarted"
)

// crashDetector finds out which of the instances that disconnected during requests have crashed,
// and which requests each was running. It is safe for concurrent use.
type crashDetector struct {
	node    Node
	log     zerolog.Logger
	crashes *metrics.Counter

	mu          sync.Mutex
	disconnects map[models.InstanceID]*disconnect
}

// disconnect is one incarnation of an instance that disconnected during requests.
type disconnect struct {
	instance models.UpstreamInstance
	at       time.Time
	// requests holds the digests of the requests, and of the shared parts of their prompts.
	requests map[quarantine.Digest]struct{}
	// evidence is empty until there is some.
	evidence evidence
	// probed is closed after the first probe. probeEnded is set if no further probe follows.
	probed     chan struct{}
	probeEnded bool
}

func newCrashDetector(node Node, set *metrics.Set, log zerolog.Logger) *crashDetector {
	return &crashDetector{
		node: node, log: log, crashes: set.NewCounter("lupinkeel_instance_crashes_total"), disconnects: map[models.InstanceID]*disconnect{},
	}
}

// closedChannel is returned if there is nothing to wait for.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// noteDisconnect records that an instance disconnected during a request that it may have been
// executing, and probes it at once. The channel is closed after the first probe. An instance that
// was about to leave ends as planned and is not probed.
func (cd *crashDetector) noteDisconnect(ctx context.Context, i models.UpstreamInstance, digests ...quarantine.Digest) <-chan struct{} {
	known, there := cd.node.View().Instances[i.ID]
	cd.mu.Lock()
	defer cd.mu.Unlock()
	c := cd.disconnects[i.ID]
	if c == nil || c.isAlive() || c.instance.CompareIncarnation(i.StartedAt) == models.LaterIncarnation {
		if !there || known.Draining {
			return closedChannel
		}
		c = &disconnect{instance: i, at: time.Now(), requests: map[quarantine.Digest]struct{}{}, probed: make(chan struct{})}
		cd.disconnects[i.ID] = c
		task.Start(context.WithoutCancel(ctx), "probe", func(ctx context.Context) error { return cd.probe(ctx, c) })
	}
	for _, d := range digests {
		c.requests[d] = struct{}{}
	}
	if c.evidence != "" {
		cd.report(c, digests...)
	}
	return c.probed
}

// isAlive reports whether all probes found the instance running. A later disconnect is then a new
// one.
func (c *disconnect) isAlive() bool { return c.probeEnded && c.evidence == "" }

// report informs all daemons of which requests a crashed instance was running, and of the parts of
// their prompts. The detector must be
// locked.
func (cd *crashDetector) report(c *disconnect, requests ...quarantine.Digest) {
	crash := quarantine.Crash{Instance: c.instance.ID, StartedAt: c.instance.StartedAt, At: c.at, Requests: map[quarantine.Digest]bool{}}
	for _, d := range requests {
		crash.Requests[d] = false
	}
	cd.node.Quarantine().RecordCrash(crash)
}

// probe finds out whether an instance still accepts connections.
func (cd *crashDetector) probe(ctx context.Context, c *disconnect) error {
	first := sync.OnceFunc(func() { close(c.probed) })
	defer func() {
		cd.mu.Lock()
		c.probeEnded = true
		cd.mu.Unlock()
		first()
	}()
	for _, pause := range probeDelays {
		time.Sleep(pause)
		err := cd.dialOnce(ctx, c.instance.Addr)
		if errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, cluster.ErrUnconfirmed) {
			cd.confirm(c, evidenceRefused)
			return nil
		}
		if err != nil {
			// A network failure is no evidence about the instance.
			return err
		}
		first()
	}
	return nil
}

// survivalDelay is after which time an instance that has closed a connection is probed. A process that ends may
// close its connections some ms before its listening socket.
const survivalDelay = 100 * time.Millisecond

// survives reports whether an instance that has just closed a connection goes on running.
func (cd *crashDetector) survives(ctx context.Context, i models.UpstreamInstance) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(survivalDelay):
	}
	known, there := cd.node.View().Instances[i.ID]
	same := there && i.CompareIncarnation(known.StartedAt) == models.SameIncarnation
	return same && cd.dialOnce(ctx, i.Addr) == nil && !cd.hasCrashed(i)
}

// acquit takes digests of a request that was answered completely from the disconnects whose cause is not known.
func (cd *crashDetector) acquit(digests ...quarantine.Digest) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	for _, c := range cd.disconnects {
		if c.evidence != "" {
			continue
		}
		for _, d := range digests {
			delete(c.requests, d)
		}
	}
}

// hasCrashed reports whether an instance is known to have crashed.
func (cd *crashDetector) hasCrashed(i models.UpstreamInstance) bool {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	c := cd.disconnects[i.ID]
	return c != nil && c.evidence != ""
}

// runs reports whether an instance is known and neither leaving nor known to have crashed.
func (cd *crashDetector) runs(i models.UpstreamInstance) bool {
	known, there := cd.node.View().Instances[i.ID]
	if !there || known.Draining || i.CompareIncarnation(known.StartedAt) != models.SameIncarnation {
		return false
	}
	return !cd.hasCrashed(i)
}

// dialOnce opens a connection and closes it.
func (cd *crashDetector) dialOnce(ctx context.Context, addr netip.AddrPort) error {
	ctx, cancel := timer.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := cd.node.DialInstance(ctx, addr)
	if err != nil {
		return err
	}
	return conn.Close()
}

// confirm records that an instance crashed.
func (cd *crashDetector) confirm(c *disconnect, e evidence) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if c.evidence != "" {
		return
	}
	c.evidence = e
	cd.crashes.Inc()
	cd.report(c, slices.Collect(maps.Keys(c.requests))...)
	cd.log.Warn().Str("instance", string(c.instance.ID)).Time("born", c.instance.StartedAt).Str("evidence", string(e)).
		Int("requests", c.countRequests()).Str("digests", c.digestList()).Dur("after", time.Since(c.at)).Msg("instance-crashed")
}

// countRequests counts the requests that the instance was running.
func (c *disconnect) countRequests() int {
	n := 0
	for d := range c.requests {
		if !d.IsPart() {
			n++
		}
	}
	return n
}

// digestList lists the requests that the instance was running, and then the parts of their prompts,
// up to maxLoggedDigests.
func (c *disconnect) digestList() string {
	var out []string
	for d := range c.requests {
		out = append(out, d.String())
	}
	slices.Sort(out)
	return strings.Join(out[:min(len(out), maxLoggedDigests)], ",")
}

// sweep looks for instances that have restarted, and drops old disconnects.
func (cd *crashDetector) sweep(now time.Time) {
	all := cd.node.View().Instances
	var restarted []*disconnect
	cd.mu.Lock()
	for id, c := range cd.disconnects {
		i, there := all[id]
		switch {
		case c.evidence == "" && there && c.instance.CompareIncarnation(i.StartedAt) == models.LaterIncarnation:
			restarted = append(restarted, c)
		case now.Sub(c.at) > disconnectRetention, c.evidence == "" && now.Sub(c.at) > restartWindow:
			delete(cd.disconnects, id)
		}
	}
	cd.mu.Unlock()
	for _, c := range restarted {
		cd.confirm(c, evidenceRestarted)
	}
}

// isDisconnect reports whether an error means that the instance closed the connection before the
// response was complete.
func isDisconnect(err error) bool {
	for _, end := range []error{io.ErrUnexpectedEOF, sse.ErrTruncated, errEmptyStream, errUnframedEnd, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return !errors.Is(err, errNotRun) && !errors.Is(err, h1.ErrStalled)
		}
	}
	return false
}

// noteDisconnect probes the instance for a crash if the error means that it disconnected. It is
// safe for concurrent use.
func (e *exchange) noteDisconnect(ctx context.Context, i models.UpstreamInstance, err error) {
	if ctx.Err() == nil && isDisconnect(err) {
		probed := e.g.crashes.noteDisconnect(ctx, i, append([]quarantine.Digest{e.digest()}, e.parts()...)...)
		e.probed.Store(&probed)
	}
}
