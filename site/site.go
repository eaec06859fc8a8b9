// Package site runs a whole site on loopback in one process: the platform, engines, plain services
// and daemons. The demo and the measurements use it; tests of failures run separate processes
// instead.
package site

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/api"
	"github.com/lupinkeel/lupinkeel/config"
	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin"
)

// OperatorToken is the bootstrap token of the daemons of every site. CallerToken is the token that
// callers use once it is configured for a workspace.
const (
	OperatorToken = "site-operator"
	CallerToken   = "site-caller"
)

// Domain describes one fabric domain of a site.
type Domain struct {
	Name    models.Domain
	Zone    models.Zone
	Engines int
}

// Options configures a site.
type Options struct {
	Daemons int
	// Zones are assigned to the daemons in turn.
	Zones    []models.Zone
	Domains  []Domain
	Services []models.ServiceName
	// Engine configures each engine; its ID and Platform are filled in.
	Engine standin.EngineOptions
	// Accelerators is the number of accelerators of each engine.
	Accelerators int
	// OwnSourceAddrs gives each daemon its own loopback source address, and puts a fault-injecting
	// link in front of the platform.
	OwnSourceAddrs bool
	// AdjustSettings, if set, may change the settings of a daemon before it starts.
	AdjustSettings func(*config.Serve)
	Log            zerolog.Logger
}

// Node is one daemon of a site with its API server.
type Node struct {
	Daemon *daemon.Daemon
	Server *api.Server
	stop   context.CancelFunc
	tasks  []task.Task
}

// Site is a running site.
type Site struct {
	Platform     *standin.Platform
	PlatformAddr netip.AddrPort
	// Link is in front of the platform's log and list if OwnSourceAddrs is set.
	Link    *standin.Link
	Engines map[models.InstanceID]*standin.Engine
	Nodes   []*Node

	ctx   context.Context
	stop  context.CancelFunc
	opts  Options
	tasks []task.Task
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Start starts all parts of a site. Stop ends them.
func Start(ctx context.Context, opts Options) (*Site, error) {
	ctx, stop := context.WithCancel(ctx)
	s := &Site{
		Platform: standin.NewPlatform(), Engines: map[models.InstanceID]*standin.Engine{},
		ctx: ctx, stop: stop, opts: opts,
	}
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.Stop())
	}
	return s, nil
}

