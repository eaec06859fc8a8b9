package commands

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/config"
	"github.com/lupinkeel/lupinkeel/lib/latency"
	"github.com/lupinkeel/lupinkeel/load"
	"github.com/lupinkeel/lupinkeel/router"
)

func init() { register(loadCommand{}) }

// loadCommand runs the load generator and prints its report.
type loadCommand struct{}

func (loadCommand) Aliases() []string { return []string{"load"} }
func (loadCommand) Usage() string {
	return "send requests at a steady rate and report results and latencies"
}
func (loadCommand) ArgsUsage() string { return " " }
func (loadCommand) Flags() []cli.Flag { return config.LoadTestFlags() }

func (loadCommand) Execute(c *cli.Context) error {
	settings, err := config.LoadLoadTest(c)
	if err != nil {
		return err
	}
	opts := load.Options{
		Targets: settings.Targets, Model: settings.Model, Rate: settings.Rate, Duration: settings.Duration,
		Prompt: settings.PromptBytes, OutputTokens: settings.OutputTokens, Prefixes: settings.Prefixes,
		Timeout: settings.Timeout, Seed: uint64(settings.Seed),
	}
	for _, token := range settings.Tokens {
		opts.Callers = append(opts.Callers, load.Caller{Token: token, Weight: 1})
	}
	report, err := load.Run(c.Context, opts, func(r load.Report) {
		fmt.Fprintf(c.App.ErrWriter, "%4.0f s  sent %d  whole %d  first token p95 %.1f ms\n",
			r.Seconds, r.Sent, r.Outcomes[router.OutcomeComplete], r.FirstToken.P95)
	})
	if err != nil {
		return err
	}
	if settings.JSON {
		return json.NewEncoder(c.App.Writer).Encode(report)
	}
	printLoadReport(c.App.Writer, report)
	return nil
}

func printLoadReport(w io.Writer, r load.Report) {
	var rows [][]string
	for _, end := range []router.Outcome{
		router.OutcomeComplete, router.OutcomeNotRun, router.OutcomeMayHaveRun, load.OutcomeBroken, load.OutcomeTruncated, load.OutcomeExtraEvents, load.OutcomeNoResponse,
	} {
		rows = append(rows, []string{string(end), fmt.Sprint(r.Outcomes[end])})
	}
	printTable(w, []string{"end", "requests"}, rows)
	fmt.Fprintf(w, "sent %d in %.1f s, goodput %.1f/s, %.0f tokens/s\n", r.Sent, r.Seconds, r.Goodput, float64(r.Tokens)/r.Seconds)
	percentileRow := func(p latency.Percentiles) []string {
		return []string{fmt.Sprintf("%.1f", p.P50), fmt.Sprintf("%.1f", p.P95), fmt.Sprintf("%.1f", p.P99), fmt.Sprintf("%.1f", p.Max)}
	}
	printTable(w, []string{"ms", "p50", "p95", "p99", "max"}, [][]string{
		append([]string{"first token"}, percentileRow(r.FirstToken)...),
		append([]string{"between tokens"}, percentileRow(r.InterToken)...),
		append([]string{"refusal"}, percentileRow(r.Rejection)...),
	})
}
