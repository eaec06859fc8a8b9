package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/replica"
)

const (
	// plannedWorkTime is how long planned work goes on.
	plannedWorkTime = 6 * time.Second
	// plannedWorkGrace is the stop grace of the site's daemons. An answer that an instance has not ended
	// at lateInGrace may be cut off.
	plannedWorkGrace = 3 * time.Second
	lateInGrace      = plannedWorkGrace * 5 / 6
	// Bounds of the time for which instances are silent.
	minSilence, maxSilence = time.Second, 1300 * time.Millisecond
	// Bounds of the routes' time-outs. The deadline of the callers of streams is minStreamTimeout.
	minPlainTimeout, maxPlainTimeout   = 2 * time.Second, 4 * time.Second
	minStreamTimeout, maxStreamTimeout = 3 * time.Second, 5 * time.Second
	// scarceRetries is the retry budget of a site that has few retries left.
	scarceRetries = "10"
)

// TestCompleteStreamsLostAroundPlannedWork guards against requests that were accepted and lost: their instances
// answered them, also without a length, and their callers' connections ended without a complete answer. Daemons
// are stopped, restarted and told to reload, the configuration changes and instances fall silent; nothing crashes.
// It plays as many seeds as LUPINKEEL_SOAK_SEEDS says (1 by default), counting from LUPINKEEL_SOAK_FIRST.
func TestCompleteStreamsLostAroundPlannedWork(t *testing.T) {
	bin := binary(t)
	first, count := soakSeeds(t, 1)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runPlannedWork(t, bin, seed) })
	}
}

func runPlannedWork(t *testing.T, bin string, seed uint64) {
	logs := filepath.Join(os.TempDir(), fmt.Sprintf("lupinkeel-lost-streams-%d-%d", os.Getpid(), seed))
	qt.Assert(t, os.MkdirAll(logs, 0o755), qt.IsNil)
	r := rand.New(rand.NewPCG(seed, 92))
	flags := []string{"--stop-grace", plannedWorkGrace.String()}
	scarce := r.IntN(2) == 0
	if scarce {
		flags = append(flags, "--retry-slack", scarceRetries)
	}
	s := startEarlyEndsSite(t, bin, logs, seed, r, flags...)
	s.waitServing()
	// In a quarter of the seeds no answer has a length.
	doses := replica.EarlyEnds{Unframed: min(1, 0.1+1.2*r.Float64())}
	s.pool.SetEarlyEnds(doses)
	w := &plannedWork{s: s}
	ctx, cancel := context.WithTimeout(t.Context(), plannedWorkTime)
	defer cancel()
	calls := startRawCallers(ctx, s, seed, true)
	violations := <-playAll(ctx, seed, w.plays(seed))
	replies := <-calls
	// What instances do after a caller has left must show up before the check.
	time.Sleep(300 * time.Millisecond)
	for _, d := range s.daemons {
		if err := d.end(); err != nil {
			violations = append(violations, err.Error())
		}
	}
	var counts plannedWorkCounts
	for _, reply := range replies {
		counts.add(w, reply)
		if problem := w.checkReply(reply); problem != "" {
			violations = append(violations, w.describe(reply, problem))
		}
	}
	violations = append(violations, s.panics(t)...)
	t.Logf("%d daemons, scarce retries %v, %+v: %+v, %d stops, %d hangups, %d versions, %d silences; %v", len(s.daemons), scarce, doses, counts, len(w.stops), w.hangups, w.versions, w.silences, s.pool.EndCounts())
	if counts.unframed == 0 || counts.stopped == 0 || w.hangups == 0 || w.versions == 0 || w.silences == 0 {
		violations = append(violations, "no stream without a length was complete, none was in flight when its daemon was stopped, or no other work was done: the test is inconclusive")
	}
	if len(violations) > 0 {
		t.Fatalf("seed %d, logs in %s: %d violations\n%s", seed, logs, len(violations), strings.Join(violations, "\n"))
	}
	os.RemoveAll(logs)
}

// plannedWorkCounts counts what makes a run conclusive.
type plannedWorkCounts struct {
	replies, complete int
	// unframed counts complete streams whose instance gave no length, stopped the streams that were in
	// flight when their daemon was stopped.
	unframed, stopped int
}

