package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/sse"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

// TestCrashNeedsEvidence checks that an instance which disconnected during a request counts as
// crashed if its address refuses connections or it has restarted, but not if it accepts
// connections, was about to leave, or is no longer listed.
func TestCrashNeedsEvidence(t *testing.T) {
	for _, test := range []struct {
		name                                       string
		listens, draining, unlisted, restartsLater bool
		want                                       evidence
	}{
		{name: "gone", want: evidenceRefused},
		{name: "closed_a_connection", listens: true},
		{name: "born_anew", listens: true, restartsLater: true, want: evidenceRestarted},
		{name: "leaving", draining: true},
		{name: "unlisted", unlisted: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			i := models.UpstreamInstance{ID: "i", StartedAt: time.Unix(1, 0), Addr: netip.MustParseAddrPort(l.Addr().String()), Draining: test.draining}
			if !test.listens {
				l.Close()
			}
			node := &fakeNode{quarantine: emptyQuarantine(), view: &cluster.View{Instances: map[models.InstanceID]models.UpstreamInstance{}}}
			if !test.unlisted {
				node.view.Instances[i.ID] = i
			}
			cd := newCrashDetector(node, metrics.NewSet(), zerolog.Nop())
			probed := cd.noteDisconnect(context.Background(), i, quarantine.Request{Target: "/x"}.Digest())
			<-probed
			if test.draining || test.unlisted {
				c.Assert(cd.disconnects, qt.HasLen, 0)
				return
			}
			if test.restartsLater {
				later := i
				later.StartedAt = i.StartedAt.Add(time.Second)
				node.view.Instances[i.ID] = later
			}
			cd.sweep(time.Now())
			cd.mu.Lock()
			defer cd.mu.Unlock()
			c.Assert(cd.disconnects[i.ID].evidence, qt.Equals, test.want)
		})
	}
}

// TestDisconnectErrors checks that only a connection closed before the response was complete may be
// a crash: not a stall, nor a request that was not sent, nor an invalid response.
func TestDisconnectErrors(t *testing.T) {
	c := qt.New(t)
	mayHaveRun := func(err error) error { return errors.Join(errMayHaveRun, fmt.Errorf("%w: %w", h1.ErrNoResponse, err)) }
	for _, cut := range []error{mayHaveRun(io.ErrUnexpectedEOF), mayHaveRun(syscall.ECONNRESET), errors.Join(errMayHaveRun, sse.ErrTruncated), errors.Join(errMayHaveRun, errEmptyStream), errors.Join(errMayHaveRun, errUnframedEnd)} {
		c.Check(isDisconnect(cut), qt.IsTrue, qt.Commentf("%v", cut))
	}
	for _, other := range []error{
		nil, errStreamEnd, io.EOF, errFailureResponse, mayHaveRun(h1.ErrStalled), mayHaveRun(net.ErrClosed), mayHaveRun(h1.ErrOtherRequest),
		errors.Join(errNotRun, fmt.Errorf("%w: %w", h1.ErrNotSent, syscall.ECONNRESET)), errors.Join(errMayHaveRun, errEventGap),
	} {
		c.Check(isDisconnect(other), qt.IsFalse, qt.Commentf("%v", other))
	}
}

// TestCrashAfterReset checks that an instance which reset a connection, as overloaded ones do, and
// was found alive is still found crashed when it disconnects again some seconds later. The crash
// counts only against the later request.
func TestCrashAfterReset(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	i := models.UpstreamInstance{ID: "i", Addr: netip.MustParseAddrPort(l.Addr().String())}
	node := &fakeNode{quarantine: emptyQuarantine(), view: &cluster.View{Instances: map[models.InstanceID]models.UpstreamInstance{i.ID: i}}}
	cd := newCrashDetector(node, metrics.NewSet(), zerolog.Nop())
	reset, crashing := quarantine.Request{Target: "/reset"}.Digest(), quarantine.Request{Target: "/guilty"}.Digest()
	cd.noteDisconnect(context.Background(), i, reset)
	probing := time.Duration(0)
	for _, pause := range probeDelays {
		probing += pause
	}
	time.Sleep(probing + 100*time.Millisecond)
	c.Assert(l.Close(), qt.IsNil)
	<-cd.noteDisconnect(context.Background(), i, crashing)
	c.Assert(node.quarantine.Status(crashing).Crashes, qt.Equals, 1)
	c.Assert(node.quarantine.Status(reset).Crashes, qt.Equals, 0)
}

// TestRestartLongAfterReset checks that a restart long after a reset connection does not count as a
// crash by that connection's request.
func TestRestartLongAfterReset(t *testing.T) {
	c := qt.New(t)
	i := models.UpstreamInstance{ID: "i", StartedAt: time.Unix(1, 0), Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	node := &fakeNode{quarantine: emptyQuarantine(), view: &cluster.View{Instances: map[models.InstanceID]models.UpstreamInstance{}}}
	cd := newCrashDetector(node, metrics.NewSet(), zerolog.Nop())
	d := quarantine.Request{Target: "/reset"}.Digest()
	now := time.Now()
	cd.disconnects[i.ID] = &disconnect{instance: i, at: now, requests: map[quarantine.Digest]struct{}{d: {}}}
	cd.sweep(now.Add(restartWindow + time.Second))
	i.StartedAt = i.StartedAt.Add(time.Minute)
	node.view.Instances[i.ID] = i
	cd.sweep(now.Add(restartWindow + 2*time.Second))
	c.Assert(node.quarantine.Status(d).Crashes, qt.Equals, 0)
}
