package commands

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/config"
	"github.com/lupinkeel/lupinkeel/lib/logfmt"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/standin"
)

func init() { register(standins{}) }

// standins groups the stand-ins for what lupinkeel runs between.
type standins struct{}

func (standins) Aliases() []string { return []string{"standin"} }
func (standins) Usage() string     { return "run a small stand-in for the platform or an upstream" }
func (standins) ArgsUsage() string { return "platform | engine | service | proxy" }
func (standins) Flags() []cli.Flag { return nil }

func (standins) Subcommands() []Command {
	return []Command{standinPlatform{}, standinEngine{}, standinService{}, standinProxy{}}
}

func (standins) Execute(c *cli.Context) error {
	return fmt.Errorf("%w: standin needs one of platform, engine, service, proxy; not %q", ErrUsage, c.Args().First())
}

// runStandin serves the handler, tells the log where, and runs what else
// the stand-in does.
func runStandin(c *cli.Context, addr netip.AddrPort, handler http.Handler, also ...func(context.Context, netip.AddrPort) error) error {
	server, err := standin.Listen(addr, handler)
	if err != nil {
		return err
	}
	level, err := config.LoadLog(c)
	if err != nil {
		return err
	}
	log := logfmt.New(c.App.ErrWriter, level)
	log.Info().Str("standin", c.Command.Name).Stringer("addr", server.Addr).Msg("listening")
	tasks := []task.Task{task.Start(c.Context, c.Command.Name, server.Run)}
	for _, run := range also {
		tasks = append(tasks, task.Start(c.Context, "also", func(ctx context.Context) error { return run(ctx, server.Addr) }))
	}
	return task.Wait(tasks...)
}

type standinPlatform struct{}

func (standinPlatform) Aliases() []string { return []string{"platform"} }
func (standinPlatform) Usage() string     { return "log, instance list and weight store" }
func (standinPlatform) ArgsUsage() string { return " " }
func (standinPlatform) Flags() []cli.Flag { return config.StandinFlags() }

func (standinPlatform) Execute(c *cli.Context) error {
	listen, err := config.LoadListen(c)
	if err != nil {
		return err
	}
	return runStandin(c, listen, standin.NewPlatform().Handler())
}

type standinEngine struct{}

func (standinEngine) Aliases() []string { return []string{"engine"} }
func (standinEngine) Usage() string     { return "a model engine, one member of a replica" }
func (standinEngine) ArgsUsage() string { return " " }
func (standinEngine) Flags() []cli.Flag { return config.EngineFlags() }

func (standinEngine) Execute(c *cli.Context) error {
	settings, err := config.LoadEngine(c)
	if err != nil {
		return err
	}
	engine := standin.NewEngine(standin.EngineOptions{
		ID: settings.Instance.ID, Platform: settings.Platform, IgnoreFences: !settings.Instance.ChecksFences,
		Load: settings.Load, Prefill: settings.Prefill, TokenGap: settings.TokenGap, Slots: settings.Slots,
		ReportLag: settings.ReportLag, CachePrefixes: settings.CachePrefixes,
	})
	return runStandin(c, settings.Listen, engine.Handler(),
		func(ctx context.Context, _ netip.AddrPort) error { return engine.Run(ctx) },
		announce(settings.Upstream),
	)
}

type standinService struct{}

func (standinService) Aliases() []string { return []string{"service"} }
func (standinService) Usage() string     { return "a plain service whose calls may not be repeated" }
func (standinService) ArgsUsage() string { return " " }
func (standinService) Flags() []cli.Flag { return config.ServiceFlags() }

func (standinService) Execute(c *cli.Context) error {
	settings, err := config.LoadService(c)
	if err != nil {
		return err
	}
	service := standin.NewService(string(settings.Instance.Service))
	return runStandin(c, settings.Listen, service.Handler(), announce(settings))
}

// announce puts an upstream onto the platform's list once it is bound.
func announce(u config.Upstream) func(context.Context, netip.AddrPort) error {
	return func(ctx context.Context, bound netip.AddrPort) error {
		instance := u.Instance
		if !instance.Addr.IsValid() {
			instance.Addr = bound
		}
		return standin.Announce(ctx, u.Platform, standin.ListControl{Put: []models.Instance{instance}})
	}
}

type standinProxy struct{}

func (standinProxy) Aliases() []string { return []string{"proxy"} }
func (standinProxy) Usage() string     { return "TCP links that inject faults" }
func (standinProxy) ArgsUsage() string { return "NAME=LISTEN>TARGET ..." }
func (standinProxy) Flags() []cli.Flag { return config.StandinFlags() }

func (standinProxy) Execute(c *cli.Context) error {
	listen, err := config.LoadListen(c)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	var runs []func(context.Context, netip.AddrPort) error
	for _, arg := range c.Args().Slice() {
		name, link, err := parseLink(arg)
		if err != nil {
			return err
		}
		mux.Handle("POST /links/"+name, link.Handler())
		runs = append(runs, func(ctx context.Context, _ netip.AddrPort) error { return link.Run(ctx) })
	}
	return runStandin(c, listen, mux, runs...)
}

func parseLink(arg string) (string, *standin.Link, error) {
	name, addrs, ok := strings.Cut(arg, "=")
	from, to, ok2 := strings.Cut(addrs, ">")
	if !ok || !ok2 {
		return "", nil, fmt.Errorf("%w: link %q is not NAME=LISTEN>TARGET", ErrUsage, arg)
	}
	listen, err := netip.ParseAddrPort(from)
	if err != nil {
		return "", nil, fmt.Errorf("%w: link %q: %w", ErrUsage, arg, err)
	}
	target, err := netip.ParseAddrPort(to)
	if err != nil {
		return "", nil, fmt.Errorf("%w: link %q: %w", ErrUsage, arg, err)
	}
	link, err := standin.NewLink(listen, target)
	return name, link, err
}
