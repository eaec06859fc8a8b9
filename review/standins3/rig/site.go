// Package rig starts a small deployment on loopback for the cases of a review: the daemons as
// processes with the command of the deploy file, and stand-ins for the platform's store, the replicas
// and the clients in this process.
package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lupinkeel/lupinkeel/standin/store"
)

// The figures of a small deployment, as on the users' sheets.
const (
	Heartbeat = 1200 * time.Millisecond
	StallTime = 6 * time.Second
	Slots     = 17
	Host      = "feed.example"
	Key       = "n2ctnfzs989anu6wsjnb"
)

// Site is a small deployment.
type Site struct {
	Store   *store.Store
	Server  *httptest.Server
	Pool    *Pool
	Record  *Record
	Daemons []*Daemon
	Models  []Model
	// Events is the number of events of a stream, EventGap the time between two.
	Events   int
	EventGap time.Duration
	// StoreAddr is the store's address as the daemons know it, Server's if it is empty.
	StoreAddr string
	dir       string
	version   int
}

// New returns a site without replicas and daemons. Its record goes to a file.
func New(record string, models ...Model) (*Site, error) {
	r, err := newRecord(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &Site{Store: store.New(), Record: r, Models: models, Events: 20, EventGap: 25 * time.Millisecond, dir: dir}
	s.Server = httptest.NewServer(s.Store)
	s.Pool = newPool(s)
	s.Configure(Key)
	go s.endOnSignal()
	return s, nil
}

// endOnSignal ends the process on SIGTERM and SIGINT: the case could not run. The daemons end with it.
func (s *Site) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	s.Record.close()
	os.RemoveAll(s.dir)
	os.Exit(2)
}

