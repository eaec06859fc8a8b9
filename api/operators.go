package api

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/query"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/state"
)

// AskResponse is the result of an operator's commands.
type AskResponse struct {
	query.Result
	// Change is set for commands that change the configuration.
	Change *ChangeResult `json:"change,omitempty"`
	// Error is set if the commands could not be carried out.
	Error *errorDetail `json:"error,omitempty"`
}

// ChangeResult is the result of a change.
type ChangeResult struct {
	Result ChangeOutcome `json:"result"`
	Reason string        `json:"reason,omitempty"`
	Offset models.Offset `json:"offset,omitempty"`
	// InForce is on how many of the Of daemons of the roster the change is in force.
	InForce int `json:"in_force"`
	Of      int `json:"of"`
	// RetryAfterMS is when to retry a rejected change, in milliseconds; 0 if a retry would not
	// help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// ChangeOutcome is the outcome of a change.
type ChangeOutcome string

// Outcomes of a change.
const (
	// ChangeAccepted: the change is in force on a majority of the daemons and will never revert.
	ChangeAccepted ChangeOutcome = "accepted"
	// ChangeRecorded: the change is committed, but not yet known to be in force on a majority of the
	// daemons.
	ChangeRecorded ChangeOutcome = "recorded"
	// ChangeRejected: the change did not and will not take effect.
	ChangeRejected ChangeOutcome = "refused"
	// ChangeUnknown: the change may take effect; the command "show audit" tells whether it did.
	ChangeUnknown ChangeOutcome = "unknown"
	// ChangeWouldBeRejected: the previewed change would be rejected now.
	ChangeWouldBeRejected ChangeOutcome = "would-be-refused"
	// ChangePlanned: the previewed change would be accepted now.
	ChangePlanned ChangeOutcome = "planned"
)

const (
	// changeTimeout bounds how long an operator waits for a change.
	changeTimeout = 8 * time.Second
	// inForceTimeout bounds the part of that wait in which the change takes effect on a
	// majority of, or all, daemons.
	inForceTimeout = 3 * time.Second
)

// AskOptions are options of the commands.
type AskOptions struct {
	// WaitAll waits until a change is in force on every daemon.
	WaitAll bool
	// Diff shows what changes would do instead of making them.
	Diff bool
	// Prune removes configuration that the changes do not set.
	Prune bool
}

// Query parameters; each is "true" or absent.
const (
	paramWaitAll = "wait_all"
	paramDiff    = "diff"
	paramPrune   = "prune"
)

func readAskOptions(q url.Values) AskOptions {
	isSet := func(name string) bool { return q.Get(name) == "true" }
	return AskOptions{WaitAll: isSet(paramWaitAll), Diff: isSet(paramDiff), Prune: isSet(paramPrune)}
}

func (o AskOptions) values() url.Values {
	q := url.Values{}
	for name, set := range map[string]bool{paramWaitAll: o.WaitAll, paramDiff: o.Diff, paramPrune: o.Prune} {
		if set {
			q.Set(name, "true")
		}
	}
	return q
}

// serveAsk runs an operator's commands.
func (s *Server) serveAsk(w http.ResponseWriter, r *http.Request) {
	view := s.daemon.View()
	operator, err := authenticateOperator(view.State, s.cfg.BootstrapToken, r)
	if err != nil {
		writeAskError(w, err)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, query.MaxScriptLen))
	if err != nil {
		writeAskError(w, fmt.Errorf("%w: %w", ErrBodyTooLong, err))
		return
	}
	commands, err := query.Parse(string(text))
	if err != nil {
		writeAskError(w, fmt.Errorf("%w: %w", ErrBadBody, err))
		return
	}
	runner := commandRunner{s: s, view: view, operator: operator, text: string(text), opts: readAskOptions(r.URL.Query())}
	response, err := runner.run(r.Context(), commands)
	if err != nil {
		writeAskError(w, err)
		return
	}
	writeJSON(w, statusOf(response), response)
}

func writeAskError(w http.ResponseWriter, err error) {
	p := classify(err)
	if p.status == http.StatusInternalServerError {
		p.status = http.StatusBadRequest
	}
	detail := newErrorDetail(err, router.OutcomeNone)
	writeJSON(w, p.status, AskResponse{Error: &detail})
}

