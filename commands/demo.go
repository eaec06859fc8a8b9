package commands

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v2"

	"github.com/lupinkeel/lupinkeel/api"
	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/lib/logfmt"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/site"
	"github.com/lupinkeel/lupinkeel/standin"
)

func init() { register(demoCommand{}) }

// demoCommand runs a small site with all its parts in this process.
type demoCommand struct{}

func (demoCommand) Aliases() []string { return []string{"demo"} }
func (demoCommand) Usage() string     { return "run a small site with all its parts in this process" }
func (demoCommand) ArgsUsage() string { return " " }

func (demoCommand) Flags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "once", Usage: "send sample requests, print where each was served, and exit"},
		&cli.BoolFlag{Name: "verbose", Usage: "print the logs of the daemons"},
	}
}

const demoReadyTimeout = 15 * time.Second

func (demoCommand) Execute(c *cli.Context) error {
	level := zerolog.ErrorLevel
	if c.Bool("verbose") {
		level = zerolog.InfoLevel
	}
	s, err := site.Start(c.Context, demoSite(logfmt.New(c.App.ErrWriter, level)))
	if err != nil {
		return err
	}
	out := c.App.Writer
	err = configureDemo(c.Context, s)
	if err == nil && c.Bool("once") {
		err = sendSamples(c.Context, out, s)
	} else if err == nil {
		printDemoHelp(out, s)
		<-c.Context.Done()
	}
	return errors.Join(err, s.Stop())
}

func demoSite(log zerolog.Logger) site.Options {
	return site.Options{
		Daemons: 6,
		Zones:   []models.Zone{"zone-a", "zone-b", "zone-c"},
		Domains: []site.Domain{
			{Name: "fabric-a", Zone: "zone-a", Engines: 5},
			{Name: "fabric-b", Zone: "zone-b", Engines: 5},
			{Name: "fabric-c", Zone: "zone-c", Engines: 5},
		},
		Services:     []models.ServiceName{"catalogue"},
		Accelerators: 2,
		Engine: standin.EngineOptions{
			Load: 300 * time.Millisecond, Prefill: time.Millisecond, TokenGap: 2 * time.Millisecond,
			Slots: 8, ReportLag: time.Second, CachePrefixes: 256,
		},
		Log: log,
	}
}

// demoConfig holds commands as in a file that an operator applies. The token of operator demo is
// the one that printDemoHelp prints.
var demoConfig = `
set model brief version v1 members 4 replicas 2
set model digest version v1 members 4 replicas 1
set service catalogue
set workspace observatory models brief, digest services catalogue share 3
  tokens ` + api.HashToken(site.CallerToken) + `
set operator demo right change tokens ` + api.HashToken(site.OperatorToken) + `
`

func configureDemo(ctx context.Context, s *site.Site) error {
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	ready := func(v *daemon.View) bool { return v.Current(time.Now()) && len(v.State.Daemons) == len(s.Nodes) }
	if err := s.WaitFor(ctx, "all daemons on the roster", ready); err != nil {
		return err
	}
	response, err := s.Ask(ctx, 0, demoConfig)
	if err != nil {
		return err
	}
	if err := responseError(response); err != nil {
		return err
	}
	return s.WaitFor(ctx, "three groups serving", func(v *daemon.View) bool { return servingGroups(v) == 3 })
}

func servingGroups(v *daemon.View) int {
	open := 0
	for _, gate := range v.Table.Gates {
		if gate.Open(time.Now()) {
			open++
		}
	}
	return open
}

