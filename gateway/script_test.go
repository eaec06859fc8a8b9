package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/ratelimit"
)

// TestScripts runs the archives in testdata. The file "config" holds the configuration as the
// platform's store does. A file named as an instance holds what that instance does with its
// connections, step by step:
//
//	read            reads a request and records it; a connection that closes without
//	                a byte is a probe and is skipped
//	send TEXT       sends a text; \r, \n and \t are escapes
//	head STATUS     sends the head of a signed response to the last request
//	event N         sends the event with this ID, as a chunk
//	end             ends a chunked body
//	wait DURATION   waits
//	close, reset    closes the connection; the next step accepts a new one
//
// Instances whose names begin with "g" are heads of groups of model "big", the others are of the
// plain service. "busy" holds lines of an instance and how many requests other daemons have there.
// "restarted" names instances that are known to have restarted since their groups were published.
// "base" holds lines of a model and its base latency, which is unknown for others.
// "unreachable" names instances that refuse connections. "retries" is how many retries the budget
// allows; there are plenty if it is not given. "settle" is how long the gateway reports no stalled groups.
// "stop" holds when the daemon's planned stop begins, counted from the first request, and its grace. "ask"
// holds requests, one per line:
//
//	[@DELAY | @running=N | @queued=N] METHOD PATH [NAME=VALUE...]
//
// A request with a delay is sent that long after the first of those with delays could be, and one with
// a count once instances have received, or queues hold, that many requests. The next ones don't wait for
// the response of either.
//
// "want" holds the response to each, then the requests that the instances received, then the groups
// that were reported as stalled. The response to HEAD is shown with its length, and one that ends with
// its connection with framing=close.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) { runScript(t, file) })
	}
}

// scriptTimeout bounds the time for which an instance waits for a request.
const scriptTimeout = 10 * time.Second

// fakeNode is a Node that does not change while a script runs.
type fakeNode struct {
	view  *cluster.View
	clock *timer.Service
	// peerRequests holds how many requests other daemons have at instances.
	peerRequests map[models.InstanceID]int
	quarantine   *cluster.Quarantine
	// limits are empty if nil; permit answers RequestPermit.
	limits *cluster.Limits
	// breakers are closed if nil.
	breakers *cluster.Breakers
	permit   func(ratelimit.PermitRequest) (ratelimit.Grant, error)

	mu      sync.Mutex
	stalled []models.InstanceID
}

func (f *fakeNode) View() *cluster.View     { return f.view }
func (f *fakeNode) LoadsAge() time.Duration { return f.view.LoadsAge() }
func (f *fakeNode) Clock() *timer.Service   { return f.clock }

// SetOverloaded does nothing.
func (f *fakeNode) SetOverloaded(bool) {}

// Hangs returns false.
func (f *fakeNode) Hangs() bool { return false }

// CheckPath does nothing.
func (f *fakeNode) CheckPath(context.Context, netip.AddrPort) {}

// DialInstance connects over TCP.
func (f *fakeNode) DialInstance(ctx context.Context, addr netip.AddrPort) (h1.Conn, error) {
	return h1.Direct(dialTimeout)(ctx, addr)
}

// Quarantine returns the test's quarantine, or an empty one.
func (f *fakeNode) Quarantine() *cluster.Quarantine {
	if f.quarantine == nil {
		return emptyQuarantine()
	}
	return f.quarantine
}

// Limits returns the test's limits, or empty ones.
func (f *fakeNode) Limits() *cluster.Limits {
	if f.limits == nil {
		return emptyLimits()
	}
	return f.limits
}

// emptyLimits returns limits of which no instance has announced any.
func emptyLimits() *cluster.Limits {
	return cluster.NewLimits("d1", func() {}, metrics.NewSet(), zerolog.Nop())
}

// Breakers returns the test's breakers, or closed ones.
func (f *fakeNode) Breakers() *cluster.Breakers {
	if f.breakers == nil {
		return closedBreakers()
	}
	return f.breakers
}

// closedBreakers returns breakers that are all closed.
func closedBreakers() *cluster.Breakers {
	return cluster.NewBreakers(func() {}, metrics.NewSet(), zerolog.Nop())
}

