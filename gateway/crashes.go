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
	restartSeen = 3 * time.Second
	// crashKept is for how long it is remembered that an instance crashed: requests that it
	// had may end later.
	crashKept = 10 * time.Second
	// digestsShown is how many digests a log line lists.
	digestsShown = 8
)

// askPauses are the pauses before an instance that cut off a request is asked whether it
// is still there. A process that ends may close its connections some ms before the
// socket that takes new ones.
var askPauses = []time.Duration{0, 40 * time.Millisecond, 200 * time.Millisecond}

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
type crashWatch struct {
	node    Beliefs
	log     zerolog.Logger
	crashes *metrics.Counter

	mu   sync.Mutex
	cuts map[models.InstanceID]*cutOff
}

// cutOff is one life of an instance that cut off requests.
type cutOff struct {
	instance models.UpstreamInstance
	at       time.Time
	requests map[quarantine.Digest]struct{}
	// evidence is empty until there is some.
	evidence evidence
	// asked is closed once the instance was asked for the first time, over tells that it
	// is not asked again.
	asked chan struct{}
	over  bool
}

func newCrashWatch(node Beliefs, set *metrics.Set, log zerolog.Logger) *crashWatch {
	return &crashWatch{
		node: node, log: log, crashes: set.NewCounter("lupinkeel_instance_crashes_total"), cuts: map[models.InstanceID]*cutOff{},
	}
}

// closed is what there is nothing to wait for.
var closed = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// cut notes that an instance cut off a request that it may have been running, and has
// it asked at once whether it is still there. The channel is closed when that is known.
// An instance that was about to leave ends as planned: it is not asked.
func (w *crashWatch) cut(ctx context.Context, i models.UpstreamInstance, d quarantine.Digest) <-chan struct{} {
	known, there := w.node.View().All[i.ID]
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.cuts[i.ID]
	if c == nil || c.isOver() || c.instance.LifeOf(i.Born) == models.LaterLife {
		if !there || known.Draining {
			return closed
		}
		c = &cutOff{instance: i, at: time.Now(), requests: map[quarantine.Digest]struct{}{}, asked: make(chan struct{})}
		w.cuts[i.ID] = c
		task.Start(context.WithoutCancel(ctx), "ask", func(ctx context.Context) error { return w.ask(ctx, c) })
	}
	c.requests[d] = struct{}{}
	if c.evidence != "" {
		w.report(c, d)
	}
	return c.asked
}

// isOver reports whether the instance was found to be there: if it cuts off a request now
// that is another matter.
func (c *cutOff) isOver() bool { return c.over && c.evidence == "" }

// report has all daemons know of requests that a crashed instance had. The watch must be
// locked.
func (w *crashWatch) report(c *cutOff, requests ...quarantine.Digest) {
	crash := quarantine.Crash{Instance: c.instance.ID, Born: c.instance.Born, At: c.at, Requests: map[quarantine.Digest]bool{}}
	for _, d := range requests {
		crash.Requests[d] = false
	}
	w.node.Quarantine().Crashed(crash)
}

// ask finds out whether an instance still takes connections.
func (w *crashWatch) ask(ctx context.Context, c *cutOff) error {
	first := sync.OnceFunc(func() { close(c.asked) })
	defer func() {
		w.mu.Lock()
		c.over = true
		w.mu.Unlock()
		first()
	}()
	for _, pause := range askPauses {
		time.Sleep(pause)
		err := dialOnce(ctx, c.instance.Addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			w.prove(c, evidenceRefused)
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
func (w *crashWatch) prove(c *cutOff, e evidence) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.evidence != "" {
		return
	}
	c.evidence = e
	w.crashes.Inc()
	w.report(c, slices.Collect(maps.Keys(c.requests))...)
	w.log.Warn().Str("instance", string(c.instance.ID)).Time("born", c.instance.Born).Str("evidence", string(e)).
		Int("requests", len(c.requests)).Str("digests", c.shown()).Dur("after", time.Since(c.at)).Msg("instance-crashed")
}

// shown lists the requests that the instance had, or some of them.
func (c *cutOff) shown() string {
	var out []string
	for d := range c.requests {
		out = append(out, d.String())
	}
	slices.Sort(out)
	return strings.Join(out[:min(len(out), digestsShown)], ",")
}

// sweep looks for instances that have started again, and forgets those that cut off
// requests long ago.
func (w *crashWatch) sweep(now time.Time) {
	all := w.node.View().All
	var restarted []*cutOff
	w.mu.Lock()
	for id, c := range w.cuts {
		i, there := all[id]
		switch {
		case c.evidence == "" && there && c.instance.LifeOf(i.Born) == models.LaterLife:
			restarted = append(restarted, c)
		case now.Sub(c.at) > crashKept, c.evidence == "" && now.Sub(c.at) > restartSeen:
			delete(w.cuts, id)
		}
	}
	w.mu.Unlock()
	for _, c := range restarted {
		w.prove(c, evidenceRestarted)
	}
}

// isCut reports whether an error tells that the instance ended the connection before
// the answer was whole.
func isCut(err error) bool {
	for _, end := range []error{io.ErrUnexpectedEOF, sse.ErrCut, errCutHead, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return !errors.Is(err, errNotRun) && !errors.Is(err, h1.ErrStalled)
		}
	}
	return false
}

// noteCut has the instance asked whether it crashed, if the error tells that it cut the
// request off. It is safe for use by several goroutines.
func (e *exchange) noteCut(ctx context.Context, i models.UpstreamInstance, err error) {
	if ctx.Err() == nil && isCut(err) {
		asked := e.g.crashes.cut(ctx, i, e.digest())
		e.cut.Store(&asked)
	}
}
