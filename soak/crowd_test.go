package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// crowdMemoryMB is the memory of a daemon that a crowd comes to. It is less than that of the users' small
	// daemons, so that a small crowd is enough.
	crowdMemoryMB = 64
	// crowdTime is how long a crowd stays at least, crowdBound within what time others must be answered.
	crowdTime  = 2 * time.Second
	crowdBound = 10 * time.Second
	// crowdRetryInterval is the time after which a caller that was refused tries again.
	crowdRetryInterval = 100 * time.Millisecond
	// ordinaryBytes is the length of an ordinary request's body, ordinaryTimeout how long its caller waits.
	ordinaryBytes   = 1000
	ordinaryTimeout = 3 * time.Second
)

// errNotServed is returned if a request within the limits is not served.
var errNotServed = errors.New("a request within the limits was not served")

// TestCrowds guards against callers that don't behave: a daemon must stay within its memory and descriptors,
// and answer others during that and afterwards.
func TestCrowds(t *testing.T) {
	c := qt.New(t)
	bin := binary(t)
	s := startInstances(t, profile)
	s.logs = t.TempDir()
	for range extraPlainInstances {
		s.add("plain", "")
	}
	s.version++
	s.store.Put("op", "config", fmt.Appendf(nil, crowdConfig(), s.version, firstKey))
	for _, crowd := range readCrowds(c) {
		t.Run(crowd.name, func(t *testing.T) { testCrowd(t, s, bin, crowd) })
	}
	c.Check(s.pool.Violations(), qt.HasLen, 0)
}

// crowdConfig is configText with all limits, and with a route whose requests may take long.
func crowdConfig() string {
	return strings.NewReplacer(
		`"Routes":[`, `"Routes":[{"Name":"slow","Host":"api.example","PathPrefix":"/slow/","RouteType":"idempotent","TimeoutMs":20000,"TargetLatencyMs":20000,"Service":"plain","MaxAttempts":2},`,
		`"Limits":{"MaxBodyBytes":100000}`, `"Limits":{"MaxBodyBytes":100000,"MaxHeaderBytes":16384,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000}`,
	).Replace(configText)
}

func testCrowd(t *testing.T, s *site, bin string, crowd crowd) {
	c := qt.New(t)
	d := s.newDaemon(bin, 0)
	d.flags = append(d.flags, "--memory", strconv.Itoa(crowdMemoryMB))
	// A process raises its own limit up to the one that it inherits.
	d.flags = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, crowd.descriptors), "sh"}, d.flags...)
	d.start(t)
	t.Cleanup(d.kill)
	p := &promises{}
	o := &others{daemon: d, promises: p, client: &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	c.Assert(o.awaitServed(), qt.IsTrue, qt.Commentf("not served before the crowd"))
	usual := peakOf(d)

	m := &members{daemon: d, promises: p}
	served, checked := true, true
	descriptors := mostDescriptors(d, func() {
		ctx, leave := context.WithCancel(context.Background())
		tasks := m.start(ctx, crowd)
		if !slices.ContainsFunc(crowd.groups, crowdGroup.isLegal) {
			time.Sleep(crowdTime)
			if crowd.beside {
				served, checked = o.awaitServed(), o.awaitChecked(func(int) bool { return true })
			}
			leave()
		}
		c.Check(task.Wait(tasks...), qt.IsNil)
		leave()
	})
	servedAfter := o.awaitServed()
	readyAfter := o.awaitChecked(func(status int) bool { return status == http.StatusOK })
	peak := peakOf(d)
	t.Logf("usually %d MB, at most %d MB and %d descriptors; beside it served %t, checked %t; after it served %t, ready %t",
		usual>>20, peak>>20, descriptors, served, checked, servedAfter, readyAfter)
	c.Check(peak > 0, qt.IsTrue, qt.Commentf("the daemon has ended"))
	c.Check(peak <= crowdMemoryMB<<20, qt.IsTrue, qt.Commentf("%d MB of memory", peak>>20))
	c.Check(descriptors < crowd.descriptors, qt.IsTrue, qt.Commentf("%d descriptors", descriptors))
	c.Check(served, qt.IsTrue, qt.Commentf("an ordinary request beside the crowd"))
	c.Check(checked, qt.IsTrue, qt.Commentf("a readiness check beside the crowd"))
	c.Check(servedAfter, qt.IsTrue, qt.Commentf("an ordinary request after the crowd"))
	c.Check(readyAfter, qt.IsTrue, qt.Commentf("a readiness check after the crowd"))
	c.Check(append(p.broken(s), o.violations...), qt.HasLen, 0)
}

// others are callers that behave, and the load balancer.
type others struct {
	daemon   *daemon
	client   *http.Client
	promises *promises
	// violations holds answers that must never occur.
	violations []string
}

// awaitServed sends ordinary requests until one is served, and reports whether that was in time.
func (o *others) awaitServed() bool {
	for until := time.Now().Add(crowdBound); time.Now().Before(until); time.Sleep(crowdRetryInterval) {
		r := newRequest(kindNonIdempotent, "")
		r.body = strings.Repeat("b", ordinaryBytes)
		reply := send(o.client, o.daemon.addr, r)
		o.promises.note(r.id, reply.status)
		if reply.status == http.StatusOK && reply.violation != "" {
			o.violations = append(o.violations, reply.violation)
		}
		if reply.complete {
			return true
		}
	}
	return false
}

// awaitChecked sends readiness checks until one has an accepted status, and reports whether that was in time.
func (o *others) awaitChecked(accepted func(status int) bool) bool {
	for until := time.Now().Add(crowdBound); time.Now().Before(until); time.Sleep(crowdRetryInterval) {
		resp, err := o.client.Get("http://" + o.daemon.readyAddr() + platform.ReadyPath)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if accepted(resp.StatusCode) {
			return true
		}
	}
	return false
}

