//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lupinkeel/lupinkeel/standin/store"
)

const (
	frontPort, readyPort, peerPort, metricsPort = 8227, 8220, 7340, 9464
	serverPort, storePort                       = 8205, 8223
	heartbeat                                   = 1200 * time.Millisecond
	host                                        = "ficu95.example"
)

// site is a small deployment on loopback addresses.
type site struct {
	trouble bool
	began   time.Time
	prefix  string
	dir     string
	store   *store.Store
	stop    chan struct{}

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	servers []*server
	closed  bool
	// keys holds the key with which each request was sent, runs which server ran it and when.
	runs map[string]run
}

type run struct {
	server, tenant string
	at             time.Time
}

func newSite(record string, trouble bool) (*site, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{
		trouble: trouble, began: time.Now(), dir: dir, store: store.New(), stop: make(chan struct{}), record: f, runs: map[string]run{},
		prefix: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
	}
	return s, nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}

// secondsOf returns a time as the record shows it.
func (s *site) secondsOf(t time.Time) float64 { return t.Sub(s.began).Seconds() }

// close ends all processes.
func (s *site) close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.stop)
	s.mu.Unlock()
	for _, d := range s.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		_ = d.cmd.Wait()
	}
	for n, d := range s.daemons {
		if n < 3 || d.keepLog {
			s.note("log of %s: %s", d.name, d.notable())
		}
	}
	_ = os.RemoveAll(s.dir)
}

// ip returns the loopback address of a machine.
func (s *site) ip(n int) string { return fmt.Sprintf("%s.%d", s.prefix, n) }

// gate stands between one daemon and the store. While it is busy, the store turns the daemon away:
// a 503 means that nothing was done.
type gate struct {
	s    *site
	busy atomic.Bool
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := &gatedWriter{ResponseWriter: w, g: g}
	g.s.store.ServeHTTP(out, r)
}

// gatedWriter turns an answer that comes while the gate is busy into a 503: a long poll that was
// open when the store began to turn the daemon away.
type gatedWriter struct {
	http.ResponseWriter
	g       *gate
	decided bool
	refused bool
}

func (w *gatedWriter) decide() {
	if !w.decided {
		w.decided = true
		if w.refused = w.g.busy.Load(); w.refused {
			w.ResponseWriter.WriteHeader(http.StatusServiceUnavailable)
		}
	}
}

func (w *gatedWriter) WriteHeader(status int) {
	if w.decide(); !w.refused {
		w.ResponseWriter.WriteHeader(status)
	}
}

func (w *gatedWriter) Write(p []byte) (int, error) {
	if w.decide(); w.refused {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

// daemon is one process of the project.
type daemon struct {
	name, zone, ip string
	gate           *gate
	cmd            *exec.Cmd
	logPath        string
	keepLog        bool
}

func (d *daemon) signal(sig syscall.Signal) { _ = d.cmd.Process.Signal(sig) }

func (d *daemon) logText() string {
	data, _ := os.ReadFile(d.logPath)
	return string(data)
}

// maxSupplyLines is how many of the last lines about the supply of models are recorded.
const maxSupplyLines = 4

// notable returns the lines of the log about the configuration and the planner, and the last ones
// about the supply of models.
func (d *daemon) notable() string {
	var out, supply []string
	for line := range strings.SplitSeq(d.logText(), "\n") {
		if strings.Contains(line, "event=supply") {
			supply = append(supply, line)
		}
		for _, word := range []string{"config-", "planning-", "process-paused", "store-"} {
			if strings.Contains(line, word) {
				out = append(out, line)
				break
			}
		}
	}
	out = append(out, supply[max(0, len(supply)-maxSupplyLines):]...)
	return strings.Join(out, "\n         ")
}

// addDaemon starts the gateway with settings in the form of deploy/settings.conf.
func (s *site) addDaemon(zone string, zones []string) (*daemon, error) {
	n := len(s.daemons) + 1
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: s.ip(10 + n), gate: &gate{s: s}}
	storeAddr := fmt.Sprintf("%s:%d", d.ip, storePort)
	if err := s.serve(storeAddr, d.gate); err != nil {
		return nil, err
	}
	var regions []string
	for _, z := range zones {
		regions = append(regions, z+":region")
	}
	settings := fmt.Sprintf(`id=%s
zone=%s
regions=%s
listen=%s:%d
ready=%s:%d
metrics=%s:%d
peer=%s:%d
store=%s
lease-min=1000ms
instance-heartbeat=1200ms
first-start=true
keys-bound=5000ms
strict-keys=true
config-bound=2000ms
retry-ratio=0.2
retry-slack=109
retry-window=10s
stop-grace=8s
memory=284
power=0.4
`, d.name, d.zone, strings.Join(regions, ","), d.ip, frontPort, d.ip, readyPort, d.ip, metricsPort, d.ip, peerPort, storeAddr)
	path := filepath.Join(s.dir, d.name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	d.logPath = filepath.Join(s.dir, d.name+".log")
	logFile, err := os.Create(d.logPath)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	d.cmd = exec.Command("target/lupinkeel", "gateway")
	d.cmd.Stdout, d.cmd.Stderr = logFile, logFile
	// The daemons end with this process, even if it is killed. That takes a thread that lives as long
	// as it, the main one.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LUPINKEEL_NODE_FILE=" + path}
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	return d, nil
}

func (s *site) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

// awaitReady waits until all daemons answer the readiness check.
func (s *site) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", d.ip, readyPort))
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.daemons) {
			return nil
		}
	}
	return errors.New("the daemons do not get ready")
}

