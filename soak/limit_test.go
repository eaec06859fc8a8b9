package soak

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/replica"
)

const (
	// limitDuration is how long instances announce a limit, propagationTime included.
	limitDuration = 11 * time.Second
	// minUsedFraction is the fraction of a limit that must be used if callers send more requests
	// than the limit allows.
	minUsedFraction = 0.8
	// maxAfterLimit is how many requests may reach an instance in the second after its limit has
	// ended: the instance has just recovered.
	maxAfterLimit = 12
)

// limitCase is one scenario with instances that announce limits.
type limitCase struct {
	name    string
	service models.ServiceName
	// fraction is the fraction of the service's instances that announce the limit.
	fraction float64
	rate     float64
	// disturb, if set, changes the limits or injects faults once the limits are announced.
	disturb func(*site, []*replica.Instance)
	// limitEnds is set if the limit ends during the test.
	limitEnds bool
	// daemonsDisturbed is set if daemons are killed and frozen, so that requests are lost with
	// them.
	daemonsDisturbed bool
}

// TestAdvertisedLimitIsKept guards against daemons that ignore the request rate limit that an
// overloaded instance announces: such instances received half as many requests again as their
// limits allowed.
func TestAnnouncedLimitIsKept(t *testing.T) {
	bin := binary(t)
	for _, test := range []limitCase{
		{name: "half_of_plain", service: "plain", fraction: 0.5, rate: 1.5},
		{name: "all_plain", service: "plain", fraction: 1, rate: 2},
		{name: "half_of_engines", service: "engines", fraction: 0.5, rate: 1.5},
		{name: "all_engines", service: "engines", fraction: 1, rate: 3},
		{name: "falls", service: "plain", fraction: 0.5, rate: 6, disturb: lowerLimits},
		{name: "ends", service: "plain", fraction: 1, rate: 2, disturb: endLimits, limitEnds: true},
		{name: "daemons_killed_and_frozen", service: "plain", fraction: 0.5, rate: 2, disturb: disturbDaemonsInTurn, daemonsDisturbed: true},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(t, bin) })
	}
}

func (test limitCase) run(t *testing.T, bin string) {
	s, c := startLoadedSite(t, bin)
	limited := s.selectInstances(test.service, test.fraction)
	for _, i := range limited {
		i.AnnounceLimit(test.rate)
	}
	started := time.Now()
	if test.disturb != nil {
		test.disturb(s, limited)
	}
	time.Sleep(limitDuration - time.Since(started))
	violations := append(s.pool.Violations(), test.violations(t, limited)...)
	c.stop()
	violations = append(violations, c.violations()...)
	completed, total := c.completed()
	t.Logf("all requests: %s", c.summary())
	if test.fraction < 1 && !test.daemonsDisturbed && float64(completed) < minServedFraction*float64(total) {
		violations = append(violations, fmt.Sprintf("only %s of all requests", c.summary()))
	}
	qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(violations, "\n")))
}

// violations returns the limits that were exceeded, or not used.
func (test limitCase) violations(t *testing.T, limited []*replica.Instance) []string {
	var out []string
	allowed, sent, maxAfterEnd := 0.0, 0, 0
	for _, i := range limited {
		got := i.CheckLimit(propagationTime)
		if got.Violation != "" {
			out = append(out, got.Violation)
		}
		if got.Sent > 0 {
			// Engines that head no group receive no requests.
			allowed += got.Allowed
		}
		sent += got.Sent
		maxAfterEnd = max(maxAfterEnd, i.RequestsAfterLimit(time.Second))
	}
	t.Logf("%d instances with a limit: %d requests once the limit was known, %.1f allowed; at most %d in the second after its end", len(limited), sent, allowed, maxAfterEnd)
	if test.fraction == 1 && !test.limitEnds && float64(sent) < minUsedFraction*allowed {
		out = append(out, fmt.Sprintf("only %d requests although the limits allow %.1f", sent, allowed))
	}
	if test.limitEnds && maxAfterEnd > maxAfterLimit {
		out = append(out, fmt.Sprintf("%d requests in the second after the limit ended", maxAfterEnd))
	}
	return out
}

// lowerLimits reduces the limits to a quarter.
func lowerLimits(_ *site, limited []*replica.Instance) {
	time.Sleep(limitDuration / 2)
	for _, i := range limited {
		i.AnnounceLimit(1.5)
	}
}

// endLimits ends the limits.
func endLimits(_ *site, limited []*replica.Instance) {
	time.Sleep(limitDuration - 4*time.Second)
	for _, i := range limited {
		i.AnnounceLimit(models.NoRateLimit)
	}
}

// disturbDaemonsInTurn kills and freezes one daemon after the other while instances announce
// limits.
func disturbDaemonsInTurn(s *site, _ []*replica.Instance) {
	time.Sleep(propagationTime)
	for _, d := range s.daemons {
		d.kill()
		d.start(s.t)
		time.Sleep(time.Second)
		d.signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		d.signal(syscall.SIGCONT)
	}
}
