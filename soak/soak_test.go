// Package soak runs daemons as processes of their own against stand-ins,
// injects faults from outside, and checks what callers and instances see.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/store"
)

// regressions are seeds that once failed, with the cause.
var regressions = []uint64{
	119, // the soak gave two listeners of one daemon the same port
}

const (
	callers = 8
	// faultsFor is how long faults come, healFor how long the site then has
	// to serve as before.
	faultsFor = 8 * time.Second
	healFor   = 12 * time.Second
	// served is the part of requests that must be served once it is healed.
	served = 0.9
)

// TestSoak plays each seed of LUPINKEEL_SOAK_SEEDS (a count, counted from
// LUPINKEEL_SOAK_FIRST), or one.
func TestSoak(t *testing.T) {
	bin := binary(t)
	seeds := append([]uint64{}, regressions...)
	first, count := uint64(1), 1
	if text := os.Getenv("LUPINKEEL_SOAK_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		qt.Assert(t, err, qt.IsNil)
		count = n
	}
	if text := os.Getenv("LUPINKEEL_SOAK_FIRST"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		qt.Assert(t, err, qt.IsNil)
		first = n
	}
	for n := range count {
		seeds = append(seeds, first+uint64(n))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, bin, seed) })
	}
}

func soak(t *testing.T, bin string, seed uint64) {
	logs := filepath.Join(os.TempDir(), fmt.Sprintf("lupinkeel-soak-%d-%d", os.Getpid(), seed))
	qt.Assert(t, os.MkdirAll(logs, 0o755), qt.IsNil)
	s := startSite(t, bin, logs)
	s.waitServing()
	c := startCallers(s)
	r := rand.New(rand.NewPCG(seed, 7))
	var injected []string
	for end := time.Now().Add(faultsFor); time.Now().Before(end); {
		injected = append(injected, s.fault(r))
		time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
	}
	s.heal()
	healed := c.waitHealed()
	c.stop()
	// Late runs of what was refused would show by now.
	time.Sleep(300 * time.Millisecond)
	problems := append(s.fabric.Broken(), c.problems()...)
	if !healed {
		problems = append(problems, fmt.Sprintf("less than %g of the requests are served %s after the faults", served, healFor))
	}
	if len(problems) > 0 {
		t.Fatalf("seed %d, logs in %s\nfaults: %s\n%s", seed, logs, strings.Join(injected, ", "), strings.Join(problems, "\n"))
	}
	t.Logf("seed %d: %s; %s", seed, c.summary(), strings.Join(injected, ", "))
	os.RemoveAll(logs)
}

// fault injects one fault and names it.
func (s *site) fault(r *rand.Rand) string {
	d := s.daemons[r.IntN(len(s.daemons))]
	instances := s.fabric.Instances()
	i := instances[r.IntN(len(instances))]
	engine := i.Service == "engines"
	switch r.IntN(10) {
	case 0:
		d.kill()
		d.start(s.t)
		return "kill " + d.name
	case 1:
		if err := d.stop(); err != nil {
			s.t.Errorf("planned stop: %v", err)
		}
		d.start(s.t)
		return "restart " + d.name
	case 2:
		d.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(200+r.IntN(1500)) * time.Millisecond)
		d.signal(syscall.SIGCONT)
		return "freeze " + d.name
	case 3:
		s.store.Misbehave(store.Faults{Busy: true})
		time.Sleep(time.Duration(200+r.IntN(1500)) * time.Millisecond)
		s.store.Misbehave(store.Faults{})
		return "store busy"
	case 4:
		s.store.Misbehave(store.Faults{LoseAnswers: 0.4, Delay: 30 * time.Millisecond})
		return "store slow, answers lost"
	case 5:
		s.store.Forget("keyed.servers")
		s.store.Deal("lupinkeel-planner")
		return "store forgets and deals anew"
	case 6:
		s.configure()
		return "configuration"
	case 7:
		d.signal(syscall.SIGHUP)
		return "settings " + d.name
	case 8:
		if !engine {
			return "nothing"
		}
		i.GoDark()
		s.add("engines", i.Domain)
		return "dark " + string(i.ID)
	default:
		if !engine {
			return "nothing"
		}
		i.Drain()
		s.add("engines", i.Domain)
		return "drain " + string(i.ID)
	}
}

func (s *site) heal() {
	s.store.Misbehave(store.Faults{})
	for _, d := range s.daemons {
		d.signal(syscall.SIGCONT)
	}
}

type kind string

const (
	kindOnce   kind = "once"
	kindAgain  kind = "again"
	kindStream kind = "stream"
)

type request struct {
	id    string
	kind  kind
	model string
	body  string
}

var (
	ids     uint64
	idsLock sync.Mutex
)

func newRequest(k kind, model string) request {
	idsLock.Lock()
	defer idsLock.Unlock()
	ids++
	id := fmt.Sprintf("%016x", ids)
	return request{id: id, kind: k, model: model, body: "body of " + id}
}

// reply is what came of a request.
type reply struct {
	request
	status int
	whole  bool
	// wrong tells what must never be seen.
	wrong string
}

