package measure

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/api"
	"github.com/lupinkeel/lupinkeel/config"
	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/lib/latency"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/site"
	"github.com/lupinkeel/lupinkeel/standin"
)

// ConfigOptions configures the measurement of configuration changes.
type ConfigOptions struct {
	Daemons int
	Changes int
}

// ConfigFigures are the results of one system.
type ConfigFigures struct {
	Changes  int `json:"changes"`
	Accepted int `json:"accepted"`
	Rejected int `json:"refused"`
	// Late counts accepted changes that were not in force everywhere within
	// lateAfter.
	Late int `json:"late"`
	// InForce is the time from the request for a change until the change is in force on every
	// daemon.
	InForce latency.Percentiles `json:"in_force"`
	// Reverts counts how often a daemon reverted to an older value.
	Reverts          int     `json:"reverts"`
	AppendsPerSecond float64 `json:"appends_per_second"`
	// BytesPerSecond is the control traffic of one daemon, sent and received.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

const (
	lateAfter      = 10 * time.Second
	changeInterval = 200 * time.Millisecond
	sampleInterval = 2 * time.Millisecond
	modelName      = "measured"
)

// configSystem is a system under test whose configuration is a single number.
type configSystem interface {
	// change asks a daemon to set the value and reports whether it accepted.
	change(ctx context.Context, daemon, value int) bool
	// values returns the value in force on each daemon.
	values() []int
	// replace replaces a daemon by a new one.
	replace(daemon int) error
	platform() *standin.Platform
	link() *standin.Link
	// controlBytes returns the control traffic of all daemons so far.
	controlBytes() uint64
	// reappendOld appends an older record of the log again.
	reappendOld(ctx context.Context) error
}

// Config measures the time until changes are in force on every daemon, under faults, and whether
// any daemon reverts to an older value.
func Config(ctx context.Context, opts ConfigOptions) (Report, error) {
	realSystem, err := newRealConfig(ctx, opts)
	if err != nil {
		return Report{}, err
	}
	realFigures, err := runConfig(ctx, realSystem, opts)
	if err := firstError(err, realSystem.site.Stop()); err != nil {
		return Report{}, err
	}
	naive, err := newNaiveConfig(ctx, opts)
	if err != nil {
		return Report{}, err
	}
	naiveFigures, err := runConfig(ctx, naive, opts)
	if err := firstError(err, naive.stop()); err != nil {
		return Report{}, err
	}
	table := Table{Columns: []string{"system", "changes", "accepted", "refused", "late", "in force p50 ms", "p99 ms", "max ms", "reverts", "appends/s", "bytes/s a daemon"}}
	for _, r := range []struct {
		name string
		f    ConfigFigures
	}{{"lupinkeel", realFigures}, {"naive", naiveFigures}} {
		table.Rows = append(table.Rows, []string{
			r.name, fmt.Sprint(r.f.Changes), fmt.Sprint(r.f.Accepted), fmt.Sprint(r.f.Rejected), fmt.Sprint(r.f.Late),
			ms(r.f.InForce.P50), ms(r.f.InForce.P99), ms(r.f.InForce.Max), fmt.Sprint(r.f.Reverts),
			fmt.Sprintf("%.2f", r.f.AppendsPerSecond), fmt.Sprintf("%.0f", r.f.BytesPerSecond),
		})
	}
	return Report{Table: table, Figures: map[string]any{"measure": "config", "daemons": opts.Daemons, "lupinkeel": realFigures, "naive": naiveFigures}}, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// runConfig makes changes at a steady rate, with the same faults at the same changes for every
// system.
func runConfig(ctx context.Context, s configSystem, opts ConfigOptions) (ConfigFigures, error) {
	figures := ConfigFigures{Changes: opts.Changes}
	t := &inForceTracker{inForce: latency.New(), newest: make([]int, opts.Daemons)}
	sampling, stop := context.WithCancel(ctx)
	sampler := task.Start(sampling, "sampler", func(ctx context.Context) error { return t.run(ctx, s) })
	started, bytes := time.Now(), s.controlBytes()
	appends := s.platform().Log.Counts().Appends
	var faultErr error
	for n := 1; n <= opts.Changes && ctx.Err() == nil && faultErr == nil; n++ {
		faultErr = injectFault(s, n, opts)
		requested := time.Now()
		if s.change(ctx, n%opts.Daemons, n) {
			figures.Accepted++
			t.add(n, requested)
		} else {
			figures.Rejected++
		}
		if n%10 == 7 {
			faultErr = firstError(faultErr, s.reappendOld(ctx))
		}
		time.Sleep(time.Until(requested.Add(changeInterval)))
	}
	elapsed := time.Since(started).Seconds()
	figures.AppendsPerSecond = float64(s.platform().Log.Counts().Appends-appends) / elapsed
	figures.BytesPerSecond = float64(s.controlBytes()-bytes) / elapsed / float64(opts.Daemons)
	t.settle(ctx)
	stop()
	err := firstError(faultErr, task.Wait(sampler), ctx.Err())
	figures.Reverts, figures.Late, figures.InForce = t.reverts, t.late, t.inForce.Percentiles()
	return figures, err
}

// inForceTracker samples which values the daemons have in force.
type inForceTracker struct {
	mu      sync.Mutex
	pending []pendingChange
	inForce latency.Histogram
	late    int
	newest  []int
	reverts int
}

type pendingChange struct {
	value     int
	requested time.Time
}

func (t *inForceTracker) add(value int, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = append(t.pending, pendingChange{value, sentAt})
}

func (t *inForceTracker) run(ctx context.Context, s configSystem) error {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			t.sample(now, s.values())
		}
	}
}

