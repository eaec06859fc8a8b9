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

func init() { register(standinCommand{}) }

// standinCommand is the group of the commands that run a stand-in for the platform, an upstream
// or the network.
type standinCommand struct{}

func (standinCommand) Aliases() []string { return []string{"standin"} }
func (standinCommand) Usage() string {
	return "run a stand-in for the platform, an upstream or a network link"
}
func (standinCommand) ArgsUsage() string { return "platform | engine | service | proxy" }
func (standinCommand) Flags() []cli.Flag { return nil }

func (standinCommand) Subcommands() []Command {
	return []Command{standinPlatformCommand{}, standinEngineCommand{}, standinServiceCommand{}, standinProxyCommand{}}
}

func (standinCommand) Execute(c *cli.Context) error {
	return fmt.Errorf("%w: standin needs one of platform, engine, service, proxy; not %q", ErrUsage, c.Args().First())
}

// runStandin serves the handler, logs the bound address, and runs the background tasks of the
// stand-in.
func runStandin(c *cli.Context, addr netip.AddrPort, handler http.Handler, background ...func(context.Context, netip.AddrPort) error) error {
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
	for _, run := range background {
		tasks = append(tasks, task.Start(c.Context, "also", func(ctx context.Context) error { return run(ctx, server.Addr) }))
	}
	return task.Wait(tasks...)
}

type standinPlatformCommand struct{}

func (standinPlatformCommand) Aliases() []string { return []string{"platform"} }
func (standinPlatformCommand) Usage() string     { return "log, instance list and weight store" }
func (standinPlatformCommand) ArgsUsage() string { return " " }
func (standinPlatformCommand) Flags() []cli.Flag { return config.StandinFlags() }

func (standinPlatformCommand) Execute(c *cli.Context) error {
	listen, err := config.LoadListen(c)
	if err != nil {
		return err
	}
	return runStandin(c, listen, standin.NewPlatform().Handler())
}

type standinEngineCommand struct{}

func (standinEngineCommand) Aliases() []string { return []string{"engine"} }
func (standinEngineCommand) Usage() string     { return "a model engine, one member of a replica" }
func (standinEngineCommand) ArgsUsage() string { return " " }
func (standinEngineCommand) Flags() []cli.Flag { return config.EngineFlags() }

func (standinEngineCommand) Execute(c *cli.Context) error {
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
		announce(settings.UpstreamStandin),
	)
}

type standinServiceCommand struct{}

func (standinServiceCommand) Aliases() []string { return []string{"service"} }
func (standinServiceCommand) Usage() string {
	return "a plain service whose calls must not be repeated"
}
func (standinServiceCommand) ArgsUsage() string { return " " }
func (standinServiceCommand) Flags() []cli.Flag { return config.ServiceFlags() }

func (standinServiceCommand) Execute(c *cli.Context) error {
	settings, err := config.LoadService(c)
	if err != nil {
		return err
	}
	service := standin.NewService(string(settings.Instance.Service))
	return runStandin(c, settings.Listen, service.Handler(), announce(settings))
}

// announce returns a background task that adds an upstream to the platform's instance list.
func announce(u config.UpstreamStandin) func(context.Context, netip.AddrPort) error {
	return func(ctx context.Context, bound netip.AddrPort) error {
		instance := u.Instance
		if !instance.Addr.IsValid() {
			instance.Addr = bound
		}
		return standin.Announce(ctx, u.Platform, standin.ListControl{Put: []models.Instance{instance}})
	}
}

type standinProxyCommand struct{}

func (standinProxyCommand) Aliases() []string { return []string{"proxy"} }
func (standinProxyCommand) Usage() string     { return "TCP proxies that inject faults" }
func (standinProxyCommand) ArgsUsage() string { return "NAME=LISTEN>TARGET ..." }
func (standinProxyCommand) Flags() []cli.Flag { return config.StandinFlags() }

func (standinProxyCommand) Execute(c *cli.Context) error {
	listen, err := config.LoadListen(c)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	var linkRunners []func(context.Context, netip.AddrPort) error
	for _, arg := range c.Args().Slice() {
		name, link, err := parseLink(arg)
		if err != nil {
			return err
		}
		mux.Handle("POST /links/"+name, link.Handler())
		linkRunners = append(linkRunners, func(ctx context.Context, _ netip.AddrPort) error { return link.Run(ctx) })
	}
	return runStandin(c, listen, mux, linkRunners...)
}

func parseLink(arg string) (string, *standin.Link, error) {
	name, addrs, hasAddrs := strings.Cut(arg, "=")
	listenText, targetText, hasTarget := strings.Cut(addrs, ">")
	if !hasAddrs || !hasTarget {
		return "", nil, fmt.Errorf("%w: link %q is not NAME=LISTEN>TARGET", ErrUsage, arg)
	}
	listen, err := netip.ParseAddrPort(listenText)
	if err != nil {
		return "", nil, fmt.Errorf("%w: link %q: %w", ErrUsage, arg, err)
	}
	target, err := netip.ParseAddrPort(targetText)
	if err != nil {
		return "", nil, fmt.Errorf("%w: link %q: %w", ErrUsage, arg, err)
	}
	link, err := standin.NewLink(listen, target)
	return name, link, err
}