// ask sends a request with the key that the site begins with.
func ask(client *http.Client, addr string, r request) reply {
	return askWith(client, addr, r, firstKey)
}

func askWith(client *http.Client, addr string, r request, key string) reply {
	out := reply{request: r}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+string(r.kind)+"/x", strings.NewReader(r.body))
	if err != nil {
		out.wrong = err.Error()
		return out
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Lupinkeel-Request-Id", r.id)
	req.Header.Set("X-Lupinkeel-Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Token "+key)
	if r.model != "" {
		req.Header.Set("X-Lupinkeel-Model", r.model)
		req.Header.Set("X-Lupinkeel-Token-Count", "100,60")
	}
	resp, err := client.Do(req)
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	out.status = resp.StatusCode
	switch {
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		out.wrong = fmt.Sprintf("status %d", resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
	case r.kind == kindStream:
		out.wrong = checkEvents(string(body), r.id, err == nil)
		out.whole = err == nil && out.wrong == ""
	case err != nil:
		out.wrong = "a plain answer was cut"
	case string(body) != "answer to "+r.id:
		out.wrong = fmt.Sprintf("the answer is %q", body)
	default:
		out.whole = true
	}
	return out
}

// checkEvents checks that events come in order, each once, all of this
// request, and that a stream that ends well is whole.
func checkEvents(body, id string, whole bool) string {
	events := strings.Split(body, "\n\n")
	for n, event := range events[:len(events)-1] {
		if want := fmt.Sprintf("id: %d\ndata: %s", n+1, id); event != want {
			return fmt.Sprintf("event %d is %q", n+1, event)
		}
	}
	if whole && (len(events)-1 != profile.Events || events[len(events)-1] != "") {
		return fmt.Sprintf("a stream ended well after %d events", len(events)-1)
	}
	return ""
}

// load are callers that keep asking.
type load struct {
	s    *site
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	replies []reply
	// asked tells which daemon each request was sent to, and when.
	asked map[models.RequestID]asking
}

// asking is a request on its way to a daemon.
type asking struct {
	daemon string
	at     time.Time
}

func startCallers(s *site) *load {
	c := &load{s: s, done: make(chan struct{}), asked: map[models.RequestID]asking{}}
	for n := range callers {
		c.wg.Add(1)
		go c.call(n)
	}
	return c
}

func (c *load) call(n int) {
	defer c.wg.Done()
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	kinds := []kind{kindStream, kindStream, kindOnce, kindAgain}
	for at := n; ; at++ {
		select {
		case <-c.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		k, model := kinds[at%len(kinds)], ""
		if k == kindStream {
			model = []string{"big", "small"}[at/2%2]
		}
		d, request := c.s.daemons[(n+at/16)%len(c.s.daemons)], newRequest(k, model)
		c.mu.Lock()
		c.asked[models.RequestID(request.id)] = asking{d.name, time.Now()}
		c.mu.Unlock()
		r := ask(client, d.addr, request)
		c.mu.Lock()
		c.replies = append(c.replies, r)
		c.mu.Unlock()
	}
}

// sender tells which daemon a request was sent to, and when.
func (c *load) sender(id models.RequestID) (daemon string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.asked[id]
	return a.daemon, a.at
}

// waitHealed waits until the last hundred requests are served as they should.
func (c *load) waitHealed() bool {
	const last = 100
	c.mu.Lock()
	from := len(c.replies)
	c.mu.Unlock()
	for end := time.Now().Add(healFor); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c.mu.Lock()
		whole := 0
		recent := c.replies[max(from, len(c.replies)-last):]
		for _, r := range recent {
			if r.whole {
				whole++
			}
		}
		enough := len(recent) == last && float64(whole) >= served*last
		c.mu.Unlock()
		if enough {
			return true
		}
	}
	return false
}

func (c *load) stop() {
	close(c.done)
	c.wg.Wait()
}

// problems lists what no caller may see.
func (c *load) problems() []string {
	var out []string
	for _, r := range c.replies {
		runs := c.s.fabric.Runs(models.RequestID(r.id))
		switch {
		case r.wrong != "":
			out = append(out, fmt.Sprintf("%s %s: %s", r.kind, r.id, r.wrong))
		case r.kind == kindOnce && runs > 1:
			out = append(out, fmt.Sprintf("%s was run %d times", r.id, runs))
		case r.kind == kindOnce && r.status == http.StatusServiceUnavailable && runs > 0:
			out = append(out, r.id+" was refused as not run, and was run")
		case r.whole && runs == 0:
			out = append(out, r.id+" was answered and never run")
		}
	}
	return out
}

// wholeSoFar is whole while requests still come.
func (c *load) wholeSoFar() (whole, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.whole()
}

// whole is how many requests were answered whole, of how many.
func (c *load) whole() (whole, all int) {
	for _, r := range c.replies {
		if r.whole {
			whole++
		}
	}
	return whole, len(c.replies)
}

func (c *load) summary() string {
	whole, all := c.whole()
	return fmt.Sprintf("%d of %d whole", whole, all)
}