// readyAddr is where the daemon answers readiness checks.
func (d *daemon) readyAddr() string { return d.flags[slices.Index(d.flags, "--ready")+1] }

// isLegal reports whether the group's requests must be served.
func (g crowdGroup) isLegal() bool { return slices.Contains(g.steps, crowdStep(expectServed{})) }

// promises holds the requests whose status promised that they were not run.
type promises struct {
	mu      sync.Mutex
	refused []models.RequestID
}

// note notes the status of a request.
func (p *promises) note(id string, status int) {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.refused = append(p.refused, models.RequestID(id))
	}
}

// broken returns the requests that ran nevertheless.
func (p *promises) broken(s *site) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, id := range p.refused {
		if s.pool.RunCount(id) > 0 {
			out = append(out, fmt.Sprintf("%s was refused as not run, but ran", id))
		}
	}
	return out
}

// members are the connections of a crowd.
type members struct {
	daemon   *daemon
	promises *promises
}

// start starts the connections of a crowd, which last until the context ends.
func (m *members) start(ctx context.Context, crowd crowd) []task.Task {
	var tasks []task.Task
	for _, group := range crowd.groups {
		addr := m.daemon.addr
		if group.ready {
			addr = m.daemon.readyAddr()
		}
		for range group.count {
			tasks = append(tasks, task.Start(ctx, crowd.name, func(ctx context.Context) error { return m.run(ctx, addr, group) }))
		}
	}
	return tasks
}

// run is one connection. The daemon may refuse or close it at any time.
func (m *members) run(ctx context.Context, addr string, group crowdGroup) error {
	conn, err := dialUntil(ctx, addr)
	if err != nil {
		// The daemon refused the connection for as long as the crowd stayed.
		return nil
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	id := newRequest(kindNonIdempotent, "").id
	for _, step := range group.steps {
		if err := m.runStep(ctx, conn, id, step); err != nil {
			if group.isLegal() {
				return fmt.Errorf("%w: %w", errNotServed, err)
			}
			return nil
		}
	}
	if !group.isLegal() {
		<-ctx.Done()
	}
	return nil
}

// dialUntil connects. While that fails, it tries again.
func dialUntil(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	for {
		conn, err := dialer.DialContext(ctx, "tcp4", addr)
		if err == nil {
			return conn, nil
		}
		if pause(ctx, crowdRetryInterval) != nil {
			return nil, err
		}
	}
}

// pause waits, and returns an error if the context ends before.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (m *members) runStep(ctx context.Context, conn net.Conn, id string, step crowdStep) error {
	var err error
	switch step := step.(type) {
	case setWindow:
		err = conn.(*net.TCPConn).SetReadBuffer(step.bytes)
	case sendHead:
		_, err = io.WriteString(conn, step.text(id))
	case sendText:
		_, err = io.WriteString(conn, step.text)
	case sendPieces:
		for n := 0; n < step.count && err == nil; n++ {
			if _, err = io.WriteString(conn, step.text); err == nil {
				err = pause(ctx, step.interval)
			}
		}
	case sendAhead:
		w := bufio.NewWriter(conn)
		for n := 0; n < step.count && err == nil; n++ {
			_, err = w.WriteString(step.text(newRequest(kindNonIdempotent, "").id) + "\r\n")
		}
		err = errors.Join(err, w.Flush())
	case sendPair:
		_, err = io.WriteString(conn, step.text(newRequest(kindNonIdempotent, "").id)+"\r\n"+step.sendHead.text(id)+
			shortFields(step.fields)+"Content-Length: 2\r\n\r\nb")
	case readAll:
		err = m.readRefusal(conn, id)
	case readSlowly:
		for one := make([]byte, 1); err == nil; {
			if _, err = conn.Read(one); err == nil {
				err = pause(ctx, step.interval)
			}
		}
	case expectServed:
		err = readServed(conn, id)
	}
	return err
}

// text returns the head of a request with this id.
func (h sendHead) text(id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Lupinkeel-Request-Id: %s\r\n", h.method, h.path, host, firstKey, id)
}

// shortFields returns fields of a head that are short and have different names.
func shortFields(count int) string {
	var text strings.Builder
	for n := range count {
		fmt.Fprintf(&text, "%s:\r\n", strconv.FormatInt(int64(n), 36))
	}
	return text.String()
}

// readRefusal reads until the connection is closed, and notes whether the request was refused.
func (m *members) readRefusal(conn net.Conn, id string) error {
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	m.promises.note(id, resp.StatusCode)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, r)
	return err
}

// readServed reads an answer, and returns an error unless it is the instance's.
func readServed(conn net.Conn, id string) error {
	if err := conn.SetReadDeadline(time.Now().Add(crowdBound)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || string(body) != "answer to "+id {
		return fmt.Errorf("status %d: %q", resp.StatusCode, body)
	}
	return nil
}

// peakOf returns the most bytes that a daemon has had in memory, or 0 if it has exited. The kernel keeps this
// figure, so that no short peak is missed.
func peakOf(d *daemon) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(text, []byte("VmHWM:"))
	var kilobytes int64
	if _, err := fmt.Sscan(string(rest), &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}

// mostDescriptors returns the most descriptors that a daemon had open while a function ran.
func mostDescriptors(d *daemon, run func()) (most int) {
	ctx, cancel := context.WithCancel(context.Background())
	counting := task.Start(ctx, "descriptors", func(ctx context.Context) error {
		for {
			// If the daemon has exited, it has none.
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
			most = max(most, len(entries))
			if err := pause(ctx, memoryInterval); err != nil {
				return err
			}
		}
	})
	run()
	cancel()
	// It only ends because of the context.
	_ = task.Wait(counting)
	return most
}
