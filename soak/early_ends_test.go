package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	// kindSingleStream is a stream that may not be resumed.
	kindSingleStream kind = "single"
	// earlyEndsTime is how long answers end early.
	earlyEndsTime = 6 * time.Second
	// earlyEndsCallers is the number of callers for each daemon.
	earlyEndsCallers = 10
	// manyDaemonsSeed divides the seeds that play manyDaemons daemons.
	manyDaemonsSeed, manyDaemons = 10, 18
	// maxBusyLoops is how many goroutines of the test keep a processor busy at most.
	maxBusyLoops = 3
	// callTimeout is how long a caller waits for the end of an answer.
	callTimeout = 6 * time.Second
)

// TestEarlyEnds guards against responses that look complete before their end. Answers end early, have no
// length, are followed by late surplus ones or have invalid statuses, while instances and daemons are
// killed, stopped and restarted. It plays as many seeds as LUPINKEEL_SOAK_SEEDS says (1 by default),
// counting from LUPINKEEL_SOAK_FIRST; the seed determines the doses.
func TestEarlyEnds(t *testing.T) {
	bin := binary(t)
	first, count := soakSeeds(t, 1)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runEarlyEnds(t, bin, seed) })
	}
}

func runEarlyEnds(t *testing.T, bin string, seed uint64) {
	logs := filepath.Join(os.TempDir(), fmt.Sprintf("lupinkeel-early-ends-%d-%d", os.Getpid(), seed))
	qt.Assert(t, os.MkdirAll(logs, 0o755), qt.IsNil)
	r := rand.New(rand.NewPCG(seed, 85))
	s := startEarlyEndsSite(t, bin, logs, seed, r)
	s.waitServing()
	doses := replica.EarlyEnds{
		Unframed: 1.3 * r.Float64(), Broken: 0.05 + 0.4*r.Float64(), Reset: 1.3 * r.Float64(), Within: 0.5 * r.Float64(), Silence: between(r, 1, 800*time.Millisecond),
		Surplus: 0.3 * r.Float64(), InvalidStatus: 0.03 * r.Float64(),
	}
	s.pool.SetEarlyEnds(doses)
	ctx, cancel := context.WithTimeout(t.Context(), earlyEndsTime)
	defer cancel()
	calls := startRawCallers(ctx, s, seed, false)
	violations := <-s.disturb(ctx, seed)
	replies := <-calls
	for _, d := range s.daemons {
		if err := d.end(); err != nil {
			violations = append(violations, err.Error())
		}
	}
	complete, broken, resumed := 0, 0, 0
	for _, reply := range replies {
		if problem := s.checkReply(reply); problem != "" {
			violations = append(violations, fmt.Sprintf("%s %s over %s: %s; sent %q, its answers: %+v", reply.kind, reply.id, reply.proto, problem, reply.framing, s.pool.Ends(models.RequestID(reply.id))))
		}
		switch {
		case reply.complete:
			complete++
		case reply.status == http.StatusOK:
			broken++
		}
		if reply.after > 0 {
			resumed++
		}
	}
	violations = append(violations, s.panics(t)...)
	ends := s.pool.EndCounts()
	t.Logf("%d daemons, %+v: %d of %d complete, %d broken off, %d resumed; %v", len(s.daemons), doses, complete, len(replies), broken, resumed, ends)
	if complete == 0 || ends[replica.EndClosed]+ends[replica.EndReset] == 0 {
		violations = append(violations, "no answer was complete, or none was broken off: the test is inconclusive")
	}
	if len(violations) > 0 {
		t.Fatalf("seed %d, logs in %s: %d violations\n%s", seed, logs, len(violations), strings.Join(violations, "\n"))
	}
	os.RemoveAll(logs)
}

