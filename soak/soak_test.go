// Package soak runs daemons as separate processes against stand-ins, injects faults from outside,
// and checks what callers and instances observe.
package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
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
	119,   // freeAddr returned the same port for two listeners of one daemon
	65021, // a model that callers asked for had no group and got none
}

const (
	callers = 8
	// faultDuration is how long faults are injected, recoveryTimeout how long the site may then
	// take to recover.
	faultDuration   = 8 * time.Second
	recoveryTimeout = 12 * time.Second
	// minServedFraction is the fraction of requests that must be served once the site has
	// recovered.
	minServedFraction = 0.9
)

// TestSoak runs the regressions, and as many seeds as LUPINKEEL_SOAK_SEEDS says (1 by default),
// counting from LUPINKEEL_SOAK_FIRST.
func TestSoak(t *testing.T) {
	bin := binary(t)
	seeds := append([]uint64{}, regressions...)
	first, count := soakSeeds(t, 1)
	for n := range count {
		seeds = append(seeds, first+n)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, bin, seed) })
	}
}

func runSeed(t *testing.T, bin string, seed uint64) {
	logs := filepath.Join(os.TempDir(), fmt.Sprintf("lupinkeel-soak-%d-%d", os.Getpid(), seed))
	qt.Assert(t, os.MkdirAll(logs, 0o755), qt.IsNil)
	s := startSite(t, bin, logs)
	s.waitServing()
	c := startCallers(s)
	r := rand.New(rand.NewPCG(seed, 7))
	surges := c.startSurges(seed)
	var injected []string
	for end := time.Now().Add(faultDuration); time.Now().Before(end); {
		injected = append(injected, s.injectFault(r))
		time.Sleep(time.Duration(100+r.IntN(900)) * time.Millisecond)
	}
	s.clearFaults()
	split := surges.awaitShift()
	recovered := c.waitRecovered()
	c.stop()
	// A rejected request that still runs late must show up before the check.
	time.Sleep(300 * time.Millisecond)
	violations := append(s.pool.Violations(), c.violations()...)
	violations = append(violations, split.violations()...)
	if !recovered {
		violations = append(violations, fmt.Sprintf("less than %g of the requests are served %s after the faults", minServedFraction, recoveryTimeout))
	}
	if len(violations) > 0 {
		t.Fatalf("seed %d, logs in %s\nfaults: %s\n%s", seed, logs, strings.Join(injected, ", "), strings.Join(violations, "\n"))
	}
	t.Logf("seed %d: %s; %s; %s", seed, c.summary(), split, strings.Join(injected, ", "))
	os.RemoveAll(logs)
}

// injectFault injects a random fault and returns its name.
func (s *site) injectFault(r *rand.Rand) string {
	d := s.daemons[r.IntN(len(s.daemons))]
	instances := s.pool.Instances()
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
		s.store.SetFaults(store.Faults{Busy: true})
		time.Sleep(time.Duration(200+r.IntN(1500)) * time.Millisecond)
		s.store.SetFaults(store.Faults{})
		return "store unavailable"
	case 4:
		s.store.SetFaults(store.Faults{LoseResponses: 0.4, Delay: 30 * time.Millisecond})
		return "store slow, responses lost"
	case 5:
		s.store.ExpireRecords("keyed.servers")
		s.store.DropAssignments("lupinkeel-planner")
		return "store expires records and drops assignments"
	case 6:
		s.configure()
		return "change configuration"
	case 7:
		d.signal(syscall.SIGHUP)
		return "reload settings of " + d.name
	case 8:
		if !engine {
			return "nothing"
		}
		i.Hang()
		s.add("engines", i.Domain)
		return "hang " + string(i.ID)
	default:
		if !engine {
			return "nothing"
		}
		i.Drain()
		s.add("engines", i.Domain)
		return "drain " + string(i.ID)
	}
}

func (s *site) clearFaults() {
	s.store.SetFaults(store.Faults{})
	for _, d := range s.daemons {
		d.signal(syscall.SIGCONT)
	}
}

type kind string

const (
	kindNonIdempotent kind = "once"
	kindIdempotent    kind = "again"
	kindStream        kind = "stream"
)

type request struct {
	id    string
	kind  kind
	model string
	body  string
	// parts are the parts of the prompt, in the form of the users' platform.
	parts string
	// outputTokens is the number of tokens that the caller accepts.
	outputTokens int
}

var (
	lastRequestID uint64
	requestIDLock sync.Mutex
)

func newRequest(k kind, model string) request {
	requestIDLock.Lock()
	defer requestIDLock.Unlock()
	lastRequestID++
	id := fmt.Sprintf("%016x", lastRequestID)
	return request{id: id, kind: k, model: model, body: "body of " + id, outputTokens: 60}
}

// reply is the outcome of a request.
type reply struct {
	request
	status   int
	complete bool
	// violation describes a response that must never occur.
	violation string
}

// send sends a request with the first key.
func send(client *http.Client, addr string, r request) reply {
	return sendWithKey(client, addr, r, firstKey)
}