func statusOf(a AskResponse) int {
	if a.Change == nil {
		return http.StatusOK
	}
	switch {
	case a.Change.Result == ChangeRejected && a.Change.RetryAfterMS > 0:
		return http.StatusServiceUnavailable
	case a.Change.Result == ChangeRejected:
		return http.StatusConflict
	case a.Change.Result == ChangeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusOK
	}
}

// commandRunner runs one operator's commands on one view.
type commandRunner struct {
	s        *Server
	view     *daemon.View
	operator models.Operator
	text     string
	opts     AskOptions
}

// errMixed is returned for commands that can't run together.
var errMixed = errors.New("changes and questions can't be mixed, and only one question or plan is answered at a time")

func (cr commandRunner) run(ctx context.Context, commands []*query.Command) (AskResponse, error) {
	var changes []*query.Change
	for _, c := range commands {
		if c.Change != nil {
			changes = append(changes, c.Change)
		}
	}
	switch {
	case len(commands) == 0:
		return AskResponse{}, fmt.Errorf("%w: there is no command", ErrBadBody)
	case len(changes) == len(commands) && cr.opts.Diff:
		return cr.preview(changes)
	case len(changes) == len(commands):
		return cr.change(ctx, changes)
	case len(commands) > 1:
		return AskResponse{}, errMixed
	case commands[0].Plan != nil:
		return cr.preview([]*query.Change{commands[0].Plan})
	case commands[0].Where != nil:
		return cr.whereRequest(ctx, commands[0].Where.Request)
	case commands[0].Why != nil && commands[0].Why.What == "request":
		return cr.whyRequest(ctx, commands[0].Why.Name)
	default:
		result, err := query.Evaluate(cr.facts(), commands[0])
		return AskResponse{Result: result}, err
	}
}

func (cr commandRunner) facts() query.View {
	now := time.Now()
	f := query.View{
		Now: now, Self: cr.s.cfg.ID, State: cr.view.State, Instances: cr.view.Instances,
		Evidence: cr.view.Evidence, Gates: cr.view.Table.Gates,
		Rules: planner.DefaultRules(cr.s.cfg.ReplaceAfter, cr.s.cfg.GateBound),
	}
	own := cr.s.daemon.Status(now)
	_, listed := cr.view.State.Daemons[own.ID]
	f.Daemons = append(f.Daemons, query.Daemon{Status: own, OnRoster: listed})
	for _, p := range cr.view.Peers {
		f.Daemons = append(f.Daemons, query.Daemon{Status: p.Status, Age: now.Sub(p.LastSeen), OnRoster: p.OnRoster})
	}
	return f
}

// findTimeout bounds the search of the log for a request.
const findTimeout = 5 * time.Second

func (cr commandRunner) findRequest(ctx context.Context, id string) (models.TrailEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	entry, found, err := cr.s.daemon.FindTrail(ctx, models.RequestID(id))
	if err == nil && !found {
		err = fmt.Errorf("%w: request %q is not on the trail (any more)", query.ErrNotFound, id)
	}
	return entry, err
}

// whereRequest answers where a request ran.
func (cr commandRunner) whereRequest(ctx context.Context, id string) (AskResponse, error) {
	entry, err := cr.findRequest(ctx, id)
	if err != nil {
		return AskResponse{}, err
	}
	return AskResponse{Result: query.WhereRequest(entry)}, nil
}

// whyRequest answers in one sentence why a request ended as it did.
func (cr commandRunner) whyRequest(ctx context.Context, id string) (AskResponse, error) {
	entry, err := cr.findRequest(ctx, id)
	if err != nil {
		return AskResponse{}, err
	}
	return AskResponse{Result: query.WhyRequest(entry)}, nil
}

func (cr commandRunner) compile(changes []*query.Change) (state.ChangeConfig, error) {
	if cr.operator.Right != models.RightChange {
		return state.ChangeConfig{}, ErrReadOnly
	}
	if cr.opts.Prune {
		changes = append(changes, query.Prune(cr.view.State, changes)...)
	}
	ops, err := query.Compile(cr.view.State, changes)
	if err != nil {
		return state.ChangeConfig{}, err
	}
	ops = query.Effective(cr.view.State, ops)
	var notes []string
	for _, c := range changes {
		if c.Note != "" {
			notes = append(notes, c.Note)
		}
	}
	return state.ChangeConfig{
		Operator: cr.operator.Name, Note: strings.Join(notes, "; "), Text: strings.TrimSpace(cr.text), Ops: ops,
	}, nil
}

