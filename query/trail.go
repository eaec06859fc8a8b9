package query

import (
	"fmt"
	"strings"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// noOutcome is shown for a request that has no outcome yet, or whose daemon failed before
// it recorded one.
const noOutcome = "in-flight or lost"

func outcomeOf(e models.TrailEntry) string {
	if e.Outcome == "" {
		return noOutcome
	}
	return e.Outcome
}

// WhereRequest returns a table that shows where a request ran.
func WhereRequest(e models.TrailEntry) Result {
	return Result{
		Columns: []string{"request", "end", "workspace", "wanted", "version", "group", "instances", "zone", "domain", "daemon", "started", "took", "tries"},
		Rows: [][]string{{
			string(e.Request), outcomeOf(e), string(e.Workspace), e.ModelOrService, string(e.Version), string(e.Group), instanceList(e),
			string(e.Zone), string(e.Domain), string(e.Daemon), e.Started.UTC().Format(time.RFC3339Nano),
			e.Elapsed.Round(time.Millisecond).String(), fmt.Sprint(e.Attempts),
		}},
	}
}

func instanceList(e models.TrailEntry) string {
	names := make([]string, 0, len(e.Instances))
	for _, id := range e.Instances {
		names = append(names, string(id))
	}
	return strings.Join(names, ",")
}

// WhyRequest returns a text that explains the outcome of a request.
func WhyRequest(e models.TrailEntry) Result {
	place := "It was sent nowhere"
	if len(e.Instances) > 0 {
		place = fmt.Sprintf("It was sent to %s in zone %s, fabric domain %s", instanceList(e), e.Zone, e.Domain)
	}
	text := fmt.Sprintf("Request %s ended %s after %d tries. %s.", e.Request, outcomeOf(e), e.Attempts, place)
	if e.Reason != "" {
		text += " The reason: " + e.Reason + "."
	}
	return Result{Text: text}
}
