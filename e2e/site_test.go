package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lupinkeel/lupinkeel/api"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	operatorToken = "e2e-operator"
	callerToken   = "e2e-caller"
	startTimeout  = 20 * time.Second
)

// testSite is the site of one script: its processes and their addresses.
type testSite struct {
	dir        string
	processes  map[string]*process
	startOrder []string

	platform netip.AddrPort
	proxy    netip.AddrPort
	// addrs holds the addresses of upstreams and links, by process name.
	addrs   map[string]netip.AddrPort
	engines map[models.InstanceID]netip.AddrPort
	daemons []*daemonAddrs
	load    *loadGenerator
	// savedFences are the fences that savefence has noted, by name.
	savedFences map[string]savedFence
	// backgroundCommands are the commands that bgask has started, by name.
	backgroundCommands map[string]chan string
	// backgroundChats are the streams that bgchat has started, by name.
	backgroundChats map[string]chan result
	daemonFlags     []string
	// lastRequest is the id of the last chat of the script.
	lastRequest string
}

type daemonAddrs struct {
	name    string
	source  netip.Addr
	callers netip.AddrPort
	admin   netip.AddrPort
	peer    netip.AddrPort
}

type testSiteKey struct{}

// process is one process of the site.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

func newTestSite(env *testscript.Env) *testSite {
	return &testSite{
		dir: env.WorkDir, processes: map[string]*process{},
		addrs: map[string]netip.AddrPort{}, engines: map[models.InstanceID]netip.AddrPort{}, savedFences: map[string]savedFence{}, backgroundCommands: map[string]chan string{}, backgroundChats: map[string]chan result{},
	}
}

// nextPort counts up from below the ephemeral port range, so that no outgoing connection takes a
// port between its choice and its use.
var nextPort = 20000

// loopback returns a loopback address that is derived from the process id, so that concurrent test
// runs use different addresses. When runs, or a run and the soak, shared one address, 3 of 24 runs
// of group_platform failed: the port of a killed engine was taken before the engine restarted.
func loopback(last byte) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, 1 + byte(pid>>8)&0x7f, byte(pid), last})
}

// sharedHost is the last byte of the address that all processes but the daemons share. Daemons have
// addresses from firstDaemonHost on, by which the proxy distinguishes them.
const (
	sharedHost      = 1
	firstDaemonHost = 10
)

// freeAddr returns a free port at the address.
func freeAddr(ip netip.Addr) (netip.AddrPort, error) {
	for nextPort < 32000 {
		nextPort++
		addr := netip.AddrPortFrom(ip, uint16(nextPort))
		l, err := net.Listen("tcp", addr.String())
		if err == nil {
			return addr, l.Close()
		}
	}
	return netip.AddrPort{}, errors.New("no port is free")
}

// start starts the program under test; its output goes to a log file.
func (s *testSite) start(name string, args ...string) error {
	log := filepath.Join(s.dir, name+".log")
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, args: args, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		// The log shows how the process ended.
		_ = cmd.Wait()
	}()
	if s.processes[name] == nil {
		s.startOrder = append(s.startOrder, name)
	}
	s.processes[name] = p
	return nil
}

func (s *testSite) signal(name string, sig syscall.Signal) error {
	p := s.processes[name]
	if p == nil {
		return fmt.Errorf("no process %q", name)
	}
	return p.cmd.Process.Signal(sig)
}

// exitedProcesses describes the processes that have exited, including those that a script killed,
// with the last line of each log.
func (s *testSite) exitedProcesses() []string {
	var out []string
	for _, name := range s.startOrder {
		select {
		case <-s.processes[name].done:
		default:
			continue
		}
		text, err := os.ReadFile(s.processes[name].log)
		if err != nil {
			text = []byte(err.Error())
		}
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		out = append(out, fmt.Sprintf("%s has exited: %s", name, lines[len(lines)-1]))
	}
	return out
}

