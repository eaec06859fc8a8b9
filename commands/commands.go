// Package commands implements the command line. Each command has its own file and registers
// itself in an init function.
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
	// ExitFailed means any error that has no exit code of its own.
	ExitFailed = 1
	// ExitUsage means that a flag, an argument, a setting or a command of the operators'
	// language is invalid.
	ExitUsage = 2
	// ExitRejected means that a change was rejected and did not take effect.
	ExitRejected = 3
	// ExitUnknown means that a change may have taken effect.
	ExitUnknown = 4
	// ExitUnreachable means that no daemon answered.
	ExitUnreachable = 5
)

// Errors with their own exit code.
var (
	ErrUsage       = errors.New("usage")
	ErrRejected    = errors.New("refused")
	ErrUnknown     = errors.New("outcome unknown")
	ErrUnreachable = errors.New("no daemon answered")
)

// Command is a command of the command line.
type Command interface {
	// Aliases returns the names of the command, the main name first.
	Aliases() []string
	// Usage returns the one-line description in the list of commands.
	Usage() string
	// ArgsUsage returns the syntax of the arguments.
	ArgsUsage() string
	Flags() []cli.Flag
	Execute(c *cli.Context) error
}

// commandGroup is a command with subcommands.
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
	case errors.Is(err, ErrRejected):
		return ExitRejected
	case errors.Is(err, ErrUnknown):
		return ExitUnknown
	case errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	default:
		return ExitFailed
	}
}