func printDemoHelp(out io.Writer, s *site.Site) {
	node := s.Nodes[0].Server
	fmt.Fprintf(out, `lupinkeel demo: %d daemons, %d engines, 1 plain service, all in this process.

Send requests:
  curl -i http://%[3]s/v1/chat/completions -H 'Authorization: Bearer %[4]s' \
    -d '{"model":"brief","messages":[{"role":"user","content":"tremor near Racha"}]}'
  curl -iN http://%[3]s/v1/chat/completions -H 'Authorization: Bearer %[4]s' \
    -d '{"model":"digest","stream":true,"messages":[{"role":"user","content":"quiet period"}]}'
  curl -i http://%[3]s/services/catalogue/pull -H 'Authorization: Bearer %[4]s'

Run operator commands:
  export LUPINKEEL_ADMIN=%[5]s LUPINKEEL_TOKEN=%[6]s
  lupinkeel ask 'show groups'
  lupinkeel ask 'show instances where domain = "fabric-a"'
  lupinkeel ask 'why stranded'
  lupinkeel ask 'set model digest replicas 0 because "night shift"'

Press Ctrl-C to stop.
`, len(s.Nodes), len(s.Engines), node.Addr(), site.CallerToken, node.AdminAddr(), site.OperatorToken)
}

// sample is a request that the demo sends.
type sample struct {
	name   string
	method string
	path   string
	body   string
	// isComplete reports whether the body of the response is complete.
	isComplete func(body string) bool
}

const (
	samplePrompt = "tremor near Racha"
	sampleTokens = 12
)

func chatBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		model, stream, sampleTokens, samplePrompt)
}

func samples() []sample {
	lastToken := standin.Token(samplePrompt+"\n", sampleTokens-1)
	fullText := standin.Completion(samplePrompt+"\n", sampleTokens)
	hasFullText := func(body string) bool { return strings.Contains(body, strings.TrimSpace(fullText)) }
	hasFullStream := func(body string) bool {
		return strings.Contains(body, strings.TrimSpace(lastToken)) && strings.HasSuffix(body, "data: [DONE]\n\n")
	}
	const chat = "/v1/chat/completions"
	return []sample{
		{"unary brief", http.MethodPost, chat, chatBody("brief", false), hasFullText},
		{"streamed brief", http.MethodPost, chat, chatBody("brief", true), hasFullStream},
		{"unary digest", http.MethodPost, chat, chatBody("digest", false), hasFullText},
		{"streamed digest", http.MethodPost, chat, chatBody("digest", true), hasFullStream},
		{"plain call", http.MethodGet, "/services/catalogue/pull", "", func(body string) bool { return strings.Contains(body, `"path":"/pull"`) }},
		{"plain call, not repeatable", http.MethodPost, "/services/catalogue/ping", "station 7", func(body string) bool { return strings.Contains(body, "station 7") }},
	}
}

// errIncomplete is returned if a sample request did not get a complete response.
var errIncomplete = errors.New("incomplete responses")

// sendSamples sends the samples to the daemons in turn and prints a table of the results.
func sendSamples(ctx context.Context, out io.Writer, s *site.Site) error {
	var rows [][]string
	failed := 0
	for n, sample := range samples() {
		node := s.Nodes[n%len(s.Nodes)]
		row, complete := sendSample(ctx, node.Server.Addr().String(), sample)
		if !complete {
			failed++
		}
		rows = append(rows, row)
	}
	printTable(out, []string{"request", "status", "whole", "daemon", "group", "instances", "zone", "domain"}, rows)
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d", errIncomplete, failed, len(rows))
	}
	return nil
}

func sendSample(ctx context.Context, addr string, s sample) (row []string, complete bool) {
	req, err := http.NewRequestWithContext(ctx, s.method, "http://"+addr+s.path, bytes.NewReader([]byte(s.body)))
	if err != nil {
		return []string{s.name, err.Error()}, false
	}
	req.Header.Set("Authorization", "Bearer "+site.CallerToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return []string{s.name, err.Error()}, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	complete = err == nil && resp.StatusCode == http.StatusOK && s.isComplete(string(body))
	h := resp.Header
	return []string{
		s.name, resp.Status, fmt.Sprint(complete), h.Get(api.HeaderDaemon), h.Get(api.HeaderGroup),
		h.Get(api.HeaderInstances), h.Get(api.HeaderZone), h.Get(api.HeaderDomain),
	}, complete
}
