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
	// limitedFor is how long instances name a limit, contact included.
	limitedFor = 11 * time.Second
	// usedPart is the part of a limit that is to be used where callers ask for more.
	usedPart = 0.8
	// endedRush is how many requests may come to an instance in the second after its limit
	// has ended: it has just recovered.
	endedRush = 12
)

// limitCase is a way in which instances name limits.
type limitCase struct {
	name    string
	service models.ServiceName
	// part is the part of the service's instances that name the limit.
	part float64
	rate float64
	// then is what else happens once the limits are named, to those that name them.
	then func(*site, []*replica.Instance)
	// ends tells that the limit ends midway.
	ends bool
	// disturbed tells that the daemons are, so that requests are lost with them.
	disturbed bool
}

// Two instances in need had named a limit of some requests a second. Each daemon went on
// sending them as many as before: nothing read the limit, and the instances got half as many
// again as they were to get at most.
func TestLimitedInstanceGetsMoreThanItsLimit(t *testing.T) {
	bin := binary(t)
	for _, test := range []limitCase{
		{name: "half_of_plain", service: "plain", part: 0.5, rate: 1.5},
		{name: "all_plain", service: "plain", part: 1, rate: 2},
		{name: "half_of_engines", service: "engines", part: 0.5, rate: 1.5},
		{name: "all_engines", service: "engines", part: 1, rate: 3},
		{name: "falls", service: "plain", part: 0.5, rate: 6, then: fall},
		{name: "ends", service: "plain", part: 1, rate: 2, then: end, ends: true},
		{name: "daemons_killed_and_frozen", service: "plain", part: 0.5, rate: 2, then: disturb, disturbed: true},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(t, bin) })
	}
}

func (test limitCase) run(t *testing.T, bin string) {
	s, c := startBusy(t, bin)
	limited := s.part(test.service, test.part)
	for _, i := range limited {
		i.NameLimit(test.rate)
	}
	began := time.Now()
	if test.then != nil {
		test.then(s, limited)
	}
	time.Sleep(limitedFor - time.Since(began))
	problems := append(s.fabric.Broken(), test.problems(t, limited)...)
	c.stop()
	problems = append(problems, c.problems()...)
	whole, all := c.whole()
	t.Logf("all requests: %s", c.summary())
	if test.part < 1 && !test.disturbed && float64(whole) < served*float64(all) {
		problems = append(problems, fmt.Sprintf("only %s of all requests", c.summary()))
	}
	qt.Check(t, problems, qt.HasLen, 0, qt.Commentf("%s", strings.Join(problems, "\n")))
}

// problems tells what must not come of instances that name a limit.
func (test limitCase) problems(t *testing.T, limited []*replica.Instance) []string {
	var out []string
	allowed, sent, most := 0.0, 0, 0
	for _, i := range limited {
		got := i.Limited(contact)
		if got.Broken != "" {
			out = append(out, got.Broken)
		}
		if got.Sent > 0 {
			// Engines that head no group get none.
			allowed += got.Allowed
		}
		sent += got.Sent
		most = max(most, i.RushAfter(time.Second))
	}
	t.Logf("%d instances with a limit: %d requests once it was known, %.1f allowed; %d in the second after its end", len(limited), sent, allowed, most)
	if test.part == 1 && !test.ends && float64(sent) < usedPart*allowed {
		out = append(out, fmt.Sprintf("%d requests of %.1f that the limits allow", sent, allowed))
	}
	if test.ends && most > endedRush {
		out = append(out, fmt.Sprintf("%d requests in the second after the limit ended", most))
	}
	return out
}

// fall has the limits fall to a quarter.
func fall(_ *site, limited []*replica.Instance) {
	time.Sleep(limitedFor / 2)
	for _, i := range limited {
		i.NameLimit(1.5)
	}
}

// end has the limits end.
func end(_ *site, limited []*replica.Instance) {
	time.Sleep(limitedFor - 4*time.Second)
	for _, i := range limited {
		i.NameLimit(models.NoRateLimit)
	}
}

// disturb kills one daemon after the other, and freezes them, while instances name limits.
func disturb(s *site, _ []*replica.Instance) {
	time.Sleep(contact)
	for _, d := range s.daemons {
		d.kill()
		d.start(s.t)
		time.Sleep(time.Second)
		d.signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		d.signal(syscall.SIGCONT)
	}
}
