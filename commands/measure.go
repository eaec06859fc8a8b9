package commands

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/measure"
)

func init() { register(measureCommand{}) }

// measureCommand is the group of the measurement commands.
type measureCommand struct{}

func (measureCommand) Aliases() []string { return []string{"measure"} }
func (measureCommand) Usage() string     { return "run a measurement on stand-ins and print the results" }
func (measureCommand) ArgsUsage() string { return "config | groups | requests | capacity" }
func (measureCommand) Flags() []cli.Flag { return nil }

func (measureCommand) Subcommands() []Command {
	return []Command{measureConfigCommand{}, measureGroupsCommand{}, measureRequestsCommand{}, measureCapacityCommand{}}
}

func (measureCommand) Execute(c *cli.Context) error {
	return fmt.Errorf("%w: no measurement %q", ErrUsage, c.Args().First())
}

// runMeasurement runs a measurement and prints its report: a table and, as the last line, a JSON
// object.
func runMeasurement(c *cli.Context, run func(context.Context) (measure.Report, error)) error {
	report, err := run(c.Context)
	if err != nil {
		return err
	}
	printTable(c.App.Writer, report.Table.Columns, report.Table.Rows)
	return report.WriteJSON(c.App.Writer)
}

// measureConfigCommand measures how long changes of the configuration take.
type measureConfigCommand struct{}

func (measureConfigCommand) Aliases() []string { return []string{"config"} }
func (measureConfigCommand) Usage() string {
	return "time until a change is in force everywhere, under faults"
}
func (measureConfigCommand) ArgsUsage() string { return " " }

func (measureConfigCommand) Flags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "daemons", Value: 9, Usage: "number of daemons"},
		&cli.IntFlag{Name: "changes", Value: 240, Usage: "number of changes"},
	}
}

func (measureConfigCommand) Execute(c *cli.Context) error {
	opts := measure.ConfigOptions{Daemons: c.Int("daemons"), Changes: c.Int("changes")}
	return runMeasurement(c, func(ctx context.Context) (measure.Report, error) { return measure.Config(ctx, opts) })
}

// measureGroupsCommand measures the planning of groups.
type measureGroupsCommand struct{}

func (measureGroupsCommand) Aliases() []string { return []string{"groups"} }
func (measureGroupsCommand) Usage() string {
	return "group downtime and stranded accelerators on traces of events"
}
func (measureGroupsCommand) ArgsUsage() string            { return " " }
func (measureGroupsCommand) Flags() []cli.Flag            { return nil }
func (measureGroupsCommand) Execute(c *cli.Context) error { return runMeasurement(c, measure.Groups) }

// measureRequestsCommand measures the routing of requests under increasing load.
type measureRequestsCommand struct{}

func (measureRequestsCommand) Aliases() []string { return []string{"requests"} }
func (measureRequestsCommand) Usage() string {
	return "time to first token, goodput and refusals at loads from below to three times the capacity"
}
func (measureRequestsCommand) ArgsUsage() string { return " " }

func (measureRequestsCommand) Flags() []cli.Flag {
	return []cli.Flag{&cli.DurationFlag{Name: "window", Value: 5 * time.Second, Usage: "duration of each load"}}
}

func (measureRequestsCommand) Execute(c *cli.Context) error {
	opts := measure.RequestOptions{Window: c.Duration("window"), Factors: []float64{0.7, 0.9, 1.2, 3}}
	return runMeasurement(c, func(ctx context.Context) (measure.Report, error) { return measure.Requests(ctx, opts) })
}

// measureCapacityCommand measures the resources that daemons use.
type measureCapacityCommand struct{}

func (measureCapacityCommand) Aliases() []string { return []string{"capacity"} }
func (measureCapacityCommand) Usage() string {
	return "resource use of a daemon by number of daemons, instances and groups"
}
func (measureCapacityCommand) ArgsUsage() string { return " " }

func (measureCapacityCommand) Flags() []cli.Flag {
	return []cli.Flag{
		&cli.IntSliceFlag{Name: "daemons", Value: cli.NewIntSlice(3, 9, 27, 81), Usage: "numbers of daemons to measure"},
		&cli.IntSliceFlag{Name: "instances", Value: cli.NewIntSlice(50, 100, 200), Usage: "numbers of instances to measure"},
		&cli.IntSliceFlag{Name: "groups", Value: cli.NewIntSlice(75, 300, 1300), Usage: "numbers of groups to measure"},
		&cli.DurationFlag{Name: "window", Value: 8 * time.Second, Usage: "duration of each measurement"},
	}
}

func (measureCapacityCommand) Execute(c *cli.Context) error {
	opts := measure.CapacityOptions{
		Daemons: c.IntSlice("daemons"), Instances: c.IntSlice("instances"), Groups: c.IntSlice("groups"), Window: c.Duration("window"),
	}
	return runMeasurement(c, func(ctx context.Context) (measure.Report, error) { return measure.Capacity(ctx, opts) })
}