// kill kills a process and waits until it has exited.
func (s *testSite) kill(name string) error {
	if err := s.signal(name, syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-s.processes[name].done
	return nil
}

// stopAll kills all processes, in reverse order of their start.
func (s *testSite) stopAll() {
	if s.load != nil {
		s.load.stop()
	}
	for _, name := range slices.Backward(s.startOrder) {
		// The process may already have exited.
		_ = s.kill(name)
	}
}

// siteSpec holds the arguments of the site command.
type siteSpec struct {
	daemons      int
	domains      []domainSpec
	services     []string
	ignoreFences bool
	daemonFlags  []string
	engineFlags  []string
}

type domainSpec struct {
	name, zone string
	engines    int
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startSite starts the platform, the proxy, the upstreams and the daemons.
func (s *testSite) startSite(spec siteSpec) error {
	var err error
	if s.platform, err = freeAddr(loopback(sharedHost)); err != nil {
		return err
	}
	if err := s.start("platform", "standin", "platform", "--listen", s.platform.String()); err != nil {
		return err
	}
	s.daemonFlags = spec.daemonFlags
	links, err := s.planAddresses(spec)
	if err != nil {
		return err
	}
	if s.proxy, err = freeAddr(loopback(sharedHost)); err != nil {
		return err
	}
	args := append([]string{"standin", "proxy", "--listen", s.proxy.String()}, links...)
	if err := s.start("proxy", args...); err != nil {
		return err
	}
	if err := errors.Join(s.waitListening(s.platform), s.waitListening(s.proxy)); err != nil {
		return err
	}
	for _, d := range spec.domains {
		for n := range d.engines {
			if err := s.startEngine(d, n+1, spec); err != nil {
				return err
			}
		}
	}
	for n, name := range spec.services {
		id := name + "-1"
		args := []string{"standin", "service", "--service", name, "--id", id, "--zone", zones[n%len(zones)], "--domain", "services"}
		if err := s.start(id, append(args, s.upstreamArgs(id)...)...); err != nil {
			return err
		}
	}
	for n := range s.daemons {
		if err := s.startDaemon(n); err != nil {
			return err
		}
	}
	return nil
}

// awaitEngines waits until every daemon sees every engine alive. Groups are formed of the first
// engines that are known, and scripts name members: an engine that started late would be in no
// group.
func (s *testSite) awaitEngines() error {
	for _, d := range s.daemons {
		err := retryFor(awaitTimeout, func() error {
			response, err := s.ask(d.name, "show instances where state = alive")
			if err == nil && len(response.Rows) != len(s.engines) {
				err = fmt.Errorf("%s sees %d of %d engines", d.name, len(response.Rows), len(s.engines))
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// planAddresses chooses the addresses of all processes and returns the proxy's links.
func (s *testSite) planAddresses(spec siteSpec) ([]string, error) {
	var links []string
	link := func(name string, target netip.AddrPort) error {
		at, err := freeAddr(loopback(sharedHost))
		if err != nil {
			return err
		}
		s.addrs["link:"+name] = at
		links = append(links, fmt.Sprintf("%s=%s>%s", name, at, target))
		return nil
	}
	upstream := func(id string) error {
		at, err := freeAddr(loopback(sharedHost))
		if err != nil {
			return err
		}
		s.addrs[id] = at
		return link(id, at)
	}
	var errs []error
	for _, d := range spec.domains {
		for n := range d.engines {
			errs = append(errs, upstream(fmt.Sprintf("%s-%d", d.name, n+1)))
		}
	}
	for _, name := range spec.services {
		errs = append(errs, upstream(name+"-1"))
	}
	errs = append(errs, link("log", s.platform), link("list", s.platform))
	for n := range spec.daemons {
		d, err := s.planDaemon(n + 1)
		errs = append(errs, err)
		if err == nil {
			errs = append(errs, link("peer-"+d.name, d.peer))
		}
	}
	return links, errors.Join(errs...)
}

func (s *testSite) planDaemon(n int) (*daemonAddrs, error) {
	d := &daemonAddrs{name: fmt.Sprintf("d%d", n), source: loopback(firstDaemonHost + byte(n))}
	for _, addr := range []*netip.AddrPort{&d.callers, &d.admin, &d.peer} {
		free, err := freeAddr(d.source)
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	s.daemons = append(s.daemons, d)
	return d, nil
}

func (s *testSite) upstreamArgs(id string) []string {
	return []string{
		"--listen", s.addrs[id].String(), "--advertise", s.addrs["link:"+id].String(), "--platform", s.platform.String(),
	}
}

func (s *testSite) startEngine(d domainSpec, n int, spec siteSpec) error {
	id := fmt.Sprintf("%s-%d", d.name, n)
	args := []string{"standin", "engine", "--id", id, "--zone", d.zone, "--domain", d.name, "--accelerators", "2"}
	args = append(append(args, s.upstreamArgs(id)...), spec.engineFlags...)
	if spec.ignoreFences {
		args = append(args, "--ignore-fences")
	}
	s.engines[models.InstanceID(id)] = s.addrs[id]
	return s.start(id, args...)
}

func (s *testSite) startDaemon(n int) error {
	d := s.daemons[n]
	args := []string{
		"serve", "--id", d.name, "--zone", zones[n%len(zones)], "--source", d.source.String(),
		"--listen", d.callers.String(), "--admin", d.admin.String(), "--peer", d.peer.String(),
		"--advertise-peer", s.addrs["link:peer-"+d.name].String(),
		"--log", s.addrs["link:log"].String(), "--list", s.addrs["link:list"].String(),
		"--bootstrap-token", api.HashToken(operatorToken),
	}
	for _, other := range s.daemons {
		if other != d {
			args = append(args, "--peers", s.addrs["link:peer-"+other.name].String())
		}
	}
	return s.start(d.name, append(args, s.daemonFlags...)...)
}

// restart starts a process again with the same arguments.
func (s *testSite) restart(name string) error {
	p := s.processes[name]
	if p == nil {
		return fmt.Errorf("no process %q", name)
	}
	return s.start(name, p.args...)
}

// waitListening waits until the address accepts connections.
func (s *testSite) waitListening(addr netip.AddrPort) error {
	return retryFor(startTimeout, func() error {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// retryFor retries until there is no error or the time is up. The time only bounds a test that
// fails.
func retryFor(d time.Duration, try func() error) error {
	deadline := time.Now().Add(d)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *testSite) daemon(name string) (*daemonAddrs, error) {
	for _, d := range s.daemons {
		if d.name == name {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no daemon %q", name)
}

// post sends JSON to a control route of a stand-in.
func post(url, body string) error {
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		text, err := io.ReadAll(resp.Body)
		return errors.Join(fmt.Errorf("%s: %s: %s", url, resp.Status, text), err)
	}
	return nil
}

func fetch[T any](url string) (T, error) {
	var out T
	resp, err := http.Get(url)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(resp.Body); err != nil {
		return out, err
	}
	return out, json.Unmarshal(body.Bytes(), &out)
}
