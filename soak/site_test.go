package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin/replica"
	"github.com/lupinkeel/lupinkeel/standin/store"
)

// profile resembles the users' engines, with times a tenth as long.
var profile = replica.Profile{
	Models: []models.ModelProfile{
		{Name: "big", GroupSize: 3, Share: 0.5, TimeFactor: 1, LoadTime: 1200 * time.Millisecond, WarmLoadTime: 200 * time.Millisecond},
		{Name: "small", GroupSize: 2, Share: 0.5, TimeFactor: 0.6, LoadTime: 900 * time.Millisecond, WarmLoadTime: 150 * time.Millisecond},
	},
	OpenTime: 60 * time.Millisecond, StallTimeout: time.Second, EventInterval: 15 * time.Millisecond, Events: 12,
	HeartbeatInterval: 200 * time.Millisecond, Slots: 8,
}

const (
	enginesPerDomain = 7
	daemons          = 3
	host             = "api.example"
	// keysBound is the daemons' bound for revoked keys; they use eight tenths of it.
	keysBound = 3 * time.Second
	// firstKey is the API key of the callers.
	firstKey = "k1"
)

const configText = `{"Version":%d,"Routes":[
{"Name":"once","Host":"api.example","PathPrefix":"/once/","RouteType":"non_idempotent","TimeoutMs":2000,"TargetLatencyMs":150,"Service":"plain","MaxAttempts":2},
{"Name":"again","Host":"api.example","PathPrefix":"/again/","RouteType":"idempotent","TimeoutMs":2000,"TargetLatencyMs":150,"Service":"plain","MaxAttempts":2},
{"Name":"stream","Host":"api.example","PathPrefix":"/stream/","RouteType":"streaming","TimeoutMs":4000,"TargetLatencyMs":400,"Service":"engines","MaxAttempts":2,"StreamResume":true,"gap_aim_ms":300},
{"Name":"single","Host":"api.example","PathPrefix":"/single/","RouteType":"streaming","TimeoutMs":4000,"TargetLatencyMs":400,"Service":"engines","MaxAttempts":2,"gap_aim_ms":300}],
"Services":[{"Name":"plain","MaxConnections":100,"ColdPerS":1},{"Name":"engines","MaxConnections":100,"ColdPerS":1,"Engine":{"Slots":8,"step_ms":3,"per_seq_ms":0.1,"read_per_s":40000,"chunk":2048,"stride":5,"loads_per_s":20,"loads_at_once":12,"form_ms":60,
"Models":[{"Name":"big","size":3,"share":0.5,"pace":1,"load_s":1.2,"WarmS":0.2},{"Name":"small","size":2,"share":0.5,"pace":0.6,"load_s":0.9,"WarmS":0.15}]}}],
"Limits":{"MaxBodyBytes":100000},"Tenants":[{"Name":"ws","ApiKeys":[%q]}]}`

// site is a store, a pool of instances, and daemons as separate processes.
type site struct {
	t       *testing.T
	store   *store.Store
	server  *httptest.Server
	pool    *replica.Pool
	daemons []*daemon
	version int
	logs    string
}

type daemon struct {
	name  string
	flags []string
	// env is added to the environment of the test.
	env []string
	// addr is where it serves callers, metrics where it serves its metrics.
	addr    string
	metrics string
	cmd     *exec.Cmd
	logFile *os.File
}

// binary builds the program, unless LUPINKEEL_SOAK_BINARY names one to test instead.
func binary(t *testing.T) string {
	if path := os.Getenv("LUPINKEEL_SOAK_BINARY"); path != "" {
		return path
	}
	path := filepath.Join(t.TempDir(), "lupinkeel")
	out, err := exec.Command("go", "build", "-o", path, "..").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return path
}

func startSite(t *testing.T, bin, logs string, flags ...string) *site {
	s := startInstances(t, profile)
	s.logs = logs
	for n := range daemons {
		d := s.newDaemon(bin, n)
		d.flags = append(d.flags, flags...)
		s.daemons = append(s.daemons, d)
		d.start(t)
		t.Cleanup(d.kill)
	}
	return s
}

// startInstances starts a site without daemons.
func startInstances(t *testing.T, profile replica.Profile) *site {
	s := &site{t: t, store: store.New()}
	s.server = httptest.NewServer(s.store)
	t.Cleanup(s.server.Close)
	s.pool = replica.NewPool(profile, s.store)
	s.configure()
	for _, domain := range []models.Domain{"a", "b", "c", "d"} {
		for range enginesPerDomain {
			s.add("engines", domain)
		}
	}
	s.add("plain", "")
	s.add("plain", "")
	t.Cleanup(func() {
		for _, i := range s.pool.Instances() {
			// The test is over; errors no longer matter.
			_ = i.Stop()
		}
	})
	return s
}

