package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/replica"
	"github.com/lupinkeel/lupinkeel/standin/store"
)

// profile is that of the engines of a small deployment. Loads take the tenth of the time that they
// take before the first request.
var profile = replica.Profile{
	Models: []models.ModelProfile{
		{Name: "m0", GroupSize: 4, Share: 0.5, TimeFactor: 1, LoadTime: 1600 * time.Millisecond, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "m1", GroupSize: 2, Share: 0.5, TimeFactor: 0.6, LoadTime: 1200 * time.Millisecond, WarmLoadTime: 1100 * time.Millisecond},
	},
	OpenTime: 300 * time.Millisecond, StallTimeout: 6 * time.Second, EventInterval: 20 * time.Millisecond, Events: 20,
	HeartbeatInterval: 1200 * time.Millisecond, Slots: 17,
}

// configText is the operators' configuration. The gap is the time-out of the routes in ms.
const configText = `{"Version":1,"Routes":[
{"Name":"brief","Host":"api.example","PathPrefix":"/brief/","RouteType":"streaming","TimeoutMs":%[1]d,"TargetLatencyMs":400,"Priority":1,"Service":"scribe","MaxAttempts":2,"StickySessions":true,"StreamResume":true,"gap_aim_ms":300},
{"Name":"ping","Host":"api.example","PathPrefix":"/ping/","RouteType":"non_idempotent","TimeoutMs":%[1]d,"TargetLatencyMs":150,"Priority":2,"Service":"feed","MaxAttempts":1},
{"Name":"pull","Host":"api.example","PathPrefix":"/pull/","RouteType":"idempotent","TimeoutMs":%[1]d,"TargetLatencyMs":150,"Priority":2,"Service":"feed","MaxAttempts":2}],
"Services":[{"Name":"feed","HealthPath":"/healthz","MaxConnections":110},
{"Name":"scribe","HealthPath":"/healthz","MaxConnections":378,"Engine":{"Slots":17,"KvCapacityTokens":1860000,"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900,"pairs_per_m":0.433,"chunk":2048,"stride":5,"report_lag_ms":200,"loads_per_s":5,"loads_at_once":7,"form_ms":300,"keeps":1,"far_x":4,"usual":{"prompt":979,"answer":100},
"Models":[{"Name":"m0","size":4,"share":0.5,"pace":1,"load_s":16,"WarmS":1.6},{"Name":"m1","size":2,"share":0.5,"pace":0.6,"load_s":12,"WarmS":1.1}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000},
"Tenants":[{"Name":"observatory","ApiKeys":["key-1"],"Priority":0}]}`

const (
	callerHost = "api.example"
	callerKey  = "key-1"
)

// handoverConfig is like configText, with the engines of bg-kafe-abonament.
const handoverConfig = `{"Version":1,"Routes":[
{"Name":"brief","Host":"api.example","PathPrefix":"/brief/","RouteType":"streaming","TimeoutMs":8000,"TargetLatencyMs":500,"Priority":1,"Service":"scribe","MaxAttempts":2,"StickySessions":true,"StreamResume":true,"gap_aim_ms":300}],
"Services":[{"Name":"feed","HealthPath":"/healthz","MaxConnections":100},
{"Name":"scribe","HealthPath":"/healthz","MaxConnections":304,"Engine":{"Slots":26,"KvCapacityTokens":1400000,"step_ms":6.07,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":46000,"pairs_per_m":0.433,"chunk":2048,"stride":5,"report_lag_ms":200,"loads_per_s":5,"loads_at_once":7,"form_ms":300,"keeps":1,"far_x":4,"usual":{"prompt":979,"answer":135},
"Models":[{"Name":"m0","size":4,"share":0.5,"pace":1,"load_s":16,"WarmS":1.6},{"Name":"m1","size":2,"share":0.5,"pace":0.6,"load_s":12,"WarmS":1.1}]}}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":30000},
"Tenants":[{"Name":"agency","ApiKeys":["key-1"],"Priority":0}]}`

var zones = []models.Zone{"zone-a", "zone-b", "zone-c"}

// site is a store and instances in this process, and daemons as processes of their own.
type site struct {
	binary  string
	trouble bool
	dir     string
	began   time.Time

	store   *store.Store
	server  *http.Server
	listen  net.Listener
	pool    *replica.Pool
	daemons []*daemon

	// started is the number of daemons that were started, in all rounds.
	started int
	// closed is set once the processes are being ended.
	closing sync.Mutex
	closed  bool

	// recorder is the site that writes the record, nil for itself, and label what this one's lines begin
	// with.
	recorder *site
	label    string

	mu      sync.Mutex
	sisters []*site
	record  *bufio.Writer
	file    *os.File
}