func (c *plannedWorkCounts) add(w *plannedWork, r rawReply) {
	c.replies++
	if r.complete {
		c.complete++
	}
	if !isStream(r.kind) {
		return
	}
	if r.complete && slices.ContainsFunc(w.s.pool.Ends(models.RequestID(r.id)), func(e replica.End) bool { return e.Kind == replica.EndWhole && e.Unframed }) {
		c.unframed++
	}
	if slices.ContainsFunc(w.stops, func(stop daemonStop) bool {
		return stop.daemon == r.daemon && r.sent.Before(stop.began) && r.ended.After(stop.began)
	}) {
		c.stopped++
	}
}

func isStream(k kind) bool { return k == kindStream || k == kindSingleStream }

// daemonStop is a planned stop of a daemon.
type daemonStop struct {
	daemon       *daemon
	began, ended time.Time
}

// plannedWork is the planned work at a site.
type plannedWork struct {
	s *site

	mu    sync.Mutex
	stops []daemonStop
	// hangups, versions and silences count the reloads, configurations and silences.
	hangups, versions, silences int
}

// plays returns what is played at the same time. Daemons are stopped one after another, or each on its own.
func (w *plannedWork) plays(seed uint64) []func(*rand.Rand) error {
	plays := []func(*rand.Rand) error{w.changeConfig, w.silenceInstances}
	if overlapping := seed%3 > 0; !overlapping {
		return append(plays, func(r *rand.Rand) error { return w.maintain(w.s.daemons[r.IntN(len(w.s.daemons))], r) })
	}
	for _, d := range w.s.daemons {
		plays = append(plays, func(r *rand.Rand) error { return w.maintain(d, r) })
	}
	return plays
}

// maintain restarts a daemon, or makes it reload its settings.
func (w *plannedWork) maintain(d *daemon, r *rand.Rand) error {
	if r.IntN(3) > 0 {
		return w.restart(d, r)
	}
	for range 1 + r.IntN(4) {
		w.hangUp(d)
		time.Sleep(between(r, time.Millisecond, 100*time.Millisecond))
	}
	return nil
}

func (w *plannedWork) hangUp(d *daemon) {
	d.signal(syscall.SIGHUP)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hangups++
}

// restart stops a daemon and starts it again. It is told to reload its settings shortly before or during the stop.
func (w *plannedWork) restart(d *daemon, r *rand.Rand) error {
	var reload sync.WaitGroup
	reloadAfter, stopAfter := between(r, 0, plannedWorkGrace/2), between(r, 0, plannedWorkGrace/6)
	reload.Go(func() {
		time.Sleep(reloadAfter)
		w.hangUp(d)
	})
	time.Sleep(stopAfter)
	stop := daemonStop{daemon: d, began: time.Now()}
	if err := d.stop(); err != nil {
		return err
	}
	stop.ended = time.Now()
	reload.Wait()
	w.mu.Lock()
	w.stops = append(w.stops, stop)
	w.mu.Unlock()
	if err := d.launch(); err != nil {
		return err
	}
	return d.waitListening()
}