// startEarlyEndsSite starts a site whose daemons may be short of processor time.
func startEarlyEndsSite(t *testing.T, bin, logs string, seed uint64, r *rand.Rand, flags ...string) *site {
	p := profile
	p.EventInterval = between(r, 5*time.Millisecond, 60*time.Millisecond)
	s := startInstances(t, p)
	s.logs = logs
	for range extraPlainInstances {
		s.add("plain", "")
	}
	count := 2 + r.IntN(3)
	if seed%manyDaemonsSeed == 0 {
		count = manyDaemons
	}
	short := r.IntN(2) == 0
	for n := range count {
		d := s.newDaemon(bin, n)
		d.flags = append(d.flags, flags...)
		if short {
			d.env = []string{"GOMAXPROCS=1"}
		}
		s.daemons = append(s.daemons, d)
		d.start(t)
		t.Cleanup(d.kill)
	}
	return s
}

// disturb plays faults of daemons and instances until the context ends, and then returns what went wrong.
func (s *site) disturb(ctx context.Context, seed uint64) <-chan []string {
	plays := []func(*rand.Rand) error{s.restartInstances, keepBusy}
	if overlapping := seed%3 > 0; overlapping {
		for _, d := range s.daemons {
			plays = append(plays, d.disturb)
		}
	} else {
		plays = append(plays, func(r *rand.Rand) error { return s.daemons[r.IntN(len(s.daemons))].disturb(r) })
	}
	return playAll(ctx, seed, plays)
}

// playAll plays each of the faults again and again until the context ends, and then returns what went wrong.
func playAll(ctx context.Context, seed uint64, plays []func(*rand.Rand) error) <-chan []string {
	var wg sync.WaitGroup
	errs := make([]error, len(plays))
	for n, play := range plays {
		r := rand.New(rand.NewPCG(seed, 100+uint64(n)))
		wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-time.After(between(r, 10*time.Millisecond, 800*time.Millisecond)):
					errs[n] = errors.Join(errs[n], play(r))
				}
			}
		})
	}
	out := make(chan []string, 1)
	go func() {
		wg.Wait()
		var problems []string
		if err := errors.Join(errs...); err != nil {
			problems = append(problems, err.Error())
		}
		out <- problems
	}()
	return out
}

// disturb plays a fault of the daemon.
func (d *daemon) disturb(r *rand.Rand) error {
	switch r.IntN(8) {
	case 0:
		return errors.Join(d.end(), d.launch())
	case 1:
		return errors.Join(d.stop(), d.launch())
	case 2, 3:
		// Short stops in series are what a process sees that is short of processor time.
		for range 10 + r.IntN(20) {
			d.pause(between(r, 2*time.Millisecond, 40*time.Millisecond))
			time.Sleep(between(r, time.Millisecond, 10*time.Millisecond))
		}
	default:
		d.pause(between(r, 100*time.Millisecond, 700*time.Millisecond))
	}
	return nil
}

// pause stops the daemon's process for a while.
func (d *daemon) pause(duration time.Duration) {
	d.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	d.signal(syscall.SIGCONT)
}

// restartInstances kills an instance, for which a new one comes.
func (s *site) restartInstances(r *rand.Rand) error {
	instances := s.pool.Instances()
	i := instances[r.IntN(len(instances))]
	if err := i.Stop(); err != nil {
		return err
	}
	_, err := s.pool.Add(i.Service, i.Zone, i.Domain)
	return err
}

// keepBusy takes processor time for a while.
func keepBusy(r *rand.Rand) error {
	until := time.Now().Add(between(r, 50*time.Millisecond, 400*time.Millisecond))
	var wg sync.WaitGroup
	for range 1 + r.IntN(maxBusyLoops) {
		wg.Go(func() {
			for time.Now().Before(until) {
			}
		})
	}
	wg.Wait()
	return nil
}

// panics returns the panics in the daemons' logs.
func (s *site) panics(t *testing.T) []string {
	var out []string
	for _, d := range s.daemons {
		text, err := os.ReadFile(d.logFile.Name())
		qt.Assert(t, err, qt.IsNil)
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte("panic")) {
				out = append(out, fmt.Sprintf("%s: %s", d.name, line[:min(200, len(line))]))
			}
		}
	}
	return out
}