func (s *Site) model(name string) (Model, bool) {
	for _, m := range s.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Configure writes a configuration with these keys.
func (s *Site) Configure(keys ...string) {
	s.version++
	var models []map[string]any
	for _, m := range s.Models {
		models = append(models, map[string]any{"Name": m.Name, "size": m.Size, "share": 1 / float64(len(s.Models)), "pace": 1, "load_s": m.LoadS, "WarmS": m.WarmS})
	}
	route := func(name, path, kind, service string, timeout, aim int, more map[string]any) map[string]any {
		r := map[string]any{"Name": name, "Host": Host, "PathPrefix": path, "RouteType": kind, "Service": service, "TimeoutMs": timeout, "TargetLatencyMs": aim, "MaxAttempts": 2, "Priority": 1}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	engine := map[string]any{
		"Slots": Slots, "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900, "chunk": 2048, "stride": 5,
		"loads_per_s": 5, "loads_at_once": 7, "form_ms": 300, "Models": models,
	}
	config := map[string]any{
		"Version": s.version,
		"Routes": []any{
			route("summary", "/summary/", "streaming", "scribe", 8000, 400, map[string]any{"StreamResume": true, "gap_aim_ms": 300, "StickySessions": true}),
			route("ping", "/ping/", "non_idempotent", "app", 1000, 150, nil),
			route("pull", "/pull/", "idempotent", "app", 1000, 150, nil),
		},
		"Services": []any{
			map[string]any{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 110},
			map[string]any{"Name": "scribe", "HealthPath": "/healthz", "MaxConnections": 378, "Engine": engine},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 65536, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": keys}},
	}
	data, _ := json.Marshal(config)
	s.Store.Put("op", "config", data)
}

// Daemon is a daemon of the deploy file.
type Daemon struct {
	Name, Front, Ready, Peer, Admin string
	settings                        string
	cmd                             *exec.Cmd
	log                             *os.File
	mu                              sync.Mutex
}

var gap = regexp.MustCompile(`\{\{([A-Za-z_.0-9]+)\}\}`)

// AddDaemon lays out the settings of a daemon with the template of the deploy folder, and starts it.
func (s *Site) AddDaemon(zone string) (*Daemon, error) {
	n := len(s.Daemons) + 1
	// Each machine has an address of its own.
	ip := fmt.Sprintf("127.0.%d.%d", 20+os.Getpid()%200, n)
	d := &Daemon{Name: fmt.Sprintf("front-%s-%d", zone, n)}
	addrs := map[string]*string{"front": &d.Front, "ready": &d.Ready, "peer": &d.Peer}
	for _, a := range addrs {
		addr, err := freeAddr(ip)
		if err != nil {
			return nil, err
		}
		*a = addr
	}
	_, peerPort, _ := net.SplitHostPort(d.Peer)
	d.Admin = ip + ":9464"
	store := s.StoreAddr
	if store == "" {
		store = s.Server.Listener.Addr().String()
	}
	values := map[string]string{
		"NodeName": d.Name, "Zone": zone, "Listen.Front": d.Front, "Listen.Ready": d.Ready, "Ip": ip, "InternalPortRange.0": peerPort,
		"Provider.Address": store, "Provider.ttl_min_ms": "1000", "HeartbeatIntervalMs": "1200", "Bootstrap": s.bootstrap(),
		"Bounds.RevokeMs": "5000", "Bounds.StrictRevoke": "true", "Bounds.ConfigApplyMs": "2000", "Bounds.RetryBudgetRatio": "0.2",
		"Bounds.RetrySlack": "109", "Bounds.BudgetWindowS": "10", "Bounds.GraceS": "8", "Limits.MemoryMb": "284", "Limits.CpuShare": "0.4",
	}
	template, err := os.ReadFile("deploy/settings.conf")
	if err != nil {
		return nil, err
	}
	text := strings.ReplaceAll(string(template), "{{#Zones}}{{@}}:{{.}}{{,}}{{/Zones}}", "tbilisi-a:tbilisi,tbilisi-b:tbilisi,tbilisi-c:tbilisi")
	text = gap.ReplaceAllStringFunc(text, func(m string) string { return values[gap.FindStringSubmatch(m)[1]] })
	d.settings = filepath.Join(s.dir, d.Name+".conf")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(s.dir, d.Name+".log")); err != nil {
		return nil, err
	}
	s.Daemons = append(s.Daemons, d)
	return d, d.Start()
}

// Start starts the daemon's process.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = exec.Command("target/lupinkeel", "gateway")
	d.cmd.Env = append(os.Environ(), "LUPINKEEL_NODE_FILE="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	// The daemon ends with this process, however that ends.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	startOnce.Do(func() { go startProcesses() })
	starts <- start{d.cmd, started}
	return <-started
}

// start asks for a process to be started.
type start struct {
	cmd *exec.Cmd
	err chan<- error
}

var (
	starts    = make(chan start)
	startOnce sync.Once
)

// startProcesses starts all processes from one thread, which lives as long as this process: the kernel
// sends Pdeathsig when the thread ends that started the process.
func startProcesses() {
	runtime.LockOSThread()
	for s := range starts {
		s.err <- s.cmd.Start()
	}
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The process may have ended.
	_ = d.cmd.Process.Signal(sig)
}

// Kill kills the daemon's process and waits for it.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Wait()
}

// Close ends the daemons and removes their files, except that with REVIEW_LOGS set their logs stay in
// that folder.
func (s *Site) Close() {
	for _, d := range s.Daemons {
		d.Kill()
		d.log.Close()
	}
	if to := os.Getenv("REVIEW_LOGS"); to != "" {
		for _, d := range s.Daemons {
			if data, err := os.ReadFile(d.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(to, filepath.Base(d.log.Name())), data, 0o600)
			}
		}
	}
	s.Server.CloseClientConnections()
	os.RemoveAll(s.dir)
	s.Record.close()
}

var usedPorts = map[string]bool{}

func freeAddr(ip string) (string, error) {
	for range 50 {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return "", err
		}
		addr := l.Addr().String()
		l.Close()
		if !usedPorts[addr] {
			usedPorts[addr] = true
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}

// AwaitReady waits until all daemons answer 200 to the platform's question, and each model has n open
// groups.
func (s *Site) AwaitReady(ctx context.Context, n int) error {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		ready := true
		for _, m := range s.Models {
			ready = ready && len(s.Pool.Heads(m.Name)) >= n
		}
		for _, d := range s.Daemons {
			resp, err := client.Get("http://" + d.Ready + "/-/ready")
			if err != nil {
				ready = false
				continue
			}
			resp.Body.Close()
			ready = ready && resp.StatusCode == http.StatusOK
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("the site is not ready: %w", ctx.Err())
}

// bootstrap tells whether the whole system starts for the first time.
func (s *Site) bootstrap() string {
	s.Pool.mu.Lock()
	defer s.Pool.mu.Unlock()
	return strconv.FormatBool(!s.Pool.traffic)
}