func (s *site) configure() { s.configureKeys(firstKey) }

// configureKeys writes a configuration in which the workspace has only this key.
func (s *site) configureKeys(key string) {
	s.version++
	s.store.Put("op", "config", fmt.Appendf(nil, configText, s.version, key))
}

func (s *site) add(service models.ServiceName, domain models.Domain) {
	_, err := s.pool.Add(service, models.Zone("z"+string(domain)), domain)
	qt.Assert(s.t, err, qt.IsNil)
}

// startLoadedSite starts a site with extra plain instances, and callers.
func startLoadedSite(t *testing.T, bin string, flags ...string) (*site, *callerLoad) {
	s := startSite(t, bin, t.TempDir(), flags...)
	for range extraPlainInstances {
		s.add("plain", "")
	}
	s.waitServing()
	c := startCallers(s)
	time.Sleep(time.Second)
	return s, c
}

// selectInstances selects a fraction of a service's instances, spread evenly.
func (s *site) selectInstances(service models.ServiceName, fraction float64) []*replica.Instance {
	var out []*replica.Instance
	total := 0
	for _, i := range s.pool.Instances() {
		if i.Service != service {
			continue
		}
		total++
		if float64(len(out)) < fraction*float64(total) {
			out = append(out, i)
		}
	}
	return out
}

// nextPort is the last port that freeAddr tried. It starts at a random port below the ephemeral
// port range and only counts up: ports chosen by the operating system were given to two listeners
// (seed 119).
var nextPort = 20000 + rand.IntN(8000)

// freeAddr returns an address with a free port.
func freeAddr(t *testing.T) string {
	for range 100 {
		nextPort++
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

func (s *site) newDaemon(bin string, n int) *daemon {
	d := &daemon{name: fmt.Sprintf("daemon-%d", n+1), addr: freeAddr(s.t), metrics: freeAddr(s.t)}
	d.flags = []string{
		bin, "gateway", "--id", d.name, "--zone", "z", "--listen", d.addr, "--ready", freeAddr(s.t), "--metrics", d.metrics,
		"--peer", freeAddr(s.t), "--store", strings.TrimPrefix(s.server.URL, "http://"), "--lease-min", "300ms",
		"--instance-heartbeat", profile.HeartbeatInterval.String(), "--keys-bound", keysBound.String(), "--config-bound", "1s",
		"--stop-grace", "3s", "--retry-slack", "1000",
	}
	logFile, err := os.OpenFile(filepath.Join(s.logs, d.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { logFile.Close() })
	d.logFile = logFile
	return d
}

func (d *daemon) start(t *testing.T) { qt.Assert(t, d.launch(), qt.IsNil) }

func (d *daemon) launch() error {
	d.cmd = exec.Command(d.flags[0], d.flags[1:]...)
	d.cmd.Stdout, d.cmd.Stderr = d.logFile, d.logFile
	d.cmd.Env = append(os.Environ(), d.env...)
	return d.cmd.Start()
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(sig syscall.Signal) {
	// The process may already have exited.
	_ = d.cmd.Process.Signal(sig)
}

// kill kills the daemon's process and waits for it.
func (d *daemon) kill() {
	// Only end's other callers need to know whether the process had ended.
	_ = d.end()
}

// end is kill, but returns an error if the process had ended by itself.
func (d *daemon) end() error {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	err := d.cmd.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signaled() && status.Signal() == syscall.SIGKILL {
			return nil
		}
	}
	return fmt.Errorf("%s had ended by itself: %w", d.name, err)
}

// stopBound is how long a daemon may take to stop.
const stopBound = 20 * time.Second

// stop stops the daemon gracefully and waits for it. One that takes too long logs its stacks, and fails.
func (d *daemon) stop() error {
	d.signal(syscall.SIGTERM)
	late := time.AfterFunc(stopBound, func() { d.signal(syscall.SIGQUIT) })
	defer late.Stop()
	err := d.cmd.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) && !exit.Exited() {
		return fmt.Errorf("%s was terminated by a signal: %w", d.name, err)
	}
	return err
}

// waitServing waits until all models have serving groups and a daemon serves them.
func (s *site) waitServing() {
	client := &http.Client{Timeout: time.Second}
	for range 300 {
		time.Sleep(100 * time.Millisecond)
		if s.pool.ServingGroups("big") == 0 || s.pool.ServingGroups("small") == 0 {
			continue
		}
		if r := send(client, s.daemons[0].addr, newRequest(kindStream, "big")); r.complete {
			return
		}
	}
	s.t.Fatalf("nothing is served after 30 s; logs are in %s", s.logs)
}
