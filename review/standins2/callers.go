package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one attempt of a caller.
type request struct {
	id     string
	route  string
	daemon *daemon
	sent   time.Time
	// answered is when the attempt ended, zero if the caller gave up.
	answered time.Time
	status   int
	err      error
}

// requestSeq numbers the requests of all callers.
var requestSeq atomic.Int64

// callers send requests to daemons and keep their results.
type callers struct {
	s *site
	// chooseModel returns the model of a caller's turn, empty if it sends nothing; nil takes both in
	// turn.
	chooseModel func(turn int) string
	// route is the route of all requests, empty for the usual mix.
	route string
	// noPlain is set if callers send only streams.
	noPlain  bool
	deadline time.Duration
	stopped  chan struct{}
	wg       sync.WaitGroup

	mu   sync.Mutex
	done []request
}

func newCallers(s *site, deadline time.Duration) *callers {
	return &callers{s: s, deadline: deadline, stopped: make(chan struct{})}
}

// start lets a number of callers send requests to a daemon, each on a connection of its own that it
// keeps, with a pause between two requests. A caller whose request failed goes to another daemon that
// is ready.
func (c *callers) start(d *daemon, count int, pause time.Duration) { c.startStep(d, count, pause, 1) }

// startFixed is start for callers whose turn stays the same.
func (c *callers) startFixed(d *daemon, count int, pause time.Duration) {
	c.startStep(d, count, pause, 0)
}

func (c *callers) startStep(d *daemon, count int, pause time.Duration, step int) {
	for n := range count {
		c.wg.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
			defer transport.CloseIdleConnections()
			at := d
			for turn := n; ; turn += step {
				select {
				case <-c.stopped:
					return
				case <-time.After(pause):
				}
				if c.chooseModel != nil && c.chooseModel(turn) == "" {
					continue
				}
				if !c.send(transport, at, turn) {
					at = c.s.otherReady(at)
				}
			}
		})
	}
}

// stop ends the callers once their last requests have ended.
func (c *callers) stop() []request {
	close(c.stopped)
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done
}

// send sends one request and waits for the answer until the caller's deadline. It reports whether the
// request succeeded.
func (c *callers) send(transport http.RoundTripper, d *daemon, turn int) bool {
	r := request{id: fmt.Sprintf("r%08d", requestSeq.Add(1)), route: "brief", daemon: d}
	method, body := http.MethodPost, strings.Repeat("x", 700)
	switch {
	case c.route != "":
		r.route = c.route
	case c.noPlain:
	case turn%10 == 0:
		r.route = "ping"
	case turn%10 == 5:
		r.route, method, body = "pull", http.MethodGet, ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+"/"+r.route+"/x", bytes.NewReader([]byte(body)))
	if err != nil {
		c.s.note("not sent %s: %v", r.id, err)
		return false
	}
	req.Host = callerHost
	req.Header.Set("X-Lupinkeel-Request-Id", r.id)
	req.Header.Set("X-Lupinkeel-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+callerKey)
	if r.route == "brief" || r.route == "draft" {
		req.Header.Set("X-Lupinkeel-Model", c.model(turn))
		req.Header.Set("X-Lupinkeel-Token-Count", "674,100")
		req.Header.Set("X-Lupinkeel-Prefix-Hash", fmt.Sprintf("5c1e07a2:40,%08x:634", turn))
	}
	r.sent = time.Now()
	c.s.note("sent %s %s %s", r.id, r.route, d.name)
	r.status, r.err = roundTrip(transport, req)
	ended := time.Now()
	if !errors.Is(r.err, context.DeadlineExceeded) {
		r.answered = ended
	}
	c.s.note("answered %s status=%d after=%.3f err=%v", r.id, r.status, ended.Sub(r.sent).Seconds(), r.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = append(c.done, r)
	return r.err == nil && r.status == http.StatusOK
}

// roundTrip sends a request and reads the whole answer.
func roundTrip(transport http.RoundTripper, req *http.Request) (int, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// model returns the model of a turn.
func (c *callers) model(turn int) string {
	if c.chooseModel != nil {
		return c.chooseModel(turn)
	}
	return fmt.Sprintf("m%d", turn%2)
}
