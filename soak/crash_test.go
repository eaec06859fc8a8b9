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
	// propagationTime is how long it may take until all daemons know what one of them has observed.
	propagationTime = 3 * time.Second
	// maxSentAfterDetection is how often a poison request may still be sent to instances once it
	// has crashed three of them and propagationTime has passed.
	maxSentAfterDetection = 3
	// maxCrashes is how many instances one request may crash in all.
	maxCrashes = 6
	// retryInterval is the interval at which a caller retries a poison request, retryDuration for
	// how long it does.
	retryInterval = 300 * time.Millisecond
	retryDuration = 9 * time.Second
	// replaceAfter is the time after which a new instance replaces a crashed one.
	replaceAfter = 2 * time.Second
	// allDaemonsKilled is the case in which other callers' requests are lost with the daemons.
	allDaemonsKilled = "all_daemons_killed_twice"
	// twoInstances is the case of a service that has only two instances.
	twoInstances = "plain_of_two_instances"
	// extraPlainInstances is the number of plain instances in addition to those of TestSoak.
	extraPlainInstances = 6
)

// TestCrashingRequest guards against a request that crashes every instance that runs it. If each
// daemon retries the request and then forgets it, a caller that retries with a new id at another
// daemon crashes one instance after the other (up to nineteen). Other callers' requests on these
// instances fail with 'unexpected EOF', and requests that other instances could serve are rejected
// with 'too many requests are being repeated'.
//
// Here a caller retries such a request every 0.3 s, each time at another daemon, while others send
// their requests as usual. The request crashes an instance 40 ms after the instance begins to run
// it. Once it has crashed three instances and the daemons had 3 s to inform each other, it may be
// sent at most three more times.
func TestCrashingRequest(t *testing.T) {
	bin := binary(t)
	for _, test := range []struct {
		name  string
		kinds []kind
		// disturb, if set, injects other faults meanwhile.
		disturb func(*site)
	}{
		{"stream", []kind{kindStream}, nil},
		{"plain", []kind{kindIdempotent}, nil},
		{"once", []kind{kindNonIdempotent}, nil},
		{twoInstances, []kind{kindIdempotent}, nil},
		{"two_at_once_beside_other_crashes", []kind{kindStream, kindStream}, (*site).crashRandomEngines},
		{allDaemonsKilled, []kind{kindStream}, (*site).killAllDaemonsTwice},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startSite(t, bin, t.TempDir())
			for range extraPlainInstances {
				if test.name != twoInstances {
					s.add("plain", "")
				}
			}
			s.waitServing()
			c := startCallers(s)
			var wg sync.WaitGroup
			var poisons []*poisonCaller
			for n, k := range test.kinds {
				p := &poisonCaller{s: s, kind: k, body: fmt.Sprintf("crashes %d", n)}
				s.pool.CrashOn(p.body, replaceAfter)
				poisons = append(poisons, p)
				wg.Go(p.run)
			}
			if test.disturb != nil {
				test.disturb(s)
			}
			wg.Wait()
			c.stop()
			violations := append(s.pool.Violations(), c.violations()...)
			for _, p := range poisons {
				violations = append(violations, p.violations()...)
			}
			completed, total := c.completed()
			t.Logf("other callers: %s", c.summary())
			if test.name != allDaemonsKilled && float64(completed) < minServedFraction*float64(total) {
				violations = append(violations, fmt.Sprintf("only %s of the other callers' requests", c.summary()))
			}
			qt.Check(t, violations, qt.HasLen, 0, qt.Commentf("%s", strings.Join(violations, "\n")))
		})
	}
}

// crashRandomEngines crashes some engines independently of any request.
func (s *site) crashRandomEngines() {
	r := rand.New(rand.NewPCG(39, 1))
	for range 4 {
		time.Sleep(retryDuration / 5)
		instances := s.pool.Instances()
		i := instances[r.IntN(len(instances))]
		if i.Domain == "" {
			continue
		}
		qt.Check(s.t, i.Stop(), qt.IsNil)
		s.add("engines", i.Domain)
	}
}

// killAllDaemonsTwice kills all daemons at once, after the poison request was detected and once
// more: only what the store holds about the request survives.
func (s *site) killAllDaemonsTwice() {
	for range 2 {
		time.Sleep(propagationTime + time.Second/2)
		for _, d := range s.daemons {
			d.kill()
		}
		for _, d := range s.daemons {
			d.start(s.t)
		}
	}
}

// poisonCaller is a caller that retries a poison request.
type poisonCaller struct {
	s       *site
	kind    kind
	body    string
	replies map[int]int
}

// run sends the request again and again, each time to another daemon.
func (p *poisonCaller) run() {
	p.replies = map[int]int{}
	client := &http.Client{Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	n := 0
	for end := time.Now().Add(retryDuration); time.Now().Before(end); time.Sleep(retryInterval) {
		r := newRequest(p.kind, "")
		if p.kind == kindStream {
			r = newRequest(kindStream, "small")
		}
		r.body = p.body
		n++
		p.replies[send(client, p.s.daemons[n%len(p.s.daemons)].addr, r).status]++
	}
}

// violations returns the bounds that the request exceeded.
func (p *poisonCaller) violations() []string {
	sent := p.s.pool.Poison(p.body)
	p.s.t.Logf("%s %q: sent %d times, crashed %d instances, replies %v", p.kind, p.body, len(sent.Sent), len(sent.Crashes), p.replies)
	const many = 3
	if len(sent.Crashes) < many {
		return []string{fmt.Sprintf("%q crashed only %d instances: the test is inconclusive", p.body, len(sent.Crashes))}
	}
	var out []string
	if after := sent.SentAfter(sent.Crashes[many-1].Add(propagationTime)); after > maxSentAfterDetection {
		out = append(out, fmt.Sprintf("%s %q was sent to instances %d more times later than %v after it had crashed three", p.kind, p.body, after, propagationTime))
	}
	if len(sent.Crashes) > maxCrashes {
		out = append(out, fmt.Sprintf("%s %q crashed %d instances", p.kind, p.body, len(sent.Crashes)))
	}
	return out
}
