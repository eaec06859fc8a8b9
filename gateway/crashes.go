package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/sse"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

const (
	// restartSeen is for how long after an instance cut off requests the word that it
	// started again shows that it crashed then: it writes its entry at its start.
	restartWindow = 3 * time.Second
	// crashKept is for how long it is remembered that an instance crashed: requests that it
	// had may end later.
	disconnectRetention = 10 * time.Second
	// digestsShown is how many digests a log line lists.
	maxLoggedDigests = 8
)

// askPauses are the pauses before an instance that cut off a request is asked whether it
// is still there. A process that ends may close its connections some ms before the
// socket that takes new ones.
var probeDelays = []time.Duration{0, 40 * time.Millisecond, 200 * time.Millisecond}

// evidence is what shows that an instance crashed rather than closed a connection.
type evidence string

const (
	// evidenceRefused: its address takes no connections.
	evidenceRefused evidence = "refused"
	// evidenceRestarted: it started again since.
	evidenceRestarted evidence = "restarted"
)

// crashWatch finds out which of the instances that cut off requests have crashed, and
// what each of them was running. It is safe for use by several goroutines.
type crashDetector struct {
	node    Node
	log     zerolog.Logger
	crashes *metrics.Counter

	mu          sync.Mutex
	disconnects map[models.InstanceID]*disconnect
}

// cutOff is one life of an instance that cut off requests.
type disconnect struct {
	instance models.UpstreamInstance
	at       time.Time
	requests map[quarantine.Digest]struct{}
	// evidence is empty until there is some.
	evidence evidence
	// asked is closed once the instance was asked for the first time, over tells that it
	// is not asked again.
	probed     chan struct{}
	probeEnded bool
}

func newCrashDetector(node Node, set *metrics.Set, log zerolog.Logger) *crashDetector {
	return &crashDetector{
		node: node, log: log, crashes: set.NewCounter("lupinkeel_instance_crashes_total"), disconnects: map[models.InstanceID]*disconnect{},
	}
}

// closed is what there is nothing to wait for.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// cut notes that an instance cut off a request that it may have been running, and has
// it asked at once whether it is still there. The channel is closed when that is known.
// An instance that was about to leave ends as planned: it is not asked.
func (cd *crashDetector) noteDisconnect(ctx context.Context, i models.UpstreamInstance, d quarantine.Digest) <-chan struct{} {
	known, there := cd.node.View().All[i.ID]
	cd.mu.Lock()
	defer cd.mu.Unlock()
	c := cd.disconnects[i.ID]
	if c == nil || c.isAlive() || c.instance.LifeOf(i.Born) == models.LaterLife {
		if !there || known.Draining {
			return closedChannel
		}
		c = &disconnect{instance: i, at: time.Now(), requests: map[quarantine.Digest]struct{}{}, probed: make(chan struct{})}
		cd.disconnects[i.ID] = c
		task.Start(context.WithoutCancel(ctx), "ask", func(ctx context.Context) error { return cd.probe(ctx, c) })
	}
	c.requests[d] = struct{}{}
	if c.evidence != "" {
		cd.report(c, d)
	}
	return c.probed
}

// isOver reports whether the instance was found to be there: if it cuts off a request now
// that is another matter.
func (c *disconnect) isAlive() bool { return c.probeEnded && c.evidence == "" }

// report has all daemons know of requests that a crashed instance had. The watch must be
// locked.
func (cd *crashDetector) report(c *disconnect, requests ...quarantine.Digest) {
	crash := quarantine.Crash{Instance: c.instance.ID, Born: c.instance.Born, At: c.at, Requests: map[quarantine.Digest]bool{}}
	for _, d := range requests {
		crash.Requests[d] = false
	}
	cd.node.Quarantine().Crashed(crash)
}

// ask finds out whether an instance still takes connections.
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
		err := dialOnce(ctx, c.instance.Addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			cd.confirm(c, evidenceRefused)
			return nil
		}
		if err != nil {
			// A path that is cut tells nothing of the instance.
			return err
		}
		first()
	}
	return nil
}

// dialOnce makes a connection and closes it.
func dialOnce(ctx context.Context, addr netip.AddrPort) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return err
	}
	return conn.Close()
}

// prove notes that an instance crashed.
func (cd *crashDetector) confirm(c *disconnect, e evidence) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if c.evidence != "" {
		return
	}
	c.evidence = e
	cd.crashes.Inc()
	cd.report(c, slices.Collect(maps.Keys(c.requests))...)
	cd.log.Warn().Str("instance", string(c.instance.ID)).Time("born", c.instance.Born).Str("evidence", string(e)).
		Int("requests", len(c.requests)).Str("digests", c.digestList()).Dur("after", time.Since(c.at)).Msg("instance-crashed")
}

// shown lists the requests that the instance had, or some of them.
func (c *disconnect) digestList() string {
	var out []string
	for d := range c.requests {
		out = append(out, d.String())
	}
	slices.Sort(out)
	return strings.Join(out[:min(len(out), maxLoggedDigests)], ",")
}

// sweep looks for instances that have started again, and forgets those that cut off
// requests long ago.
func (cd *crashDetector) sweep(now time.Time) {
	all := cd.node.View().All
	var restarted []*disconnect
	cd.mu.Lock()
	for id, c := range cd.disconnects {
		i, there := all[id]
		switch {
		case c.evidence == "" && there && c.instance.LifeOf(i.Born) == models.LaterLife:
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

// isCut reports whether an error tells that the instance ended the connection before
// the answer was whole.
func isDisconnect(err error) bool {
	for _, end := range []error{io.ErrUnexpectedEOF, sse.ErrCut, errEmptyStream, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return !errors.Is(err, errNotExecuted) && !errors.Is(err, h1.ErrStalled)
		}
	}
	return false
}

// noteCut has the instance asked whether it crashed, if the error tells that it cut the
// request off. It is safe for use by several goroutines.
func (e *exchange) noteDisconnect(ctx context.Context, i models.UpstreamInstance, err error) {
	if ctx.Err() == nil && isDisconnect(err) {
		probed := e.g.crashes.noteDisconnect(ctx, i, e.digest())
		e.probed.Store(&probed)
	}
}
