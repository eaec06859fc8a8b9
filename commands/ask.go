package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/api"
	"github.com/lupinkeel/lupinkeel/config"
)

func init() {
	register(askCommand{})
	register(applyCommand{})
	register(diffCommand{})
}

// askCommand sends commands of the operators' language to a daemon.
type askCommand struct{}

func (askCommand) Aliases() []string { return []string{"ask", "a"} }
func (askCommand) Usage() string     { return "query a daemon, or change the configuration through it" }
func (askCommand) ArgsUsage() string { return "'COMMAND [; COMMAND ...]'" }
func (askCommand) Flags() []cli.Flag { return config.AskFlags() }

func (askCommand) Execute(c *cli.Context) error {
	text := strings.Join(c.Args().Slice(), " ")
	if strings.TrimSpace(text) == "" {
		return fmt.Errorf("%w: ask needs a command such as 'show groups'", ErrUsage)
	}
	return askDaemon(c, text, api.AskOptions{WaitAll: c.Bool("wait-all")})
}

// applyCommand makes the changes in a file of commands.
type applyCommand struct{}

func (applyCommand) Aliases() []string { return []string{"apply"} }
func (applyCommand) Usage() string     { return "make the changes in a file, all or none" }
func (applyCommand) ArgsUsage() string { return " " }

func (applyCommand) Flags() []cli.Flag {
	return append(config.AskFlags(),
		&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "file of commands, - for standard input"},
		&cli.BoolFlag{Name: "prune", Usage: "remove what the file does not set"},
	)
}

func (applyCommand) Execute(c *cli.Context) error {
	text, err := readCommands(c.String("file"))
	if err != nil {
		return err
	}
	return askDaemon(c, text, api.AskOptions{WaitAll: c.Bool("wait-all"), Prune: c.Bool("prune")})
}

// diffCommand shows what applyCommand would change.
type diffCommand struct{ applyCommand }

func (diffCommand) Aliases() []string { return []string{"diff"} }
func (diffCommand) Usage() string {
	return "show what apply would change, and what the planner would do first"
}

func (diffCommand) Execute(c *cli.Context) error {
	text, err := readCommands(c.String("file"))
	if err != nil {
		return err
	}
	return askDaemon(c, text, api.AskOptions{Diff: true, Prune: c.Bool("prune")})
}

func readCommands(path string) (string, error) {
	switch path {
	case "":
		return "", fmt.Errorf("%w: --file is missing", ErrUsage)
	case "-":
		data, err := io.ReadAll(os.Stdin)
		return string(data), err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUsage, err)
	}
	return string(data), nil
}

// askDaemon sends the text to a daemon and prints the response. It returns an error if a change
// was not accepted.
func askDaemon(c *cli.Context, text string, opts api.AskOptions) error {
	settings, err := config.LoadAsk(c)
	if err != nil {
		return err
	}
	response, err := api.Ask(c.Context, settings.Admin, settings.Token, text, opts)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if settings.JSON {
		if err := json.NewEncoder(c.App.Writer).Encode(response); err != nil {
			return err
		}
	} else {
		printResponse(c.App.Writer, response)
	}
	return responseError(response)
}

func responseError(a api.AskResponse) error {
	switch {
	case a.Error != nil:
		return fmt.Errorf("%w: %s", ErrUsage, a.Error.Message)
	case a.Change == nil:
		return nil
	case a.Change.Result == api.ChangeRejected:
		return fmt.Errorf("%w: %s%s", ErrRejected, a.Change.Reason, retryHint(a.Change))
	case a.Change.Result == api.ChangeUnknown:
		return fmt.Errorf("%w: %s", ErrUnknown, a.Change.Reason)
	default:
		return nil
	}
}

func retryHint(r *api.ChangeResult) string {
	if r.RetryAfterMS == 0 {
		return ""
	}
	return fmt.Sprintf("; nothing was changed, try again in %d ms", r.RetryAfterMS)
}

func printResponse(w io.Writer, a api.AskResponse) {
	printTable(w, a.Columns, a.Rows)
	if a.Text != "" {
		fmt.Fprintln(w, strings.TrimRight(a.Text, "\n"))
	}
	if c := a.Change; c != nil && (c.Result == api.ChangeAccepted || c.Result == api.ChangeRecorded) {
		fmt.Fprintf(w, "%s at revision %d, in force on %d of %d daemons\n", c.Result, c.Offset, c.InForce, c.Of)
	}
	if c := a.Change; c != nil && c.Result == api.ChangePlanned {
		fmt.Fprintln(w, "the change would be accepted")
	}
	if c := a.Change; c != nil && c.Result == api.ChangeWouldBeRejected {
		fmt.Fprintf(w, "the change would be refused: %s\n", c.Reason)
	}
}

// printTable prints the rows in aligned columns, separated by at least two spaces.
func printTable(w io.Writer, columns []string, rows [][]string) {
	if len(columns) == 0 {
		return
	}
	all := append([][]string{columns}, rows...)
	widths := make([]int, len(columns))
	for _, row := range all {
		for i, cell := range row {
			widths[i] = max(widths[i], len(cell))
		}
	}
	for _, row := range all {
		var b strings.Builder
		for i, cell := range row {
			fmt.Fprintf(&b, "%-*s  ", widths[i], cell)
		}
		fmt.Fprintln(w, strings.TrimRight(b.String(), " "))
	}
}
