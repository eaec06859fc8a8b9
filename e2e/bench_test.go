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
	startWithin   = 20 * time.Second
)

// bench is the site of one script: its processes and their addresses.
type bench struct {
	dir   string
	procs map[string]*proc
	order []string

	platform netip.AddrPort
	proxy    netip.AddrPort
	// spare addresses for upstreams and links, by process name.
	addrs   map[string]netip.AddrPort
	engines map[models.InstanceID]netip.AddrPort
	daemons []*daemonAddrs
	load    *load
	// memories are what scripts remember.
	memories map[string]memory
	// asks are commands in the background.
	asks map[string]chan string
	// chats are streams in the background.
	chats map[string]chan result
	flags []string
	// lastRequest is the id of the last request that a script sent.
	lastRequest string
}

type daemonAddrs struct {
	name    string
	source  netip.Addr
	callers netip.AddrPort
	admin   netip.AddrPort
	peer    netip.AddrPort
}

type benchKey struct{}

// proc is one process.
type proc struct {
	name string
	args []string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

func newBench(env *testscript.Env) *bench {
	return &bench{
		dir: env.WorkDir, procs: map[string]*proc{},
		addrs: map[string]netip.AddrPort{}, engines: map[models.InstanceID]netip.AddrPort{}, memories: map[string]memory{}, asks: map[string]chan string{}, chats: map[string]chan result{},
	}
}

// nextPort counts up from below the range that the system gives to outgoing
// connections, so that none of those takes a port between its choice and its
// use.
var nextPort = 20000

// loopback is an address of this machine that this run of the tests has to itself,
// by its process id. Beside another run, or the soak, at one address 3 of 24 runs of
// group_platform failed: the port of an engine that was killed had been given away
// when it started again.
func loopback(last byte) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, 1 + byte(pid>>8)&0x7f, byte(pid), last})
}

// common is the last byte of the address of all that are not daemons; daemons have
// their own, by which the proxy tells them apart.
const (
	common      = 1
	firstDaemon = 10
)

// freeAddr picks a port that is free now at the address.
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

// start runs the program under test with its log in a file.
func (b *bench) start(name string, args ...string) error {
	log := filepath.Join(b.dir, name+".log")
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
	p := &proc{name: name, args: args, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		// How it ended shows in its log and its state.
		_ = cmd.Wait()
	}()
	if b.procs[name] == nil {
		b.order = append(b.order, name)
	}
	b.procs[name] = p
	return nil
}

func (b *bench) signal(name string, sig syscall.Signal) error {
	p := b.procs[name]
	if p == nil {
		return fmt.Errorf("no process %q", name)
	}
	return p.cmd.Process.Signal(sig)
}

// ended tells of processes that are no more, with the last line that each wrote.
// Those that a script killed are among them.
func (b *bench) ended() []string {
	var out []string
	for _, name := range b.order {
		select {
		case <-b.procs[name].done:
		default:
			continue
		}
		text, err := os.ReadFile(b.procs[name].log)
		if err != nil {
			text = []byte(err.Error())
		}
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		out = append(out, fmt.Sprintf("%s has ended: %s", name, lines[len(lines)-1]))
	}
	return out
}