// rawReply is the outcome of a request that a rawCaller sent.
type rawReply struct {
	reply
	proto string
	// after is the ID of the event after which the stream was to go on.
	after int
	// events is the number of events received.
	events int
	// framing is what marks the end of the response, if it isn't the connection's end.
	framing string
	// early describes a response that looks complete before its end.
	early string
	// daemon is the one that the request was sent to, at sent; its answer or connection ended at ended.
	daemon      *daemon
	sent, ended time.Time
	// answered is set if a whole response was received, whatever its status.
	answered bool
}

// rawCaller sends requests over connections that it keeps until they end.
type rawCaller struct {
	s      *site
	r      *rand.Rand
	daemon *daemon
	conn   net.Conn
	br     *bufio.Reader
	// keeps is set if the caller keeps its connections until the daemon closes them, also when a response
	// says that it will.
	keeps bool
}

// startRawCallers starts callers that send requests until the context ends, and then returns their replies.
func startRawCallers(ctx context.Context, s *site, seed uint64, keep bool) <-chan []rawReply {
	var mu sync.Mutex
	var replies []rawReply
	var wg sync.WaitGroup
	for n := range earlyEndsCallers * len(s.daemons) {
		c := &rawCaller{s: s, r: rand.New(rand.NewPCG(seed, 1000+uint64(n))), keeps: keep}
		wg.Go(func() {
			defer c.close()
			after := 0
			for {
				select {
				case <-ctx.Done():
					return
				case <-time.After(between(c.r, time.Millisecond, 30*time.Millisecond)):
				}
				reply := c.call(after)
				mu.Lock()
				replies = append(replies, reply)
				mu.Unlock()
				after = 0
				if last := reply.after + reply.events; reply.kind == kindStream && !reply.complete && reply.events > 0 && c.r.IntN(2) == 0 {
					after = last
				}
			}
		})
	}
	out := make(chan []rawReply, 1)
	go func() {
		wg.Wait()
		out <- replies
	}()
	return out
}

func (c *rawCaller) close() {
	if c.conn != nil {
		// There is no way to handle an error of Close.
		_ = c.conn.Close()
	}
	c.conn = nil
}

// connect makes a connection to a random daemon, unless the caller has one.
func (c *rawCaller) connect() error {
	if c.conn != nil {
		return nil
	}
	d := c.s.daemons[c.r.IntN(len(c.s.daemons))]
	conn, err := net.DialTimeout("tcp4", d.addr, time.Second)
	if err != nil {
		return err
	}
	c.daemon, c.conn, c.br = d, conn, bufio.NewReader(conn)
	return nil
}