// RequestPermit calls the test's permit function; without one there is no granter.
func (f *fakeNode) RequestPermit(_ context.Context, _ models.Zone, ask ratelimit.PermitRequest) (ratelimit.Grant, error) {
	if f.permit == nil {
		return ratelimit.Grant{}, cluster.ErrNoGranter
	}
	return f.permit(ask)
}

// emptyQuarantine returns a quarantine without any crash.
func emptyQuarantine() *cluster.Quarantine {
	return cluster.NewQuarantine(func() {}, metrics.NewSet(), zerolog.Nop())
}

// PeersLoad returns a load that grows with the number at the end of the instance's name, by far
// more than random placement varies, so that the order in which instances are tried is known.
func (f *fakeNode) PeersLoad(id models.InstanceID) cluster.Load {
	const tokens = 1_000_000
	nth := int(id[len(id)-1] - '1')
	return cluster.Load{Requests: nth + f.peerRequests[id], PrefillTokens: nth * tokens}
}

func (f *fakeNode) ReportStalled(_ models.GroupKey, h models.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalled = append(f.stalled, h)
}

// fakeInstance is an upstream that executes the steps of a script.
type fakeInstance struct {
	name     string
	l        net.Listener
	steps    []string
	mu       sync.Mutex
	requests []string
	done     chan error
}

