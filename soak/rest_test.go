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
	// restFor is how long instances turn requests away, or say that they leave.
	restFor = 7 * time.Second
	// drain is after how long a daemon must send nothing more to an instance whose answer
	// said that it leaves.
	drain = 2 * time.Second
)

// restCase is a way in which instances ask for rest or say that they leave.
type restCase struct {
	name    string
	service models.ServiceName
	// part is the part of the service's instances that do.
	part float64
	shed replica.Shedding
	// leave has them say that they leave, limit name a limit besides, unless it is 0.
	leave bool
	limit float64
	// beside is what else happens meanwhile; the daemons are disturbed by it.
	beside func(*site, *disturbances)
	// flags are those of the daemons.
	flags []string
}

// Daemons went on sending to instances that had asked them for rest, more than to others.
func TestInstanceThatAsksForRestGetsMoreRequests(t *testing.T) {
	const all = 1
	shed := func(rest time.Duration) replica.Shedding { return replica.Shedding{Part: all, Rest: rest} }
	bin := binary(t)
	for _, test := range []restCase{
		{name: "half_of_plain", service: "plain", part: 0.5, shed: shed(3 * time.Second)},
		{name: "half_of_plain_by_chance", service: "plain", part: 0.5, shed: replica.Shedding{Part: 0.5, Rest: 2 * time.Second}},
		{name: "all_plain", service: "plain", part: 1, shed: shed(3 * time.Second)},
		{name: "half_of_engines", service: "engines", part: 0.5, shed: shed(3 * time.Second)},
		{name: "all_engines", service: "engines", part: 1, shed: shed(2500 * time.Millisecond)},
		{name: "half_of_plain_leave", service: "plain", part: 0.5, leave: true},
		{name: "third_of_engines_leave", service: "engines", part: 1. / 3, leave: true},
		{name: "limit_rest_and_leaving", service: "plain", part: 0.5, shed: replica.Shedding{Part: 0.5, Rest: 2 * time.Second}, leave: true, limit: 2},
		{name: "daemons_killed_and_frozen", service: "plain", part: 0.5, shed: replica.Shedding{Part: 0.7, Rest: 2 * time.Second}, beside: disturbDaemons},
		{name: "store_away_engines_leave", service: "engines", part: 1. / 3, leave: true, beside: storeAway, flags: []string{"--strict-keys=false"}},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(t, bin) })
	}
}

func (test restCase) run(t *testing.T, bin string) {
	s, c := startBusy(t, bin, test.flags...)
	asking := s.part(test.service, test.part)
	for _, i := range asking {
		test.begin(i)
	}
	began, during := time.Now(), disturbances{}
	if test.beside != nil {
		test.beside(s, &during)
	}
	time.Sleep(restFor - time.Since(began))
	whole, all := c.wholeSoFar()
	problems := append(s.fabric.Broken(), test.problems(t, asking, c, &during)...)
	for _, i := range asking {
		i.Shed(replica.Shedding{})
	}
	healed := test.leave || c.waitHealed()
	c.stop()
	problems = append(problems, c.problems()...)
	t.Logf("%d of %d whole, %s in all", whole, all, c.summary())
	if test.part < 1 && test.beside == nil && float64(whole) < served*float64(all) {
		problems = append(problems, fmt.Sprintf("only %d of %d requests were answered whole", whole, all))
	}
	if !healed {
		problems = append(problems, fmt.Sprintf("less than %g of the requests are served %s after the rests", served, healFor))
	}
	qt.Check(t, problems, qt.HasLen, 0, qt.Commentf("%s", strings.Join(problems, "\n")))
}

// begin has an instance begin.
func (test restCase) begin(i *replica.Instance) {
	i.Shed(test.shed)
	if test.leave {
		i.SayLeaving()
	}
	if test.limit > 0 {
		i.NameLimit(test.limit)
	}
}

// problems tells what must not come to instances that ask for rest or leave.
func (test restCase) problems(t *testing.T, asking []*replica.Instance, c *load, during *disturbances) []string {
	var out []string
	var sum replica.Visits
	over := 0
	for _, i := range asking {
		got := i.Visits(c.sender, during.excused, drain)
		sum.MostInRest, sum.Shed = max(sum.MostInRest, got.MostInRest), sum.Shed+got.Shed
		sum.Late, sum.Told = sum.Late+got.Late, sum.Told+got.Told
		if len(got.Broken) > 0 {
			over++
			out = append(out, got.Broken[0])
		}
		if test.limit > 0 {
			if limited := i.Limited(contact); limited.Broken != "" {
				out = append(out, limited.Broken)
			}
		}
	}
	t.Logf("%d of %d instances got too many: %d in one rest at most, %d shed; %d late to leaving ones, %d answers told of it",
		over, len(asking), sum.MostInRest, sum.Shed, sum.Late, sum.Told)
	if sum.Shed+sum.Told == 0 {
		out = append(out, "no answer asked for anything: nothing is shown")
	}
	return out
}

// disturbances are the times in which daemons were restarted or frozen.
type disturbances struct {
	mu   sync.Mutex
	seen []disturbance
}

type disturbance struct {
	daemon   string
	from, to time.Time
}

// note records that a daemon was disturbed from a time until now.
func (d *disturbances) note(daemon string, from time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen = append(d.seen, disturbance{daemon, from, time.Now()})
}

// excused reports whether a daemon was disturbed between two times.
func (d *disturbances) excused(daemon string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, seen := range d.seen {
		if seen.daemon == daemon && seen.from.Before(to) && seen.to.After(from) {
			return true
		}
	}
	return false
}

// disturbDaemons kills and freezes daemons, in series, and at times two at once.
func disturbDaemons(s *site, during *disturbances) {
	r := rand.New(rand.NewPCG(47, 1))
	for end := time.Now().Add(restFor - 2*time.Second); time.Now().Before(end); {
		d, from := s.daemons[r.IntN(len(s.daemons))], time.Now()
		if r.IntN(2) == 0 {
			d.kill()
			d.start(s.t)
		} else {
			d.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+r.IntN(1300)) * time.Millisecond)
			d.signal(syscall.SIGCONT)
		}
		during.note(d.name, from)
		time.Sleep(time.Duration(100+r.IntN(600)) * time.Millisecond)
	}
}

// storeAway has the store answer nobody.
func storeAway(s *site, _ *disturbances) {
	s.store.Misbehave(store.Faults{Busy: true})
	time.Sleep(restFor - time.Second)
	s.store.Misbehave(store.Faults{})
}