// daemon is one process under test.
type daemon struct {
	name, callers, ready, settings string
	log                            *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newSite returns a site with a store, and without instances and daemons.
func newSite(out, binary string, trouble bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &site{binary: binary, trouble: trouble, dir: dir, began: time.Now(), file: file, record: bufio.NewWriter(file)}
	if err := s.openStore(); err != nil {
		return nil, err
	}
	s.pool = replica.NewPool(profile, s.store)
	s.note("begun trouble=%t", trouble)
	return s, nil
}

// newSister returns a site of its own that writes to the same record.
func (s *site) newSister(label string) (*site, error) {
	dir, err := os.MkdirTemp(s.dir, "")
	if err != nil {
		return nil, err
	}
	sister := &site{binary: s.binary, trouble: s.trouble, dir: dir, began: s.began, recorder: s, label: label}
	if err := sister.openStore(); err != nil {
		return nil, err
	}
	sister.pool = replica.NewPool(profile, sister.store)
	s.mu.Lock()
	s.sisters = append(s.sisters, sister)
	s.mu.Unlock()
	return sister, nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	if s.recorder != nil {
		s.recorder.note(s.label+" "+format, args...)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f ", time.Since(s.began).Seconds())
	fmt.Fprintf(s.record, format, args...)
	s.record.WriteByte('\n')
}

// addInstances starts engines in domains of ten, and plain instances.
func (s *site) addInstances(domains, plain int) error {
	for n := range domains {
		for range 10 {
			if _, err := s.pool.Add("scribe", zones[n%len(zones)], models.Domain(fmt.Sprintf("d%d", n))); err != nil {
				return err
			}
		}
	}
	for n := range plain {
		if _, err := s.pool.Add("feed", zones[n%len(zones)], ""); err != nil {
			return err
		}
	}
	return nil
}

var (
	portMu sync.Mutex
	// nextPort is the last port that freeAddr tried, below the range for outgoing connections.
	nextPort = 20000 + rand.IntN(6000)
)

// freeAddr returns a loopback address with a free port.
func freeAddr() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range 500 {
		nextPort++
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", errors.New("no free port")
}

// settingsText is the settings file of a daemon, with the names of deploy/settings.conf.
const settingsText = `id=%s
zone=%s
regions=zone-a:region,zone-b:region,zone-c:region
listen=%s
ready=%s
metrics=%s
peer=%s
store=%s
lease-min=1000ms
instance-heartbeat=1200ms
first-start=%t
keys-bound=5000ms
strict-keys=true
config-bound=2000ms
retry-ratio=0.2
retry-slack=109
retry-window=10s
stop-grace=8s
memory=284
power=0.4
`

// startDaemon starts one more daemon.
func (s *site) startDaemon(firstStart bool) (*daemon, error) {
	s.closing.Lock()
	defer s.closing.Unlock()
	if s.closed {
		return nil, errors.New("the site is closed")
	}
	var addrs [4]string
	for n := range addrs {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs[n] = addr
	}
	n := len(s.running())
	s.started++
	d := &daemon{name: fmt.Sprintf("front-%d", s.started), callers: addrs[0], ready: addrs[1]}
	d.settings = filepath.Join(s.dir, d.name+".conf")
	text := fmt.Sprintf(settingsText, d.name, zones[n%len(zones)], addrs[0], addrs[1], addrs[2], addrs[3], s.listen.Addr(), firstStart)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, d.name+".log"))
	if err != nil {
		return nil, err
	}
	d.log = log
	if err := s.exec(d); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.daemons = append(s.daemons, d)
	s.mu.Unlock()
	return d, nil
}

// exec starts the daemon's process.
func (s *site) exec(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd, exited := exec.Command(s.binary, "gateway"), make(chan struct{})
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LUPINKEEL_NODE_FILE=" + d.settings}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	// The daemon ends with this process, whatever ends that.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.exited = cmd, exited
	go func() {
		// The exit code is of no interest.
		_ = cmd.Wait()
		close(exited)
	}()
	s.note("started %s callers=%s", d.name, d.callers)
	return nil
}

