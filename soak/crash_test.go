package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// contact is how long all daemons may take to learn what one of them saw.
	contact = 3 * time.Second
	// mostAfter is how often a request may still be sent to instances once it has
	// ended three of them and contact is over.
	mostAfter = 3
	// mostEnded is how many instances one request may end in all.
	mostEnded = 6
	// askEvery is how often the caller of a request that crashes instances comes back,
	// askFor for how long.
	askEvery = 300 * time.Millisecond
	askFor   = 9 * time.Second
	// backAfter is when another instance takes the place of one that crashed.
	backAfter = 2 * time.Second
	// allKilled is the case in which others' requests are lost with the daemons.
	allKilled = "all_daemons_killed_twice"
	// fewLeft is the case of a service that has two instances.
	fewLeft = "plain_of_two_instances"
	// morePlain is how many plain instances there are beside those of other soaks.
	morePlain = 6
)

// One caller's request ended nineteen instances, one after the other, and took the
// requests of all others on them along: each daemon sent it to two instances, forgot
// it, and the caller came back with another id at another daemon. All that any of them
// told was 'unexpected EOF', ten times each 0.3 s, and 'too many requests are being
// repeated' to those who could have been served elsewhere.
//
// So a caller comes back every 0.3 s, each time at another daemon, with a request that
// ends each instance 40 ms after it begins to run it, while others ask as usual. Once
// three instances have ended under it, and daemons had 3 s to tell each other, no more
// than three more may be sent it.
func TestCrashingRequest(t *testing.T) {
	bin := binary(t)
	for _, test := range []struct {
		name  string
		kinds []kind
		// beside, if set, is what else happens meanwhile.
		beside func(*site)
	}{
		{"stream", []kind{kindStream}, nil},
		{"plain", []kind{kindAgain}, nil},
		{"once", []kind{kindOnce}, nil},
		{fewLeft, []kind{kindAgain}, nil},
		{"two_at_once_beside_other_crashes", []kind{kindStream, kindStream}, (*site).crashOthers},
		{allKilled, []kind{kindStream}, (*site).killAllTwice},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSite(t, bin, t.TempDir())
			for range morePlain {
				if test.name != fewLeft {
					s.add("plain", "")
				}
			}
			s.waitServing()
			c := startCallers(s)
			var wg sync.WaitGroup
			var poisons []*poisonCaller
			for n, k := range test.kinds {
				p := &poisonCaller{s: s, kind: k, body: fmt.Sprintf("crashes %d", n)}
				s.fabric.CrashOn(p.body, backAfter)
				poisons = append(poisons, p)
				wg.Go(p.run)
			}
			if test.beside != nil {
				test.beside(s)
			}
			wg.Wait()
			c.stop()
			problems := append(s.fabric.Broken(), c.problems()...)
			for _, p := range poisons {
				problems = append(problems, p.problems()...)
			}
			whole, all := c.whole()
			t.Logf("others: %s", c.summary())
			if test.name != allKilled && float64(whole) < served*float64(all) {
				problems = append(problems, fmt.Sprintf("only %s of the others' requests", c.summary()))
			}
			qt.Check(t, problems, qt.HasLen, 0, qt.Commentf("%s", strings.Join(problems, "\n")))
		})
	}
}

// crashOthers ends some engines that no request made crash.
func (s *site) crashOthers() {
	r := rand.New(rand.NewPCG(39, 1))
	for range 4 {
		time.Sleep(askFor / 5)
		instances := s.fabric.Instances()
		i := instances[r.IntN(len(instances))]
		if i.Domain == "" {
			continue
		}
		qt.Check(s.t, i.Stop(), qt.IsNil)
		s.add("engines", i.Domain)
	}
}

// killAllTwice kills all daemons at once, after the request was found and once more:
// nothing of what they knew outlasts them but what the store holds.
func (s *site) killAllTwice() {
	for range 2 {
		time.Sleep(contact + time.Second/2)
		for _, d := range s.daemons {
			d.kill()
		}
		for _, d := range s.daemons {
			d.start(s.t)
		}
	}
}

// poisonCaller is a caller whose request crashes instances.
type poisonCaller struct {
	s       *site
	kind    kind
	body    string
	replies map[int]int
}

// run asks again and again, each time another daemon.
func (p *poisonCaller) run() {
	p.replies = map[int]int{}
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	n := 0
	for end := time.Now().Add(askFor); time.Now().Before(end); time.Sleep(askEvery) {
		r := newRequest(p.kind, "")
		if p.kind == kindStream {
			r = newRequest(kindStream, "small")
		}
		r.body = p.body
		n++
		p.replies[ask(client, p.s.daemons[n%len(p.s.daemons)].addr, r).status]++
	}
}

// problems tells what must not come of the request.
func (p *poisonCaller) problems() []string {
	sent := p.s.fabric.Poison(p.body)
	p.s.t.Logf("%s %q: sent %d times, ended %d instances, replies %v", p.kind, p.body, len(sent.Sent), len(sent.Crashes), p.replies)
	const many = 3
	if len(sent.Crashes) < many {
		return []string{fmt.Sprintf("%q ended %d instances only: nothing is shown", p.body, len(sent.Crashes))}
	}
	var out []string
	if after := sent.SentAfter(sent.Crashes[many-1].Add(contact)); after > mostAfter {
		out = append(out, fmt.Sprintf("%s %q was sent to instances %d times more, %v after it had ended three", p.kind, p.body, after, contact))
	}
	if len(sent.Crashes) > mostEnded {
		out = append(out, fmt.Sprintf("%s %q ended %d instances", p.kind, p.body, len(sent.Crashes)))
	}
	return out
}
