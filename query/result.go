package query

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// View is the data that queries are evaluated on: a snapshot of what one daemon knows.
type View struct {
	Now       time.Time
	Self      models.DaemonID
	State     *state.State
	Instances map[models.InstanceID]models.Instance
	Evidence  map[models.InstanceID]planner.Evidence
	Gates     map[models.GroupID]planner.Gate
	Daemons   []Daemon
	// Rules are the planner's rules, for queries about its decisions.
	Rules planner.Rules
}

// Daemon is what the daemon that evaluates the query knows of a daemon.
type Daemon struct {
	Status types.PeerStatus
	// Age is the age of the status.
	Age      time.Duration
	OnRoster bool
}

// Result is the result of a query: a table or a text.
type Result struct {
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	// Text is an explanation, or the configuration as commands.
	Text string `json:"text,omitempty"`
}

// Errors of queries.
var (
	ErrUnknownTable  = errors.New("no such table")
	ErrUnknownColumn = errors.New("no such column")
)

// tables holds the function that computes each table, by name.
var tables = map[string]func(View) Result{
	"groups":     showGroups,
	"instances":  showInstances,
	"models":     showModels,
	"workspaces": showWorkspaces,
	"services":   showServices,
	"operators":  showOperators,
	"daemons":    showDaemons,
	"audit":      showAudit,
	"stranded":   showStranded,
	"state":      showState,
}

// Tables lists the names that Show accepts.
func Tables() []string { return append(sortedKeys(tables), "config") }

// Evaluate evaluates a query. It returns ErrSyntax for a change.
func Evaluate(v View, c *Command) (Result, error) {
	switch {
	case c.Show != nil && c.Show.What == "config":
		return Result{Text: Print(v.State)}, nil
	case c.Show != nil:
		return show(v, c.Show)
	case c.Why != nil:
		return why(v, c.Why)
	default:
		return Result{}, fmt.Errorf("%w: this is no question", ErrSyntax)
	}
}

func show(v View, s *Show) (Result, error) {
	table, ok := tables[s.What]
	if !ok {
		return Result{}, fmt.Errorf("%w: %s; there are %s", ErrUnknownTable, s.What, strings.Join(Tables(), ", "))
	}
	result := table(v)
	for _, c := range s.Conds {
		column := slices.Index(result.Columns, c.Field)
		if column < 0 {
			return Result{}, fmt.Errorf("%w: %s at line %d, column %d; %s has %s",
				ErrUnknownColumn, c.Field, c.Pos.Line, c.Pos.Column, s.What, strings.Join(result.Columns, ", "))
		}
		result.Rows = slices.DeleteFunc(result.Rows, func(row []string) bool { return !matches(row[column], c) })
	}
	return result, nil
}

// matches reports whether a value satisfies the condition. It compares numbers numerically
// and other values as strings; "~" tests for a substring.
func matches(value string, c *Cond) bool {
	comparison := strings.Compare(value, c.Value)
	a, errA := strconv.ParseFloat(value, 64)
	b, errB := strconv.ParseFloat(c.Value, 64)
	if errA == nil && errB == nil {
		comparison = int(max(-1, min(1, (a-b)*1e9)))
	}
	switch c.Op {
	case "=":
		return comparison == 0
	case "!=":
		return comparison != 0
	case "<":
		return comparison < 0
	case ">":
		return comparison > 0
	default:
		return strings.Contains(value, c.Value)
	}
}

func showGroups(v View) Result {
	result := Result{Columns: []string{"group", "model", "version", "zone", "domain", "members", "fence", "serving", "running", "why"}}
	for _, id := range sortedKeys(v.State.Groups) {
		g := v.State.Groups[id]
		gate := v.Gates[id]
		result.Rows = append(result.Rows, []string{
			string(id), string(g.Model), string(g.Version), string(g.Zone), string(g.Domain),
			strings.Join(memberNames(g), ","), fmt.Sprint(g.Fence), yesNo(gate.Open(v.Now)),
			fmt.Sprint(gate.Load.Running), closedReason(v, gate),
		})
	}
	return result
}