// restart starts the process of a daemon that has ended again, unless the site closes.
func (s *site) restart(d *daemon) error {
	s.closing.Lock()
	defer s.closing.Unlock()
	if s.closed || !slices.Contains(s.running(), d) {
		return nil
	}
	text, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	// The whole system starts for the first time only once.
	text = bytes.Replace(text, []byte("first-start=true"), []byte("first-start=false"), 1)
	if err := os.WriteFile(d.settings, text, 0o600); err != nil {
		return err
	}
	return s.exec(d)
}

// process returns the daemon's process and a channel that is closed once it has ended.
func (d *daemon) process() (*os.Process, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process, d.exited
}

// hasEnded reports whether the daemon's process has ended.
func (d *daemon) hasEnded() bool {
	_, exited := d.process()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the daemon's process, unless it has ended.
func (d *daemon) signal(sig syscall.Signal) {
	if process, _ := d.process(); !d.hasEnded() {
		// It may end meanwhile.
		_ = process.Signal(sig)
	}
}

// isReady asks the daemon whether it is ready, as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// otherReady returns another daemon that is ready, or the same one if there is none.
func (s *site) otherReady(than *daemon) *daemon {
	all := s.running()
	for _, n := range rand.Perm(len(all)) {
		if all[n] != than && all[n].isReady() {
			return all[n]
		}
	}
	return than
}

// running returns the daemons that were started.
func (s *site) running() []*daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.daemons)
}

// waitServing waits until all daemons are ready and both models have groups.
func (s *site) waitServing() error {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		ready := s.pool.ServingGroups("m0") > 0 && s.pool.ServingGroups("m1") > 0
		for _, d := range s.daemons {
			ready = ready && d.isReady()
		}
		if ready {
			return nil
		}
	}
	return errors.New("the site does not serve within 30 s")
}

// reset ends all processes that the site started, and begins with an empty store.
func (s *site) reset() error {
	s.closing.Lock()
	defer s.closing.Unlock()
	s.endDaemons()
	s.mu.Lock()
	s.daemons = nil
	s.mu.Unlock()
	if err := s.server.Close(); err != nil {
		return err
	}
	return s.openStore()
}

// openStore starts an empty store.
func (s *site) openStore() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.store, s.listen = store.New(), l
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	s.server = server
	// Serve ends when the server closes.
	go func() { _ = server.Serve(l) }()
	return nil
}

// endDaemons ends all processes that the site started.
func (s *site) endDaemons() {
	for _, d := range s.running() {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		_, exited := d.process()
		<-exited
		d.log.Close()
	}
}

// close ends all processes that the site and its sisters started, and the stand-ins.
func (s *site) close() error {
	s.closing.Lock()
	s.closed = true
	s.endDaemons()
	s.closing.Unlock()
	s.mu.Lock()
	sisters := slices.Clone(s.sisters)
	s.mu.Unlock()
	var failed error
	for _, sister := range sisters {
		failed = errors.Join(failed, sister.close())
	}
	for _, i := range s.pool.Instances() {
		// The case is over; errors do not matter any more.
		_ = i.Stop()
	}
	err := errors.Join(failed, s.server.Close())
	s.note("ended")
	if s.recorder != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err = errors.Join(err, s.record.Flush(), s.file.Close())
	if os.Getenv("KEEP") == "" {
		return errors.Join(err, os.RemoveAll(s.dir))
	}
	fmt.Println("kept", s.dir)
	return err
}

// blockedOn returns the lines of a daemon's goroutine dump that name a mutex being waited for and
// what waits for it. The daemon ends.
func (s *site) blockedOn(d *daemon) []string {
	d.signal(syscall.SIGQUIT)
	_, exited := d.process()
	select {
	case <-exited:
	case <-time.After(5 * time.Second):
		return nil
	}
	data, err := os.ReadFile(filepath.Join(s.dir, d.name+".log"))
	if err != nil {
		return nil
	}
	counts := map[string]int{}
	for dump := range strings.SplitSeq(string(data), "\n\n") {
		if !strings.Contains(dump, "[sync.Mutex.Lock") {
			continue
		}
		var calls []string
		for line := range strings.SplitSeq(dump, "\n") {
			if name, found := strings.CutPrefix(line, "github.com/lupinkeel/lupinkeel/"); found && len(calls) < 3 {
				calls = append(calls, name[:strings.LastIndexByte(name, '(')])
			}
		}
		counts[strings.Join(calls, " < ")]++
	}
	var out []string
	for calls, n := range counts {
		out = append(out, fmt.Sprintf("%d goroutines wait for a lock in %s", n, calls))
	}
	return out
}