// call sends a request; after an event, one that resumes a stream.
func (c *rawCaller) call(after int) (out rawReply) {
	kinds := []kind{kindStream, kindStream, kindStream, kindSingleStream, kindSingleStream, kindNonIdempotent, kindIdempotent}
	k, extra := kinds[c.r.IntN(len(kinds))], ""
	if after > 0 {
		k, extra = kindStream, fmt.Sprintf("Last-Event-Id: %d\r\n", after)
	}
	if k == kindStream || k == kindSingleStream {
		extra += "X-Lupinkeel-Token-Count: 100,60\r\nX-Lupinkeel-Model: " + []string{"big", "small"}[c.r.IntN(2)] + "\r\n"
	}
	out = rawReply{reply: reply{request: newRequest(k, "")}, proto: "HTTP/1.1", after: after}
	if c.r.IntN(5) == 0 {
		out.proto = "HTTP/1.0"
	}
	if c.connect() != nil {
		return out
	}
	if c.r.IntN(4) == 0 && !c.keeps || out.proto == "HTTP/1.0" {
		defer c.close()
	}
	out.daemon, out.sent = c.daemon, time.Now()
	defer func() { out.ended = time.Now() }()
	keep := false
	defer func() {
		if !keep {
			c.close()
		}
	}()
	if err := c.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return out
	}
	if _, err := fmt.Fprintf(c.conn, "POST /%s/x %s\r\nHost: %s\r\nX-Lupinkeel-Request-Id: %s\r\nX-Lupinkeel-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n%s",
		k, out.proto, host, out.id, firstKey, extra, len(out.body), out.body); err != nil {
		return out
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		return out
	}
	defer resp.Body.Close()
	if out.status = resp.StatusCode; out.status < 200 || out.status > 599 {
		out.violation = fmt.Sprintf("status %03d", out.status)
		return out
	}
	out.framing = strings.Join(resp.TransferEncoding, ",")
	if resp.ContentLength >= 0 {
		out.framing = "length"
	}
	body, err := io.ReadAll(c.slow(resp.Body))
	out.answered = err == nil
	keep = err == nil && (!resp.Close || c.keeps && out.framing != "")
	c.check(&out, string(body), resp.Header.Get("X-Lupinkeel-Request-Id"), err == nil)
	if out.violation == "" && keep && c.br.Buffered() > 0 {
		out.violation = "bytes follow the response"
	}
	return out
}

// check notes what the body of a success holds, and whether it looks complete.
func (c *rawCaller) check(out *rawReply, body, id string, complete bool) {
	if out.status != http.StatusOK {
		return
	}
	out.complete = complete
	switch stream := out.kind == kindStream || out.kind == kindSingleStream; {
	case id != out.id:
		out.violation = fmt.Sprintf("the response is one to %q", id)
	case stream:
		out.events = strings.Count(body, "\n\n")
		out.violation = checkEvents(body, out.id, out.after, false)
		out.early = checkEvents(body, out.id, out.after, complete)
	case !strings.HasPrefix("answer to "+out.id, body):
		out.violation = fmt.Sprintf("the response is %q", body)
	case complete && body != "answer to "+out.id:
		out.early = fmt.Sprintf("the response is complete with %q", body)
	}
}

// slow returns a reader that at times reads slowly.
func (c *rawCaller) slow(r io.Reader) io.Reader {
	if c.r.IntN(4) > 0 {
		return r
	}
	return slowReader{r, between(c.r, time.Millisecond, 30*time.Millisecond)}
}

// slowReader reads a few bytes at a time.
type slowReader struct {
	io.Reader
	pause time.Duration
}

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Reader.Read(p[:min(len(p), 16)])
}

// checkReply returns what is wrong with a reply, given what the instances did.
func (s *site) checkReply(r rawReply) string {
	runs := s.pool.RunCount(models.RequestID(r.id))
	promised := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, r.status)
	switch {
	case r.violation != "":
		return r.violation
	case promised && runs > 0:
		return fmt.Sprintf("status %d, but it ran", r.status)
	case !promised && r.status >= 400 && r.status < 500:
		return fmt.Sprintf("status %d", r.status)
	case (r.kind == kindNonIdempotent || r.kind == kindSingleStream) && runs > 1:
		return fmt.Sprintf("it ran %d times", runs)
	case r.complete && runs == 0 && r.after < profile.Events:
		return "it is complete but never ran"
	case r.early != "" && !s.endedSo(r):
		return r.early
	}
	return ""
}

// endedSo reports whether an instance closed the connection of its response where the caller's ends, so that
// nothing shows the end to be early, and the caller's response does not claim otherwise.
func (s *site) endedSo(r rawReply) bool {
	if r.kind == kindStream || r.framing != "" {
		return false
	}
	return slices.ContainsFunc(s.pool.Ends(models.RequestID(r.id)), func(e replica.End) bool {
		return e.Kind == replica.EndClosed && e.Unframed && e.LastEvent == r.events
	})
}