func (s *Site) start() error {
	server, err := standin.Listen(loopback, s.Platform.Handler())
	if err != nil {
		return err
	}
	s.PlatformAddr = server.Addr
	s.run("platform", server.Run)
	if s.opts.OwnSourceAddrs {
		if s.Link, err = standin.NewLink(loopback, server.Addr); err != nil {
			return err
		}
		s.run("link", s.Link.Run)
	}
	for _, d := range s.opts.Domains {
		for n := range d.Engines {
			if err := s.startEngine(d, n+1); err != nil {
				return err
			}
		}
	}
	for n, name := range s.opts.Services {
		if err := s.startService(name, s.opts.Zones[n%len(s.opts.Zones)]); err != nil {
			return err
		}
	}
	for range s.opts.Daemons {
		if _, err := s.StartDaemon(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) run(name string, run func(context.Context) error) {
	s.tasks = append(s.tasks, task.Start(s.ctx, name, run))
}

func (s *Site) startEngine(d Domain, n int) error {
	opts := s.opts.Engine
	opts.ID = models.InstanceID(fmt.Sprintf("%s-%d", d.Name, n))
	opts.Platform = s.PlatformAddr
	engine := standin.NewEngine(opts)
	server, err := standin.Listen(loopback, engine.Handler())
	if err != nil {
		return err
	}
	s.Engines[opts.ID] = engine
	s.run(string(opts.ID), server.Run)
	s.run(string(opts.ID)+"-members", engine.Run)
	s.Platform.List.Control(standin.ListControl{Put: []models.Instance{{
		ID: opts.ID, Kind: models.KindEngine, Addr: server.Addr, Zone: d.Zone, Domain: d.Name,
		Accelerators: max(1, s.opts.Accelerators), ChecksFences: !opts.IgnoreFences,
	}}})
	return nil
}

func (s *Site) startService(name models.ServiceName, zone models.Zone) error {
	server, err := standin.Listen(loopback, standin.NewService(string(name)).Handler())
	if err != nil {
		return err
	}
	s.run(string(name), server.Run)
	s.Platform.List.Control(standin.ListControl{Put: []models.Instance{{
		ID: models.InstanceID(name + "-1"), Kind: models.KindService, Addr: server.Addr,
		Zone: zone, Domain: models.Domain(zone + "-services"), Service: name,
	}}})
	return nil
}

// StartDaemon adds one daemon.
func (s *Site) StartDaemon() (*Node, error) {
	node, err := s.newNode(len(s.Nodes))
	if err == nil {
		s.Nodes = append(s.Nodes, node)
	}
	return node, err
}

func (s *Site) newNode(n int) (*Node, error) {
	settings := config.Defaults()
	settings.ID = models.DaemonID(fmt.Sprintf("daemon-%d", n+1))
	settings.Zone = s.opts.Zones[n%len(s.opts.Zones)]
	settings.Listen, settings.Admin, settings.Peer = loopback, loopback, loopback
	settings.Log, settings.List = s.PlatformAddr, s.PlatformAddr
	settings.BootstrapToken = api.HashToken(OperatorToken)
	settings.StopGrace = 0
	for i, other := range s.Nodes {
		if i == n {
			continue
		}
		settings.Peers = append(settings.Peers, other.Daemon.PeerAddr())
	}
	if s.opts.OwnSourceAddrs {
		settings.Source = SourceAddr(n)
		settings.Log, settings.List = s.Link.Addr, s.Link.Addr
	}
	if s.opts.AdjustSettings != nil {
		s.opts.AdjustSettings(&settings)
	}
	d, err := daemon.New(settings, s.opts.Log)
	if err != nil {
		return nil, err
	}
	server, err := api.New(settings, s.opts.Log, d)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(s.ctx)
	node := &Node{Daemon: d, Server: server, stop: stop}
	node.tasks = []task.Task{task.Start(ctx, "daemon", d.Run), task.Start(ctx, "server", server.Run)}
	return node, nil
}

// SourceAddr is the source address of the nth daemon, counted from 0.
func SourceAddr(n int) netip.Addr {
	const perBlock = 250
	return netip.AddrFrom4([4]byte{127, 0, byte(1 + n/perBlock), byte(1 + n%perBlock)})
}

// Replace stops the nth daemon and starts a new one under the same name at another address.
func (s *Site) Replace(n int) error {
	if err := s.Nodes[n].Stop(); err != nil {
		return err
	}
	node, err := s.newNode(n)
	if err != nil {
		return err
	}
	s.Nodes[n] = node
	return nil
}

// Stop stops the daemon and its API server.
func (n *Node) Stop() error {
	n.stop()
	return task.Wait(n.tasks...)
}

// Stop stops all parts of the site.
func (s *Site) Stop() error {
	s.stop()
	var errs []error
	for _, n := range s.Nodes {
		errs = append(errs, n.Stop())
	}
	return errors.Join(append(errs, task.Wait(s.tasks...))...)
}

// ErrNotReady is returned by WaitFor if the condition doesn't hold in time.
var ErrNotReady = errors.New("not ready in time")

// WaitFor waits until the condition holds on every daemon.
func (s *Site) WaitFor(ctx context.Context, description string, holds func(*daemon.View) bool) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		if s.holdsOnAll(holds) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", ErrNotReady, description)
		case <-tick.C:
		}
	}
}

func (s *Site) holdsOnAll(holds func(*daemon.View) bool) bool {
	for _, n := range s.Nodes {
		if !holds(n.Daemon.View()) {
			return false
		}
	}
	return true
}

// Ask sends an operator's command to one daemon.
func (s *Site) Ask(ctx context.Context, node int, text string) (api.AskResponse, error) {
	return api.Ask(ctx, s.Nodes[node].Server.AdminAddr(), OperatorToken, text, api.AskOptions{})
}