// kill ends a process at once and waits until it is gone.
func (b *bench) kill(name string) error {
	if err := b.signal(name, syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	<-b.procs[name].done
	return nil
}

// stop ends everything that is left, the last started first.
func (b *bench) stop() {
	if b.load != nil {
		b.load.stop()
	}
	for _, name := range slices.Backward(b.order) {
		// A process that has ended already is no error here.
		_ = b.kill(name)
	}
}

// siteSpec is what the site command describes.
type siteSpec struct {
	daemons  int
	domains  []domainSpec
	services []string
	ignore   bool
	flags    []string
	engine   []string
}

type domainSpec struct {
	name, zone string
	engines    int
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startSite starts platform, proxy, upstreams and daemons.
func (b *bench) startSite(spec siteSpec) error {
	var err error
	if b.platform, err = freeAddr(loopback(common)); err != nil {
		return err
	}
	if err := b.start("platform", "standin", "platform", "--listen", b.platform.String()); err != nil {
		return err
	}
	b.flags = spec.flags
	links, err := b.plan(spec)
	if err != nil {
		return err
	}
	if b.proxy, err = freeAddr(loopback(common)); err != nil {
		return err
	}
	args := append([]string{"standin", "proxy", "--listen", b.proxy.String()}, links...)
	if err := b.start("proxy", args...); err != nil {
		return err
	}
	if err := errors.Join(b.answers(b.platform), b.answers(b.proxy)); err != nil {
		return err
	}
	for _, d := range spec.domains {
		for n := range d.engines {
			if err := b.startEngine(d, n+1, spec); err != nil {
				return err
			}
		}
	}
	for n, name := range spec.services {
		id := name + "-1"
		args := []string{"standin", "service", "--service", name, "--id", id, "--zone", zones[n%len(zones)], "--domain", "services"}
		if err := b.start(id, append(args, b.upstreamArgs(id)...)...); err != nil {
			return err
		}
	}
	for n := range b.daemons {
		if err := b.startDaemon(n); err != nil {
			return err
		}
	}
	return nil
}

// awaitEngines waits until every daemon sees every engine alive. Groups are formed
// of the first engines that are known, and scripts name members: one that
// started late is in no group.
func (b *bench) awaitEngines() error {
	for _, d := range b.daemons {
		err := within(awaitFor, func() error {
			answer, err := b.ask(d.name, "show instances where state = alive")
			if err == nil && len(answer.Rows) != len(b.engines) {
				err = fmt.Errorf("%s sees %d of %d engines", d.name, len(answer.Rows), len(b.engines))
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// plan gives every process its addresses and returns the proxy's links.
func (b *bench) plan(spec siteSpec) ([]string, error) {
	var links []string
	link := func(name string, target netip.AddrPort) error {
		at, err := freeAddr(loopback(common))
		if err != nil {
			return err
		}
		b.addrs["link:"+name] = at
		links = append(links, fmt.Sprintf("%s=%s>%s", name, at, target))
		return nil
	}
	upstream := func(id string) error {
		at, err := freeAddr(loopback(common))
		if err != nil {
			return err
		}
		b.addrs[id] = at
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
	errs = append(errs, link("log", b.platform), link("list", b.platform))
	for n := range spec.daemons {
		d, err := b.planDaemon(n + 1)
		errs = append(errs, err)
		if err == nil {
			errs = append(errs, link("peer-"+d.name, d.peer))
		}
	}
	return links, errors.Join(errs...)
}

func (b *bench) planDaemon(n int) (*daemonAddrs, error) {
	d := &daemonAddrs{name: fmt.Sprintf("d%d", n), source: loopback(firstDaemon + byte(n))}
	for _, addr := range []*netip.AddrPort{&d.callers, &d.admin, &d.peer} {
		free, err := freeAddr(d.source)
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	b.daemons = append(b.daemons, d)
	return d, nil
}

func (b *bench) upstreamArgs(id string) []string {
	return []string{
		"--listen", b.addrs[id].String(), "--advertise", b.addrs["link:"+id].String(), "--platform", b.platform.String(),
	}
}

func (b *bench) startEngine(d domainSpec, n int, spec siteSpec) error {
	id := fmt.Sprintf("%s-%d", d.name, n)
	args := []string{"standin", "engine", "--id", id, "--zone", d.zone, "--domain", d.name, "--accelerators", "2"}
	args = append(append(args, b.upstreamArgs(id)...), spec.engine...)
	if spec.ignore {
		args = append(args, "--ignore-fences")
	}
	b.engines[models.InstanceID(id)] = b.addrs[id]
	return b.start(id, args...)
}

func (b *bench) startDaemon(n int) error {
	d := b.daemons[n]
	args := []string{
		"serve", "--id", d.name, "--zone", zones[n%len(zones)], "--source", d.source.String(),
		"--listen", d.callers.String(), "--admin", d.admin.String(), "--peer", d.peer.String(),
		"--advertise-peer", b.addrs["link:peer-"+d.name].String(),
		"--log", b.addrs["link:log"].String(), "--list", b.addrs["link:list"].String(),
		"--bootstrap-token", api.HashToken(operatorToken),
	}
	for _, other := range b.daemons {
		if other != d {
			args = append(args, "--peers", b.addrs["link:peer-"+other.name].String())
		}
	}
	return b.start(d.name, append(args, b.flags...)...)
}

// restart starts a process anew with the arguments it had.
func (b *bench) restart(name string) error {
	p := b.procs[name]
	if p == nil {
		return fmt.Errorf("no process %q", name)
	}
	return b.start(name, p.args...)
}

// answers waits until something accepts connections at the address.
func (b *bench) answers(addr netip.AddrPort) error {
	return within(startWithin, func() error {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			return err
		}
		return conn.Close()
	})
}

// within tries until there is no error or the time is up. The time is a
// bound on a test that fails, not on one that passes.
func within(d time.Duration, try func() error) error {
	deadline := time.Now().Add(d)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (b *bench) daemon(name string) (*daemonAddrs, error) {
	for _, d := range b.daemons {
		if d.name == name {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no daemon %q", name)
}

// post sends JSON to a stand-in's control address.
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