// sample counts a change as in force once every daemon has its value or that of a later change. A
// replaced daemon that has no configuration yet reports 0, which doesn't count as a revert.
func (t *inForceTracker) sample(now time.Time, values []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, v := range values {
		if v != 0 && v < t.newest[i] {
			t.reverts++
		}
		if v != 0 {
			t.newest[i] = v
		}
	}
	oldest := slices.Min(values)
	t.pending = slices.DeleteFunc(t.pending, func(p pendingChange) bool {
		elapsed := now.Sub(p.requested)
		if p.value > oldest && elapsed < lateAfter {
			return false
		}
		if p.value > oldest {
			t.late++
		}
		t.inForce.Add(elapsed)
		return true
	})
}

// settle waits until every change is in force or late.
func (t *inForceTracker) settle(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		remaining := len(t.pending)
		t.mu.Unlock()
		if remaining == 0 {
			return
		}
		time.Sleep(sampleInterval)
	}
}

// injectFault changes the faults before the nth change. The last daemon is cut off from the log,
// but not from its peers: in the second tenth of the run its connections are closed, in the fourth
// they are frozen.
func injectFault(s configSystem, n int, opts ConfigOptions) error {
	tenth := opts.Changes / 10
	victim := opts.Daemons - 1
	only := []netip.Addr{site.SourceAddr(victim)}
	lose, down, delay := 1, true, standin.Duration(150*time.Millisecond)
	var notDown bool
	var noDelay standin.Duration
	switch n {
	case tenth:
		s.link().Set(standin.Faults{Cut: true, Only: only})
	case 2 * tenth:
		s.link().Set(standin.Faults{})
	case 3 * tenth:
		s.link().Set(standin.Faults{Freeze: true, Only: only})
	case 4 * tenth:
		s.link().Set(standin.Faults{})
	case 5 * tenth:
		s.platform().Log.Control(standin.LogControl{Down: &down})
	case 5*tenth + 2:
		s.platform().Log.Control(standin.LogControl{Down: &notDown})
	case 6 * tenth:
		return s.replace(1)
	case 7 * tenth:
		s.platform().Log.Control(standin.LogControl{Delay: &delay})
	case 8 * tenth:
		s.platform().Log.Control(standin.LogControl{Delay: &noDelay})
	}
	if n%10 == 5 {
		s.platform().Log.Control(standin.LogControl{LoseResponses: &lose})
	}
	return nil
}

// realConfig is lupinkeel; the value is the number of replicas of a model.
type realConfig struct {
	mu   sync.Mutex
	site *site.Site
	// replacedBytes is the traffic of the daemons that were replaced.
	replacedBytes uint64
}

func newRealConfig(ctx context.Context, opts ConfigOptions) (*realConfig, error) {
	s, err := site.Start(ctx, site.Options{
		Daemons: opts.Daemons, Zones: []models.Zone{"zone-a", "zone-b", "zone-c"}, OwnSourceAddrs: true, Log: zerolog.Nop(),
		AdjustSettings: func(c *config.Serve) { c.CheckpointEvery = 100 },
	})
	if err != nil {
		return nil, err
	}
	ready, cancel := context.WithTimeout(ctx, lateAfter)
	defer cancel()
	err = s.WaitFor(ready, "all daemons on the roster", func(v *daemon.View) bool { return len(v.State.Daemons) == opts.Daemons })
	if err == nil {
		_, err = s.Ask(ctx, 0, fmt.Sprintf("set model %s version v1 replicas 0", modelName))
	}
	if err != nil {
		return nil, firstError(err, s.Stop())
	}
	return &realConfig{site: s}, nil
}

func (r *realConfig) change(ctx context.Context, daemon, value int) bool {
	response, err := r.site.Ask(ctx, daemon, fmt.Sprintf("set model %s replicas %d", modelName, value))
	return err == nil && response.Change != nil && (response.Change.Result == api.ChangeAccepted || response.Change.Result == api.ChangeRecorded)
}

func (r *realConfig) values() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]int, 0, len(r.site.Nodes))
	for _, n := range r.site.Nodes {
		out = append(out, n.Daemon.View().State.Models[modelName].Replicas)
	}
	return out
}

func (r *realConfig) replace(daemon int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.site.Nodes[daemon].Daemon.Traffic()
	r.replacedBytes += t.Peers + t.Platform
	return r.site.Replace(daemon)
}

func (r *realConfig) platform() *standin.Platform { return r.site.Platform }
func (r *realConfig) link() *standin.Link         { return r.site.Link }

func (r *realConfig) controlBytes() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.replacedBytes
	for _, n := range r.site.Nodes {
		t := n.Daemon.Traffic()
		total += t.Peers + t.Platform
	}
	return total
}

func (r *realConfig) reappendOld(ctx context.Context) error {
	return reappend(ctx, r.site.PlatformAddr, "state")
}
