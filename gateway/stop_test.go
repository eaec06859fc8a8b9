package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/lib/task"
)

const (
	stopGrace  = 6 * time.Second
	stopConfig = `{"Version":1,"Routes":[
{"Name":"once","Host":"api.example","PathPrefix":"/once/","RouteType":"non_idempotent","TimeoutMs":20000,"TargetLatencyMs":150,"Service":"plain","MaxAttempts":2},
{"Name":"long-once","Host":"api.example","PathPrefix":"/long-once/","RouteType":"non_idempotent","TimeoutMs":20000,"TargetLatencyMs":2000,"Service":"plain","MaxAttempts":2},
{"Name":"long-again","Host":"api.example","PathPrefix":"/long-again/","RouteType":"idempotent","TimeoutMs":20000,"TargetLatencyMs":2000,"Service":"plain","MaxAttempts":2},
{"Name":"stream","Host":"api.example","PathPrefix":"/stream/","RouteType":"streaming","TimeoutMs":20000,"TargetLatencyMs":400,"Service":"engines","MaxAttempts":2,"StreamResume":false,"gap_aim_ms":20000},
{"Name":"queued-stream","Host":"api.example","PathPrefix":"/queued-stream/","RouteType":"streaming","TimeoutMs":60000,"TargetLatencyMs":60000,"Service":"engines","MaxAttempts":2,"StreamResume":false,"gap_aim_ms":20000}],
"Services":[{"Name":"plain","MaxConnections":10},
{"Name":"engines","MaxConnections":10,"Engine":{"Slots":8,"step_ms":8,"per_seq_ms":0.1,"read_per_s":40000,"chunk":2048,"stride":5,"loads_per_s":5,"loads_at_once":7,"form_ms":300,"Models":[{"Name":"big","size":1,"share":1,"pace":1,"load_s":16,"WarmS":1.6}]}}],
"Limits":{"MaxBodyBytes":1000}}`
)

// TestLateRequestsAreCutAtTheEndOfAPlannedStop guards against requests that are passed on although the
// planned stop leaves no time for them, and against connections that are closed without an answer.
func TestLateRequestsAreCutAtTheEndOfAPlannedStop(t *testing.T) {
	c := qt.New(t)
	script, err := os.ReadFile("testdata/planned_stop.txt")
	c.Assert(err, qt.IsNil)
	s := startStopping(c)
	var calls sync.WaitGroup
	cases := lines(string(script))
	got := make([]string, len(cases))
	for n, line := range cases {
		calls.Go(func() { got[n] = s.play(line) })
	}
	time.Sleep(time.Until(s.begun))
	s.stop()
	calls.Wait()
	c.Assert(task.Wait(s.running), qt.IsNil)
	for n, line := range cases {
		name, _, _ := strings.Cut(line, " ")
		_, want, _ := strings.Cut(line, "want=")
		c.Check(got[n], qt.Equals, want, qt.Commentf("%s", name))
	}
	c.Assert(len(cases) > 0, qt.IsTrue)
	c.Check(s.instance.late, qt.HasLen, 0)
}

// stopping is a gateway that begins its planned stop after a while.
type stopping struct {
	addr     string
	begun    time.Time
	stop     context.CancelFunc
	running  task.Task
	instance *stopInstance
}

// startStopping runs a gateway with an instance of each service.
func startStopping(c *qt.C) *stopping {
	s := &stopping{begun: time.Now().Add(2 * time.Second)}
	s.instance = &stopInstance{stopped: s.begun.Add(stopGrace), received: map[string]int{}}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	server := &http.Server{Handler: s.instance}
	instances := []*fakeInstance{{name: "p1"}, {name: "p2"}, {name: "g1"}, {name: "g2"}}
	for _, i := range instances {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		i.l = l
		serving := task.Start(ctx, i.name, func(context.Context) error { return serveOn(server, l) })
		c.Cleanup(func() { c.Check(errors.Join(server.Close(), task.Wait(serving)), qt.IsNil) })
	}
	cfg := Settings{
		Listen: freeAddr(c), Ready: freeAddr(c), StopGrace: stopGrace,
		MaxKeysProofAge: time.Minute, MaxConfigAge: time.Minute, RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second, FirstStart: true,
	}
	s.addr = cfg.Listen.String()
	node := newFakeNode(c, stopConfig, instances)
	clock := task.Start(ctx, "clock", node.clock.Run)
	s.running = task.Start(ctx, "gateway", New(cfg, node, newScheduler(), metrics.NewSet(), zerolog.Nop()).Run)
	c.Cleanup(func() {
		stop()
		c.Check(task.Wait(clock, s.running), qt.IsNil)
	})
	return s
}

