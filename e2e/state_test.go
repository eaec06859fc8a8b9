package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lupinkeel/lupinkeel/api"
	"github.com/lupinkeel/lupinkeel/worker/platform"
)

func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 4, "race DAEMON COMMAND DAEMON COMMAND")
	site := testSiteOf(ts)
	ends := make(chan string, 2)
	for i := 0; i < 4; i += 2 {
		go func() { ends <- site.askResult(args[i], args[i+1]) }()
	}
	first, second := <-ends, <-ends
	accepted := strings.Count(first+second, "accepted")
	if accepted != 1 || !strings.Contains(first+second, "refused") {
		ts.Fatalf("race: %s and %s", first, second)
	}
	fmt.Fprintln(ts.Stdout(), first)
	fmt.Fprintln(ts.Stdout(), second)
}

// askResult returns the result of a change, with the reason.
func (s *testSite) askResult(daemon, text string) string {
	response, err := s.ask(daemon, text)
	switch {
	case err != nil:
		return "silent: " + err.Error()
	case response.Error != nil:
		return "error: " + response.Error.Message
	case response.Change == nil:
		return "answered"
	default:
		return string(response.Change.Result) + ": " + response.Change.Reason
	}
}

func cmdBackgroundAsk(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "bgask NAME DAEMON COMMAND")
	site := testSiteOf(ts)
	end := make(chan string, 1)
	site.backgroundCommands[args[0]] = end
	go func() { end <- site.askResult(args[1], args[2]) }()
}

func cmdBackgroundEnd(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 2, "bgend NAME RESULT")
	got := <-testSiteOf(ts).backgroundCommands[args[0]]
	if !strings.HasPrefix(got, args[1]) {
		ts.Fatalf("%s ended with %q instead of %s", args[0], got, args[1])
	}
	fmt.Fprintln(ts.Stdout(), got)
}

func cmdSameState(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(retryFor(awaitTimeout, func() error { return testSiteOf(ts).sameState(args) }))
}

var errDiffer = errors.New("states differ")

func (s *testSite) sameState(daemons []string) error {
	const applied, digest = 1, 3
	seen := map[string]string{}
	var first string
	for _, d := range daemons {
		response, err := s.ask(d, "show state")
		if err != nil {
			return err
		}
		if len(response.Rows) != 1 {
			return fmt.Errorf("%w: %s answered %v", errDiffer, d, response.Error)
		}
		row := response.Rows[0]
		if other, ok := seen[row[applied]]; ok && other != row[digest] {
			panic(fmt.Sprintf("at offset %s daemons hold %s and %s", row[applied], other, row[digest]))
		}
		seen[row[applied]] = row[digest]
		if first == "" {
			first = row[applied]
		}
		if row[applied] != first {
			return fmt.Errorf("%w: %s is at %s, another at %s", errDiffer, d, row[applied], first)
		}
	}
	return nil
}

// cmdReappend appends every record of the log once more, as a very late retry does.
func cmdReappend(ts *testscript.TestScript, _ bool, _ []string) {
	base := fmt.Sprintf("http://%s/log/%s", testSiteOf(ts).platform, platform.StreamState)
	response, err := fetch[platform.ReadResponse](base + "?from=1")
	ts.Check(err)
	for _, e := range response.Entries {
		resp, err := http.Post(base, "application/octet-stream", bytes.NewReader(e.Data))
		ts.Check(err)
		resp.Body.Close()
	}
}

func cmdRepeat(ts *testscript.TestScript, _ bool, args []string) {
	requireArgs(ts, args, 3, "repeat N DAEMON COMMAND")
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	for i := range n {
		text := strings.ReplaceAll(args[2], "%d", strconv.Itoa(i))
		response, err := testSiteOf(ts).ask(args[1], text)
		ts.Check(err)
		if response.Change == nil || response.Change.Result != api.ChangeAccepted {
			ts.Fatalf("%s: %+v %+v", text, response.Change, response.Error)
		}
	}
}