// server is a plain server that answers every request and records it.
type server struct {
	s           *site
	id, service string
	ip, zone    string
	sequence    int
	// grey is the fraction of requests that the server fails after it has run them, in thousandths.
	grey atomic.Int64
}

func (s *site) addServer(service, zone string) error {
	n := len(s.servers) + 1
	v := &server{s: s, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, ip: s.ip(200 + n), zone: zone}
	if err := s.serve(fmt.Sprintf("%s:%d", v.ip, serverPort), v); err != nil {
		return err
	}
	s.servers = append(s.servers, v)
	v.write()
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(heartbeat):
				v.write()
			}
		}
	}()
	return nil
}

// write writes the server's entry to the store.
func (v *server) write() {
	v.sequence++
	entry, _ := json.Marshal(map[string]any{
		"Service": v.service, "Address": fmt.Sprintf("%s:%d", v.ip, serverPort), "Zone": v.zone, "Version": "v1", "Slots": 6,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": v.sequence,
	})
	v.s.store.Put("servers", v.id, entry)
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Lupinkeel-Instance-Id", v.id)
	if expect := r.Header.Get("X-Lupinkeel-Expect-Instance"); expect != "" && expect != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Lupinkeel-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	v.s.mu.Lock()
	v.s.runs[id] = run{server: v.id, tenant: r.Header.Get("X-Lupinkeel-Tenant"), at: time.Now()}
	v.s.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("X-Lupinkeel-Request-Id", id)
	w.Header().Set("X-Lupinkeel-Response-Stamp", v.id+"."+id)
	if rand.Int64N(1000) < v.grey.Load() {
		// The request has run, so that the answer does not say that it was not executed.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintf(w, "%s ran %s with %d bytes", v.id, id, len(body))
}

// configure writes a configuration, as the operator does, and returns when it was acknowledged.
func (s *site) configure(version int, keys ...string) time.Time {
	quoted, _ := json.Marshal(keys)
	s.store.Put("op", "config", fmt.Appendf(nil, `{"Version":%d,"Routes":[{"Name":"ping","Host":%q,"PathPrefix":"/puxa403/","RouteType":"non_idempotent","TimeoutMs":1000,"TargetLatencyMs":150,"Priority":2,"Service":"feed-api","MaxAttempts":2}],
"Services":[{"Name":"feed-api","HealthPath":"/healthz","MaxConnections":110}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000},
"Tenants":[{"Name":"hule930","ApiKeys":%s},{"Name":"other","ApiKeys":["stays"]}]}`, version, host, quoted))
	acked := time.Now()
	s.note("configuration %d acknowledged, keys of tenant hule930: %v", version, keys)
	return acked
}

// answer is what a client got for one request.
type answer struct {
	daemon string
	id     string
	sent   time.Time
	status int
	err    error
}

// request sends one request to a daemon over a connection of its own.
func (s *site) request(d *daemon, key string) answer {
	a := answer{daemon: d.name, id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", d.ip, frontPort), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	client := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{
		DisableKeepAlives: true,
		Dial:              func(string, string) (net.Conn, error) { return conn, nil },
	}}
	req, err := http.NewRequest(http.MethodPost, "http://"+host+"/puxa403/2f", strings.NewReader("{}"))
	if err != nil {
		a.err = err
		return a
	}
	req.Header.Set("X-Lupinkeel-Request-Id", a.id)
	req.Header.Set("X-Lupinkeel-Deadline-Ms", "1000")
	req.Header.Set("Authorization", "Token "+key)
	a.sent = time.Now()
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	_, a.err = io.Copy(io.Discard, resp.Body)
	a.status = resp.StatusCode
	return a
}

// metrics returns the metrics of a daemon.
func (s *site) metrics(d *daemon) string {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", d.ip, metricsPort))
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}