// waitListening waits until the daemon accepts connections, and so handles signals.
func (d *daemon) waitListening() error {
	for range 500 {
		conn, err := net.DialTimeout("tcp4", d.addr, time.Second)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s does not listen", d.name)
}

// changeConfig writes a configuration with other time-outs and another set of routes.
func (w *plannedWork) changeConfig(r *rand.Rand) error {
	extra := ""
	if r.IntN(2) == 0 {
		extra = `{"Name":"extra","Host":"api.example","PathPrefix":"/extra/","RouteType":"idempotent","TimeoutMs":1000,"TargetLatencyMs":150,"Service":"plain"},` + "\n"
	}
	w.s.version++
	text := fmt.Sprintf(configText, w.s.version, firstKey)
	text = strings.NewReplacer(
		`"Routes":[`, `"Routes":[`+extra,
		`"TimeoutMs":2000`, fmt.Sprintf(`"TimeoutMs":%d`, between(r, minPlainTimeout, maxPlainTimeout).Milliseconds()),
		`"TimeoutMs":4000`, fmt.Sprintf(`"TimeoutMs":%d`, between(r, minStreamTimeout, maxStreamTimeout).Milliseconds()),
		`"MaxAttempts":2`, fmt.Sprintf(`"MaxAttempts":%d`, 1+r.IntN(3)),
		`"gap_aim_ms":300`, fmt.Sprintf(`"gap_aim_ms":%d`, 100+r.IntN(400)),
		`"Limits":{`, fmt.Sprintf(`"Limits":{"HeaderTimeoutMs":%d,"IdleTimeoutMs":%d,`, 1000+r.IntN(9000), 200+r.IntN(20000)),
	).Replace(text)
	w.s.store.Put("op", "config", []byte(text))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions++
	return nil
}

// silenceInstances makes all instances or some of them silent for a while.
func (w *plannedWork) silenceInstances(r *rand.Rand) error {
	fraction, silence := r.Float64(), between(r, minSilence, maxSilence)
	if r.IntN(2) == 0 {
		fraction = 1
	}
	for _, i := range w.s.pool.Instances() {
		if r.Float64() < fraction {
			i.Silence(silence)
		}
	}
	time.Sleep(silence)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silences++
	return nil
}

// checkReply returns what is wrong with a reply, given what the instances did.
func (w *plannedWork) checkReply(r rawReply) string {
	if problem := w.s.checkReply(r); problem != "" {
		return problem
	}
	ends := w.s.pool.Ends(models.RequestID(r.id))
	switch {
	case r.answered || w.s.pool.RunCount(models.RequestID(r.id)) == 0:
		return ""
	case slices.ContainsFunc(ends, func(e replica.End) bool { return e.Kind != replica.EndWhole && e.Kind != replica.EndAbandoned }):
		// An instance broke off.
		return ""
	case r.ended.Sub(r.sent) >= shortestTimeout(r.kind) || w.isLateInStop(r, ends):
		return ""
	case slices.ContainsFunc(ends, func(e replica.End) bool { return e.Kind == replica.EndWhole }):
		return "it was answered whole, and lost"
	case r.status == 0:
		return "it ran and got no answer"
	default:
		return "its answer was cut off before its instance had ended it"
	}
}

// shortestTimeout returns the least time after which a request may be given up.
func shortestTimeout(k kind) time.Duration {
	if isStream(k) {
		return minStreamTimeout
	}
	return minPlainTimeout
}

// isLateInStop reports whether an instance was still answering the request when the stop of its daemon was
// nearly over.
func (w *plannedWork) isLateInStop(r rawReply, ends []replica.End) bool {
	return slices.ContainsFunc(w.stops, func(stop daemonStop) bool {
		late := stop.began.Add(lateInGrace)
		return stop.daemon == r.daemon && r.sent.Before(stop.ended) && r.ended.After(late) &&
			slices.ContainsFunc(ends, func(e replica.End) bool { return e.At.After(late) })
	})
}

// describe describes a violation, with the request's times since the stop of its daemon that was nearest.
func (w *plannedWork) describe(r rawReply, problem string) string {
	out := fmt.Sprintf("%s %s over %s after event %d: %s; status %d, %d events, sent %q", r.kind, r.id, r.proto, r.after, problem, r.status, r.events, r.framing)
	if r.daemon != nil {
		out += fmt.Sprintf("; %s, sent at %s, ended %s later", r.daemon.name, r.sent.UTC().Format("15:04:05.000"), r.ended.Sub(r.sent).Round(time.Millisecond))
	}
	for _, stop := range w.stops {
		if stop.daemon == r.daemon && r.ended.After(stop.began) && r.sent.Before(stop.ended) {
			out += fmt.Sprintf(", %s after a stop began", r.ended.Sub(stop.began).Round(time.Millisecond))
		}
	}
	for _, e := range w.s.pool.Ends(models.RequestID(r.id)) {
		out += fmt.Sprintf("; %s: %s after event %d at %s, unframed %v", e.Instance, e.Kind, e.LastEvent, e.At.UTC().Format("15:04:05.000"), e.Unframed)
	}
	return out
}