// freeAddr returns an address of which nothing listens.
func freeAddr(c *qt.C) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// lateCaller is a caller of a stopping gateway.
type lateCaller struct {
	path string
	// connect, head and body are when it connects, and sends the last bytes of head and body. body is
	// zero if it does not send the last one.
	connect, head, body time.Time
	// answer is how long the instance takes. rejects is set if it does not run the request.
	answer  string
	rejects bool
}

// play sends the request of a line and describes what the caller gets.
func (s *stopping) play(line string) string {
	var l lateCaller
	words := strings.Fields(line)
	times := map[string]*time.Time{"connect": &l.connect, "head": &l.head, "body": &l.body}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		d, err := time.ParseDuration(value)
		at := times[name]
		switch {
		case at != nil && err == nil:
			*at = s.begun.Add(d)
		case name == "answer", name == "reject":
			l.answer, l.rejects = value, name == "reject"
		case strings.HasPrefix(name, "/"):
			l.path = name
		}
	}
	time.Sleep(time.Until(l.connect))
	conn, err := net.Dial("tcp4", s.addr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	if strings.HasPrefix(words[0], "idle_connection") {
		if _, err := s.send(conn, r, lateCaller{path: "/once/first", answer: "0s", body: l.connect}); err != nil {
			return err.Error()
		}
	}
	resp, err := s.send(conn, r, l)
	return s.describe(l.path, resp, err)
}

// send sends a request in pieces, and returns the response with its body read.
func (s *stopping) send(conn net.Conn, r *bufio.Reader, l lateCaller) (*http.Response, error) {
	model := "big"
	if strings.HasPrefix(l.path, "/queued") {
		model = "absent"
	}
	head := fmt.Sprintf("POST %[1]s HTTP/1.1\r\nHost: api.example\r\nX-Lupinkeel-Request-Id: %[1]s\r\nX-Lupinkeel-Model: %s\r\nTest-Answer: %s\r\nTest-Rejects: %t\r\nContent-Length: 2\r\n\r\n", l.path, model, l.answer, l.rejects)
	pieces := []struct {
		at   time.Time
		text string
	}{{l.connect, head[:10]}, {l.head, head[10:] + "x"}, {l.body, "y"}}
	if strings.HasPrefix(l.path, "/once/3") || strings.HasPrefix(l.path, "/once/4") {
		// Nothing is sent on this connection before.
		pieces[0].text, pieces[1].text = "", head+"x"
	}
	for _, piece := range pieces {
		if piece.text == "y" && l.body.IsZero() {
			break
		}
		time.Sleep(time.Until(piece.at))
		if _, err := io.WriteString(conn, piece.text); err != nil {
			return nil, err
		}
	}
	if err := conn.SetReadDeadline(s.begun.Add(2 * stopGrace)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp, err
}

// describe names what the caller of a request got, as the script does.
func (s *stopping) describe(path string, resp *http.Response, err error) string {
	received := s.instance.receivedCount(path)
	switch {
	case resp == nil && received > 0:
		return fmt.Sprintf("passed on, and no answer: %v", err)
	case resp == nil:
		return "closed"
	case err != nil:
		return "broken"
	}
	got := strconv.Itoa(resp.StatusCode)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" && received == 0 {
		got = "not-run"
	}
	if resp.Close {
		got += "+close"
	}
	if received > 1 {
		got += fmt.Sprintf("x%d", received)
	}
	return got
}

// stopInstance is an instance that answers when the request says so.
type stopInstance struct {
	// stopped is when the gateway has stopped at the latest.
	stopped time.Time

	mu       sync.Mutex
	received map[string]int
	// late holds the requests, received during the stop, whose deadlines end after it.
	late []string
}

func (i *stopInstance) receivedCount(path string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.received[path]
}

// ServeHTTP answers after the time in Test-Answer, or rejects the request then. The stream "endless" sends events until its caller
// leaves.
func (i *stopInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i.note(r)
	wait, err := time.ParseDuration(r.Header.Get("Test-Answer"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(wait):
	}
	w.Header().Set("X-Lupinkeel-Request-Id", r.Header.Get("X-Lupinkeel-Request-Id"))
	if r.Header.Get("Test-Rejects") == "true" {
		w.Header().Set("X-Lupinkeel-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Lupinkeel-Response-Stamp", "s")
	for n := 1; strings.HasSuffix(r.URL.Path, "/endless"); n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// note records a request.
func (i *stopInstance) note(r *http.Request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.received[r.URL.Path]++
	left, err := strconv.Atoi(r.Header.Get("X-Lupinkeel-Deadline-Ms"))
	inStop := time.Now().After(i.stopped.Add(-stopGrace))
	if ends := time.Now().Add(time.Duration(left) * time.Millisecond); err != nil || (inStop && ends.After(i.stopped)) {
		i.late = append(i.late, fmt.Sprintf("%s has %d ms", r.URL.Path, left))
	}
}
