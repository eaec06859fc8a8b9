package commands

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/measure"
)

func init() { register(measures{}) }

// measures groups the measurements.
type measures struct{}

func (measures) Aliases() []string { return []string{"measure"} }
func (measures) Usage() string     { return "run a measurement on stand-ins and print its figures" }
func (measures) ArgsUsage() string { return "config" }
func (measures) Flags() []cli.Flag { return nil }

func (measures) Subcommands() []Command { return []Command{measureConfig{}} }

func (measures) Execute(c *cli.Context) error {
	return fmt.Errorf("%w: no measurement %q", ErrUsage, c.Args().First())
}

// printReport prints the table and, as the last line, the JSON object.
func printReport(c *cli.Context, run func(context.Context) (measure.Report, error)) error {
	report, err := run(c.Context)
	if err != nil {
		return err
	}
	printTable(c.App.Writer, report.Table.Columns, report.Table.Rows)
	return report.WriteJSON(c.App.Writer)
}

// measureConfig measures changes of the configuration.
type measureConfig struct{}

func (measureConfig) Aliases() []string { return []string{"config"} }
func (measureConfig) Usage() string {
	return "time until a change is in force everywhere, under faults"
}
func (measureConfig) ArgsUsage() string { return " " }

func (measureConfig) Flags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "daemons", Value: 9, Usage: "daemons of the site"},
		&cli.IntFlag{Name: "changes", Value: 240, Usage: "changes made"},
	}
}

func (measureConfig) Execute(c *cli.Context) error {
	opts := measure.ConfigOptions{Daemons: c.Int("daemons"), Changes: c.Int("changes")}
	return printReport(c, func(ctx context.Context) (measure.Report, error) { return measure.Config(ctx, opts) })
}