func memberNames(g models.Group) []string {
	names := make([]string, 0, len(g.Members))
	for _, m := range g.Members {
		names = append(names, string(m.ID))
	}
	return names
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func closedReason(v View, gate planner.Gate) string {
	switch {
	case gate.Open(v.Now):
		return ""
	case gate.Reason == "":
		return "nothing has been heard of a member for too long"
	default:
		return gate.Reason
	}
}

func showInstances(v View) Result {
	result := Result{Columns: []string{"instance", "kind", "zone", "domain", "accelerators", "group", "phase", "state", "addr"}}
	for _, id := range sortedKeys(v.Instances) {
		i := v.Instances[id]
		e := v.Evidence[id]
		group, _ := v.State.Owner(id)
		result.Rows = append(result.Rows, []string{
			string(id), string(i.Kind), string(i.Zone), string(i.Domain), fmt.Sprint(i.Accelerators),
			string(group), string(e.Status.Phase), instanceState(v, i, e), i.Addr.String(),
		})
	}
	return result
}

func instanceState(v View, i models.Instance, e planner.Evidence) string {
	_, drained := v.State.Drained[i.ID]
	switch {
	case drained:
		return "drained"
	case i.Leaving || e.Status.Leaving:
		return "leaving"
	case i.Kind == models.KindService:
		return "listed"
	case e.LastSeen.IsZero():
		return "unseen"
	case e.Silent():
		return "silent"
	default:
		return "alive"
	}
}

func showModels(v View) Result {
	result := Result{Columns: []string{"model", "version", "members", "replicas", "groups", "serving", "zones", "domains", "revision"}}
	for _, name := range sortedKeys(v.State.Models) {
		m := v.State.Models[name]
		groups, serving := 0, 0
		for id, g := range v.State.Groups {
			if g.Model != name {
				continue
			}
			groups++
			if v.Gates[id].Open(v.Now) {
				serving++
			}
		}
		result.Rows = append(result.Rows, []string{
			string(name), string(m.Version), fmt.Sprint(m.Members), fmt.Sprint(m.Replicas), fmt.Sprint(groups), fmt.Sprint(serving),
			joinValues(m.Placement.Zones, keywordAny), joinValues(m.Placement.Domains, keywordAny), fmt.Sprint(m.Revision),
		})
	}
	return result
}

func showWorkspaces(v View) Result {
	result := Result{Columns: []string{"workspace", "models", "services", "zones", "domains", "share", "concurrent", "tokens", "revision"}}
	for _, name := range sortedKeys(v.State.Workspaces) {
		w := v.State.Workspaces[name]
		rules := make([]string, 0, len(w.Models))
		for _, r := range w.Models {
			rules = append(rules, r.String())
		}
		result.Rows = append(result.Rows, []string{
			string(name), joinValues(rules, keywordNone), joinValues(w.Services, keywordNone), joinValues(w.Placement.Zones, keywordAny),
			joinValues(w.Placement.Domains, keywordAny), fmt.Sprint(w.Share), fmt.Sprint(w.Concurrent), fmt.Sprint(len(w.Tokens)), fmt.Sprint(w.Revision),
		})
	}
	return result
}

func showServices(v View) Result {
	result := Result{Columns: []string{"service", "instances", "zones", "domains", "revision"}}
	for _, name := range sortedKeys(v.State.Services) {
		service := v.State.Services[name]
		instances := 0
		for _, i := range v.Instances {
			if i.Service == name && i.Kind == models.KindService {
				instances++
			}
		}
		result.Rows = append(result.Rows, []string{
			string(name), fmt.Sprint(instances), joinValues(service.Placement.Zones, keywordAny), joinValues(service.Placement.Domains, keywordAny), fmt.Sprint(service.Revision),
		})
	}
	return result
}

func showOperators(v View) Result {
	result := Result{Columns: []string{"operator", "right", "tokens", "revision"}}
	for _, name := range sortedKeys(v.State.Operators) {
		o := v.State.Operators[name]
		result.Rows = append(result.Rows, []string{string(name), string(o.Right), fmt.Sprint(len(o.Tokens)), fmt.Sprint(o.Revision)})
	}
	return result
}

func showDaemons(v View) Result {
	result := Result{Columns: []string{"daemon", "zone", "peer", "on-roster", "serving", "applied", "config", "log-age", "heard"}}
	for _, d := range v.Daemons {
		s := d.Status
		logAge := "never"
		if s.LogAge >= 0 {
			logAge = (s.LogAge + d.Age).Round(time.Millisecond).String()
		}
		result.Rows = append(result.Rows, []string{
			string(s.ID), string(s.Zone), s.Addr.String(), yesNo(d.OnRoster), yesNo(s.Serving),
			fmt.Sprint(s.Applied), fmt.Sprint(s.Config), logAge, d.Age.Round(time.Millisecond).String() + " ago",
		})
	}
	slices.SortFunc(result.Rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return result
}

// showState shows the offset up to which this daemon has applied the log. Daemons at the
// same offset have the same digest.
func showState(v View) Result {
	digest, err := v.State.Digest()
	if err != nil {
		digest = err.Error()
	}
	return Result{
		Columns: []string{"daemon", "applied", "config", "digest"},
		Rows:    [][]string{{string(v.Self), fmt.Sprint(v.State.Applied), fmt.Sprint(v.State.ConfigOffset), digest}},
	}
}

func showAudit(v View) Result {
	result := Result{Columns: []string{"offset", "at", "operator", "daemon", "result", "change", "note"}}
	for _, e := range v.State.Audit {
		outcome := "accepted"
		if e.RejectionReason != "" {
			outcome = "refused: " + e.RejectionReason
		}
		result.Rows = append(result.Rows, []string{
			fmt.Sprint(e.Offset), e.At.Format(time.RFC3339), string(e.Operator), string(e.Daemon), outcome, e.Change, e.Note,
		})
	}
	return result
}

func showStranded(v View) Result {
	result := Result{Columns: []string{"instance", "zone", "domain", "accelerators", "why"}}
	for _, id := range sortedKeys(v.Instances) {
		i := v.Instances[id]
		if i.Kind != models.KindEngine {
			continue
		}
		if reason := strandedReason(v, i); reason != "" {
			result.Rows = append(result.Rows, []string{string(id), string(i.Zone), string(i.Domain), fmt.Sprint(i.Accelerators), reason})
		}
	}
	return result
}

// strandedReason returns why the instance's accelerators are stranded, or "" if the
// instance's group serves.
func strandedReason(v View, i models.Instance) string {
	group, owned := v.State.Owner(i.ID)
	switch {
	case owned && v.Gates[group].Open(v.Now):
		return ""
	case owned:
		return fmt.Sprintf("its group %s does not serve: %s", group, closedReason(v, v.Gates[group]))
	}
	switch instanceState(v, i, v.Evidence[i.ID]) {
	case "drained":
		return "an operator drained it"
	case "leaving":
		return "it is leaving"
	case "unseen", "silent":
		return "it does not answer"
	}
	return planner.ExplainFree(v.input(), i)
}

func (v View) input() planner.Input {
	return planner.Input{State: v.State, Instances: v.Instances, Evidence: v.Evidence, Now: v.Now, Rules: v.Rules}
}

func why(v View, w *Why) (Result, error) {
	switch w.What {
	case "group":
		g, ok := v.State.Groups[models.GroupID(w.Name)]
		if !ok {
			return Result{}, fmt.Errorf("%w: group %q", ErrNotFound, w.Name)
		}
		gate := v.Gates[g.ID]
		if gate.Open(v.Now) {
			return Result{Text: fmt.Sprintf("Group %s serves: all of its %d members are in place.", g.ID, len(g.Members))}, nil
		}
		return Result{Text: fmt.Sprintf("Group %s does not serve: %s.", g.ID, closedReason(v, gate))}, nil
	case "instance":
		i, ok := v.Instances[models.InstanceID(w.Name)]
		if !ok {
			return Result{}, fmt.Errorf("%w: instance %q", ErrNotFound, w.Name)
		}
		if reason := strandedReason(v, i); reason != "" {
			return Result{Text: fmt.Sprintf("Instance %s serves nobody: %s.", i.ID, reason)}, nil
		}
		group, _ := v.State.Owner(i.ID)
		return Result{Text: fmt.Sprintf("Instance %s serves in group %s.", i.ID, group)}, nil
	case "stranded":
		return strandedSummary(v), nil
	default:
		return Result{}, fmt.Errorf("%w: %s %q", ErrNotFound, w.What, w.Name)
	}
}

// strandedSummary returns the number of stranded accelerators by reason.
func strandedSummary(v View) Result {
	rows := showStranded(v).Rows
	if len(rows) == 0 {
		return Result{Text: "No accelerator is stranded."}
	}
	const accelerators, reason = 3, 4
	total := 0
	byReason := map[string]int{}
	for _, row := range rows {
		n, _ := strconv.Atoi(row[accelerators])
		total += n
		byReason[row[reason]] += n
	}
	var parts []string
	for _, r := range sortedKeys(byReason) {
		parts = append(parts, fmt.Sprintf("%d because %s", byReason[r], r))
	}
	return Result{Text: fmt.Sprintf("%d accelerators are stranded: %s.", total, strings.Join(parts, "; "))}
}