func runScript(t *testing.T, file string) {
	c := qt.New(t)
	archive, err := txtar.ParseFile(file)
	c.Assert(err, qt.IsNil)
	parts := map[string]string{}
	var instances []*fakeInstance
	for _, f := range archive.Files {
		parts[f.Name] = string(f.Data)
		if f.Name == "config" || f.Name == "settle" || f.Name == "busy" || f.Name == "base" || f.Name == "restarted" || f.Name == "unreachable" || f.Name == "retries" || f.Name == "stop" || f.Name == "ask" || f.Name == "want" {
			continue
		}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		i := &fakeInstance{name: f.Name, l: l, steps: lines(string(f.Data)), done: make(chan error, 1)}
		go func() { i.done <- i.serve() }()
		instances = append(instances, i)
	}
	node := newFakeNode(c, parts["config"], instances)
	node.peerRequests = map[models.InstanceID]int{}
	for _, line := range lines(parts["busy"]) {
		var id models.InstanceID
		var requests int
		_, err := fmt.Sscan(line, &id, &requests)
		c.Assert(err, qt.IsNil)
		node.peerRequests[id] = requests
	}
	for _, line := range lines(parts["restarted"]) {
		u := node.view.Instances[models.InstanceID(line)]
		u.StartedAt = u.StartedAt.Add(time.Second)
		node.view.Instances[u.ID] = u
	}
	for _, i := range instances {
		if slices.Contains(lines(parts["unreachable"]), i.name) {
			c.Assert(i.l.Close(), qt.IsNil)
		}
	}
	cfg := Settings{MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, FirstStart: true}
	if settle, given := parts["settle"]; given {
		cfg.StallReportDelay, err = time.ParseDuration(lines(settle)[0])
		c.Assert(err, qt.IsNil)
	}
	if retries, given := parts["retries"]; given {
		cfg.RetryRatio = 0
		cfg.RetrySlack, err = strconv.ParseFloat(lines(retries)[0], 64)
		c.Assert(err, qt.IsNil)
	}
	var stopAfter time.Duration
	if stop, given := parts["stop"]; given {
		after, grace, _ := strings.Cut(lines(stop)[0], " ")
		stopAfter, err = time.ParseDuration(after)
		c.Assert(err, qt.IsNil)
		cfg.StopGrace, err = time.ParseDuration(grace)
		c.Assert(err, qt.IsNil)
		cfg.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	g := New(cfg, node, newScheduler(), metrics.NewSet(), zerolog.Nop())
	front := newFront(g)
	if cfg.StopGrace > 0 {
		front = newEntrance(c, g)
	}
	defer front.Close()
	for _, line := range lines(parts["base"]) {
		name, base, _ := strings.Cut(line, " ")
		d, err := time.ParseDuration(base)
		c.Assert(err, qt.IsNil)
		g.scheduler.observeBase(models.ServedModel{Service: "engines", Model: models.ModelName(name)}, d)
	}
	var stopping sync.WaitGroup
	if cfg.StopGrace > 0 {
		stopping.Go(func() {
			time.Sleep(stopAfter)
			g.shutdown()
		})
	}
	got := sendRequests(c, front.URL, lines(parts["ask"]), map[string]func() int{
		"@running": func() int {
			n := 0
			for _, i := range instances {
				i.mu.Lock()
				n += len(i.requests)
				i.mu.Unlock()
			}
			return n
		},
		"@queued": func() int { return g.queues.length("big") },
	})
	stopping.Wait()
	for _, i := range instances {
		i.l.Close()
		c.Assert(<-i.done, qt.IsNil)
		for _, request := range i.requests {
			got = append(got, i.name+" "+request)
		}
	}
	for _, h := range node.stalled {
		got = append(got, "stalled "+string(h))
	}
	c.Assert(got, qt.DeepEquals, lines(parts["want"]))
}

// newFront returns a started server for a gateway's callers.
func newFront(g *Gateway) *httptest.Server {
	front := httptest.NewUnstartedServer(http.HandlerFunc(g.serve))
	front.Config.ConnContext = withCallerConn
	front.Start()
	return front
}

// newEntrance is newFront for a gateway that stops, whose listener it uses.
func newEntrance(c *qt.C, g *Gateway) *httptest.Server {
	c.Assert(g.entrance.Open(), qt.IsNil)
	front := httptest.NewUnstartedServer(http.HandlerFunc(g.serve))
	c.Assert(front.Listener.Close(), qt.IsNil)
	front.Listener = g.entrance
	front.Config.ConnState, front.Config.ConnContext = g.entrance.ConnState, withCallerConn
	front.Start()
	return front
}

func newFakeNode(c *qt.C, config string, instances []*fakeInstance) *fakeNode {
	routing, err := platform.DecodeRouting([]byte(config))
	c.Assert(err, qt.IsNil)
	v := &cluster.View{
		Routing: routing, ConfirmedAt: time.Now(), Groups: map[models.ServedModel][]cluster.Group{},
		Services: map[models.ServiceName][]models.UpstreamInstance{}, Daemons: 1,
		Instances: map[models.InstanceID]models.UpstreamInstance{},
	}
	for _, i := range instances {
		u := models.UpstreamInstance{
			ID: models.InstanceID(i.name), StartedAt: time.Unix(1, 0), Addr: netip.MustParseAddrPort(i.l.Addr().String()), Service: "plain",
		}
		v.Instances[u.ID] = u
		if !strings.HasPrefix(i.name, "g") {
			v.Services["plain"] = append(v.Services["plain"], u)
			continue
		}
		u.Service = "engines"
		big := models.ServedModel{Service: "engines", Model: "big"}
		v.Groups[big] = append(v.Groups[big], cluster.Group{Key: models.GroupKey{Name: models.GroupID(i.name), Epoch: 1}, Model: "big", Service: "engines", Head: u})
	}
	return &fakeNode{view: v, clock: timer.New(time.Now()), quarantine: emptyQuarantine(), breakers: closedBreakers()}
}

func lines(text string) []string {
	var out []string
	for line := range strings.SplitSeq(text, "\n") {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	return out
}

// sendRequests sends requests, one after the other unless they have delays, and describes the
// responses. In place of a delay, a condition such as @queued=2 waits for a count.
func sendRequests(c *qt.C, url string, asked []string, counts map[string]func() int) []string {
	got := make([]string, len(asked))
	var began time.Time
	var sent sync.WaitGroup
	for n, line := range asked {
		delay, request, _ := strings.Cut(line, " ")
		if !strings.HasPrefix(delay, "@") {
			got[n] = sendRequest(url, line)
			continue
		}
		if name, want, found := strings.Cut(delay, "="); found {
			c.Assert(awaitCount(counts[name], want), qt.IsTrue, qt.Commentf("%s: the count is %d", line, counts[name]()))
			sent.Go(func() { got[n] = sendRequest(url, request) })
			continue
		}
		d, err := time.ParseDuration(delay[1:])
		c.Assert(err, qt.IsNil)
		if began.IsZero() {
			began = time.Now()
		}
		sent.Go(func() {
			time.Sleep(d - time.Since(began))
			got[n] = sendRequest(url, request)
		})
	}
	sent.Wait()
	return got
}

// awaitCount waits until a count has a value.
func awaitCount(count func() int, want string) bool {
	for end := time.Now().Add(scriptTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if fmt.Sprint(count()) == want {
			return true
		}
	}
	return false
}

// sendRequest sends one request and describes the response.
func sendRequest(url, line string) string {
	words := strings.Fields(line)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, words[0], url+words[1], nil)
	if err != nil {
		return err.Error()
	}
	r.Host = "api.example"
	for _, w := range words[2:] {
		name, value, _ := strings.Cut(w, "=")
		switch name {
		case "body":
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(value)), int64(len(value))
		case "id":
			r.Header.Set("X-Lupinkeel-Request-Id", value)
		case "key":
			r.Header.Set("Authorization", "Token "+value)
		case "model":
			r.Header.Set("X-Lupinkeel-Model", value)
		case "after":
			r.Header.Set("Last-Event-Id", value)
		case "deadline":
			r.Header.Set("X-Lupinkeel-Deadline-Ms", value)
		}
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	text := fmt.Sprintf("%d %s", resp.StatusCode, strings.ReplaceAll(string(body), "\n", `\n`))
	if stamp := resp.Header.Get("X-Lupinkeel-Response-Stamp"); stamp != "" {
		text += " by " + stamp
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && words[0] != http.MethodHead {
		text += " framing=close"
	}
	if err != nil {
		text += " cut"
	}
	if words[0] == http.MethodHead {
		text += fmt.Sprintf(" length=%d", resp.ContentLength)
	}
	return strings.TrimSpace(text)
}

func (i *fakeInstance) note(line string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.requests = append(i.requests, line)
}

func (i *fakeInstance) serve() error {
	var conn *net.TCPConn
	var r *bufio.Reader
	id := ""
	for _, step := range i.steps {
		for conn == nil {
			accepted, err := i.l.Accept()
			if err != nil {
				return nil
			}
			conn = accepted.(*net.TCPConn)
			defer conn.Close()
			// A request that never comes must not block the script.
			_ = conn.SetReadDeadline(time.Now().Add(scriptTimeout))
			r = bufio.NewReader(conn)
			if _, err := r.Peek(1); step == "read" && errors.Is(err, io.EOF) {
				conn = nil
			}
		}
		verb, text, _ := strings.Cut(step, " ")
		text = strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\t`, "\t").Replace(text)
		var err error
		switch verb {
		case "read":
			id, err = i.readRequest(r)
		case "send":
			_, err = io.WriteString(conn, text)
		case "head":
			_, err = fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\nX-Lupinkeel-Request-Id: %s\r\nX-Lupinkeel-Response-Stamp: %s\r\nTransfer-Encoding: chunked\r\n\r\n", text, id, i.name)
		case "event":
			event := fmt.Sprintf("id: %s\ndata: %s\n\n", text, i.name)
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		case "end":
			_, err = io.WriteString(conn, "0\r\n\r\n")
		case "wait":
			var d time.Duration
			d, err = time.ParseDuration(text)
			time.Sleep(d)
		case "close":
			err, conn = conn.Close(), nil
		case "reset":
			err, conn = errors.Join(conn.SetLinger(0), conn.Close()), nil
		default:
			return fmt.Errorf("unknown step %q", verb)
		}
		if err != nil && verb != "read" && verb != "event" && verb != "end" {
			return fmt.Errorf("%s: %s: %w", i.name, step, err)
		}
	}
	if conn != nil {
		// The gateway may close or keep the connection.
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = r.ReadByte()
	}
	return nil
}

// readRequest reads a request and records its main fields. It returns the request ID.
func (i *fakeInstance) readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		i.note("hears no request")
		return "", err
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return "", err
	}
	h := req.Header
	line := fmt.Sprintf("%s %s %s", req.Method, req.RequestURI, bytes.TrimSpace(body))
	for _, shown := range []struct{ label, name string }{
		{"for", "X-Lupinkeel-Tenant"}, {"after", "Last-Event-Id"}, {"key", "Authorization"}, {"expect", "X-Lupinkeel-Expect-Instance"},
	} {
		if v := h.Get(shown.name); v != "" {
			line += " " + shown.label + "=" + v
		}
	}
	i.note(strings.Join(strings.Fields(line), " "))
	return h.Get("X-Lupinkeel-Request-Id"), nil
}
