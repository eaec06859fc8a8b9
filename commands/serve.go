package commands

import (
	"context"
	"errors"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/api"
	"github.com/lupinkeel/lupinkeel/config"
	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/lib/logfmt"
	"github.com/lupinkeel/lupinkeel/lib/task"
)

func init() { register(serveCommand{}) }

// serveCommand runs a daemon.
type serveCommand struct{}

func (serveCommand) Aliases() []string { return []string{"serve"} }
func (serveCommand) Usage() string     { return "run a daemon between callers and upstreams" }
func (serveCommand) ArgsUsage() string { return " " }

func (serveCommand) Flags() []cli.Flag { return append(config.ServeFlags(), config.LogFlags()...) }

func (serveCommand) Execute(c *cli.Context) error {
	settings, err := config.LoadServe(c)
	level, levelErr := config.LoadLog(c)
	if err := errors.Join(err, levelErr); err != nil {
		return err
	}
	return RunDaemon(c.Context, settings, logfmt.New(c.App.ErrWriter, level))
}

// RunDaemon runs a daemon until ctx ends and then stops it gracefully: it waits for the requests
// in flight while the daemon continues to apply the log and to poll instances.
func RunDaemon(ctx context.Context, settings config.Serve, log zerolog.Logger) error {
	d, err := daemon.New(settings, log)
	if err != nil {
		return err
	}
	server, err := api.New(settings, log, d)
	if err != nil {
		return err
	}
	log.Info().Str("daemon", string(settings.ID)).Stringer("callers", server.Addr()).Stringer("admin", server.AdminAddr()).
		Stringer("peer", d.PeerAddr()).Msg("listening")
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	running := task.Start(background, "daemon", d.Run)
	serving := task.Start(ctx, "server", server.Run)
	err = task.WaitAny(ctx, running, serving)
	if err != nil {
		cancel()
	}
	err = errors.Join(err, task.Wait(serving))
	cancel()
	return errors.Join(err, task.Wait(running))
}
