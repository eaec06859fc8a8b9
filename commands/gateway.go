package commands

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/config"
	"github.com/lupinkeel/lupinkeel/gateway"
	"github.com/lupinkeel/lupinkeel/lib/entrance"
	"github.com/lupinkeel/lupinkeel/lib/logfmt"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
)

func init() { register(gatewayCommand{}) }

// gatewayCommand runs a daemon on the users' platform.
type gatewayCommand struct{}

func (gatewayCommand) Aliases() []string { return []string{"gateway"} }
func (gatewayCommand) Usage() string {
	return "run a daemon on the users' platform, between callers and upstreams"
}
func (gatewayCommand) ArgsUsage() string { return " " }

func (gatewayCommand) Flags() []cli.Flag { return append(config.GatewayFlags(), config.LogFlags()...) }

func (gatewayCommand) Execute(c *cli.Context) error {
	explicit := config.ExplicitFlags(c)
	err := config.ReadFile(c)
	settings, loadErr := config.LoadGateway(c)
	level, levelErr := config.LoadLog(c)
	if err := errors.Join(err, loadErr, levelErr); err != nil {
		return err
	}
	out := logfmt.NewAsync(c.App.Writer, maxQueuedLogLines)
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.Context))
	logWriter := task.Start(ctx, "log", out.Run)
	err = runGateway(c.Context, settings, explicit, logfmt.New(out, level))
	cancel()
	return errors.Join(err, task.Wait(logWriter))
}

// maxQueuedLogLines limits how many log lines wait to be written. It is enough for several
// seconds.
const maxQueuedLogLines = 4096

const (
	// heapMemoryRatio is the fraction of the allowed memory that is set as the garbage
	// collector's memory limit; the rest is for stacks and buffers.
	heapMemoryRatio = 0.6
	// bufferMemoryRatio is the fraction of the allowed memory that requests and responses may take.
	// Reading them takes up to twice as much.
	bufferMemoryRatio = 0.15
	megabyte          = 1 << 20
	// stallReportDelay is the time after the start during which a daemon does not report groups
	// as stalled. After this time it knows the requests of the other daemons and has measured a
	// few hundred pauses between events.
	stallReportDelay = 2 * time.Second
)

func runGateway(ctx context.Context, s config.Gateway, explicit map[string]string, log zerolog.Logger) error {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapMemoryRatio * s.MemoryMB * megabyte))
	}
	descriptors, err := entrance.DescriptorLimit()
	if err != nil {
		return fmt.Errorf("read the limit on descriptors: %w", err)
	}
	set := metrics.NewSet()
	traffic := gateway.Traffic()
	node := cluster.New(cluster.Settings{
		ID: s.ID, Zone: s.Zone, Peer: s.Peer, Store: s.Store, CPUCores: s.CPUCores, LeaseMin: s.LeaseMin, InstanceHeartbeat: s.InstanceHeartbeat,
		FirstStart: s.FirstStart,
	}, traffic, set, log)
	if err := node.Clock().CountSuspensions(timer.BootTime); err != nil {
		log.Warn().Err(err).Msg("suspensions-not-counted")
	}
	g := gateway.New(gateway.Settings{
		Zone: s.Zone, Regions: s.Regions.Map(), Listen: s.Listen, Ready: s.Ready, Admin: s.Metrics, MaxKeysProofAge: s.MaxKeysProofAge(), MaxConfigAge: s.ConfigBound,
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow, FirstStart: s.FirstStart, StopGrace: s.StopGrace,
		MaxBufferedBytes: int64(bufferMemoryRatio * s.MemoryMB * megabyte), CPUCores: s.CPUCores, MaxRequests: cmp.Or(s.MaxRequests, entrance.MaxRequests(descriptors, s.MemoryMB)), MaxConnections: entrance.MaxConnections(descriptors, s.MemoryMB),
		StallReportDelay: stallReportDelay,
	}, node, traffic, set, log)
	log.Info().Str("daemon", string(s.ID)).Str("zone", string(s.Zone)).Stringer("callers", s.Listen).Stringer("peer", s.Peer).
		Stringer("store", s.Store).Bool("strict-keys", s.StrictKeys).Dur("keys-proof", s.MaxKeysProofAge()).Msg("started")
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	running := task.Start(background, "node", node.Run)
	defer context.AfterFunc(ctx, node.Resign)()
	serving := task.Start(ctx, "gateway", g.Run)
	sizing := task.Start(background, "heap", func(ctx context.Context) error { return tuneGC(ctx, node) })
	reloading := task.Start(background, "reload", func(ctx context.Context) error { return reload(ctx, s, explicit, log) })
	watching := task.Start(background, "watchdog", node.Watch)
	err = task.WaitAny(ctx, running, serving, watching)
	if err != nil {
		cancel()
	}
	if err != nil && node.Hangs() {
		// Its goroutines don't end.
		return errors.Join(cluster.ErrHangs, err)
	}
	err = errors.Join(err, task.Wait(serving))
	if ctx.Err() != nil && err == nil {
		err = node.Leave(background)
	}
	cancel()
	err = errors.Join(err, task.Wait(running, sizing, reloading, watching))
	log.Info().Err(err).Msg("stopped")
	return err
}

// reload loads the settings again on each SIGHUP, by which the platform announces that they have
// changed, and logs whether they are valid. Changes take effect only at the next start.
func reload(ctx context.Context, s config.Gateway, explicit map[string]string, log zerolog.Logger) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hangups:
			reloaded, err := config.ReloadGateway(explicit)
			log.Info().Err(err).Bool("changed", err == nil && reloaded != s).Msg("settings-read")
		}
	}
}
