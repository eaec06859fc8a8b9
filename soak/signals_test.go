package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/replica"
	"github.com/lupinkeel/lupinkeel/standin/store"
)

const (
	// signalDuration is how long instances reject requests, or announce that they are leaving.
	signalDuration = 7 * time.Second
	// drainBound is the time after which a daemon must send no more requests to an instance whose
	// response announced that it is leaving.
	drainBound = 2 * time.Second
)

// signalCase is one scenario with instances that ask daemons to back off or announce that they are
// leaving.
type signalCase struct {
	name    string
	service models.ServiceName
	// fraction is the fraction of the service's instances that do so.
	fraction float64
	shedding replica.Shedding
	// leaving makes the instances announce that they are leaving; limit, unless it is 0, is a rate
	// limit that they announce in addition.
	leaving bool
	limit   float64
	// disturb, if set, injects faults that affect the daemons.
	disturb func(*site, *disruptions)
	// flags are additional flags of the daemons.
	flags []string
}

// TestRetryAfterAndLeavingAreHonoured guards against daemons that send even more requests to
// instances that asked them to back off, by Retry-After, than to other instances. It also checks
// that instances that announce in a response that they are leaving receive no more requests.
func TestRetryAfterAndLeavingAreHonoured(t *testing.T) {
	const all = 1
	shed := func(backoff time.Duration) replica.Shedding {
		return replica.Shedding{Fraction: all, RetryAfter: backoff}
	}
	bin := binary(t)
	for _, test := range []signalCase{
		{name: "half_of_plain", service: "plain", fraction: 0.5, shedding: shed(3 * time.Second)},
		{name: "half_of_plain_by_chance", service: "plain", fraction: 0.5, shedding: replica.Shedding{Fraction: 0.5, RetryAfter: 2 * time.Second}},
		{name: "all_plain", service: "plain", fraction: 1, shedding: shed(3 * time.Second)},
		{name: "half_of_engines", service: "engines", fraction: 0.5, shedding: shed(3 * time.Second)},
		{name: "all_engines", service: "engines", fraction: 1, shedding: shed(2500 * time.Millisecond)},
		{name: "half_of_plain_leave", service: "plain", fraction: 0.5, leaving: true},
		{name: "third_of_engines_leave", service: "engines", fraction: 1. / 3, leaving: true},
		{name: "limit_rest_and_leaving", service: "plain", fraction: 0.5, shedding: replica.Shedding{Fraction: 0.5, RetryAfter: 2 * time.Second}, leaving: true, limit: 2},
		{name: "daemons_killed_and_frozen", service: "plain", fraction: 0.5, shedding: replica.Shedding{Fraction: 0.7, RetryAfter: 2 * time.Second}, disturb: disturbDaemons},
		{name: "store_away_engines_leave", service: "engines", fraction: 1. / 3, leaving: true, disturb: makeStoreUnavailable, flags: []string{"--strict-keys=false"}},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(t, bin) })
	}
}

func (test signalCase) run(t *testing.T, bin string) {
	s, c := startLoadedSite(t, bin, test.flags...)
	selected := s.selectInstances(test.service, test.fraction)
	for _, i := range selected {
		test.sendSignals(i)
	}
	started, disrupted := time.Now(), disruptions{}
	if test.disturb != nil {
		test.disturb(s, &disrupted)
	}
	time.Sleep(signalDuration - time.Since(started))
	completed, total := c.completedSoFar()
	violations := append(s.pool.Violations(), test.violations(t, selected, c, &disrupted)...)
	for _, i := range selected {
		i.SetShedding(replica.Shedding{})
	}
	recovered := test.leaving || c.waitRecovered()
	c.stop()
	violations = append(violations, c.violations()...)
	t.Logf("%d of %d complete during the signals, %s in all", completed, total, c.summary())
	if test.fraction < 1 && test.disturb == nil && float64(completed) < minServedFraction*float64(total) {
		violations = append(violations, fmt.Sprintf("only %d of %d requests were completed", completed, total))
	}
	if !recovered {
		violations = append(violations, fmt.Sprintf("less than %g of the requests are served %s after the backoffs", minServedFraction, recoveryTimeout))
	}
	qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(violations, "\n")))
}

// sendSignals makes an instance send the signals of the scenario.
func (test signalCase) sendSignals(i *replica.Instance) {
	i.SetShedding(test.shedding)
	if test.leaving {
		i.AnnounceLeaving()
	}
	if test.limit > 0 {
		i.AnnounceLimit(test.limit)
	}
}

// violations returns how daemons violated the instances' signals.
func (test signalCase) violations(t *testing.T, selected []*replica.Instance, c *callerLoad, disrupted *disruptions) []string {
	var out []string
	var sum replica.SignalReport
	violating := 0
	for _, i := range selected {
		got := i.CheckSignals(c.sender, disrupted.overlaps, drainBound)
		sum.MaxInBackoff, sum.Shed = max(sum.MaxInBackoff, got.MaxInBackoff), sum.Shed+got.Shed
		sum.LateRequests, sum.LeavingResponses = sum.LateRequests+got.LateRequests, sum.LeavingResponses+got.LeavingResponses
		if len(got.Violations) > 0 {
			violating++
			out = append(out, got.Violations[0])
		}
		if test.limit > 0 {
			if limited := i.CheckLimit(propagationTime); limited.Violation != "" {
				out = append(out, limited.Violation)
			}
		}
	}
	t.Logf("%d of %d instances received too many requests: at most %d in one backoff, %d shed; %d late to leaving instances, %d responses announced leaving",
		violating, len(selected), sum.MaxInBackoff, sum.Shed, sum.LateRequests, sum.LeavingResponses)
	if sum.Shed+sum.LeavingResponses == 0 {
		out = append(out, "no response carried a signal: the test is inconclusive")
	}
	return out
}

// disruptions holds the intervals in which daemons were restarted or frozen.
type disruptions struct {
	mu        sync.Mutex
	intervals []disruption
}

type disruption struct {
	daemon   string
	from, to time.Time
}

// record records a disruption of a daemon from the given time until now.
func (d *disruptions) record(daemon string, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.intervals = append(d.intervals, disruption{daemon, from, time.Now()})
}

// overlaps reports whether a disruption of the daemon overlaps the interval.
func (d *disruptions) overlaps(daemon string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, seen := range d.intervals {
		if seen.daemon == daemon && seen.from.Before(to) && seen.to.After(from) {
			return true
		}
	}
	return false
}

// disturbDaemons kills and freezes random daemons, one after the other; a killed daemon may still
// be starting when the next fault follows.
func disturbDaemons(s *site, disrupted *disruptions) {
	r := rand.New(rand.NewPCG(47, 1))
	for end := time.Now().Add(signalDuration - 2*time.Second); time.Now().Before(end); {
		d, from := s.daemons[r.IntN(len(s.daemons))], time.Now()
		if r.IntN(2) == 0 {
			d.kill()
			d.start(s.t)
		} else {
			d.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+r.IntN(1300)) * time.Millisecond)
			d.signal(syscall.SIGCONT)
		}
		disrupted.record(d.name, from)
		time.Sleep(time.Duration(100+r.IntN(600)) * time.Millisecond)
	}
}

// makeStoreUnavailable makes the store unavailable for most of the test.
func makeStoreUnavailable(s *site, _ *disruptions) {
	s.store.SetFaults(store.Faults{Busy: true})
	time.Sleep(signalDuration - time.Second)
	s.store.SetFaults(store.Faults{})
}
