// Package commands is the command line: a file for each command. A command
// registers itself, names its aliases and executes.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/config"
)

// Version is the version of this program.
const Version = "0.1.0"

// Exit codes, for scripts.
const (
	ExitOK = 0
	// ExitFailed: something else went wrong.
	ExitFailed = 1
	// ExitUsage: a flag, an argument or a command of the language is wrong.
	ExitUsage = 2
	// ExitRefused: a change was refused and did not take effect.
	ExitRefused = 3
	// ExitUnknown: a change may have taken effect.
	ExitUnknown = 4
	// ExitUnreachable: no daemon answered.
	ExitUnreachable = 5
)

// Errors that have an exit code of their own.
var (
	ErrUsage       = errors.New("usage")
	ErrRefused     = errors.New("refused")
	ErrUnknown     = errors.New("outcome unknown")
	ErrUnreachable = errors.New("no daemon answered")
)

// Command is one command of the command line.
type Command interface {
	// Aliases are the command's names, the usual one first.
	Aliases() []string
	// Usage is one line for the list of commands.
	Usage() string
	// ArgsUsage names the arguments.
	ArgsUsage() string
	Flags() []cli.Flag
	Execute(c *cli.Context) error
}

// group is a command that has commands of its own.
type commandGroup interface{ Subcommands() []Command }

var registered []Command

func register(c Command) { registered = append(registered, c) }

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := app(stdout, stderr).RunContext(ctx, args)
	if err != nil {
		fmt.Fprintf(stderr, "lupinkeel: %v\n", err)
	}
	return exitCode(err)
}

func app(stdout, stderr io.Writer) *cli.App {
	return &cli.App{
		Name:                 "lupinkeel",
		Usage:                "serve models whose replicas span several machines",
		Version:              Version,
		Writer:               stdout,
		ErrWriter:            stderr,
		EnableBashCompletion: true,
		HideHelpCommand:      true,
		Commands:             cliCommands(registered),
		OnUsageError:         usageError,
		ExitErrHandler:       func(*cli.Context, error) {},
		Action:               noCommand,
	}
}

func cliCommands(commands []Command) []*cli.Command {
	out := make([]*cli.Command, 0, len(commands))
	for _, c := range commands {
		names := c.Aliases()
		command := &cli.Command{
			Name: names[0], Aliases: names[1:], Usage: c.Usage(), ArgsUsage: c.ArgsUsage(),
			Flags: c.Flags(), Action: c.Execute, OnUsageError: usageError, HideHelpCommand: true,
		}
		if g, ok := c.(commandGroup); ok {
			command.Subcommands = cliCommands(g.Subcommands())
		}
		out = append(out, command)
	}
	return out
}

func usageError(_ *cli.Context, err error, _ bool) error {
	return fmt.Errorf("%w: %w", ErrUsage, err)
}

func noCommand(c *cli.Context) error {
	if c.Args().Present() {
		return fmt.Errorf("%w: no command %q; lupinkeel --help lists them", ErrUsage, c.Args().First())
	}
	return cli.ShowAppHelp(c)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage), errors.Is(err, config.ErrSetting):
		return ExitUsage
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, ErrUnknown):
		return ExitUnknown
	case errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}