func sendWithKey(client *http.Client, addr string, r request, key string) reply {
	out := reply{request: r}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/"+string(r.kind)+"/x", strings.NewReader(r.body))
	if err != nil {
		out.violation = err.Error()
		return out
	}
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Lupinkeel-Request-Id", r.id)
	req.Header.Set("X-Lupinkeel-Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Token "+key)
	if r.model != "" {
		req.Header.Set("X-Lupinkeel-Model", r.model)
		if r.parts != "" {
			req.Header.Set("X-Lupinkeel-Prefix-Hash", r.parts)
		}
		req.Header.Set("X-Lupinkeel-Token-Count", fmt.Sprintf("100,%d", r.outputTokens))
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
		out.violation = fmt.Sprintf("status %d", resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
	case r.kind == kindStream:
		out.violation = checkEvents(string(body), r.id, 0, err == nil)
		out.complete = err == nil && out.violation == ""
	case err != nil:
		out.violation = "a plain response was truncated"
	case string(body) != "answer to "+r.id:
		out.violation = fmt.Sprintf("the response is %q", body)
	default:
		out.complete = true
	}
	return out
}

// checkEvents checks that the events are in order, without duplicates and all of this request, which asked
// for those after an event, and that a stream that ends without an error is complete.
func checkEvents(body, id string, after int, complete bool) string {
	events := strings.Split(body, "\n\n")
	for n, event := range events[:len(events)-1] {
		if want := fmt.Sprintf("id: %d\ndata: %s", after+n+1, id); event != want {
			return fmt.Sprintf("event %d is %q", after+n+1, event)
		}
	}
	if last := after + len(events) - 1; complete && (last != profile.Events || events[len(events)-1] != "") {
		return fmt.Sprintf("a stream ended without an error after event %d", last)
	}
	return ""
}

// callerLoad is a set of callers that keep sending requests.
type callerLoad struct {
	s    *site
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	replies []reply
	// sent holds, for each request, the daemon that it was sent to, and when.
	sent map[models.RequestID]sentRequest
}

// sentRequest is the daemon that a request was sent to, and when.
type sentRequest struct {
	daemon string
	at     time.Time
}

func startCallers(s *site) *callerLoad {
	c := &callerLoad{s: s, done: make(chan struct{}), sent: map[models.RequestID]sentRequest{}}
	for n := range callers {
		c.wg.Add(1)
		go c.run(n)
	}
	return c
}

func (c *callerLoad) run(n int) {
	defer c.wg.Done()
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	kinds := []kind{kindStream, kindStream, kindNonIdempotent, kindIdempotent}
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
		c.request(client, c.s.daemons[(n+at/16)%len(c.s.daemons)], newRequest(k, model))
	}
}

// request sends a request to a daemon and keeps the reply.
func (c *callerLoad) request(client *http.Client, d *daemon, request request) reply {
	c.mu.Lock()
	c.sent[models.RequestID(request.id)] = sentRequest{d.name, time.Now()}
	c.mu.Unlock()
	r := send(client, d.addr, request)
	c.mu.Lock()
	c.replies = append(c.replies, r)
	c.mu.Unlock()
	return r
}

// sender returns the daemon that a request was sent to, and when.
func (c *callerLoad) sender(id models.RequestID) (daemon string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.sent[id]
	return a.daemon, a.at
}

// waitRecovered waits until minServedFraction of the last hundred requests are served.
func (c *callerLoad) waitRecovered() bool {
	const last = 100
	c.mu.Lock()
	from := len(c.replies)
	c.mu.Unlock()
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		c.mu.Lock()
		complete := 0
		recent := c.replies[max(from, len(c.replies)-last):]
		for _, r := range recent {
			if r.complete {
				complete++
			}
		}
		enough := len(recent) == last && float64(complete) >= minServedFraction*last
		c.mu.Unlock()
		if enough {
			return true
		}
	}
	return false
}

func (c *callerLoad) stop() {
	close(c.done)
	c.wg.Wait()
}

// violations returns the invariants that requests violated.
func (c *callerLoad) violations() []string {
	var out []string
	for _, r := range c.replies {
		runs := c.s.pool.RunCount(models.RequestID(r.id))
		switch {
		case r.violation != "":
			out = append(out, fmt.Sprintf("%s %s: %s", r.kind, r.id, r.violation))
		case r.kind == kindNonIdempotent && runs > 1:
			out = append(out, fmt.Sprintf("%s ran %d times", r.id, runs))
		case r.kind == kindNonIdempotent && r.status == http.StatusServiceUnavailable && runs > 0:
			out = append(out, r.id+" was refused as not run, but ran")
		case r.kind == kindStream && r.status == http.StatusServiceUnavailable && runs > 0:
			out = append(out, r.id+" was rejected as not run, but ran")
		case r.complete && runs == 0:
			out = append(out, r.id+" was completed but never ran")
		}
	}
	return out
}

// completedSoFar is like completed, for use while requests are still being sent.
func (c *callerLoad) completedSoFar() (complete, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed()
}

// completed returns how many requests were completed, and how many were sent.
func (c *callerLoad) completed() (complete, total int) {
	for _, r := range c.replies {
		if r.complete {
			complete++
		}
	}
	return complete, len(c.replies)
}

func (c *callerLoad) summary() string {
	complete, total := c.completed()
	return fmt.Sprintf("%d of %d complete", complete, total)
}
