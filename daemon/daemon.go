// Package daemon assembles one daemon: an owner goroutine that holds all state, and workers that
// do the network I/O. The owner publishes immutable views; other goroutines read the views and
// send the owner messages.
package daemon

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lupinkeel/lupinkeel/config"
	"github.com/lupinkeel/lupinkeel/lib/dial"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/engine"
	"github.com/lupinkeel/lupinkeel/worker/peer"
	"github.com/lupinkeel/lupinkeel/worker/platform"
	"github.com/lupinkeel/lupinkeel/worker/service"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	inboxLen       = 256
	numAppenders   = 4
	numOrderers    = 8
	orderQueueLen  = 64
	appendQueueLen = 64
)

// Daemon is one lupinkeel daemon without its HTTP servers.
type Daemon struct {
	cfg         config.Serve
	log         zerolog.Logger
	clock       *timer.Service
	incarnation uint64
	// responseCount counts the heartbeat responses sent.
	responseCount atomic.Uint64
	view          atomic.Pointer[View]
	stats         *stats
	trail         *trail

	platform *platform.Client
	engines  *engine.Client
	peers    *peer.Client
	server   *peer.Server
	peerAddr netip.AddrPort

	inbox     chan types.Message
	proposals chan proposal
	claims    chan claimRequest
	// snapshotRequests carries requests for a snapshot of the state.
	snapshotRequests chan chan<- []byte
	appends          chan types.Append
	orders           chan types.Dispatch
	seeks            chan models.Offset
	engineAddrs      chan map[models.InstanceID]netip.AddrPort
	serviceAddrs     chan map[models.InstanceID]netip.AddrPort
	peerAddrs        chan map[netip.AddrPort]struct{}
}

// New creates a daemon and binds its peer address.
func New(cfg config.Serve, log zerolog.Logger) (*Daemon, error) {
	now := time.Now()
	d := &Daemon{
		cfg:              cfg,
		log:              log.With().Str("daemon", string(cfg.ID)).Logger(),
		clock:            timer.New(now),
		incarnation:      uint64(now.UnixNano()),
		stats:            newStats(),
		trail:            newTrail(),
		inbox:            make(chan types.Message, inboxLen),
		proposals:        make(chan proposal),
		claims:           make(chan claimRequest),
		snapshotRequests: make(chan chan<- []byte),
		appends:          make(chan types.Append, appendQueueLen),
		orders:           make(chan types.Dispatch, orderQueueLen),
		seeks:            make(chan models.Offset, 1),
		engineAddrs:      make(chan map[models.InstanceID]netip.AddrPort, 1),
		serviceAddrs:     make(chan map[models.InstanceID]netip.AddrPort, 1),
		peerAddrs:        make(chan map[netip.AddrPort]struct{}, 1),
	}
	d.platform = platform.NewClient(cfg.Log, cfg.List, d.dialer(d.stats.countPlatform))
	d.engines = engine.NewClient(d.dialer(d.stats.countWatch))
	d.peers = peer.NewClient(d.dialer(d.stats.countPeers))
	d.server = &peer.Server{Handler: d, Log: d.log, CountBytes: d.stats.countPeers}
	addr, err := d.server.Listen(cfg.Peer)
	if err != nil {
		return nil, err
	}
	d.peerAddr = addr
	if cfg.AdvertisePeer.IsValid() {
		d.peerAddr = cfg.AdvertisePeer
	}
	d.view.Store(emptyView())
	return d, nil
}

func (d *Daemon) dialer(count dial.CountFunc) dial.Dialer {
	return dial.Dialer{Source: d.cfg.Source, Count: count}
}

// ID returns the daemon's name.
func (d *Daemon) ID() models.DaemonID { return d.cfg.ID }

// PeerAddr returns the address at which other daemons reach this one.
func (d *Daemon) PeerAddr() netip.AddrPort { return d.peerAddr }

// View returns the latest published view.
func (d *Daemon) View() *View { return d.view.Load() }

// Run runs the daemon until the context ends or one of its tasks ends.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := newOwner(d)
	follower := &platform.Follower{
		Client: d.platform, Stream: platform.StreamState, Next: 1, Seek: d.seeks, Out: d.inbox,
	}
	listTicks := d.clock.Subscribe(d.cfg.ListEvery)
	parts := map[string]func(context.Context) error{
		"owner":       o.run,
		"clock":       d.clock.Run,
		"follower":    follower.Run,
		"list":        func(ctx context.Context) error { return d.platform.PollInstances(ctx, listTicks, d.inbox) },
		"engines":     d.engineWatcher(),
		"services":    d.serviceWatcher(),
		"heartbeats":  d.heartbeatSender(),
		"peer-server": d.server.Run,
		"trail":       d.trailWriter(d.clock.Subscribe(d.cfg.TrailEvery)),
	}
	var tasks []task.Task
	for name, run := range parts {
		tasks = append(tasks, task.Start(ctx, name, run))
	}
	for range numAppenders {
		a := &platform.Appender{Client: d.platform, Appends: d.appends, Out: d.inbox}
		tasks = append(tasks, task.Start(ctx, "appender", a.Run))
	}
	for range numOrderers {
		r := &engine.Orderer{Client: d.engines, Orders: d.orders, Out: d.inbox}
		tasks = append(tasks, task.Start(ctx, "orderer", r.Run))
	}
	err := task.WaitAny(ctx, tasks...)
	cancel()
	return errors.Join(err, task.Wait(tasks...))
}

func (d *Daemon) engineWatcher() func(context.Context) error {
	ticks := d.clock.Subscribe(d.cfg.WatchEvery)
	return func(ctx context.Context) error { return d.engines.Watch(ctx, ticks, d.engineAddrs, d.inbox) }
}

func (d *Daemon) serviceWatcher() func(context.Context) error {
	ticks := d.clock.Subscribe(d.cfg.WatchEvery)
	return func(ctx context.Context) error {
		return service.Watch(ctx, d.dialer(d.stats.countWatch), ticks, d.serviceAddrs, d.inbox)
	}
}