// preview answers what a change would do, without making it.
func (cr commandRunner) preview(changes []*query.Change) (AskResponse, error) {
	change, err := cr.compile(changes)
	if err != nil {
		return AskResponse{}, err
	}
	if len(change.Ops) == 0 {
		return cr.unchanged(), nil
	}
	next, err := cr.view.State.Preview(change.Ops)
	if err != nil {
		return AskResponse{Change: &ChangeResult{Result: ChangeWouldBeRejected, Reason: err.Error()}}, nil
	}
	result := query.Preview(cr.facts(), next)
	result.Text = query.Diff(cr.view.State, next)
	return AskResponse{Result: result, Change: &ChangeResult{Result: ChangePlanned, Of: len(cr.view.State.Daemons)}}, nil
}

// unchanged returns the response to changes that have no effect.
func (cr commandRunner) unchanged() AskResponse {
	offset := cr.view.State.ConfigOffset
	inForce, total := cr.view.InForce(cr.s.cfg.ID, offset)
	return AskResponse{
		Result: query.Result{Text: "Nothing to change."},
		Change: &ChangeResult{Result: ChangeAccepted, Offset: offset, InForce: inForce, Of: total},
	}
}

// change makes a change and answers on how many daemons it is in force.
func (cr commandRunner) change(ctx context.Context, changes []*query.Change) (AskResponse, error) {
	change, err := cr.compile(changes)
	if err != nil {
		return AskResponse{}, err
	}
	if len(change.Ops) == 0 {
		return cr.unchanged(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	outcome, err := cr.s.daemon.Propose(ctx, change)
	switch {
	case errors.Is(err, daemon.ErrLogUnavailable):
		return AskResponse{Change: &ChangeResult{Result: ChangeRejected, Reason: err.Error(), RetryAfterMS: logRetryAfter.Milliseconds()}}, nil
	case err != nil:
		return AskResponse{Change: &ChangeResult{Result: ChangeUnknown, Reason: err.Error() + "; show audit tells whether it took effect"}}, nil
	case outcome.Rejection != nil:
		return AskResponse{Change: &ChangeResult{Result: ChangeRejected, Offset: outcome.Offset, Reason: cr.rejectionReason(ctx, outcome)}}, nil
	}
	return AskResponse{Change: cr.waitInForce(ctx, outcome.Offset)}, nil
}

// logRetryAfter is when to retry what failed because the log was unavailable.
const logRetryAfter = 5 * time.Second

const (
	// viewTimeout bounds the wait until the view includes an offset that the daemon has applied.
	// Views are published ten times a second.
	viewTimeout      = 500 * time.Millisecond
	viewPollInterval = 10 * time.Millisecond
)

// stateAt returns the state once it includes the offset, or the latest state at the timeout.
func (cr commandRunner) stateAt(ctx context.Context, offset models.Offset) *state.State {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	for {
		s := cr.s.daemon.View().State
		if s.Applied >= offset {
			return s
		}
		select {
		case <-ctx.Done():
			return s
		case <-time.After(viewPollInterval):
		}
	}
}

// rejectionReason returns why a change was rejected; for a conflict it names the change that came
// first.
func (cr commandRunner) rejectionReason(ctx context.Context, outcome state.Outcome) string {
	reason := outcome.Rejection.Error()
	var conflict *state.Conflict
	if !errors.As(outcome.Rejection, &conflict) {
		return reason
	}
	for _, e := range slices.Backward(cr.stateAt(ctx, conflict.Current).Audit) {
		if e.Offset == conflict.Current {
			return fmt.Sprintf("%s; revision %d was made by %s through %s: %s", reason, e.Offset, e.Operator, e.Daemon, e.Change)
		}
	}
	return reason
}

func (cr commandRunner) waitInForce(ctx context.Context, offset models.Offset) *ChangeResult {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	enough := func(inForce, total int) bool {
		if cr.opts.WaitAll {
			return inForce == total && total > 0
		}
		return inForce > total/2
	}
	inForce, total := cr.s.daemon.WaitInForce(ctx, offset, enough)
	result := &ChangeResult{Result: ChangeRecorded, Offset: offset, InForce: inForce, Of: total}
	if inForce > total/2 {
		result.Result = ChangeAccepted
	}
	return result
}
