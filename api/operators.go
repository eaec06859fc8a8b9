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

// AskAnswer is what an operator's command gives.
type AskAnswer struct {
	query.Result
	// Change is set for a command that changes something.
	Change *ChangeResult `json:"change,omitempty"`
	// Error is set for a command that could not be carried out.
	Error *errorDetail `json:"error,omitempty"`
}

// ChangeResult tells what became of a change.
type ChangeResult struct {
	Result ChangeEnd     `json:"result"`
	Reason string        `json:"reason,omitempty"`
	Offset models.Offset `json:"offset,omitempty"`
	// InForce of Of daemons of the roster have the change in force.
	InForce int `json:"in_force"`
	Of      int `json:"of"`
	// RetryAfterMS is when to try a refused change again, 0 if that would
	// not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// ChangeEnd is what became of a change.
type ChangeEnd string

// The ends of a change.
const (
	// ChangeAccepted: a majority of the daemons has it in force, and it
	// will never revert.
	ChangeAccepted ChangeEnd = "accepted"
	// ChangeRecorded: the change is agreed, but not known to be in force on
	// a majority of the daemons yet.
	ChangeRecorded ChangeEnd = "recorded"
	// ChangeRefused: the change did not and will not take effect.
	ChangeRefused ChangeEnd = "refused"
	// ChangeUnknown: the change may take effect; show audit tells.
	ChangeUnknown ChangeEnd = "unknown"
	// ChangeWouldRefuse: the change would be refused now.
	ChangeWouldRefuse ChangeEnd = "would-be-refused"
	// ChangePlanned: the change would be accepted now.
	ChangePlanned ChangeEnd = "planned"
)

const (
	// changeTimeout bounds how long an operator waits for a change.
	changeTimeout = 8 * time.Second
	// forceTimeout bounds how long of this a majority, or all daemons, are
	// waited for.
	forceTimeout = 3 * time.Second
)

// AskOptions say how commands are to be carried out.
type AskOptions struct {
	// WaitAll waits until a change is in force on every daemon.
	WaitAll bool
	// Diff tells what changes would do instead of making them.
	Diff bool
	// Prune removes what the changes do not set.
	Prune bool
}

// The query parameters of a call, which are true or not there.
const (
	paramWaitAll = "wait_all"
	paramDiff    = "diff"
	paramPrune   = "prune"
)

func readAskOptions(q url.Values) AskOptions {
	on := func(name string) bool { return q.Get(name) == "true" }
	return AskOptions{WaitAll: on(paramWaitAll), Diff: on(paramDiff), Prune: on(paramPrune)}
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

// serveAsk carries out commands.
func (s *Server) serveAsk(w http.ResponseWriter, r *http.Request) {
	view := s.daemon.View()
	operator, err := operatorOf(view.State, s.cfg.BootstrapToken, r)
	if err != nil {
		writeAskProblem(w, err)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, query.MaxScriptLen))
	if err != nil {
		writeAskProblem(w, fmt.Errorf("%w: %w", ErrBodyLength, err))
		return
	}
	commands, err := query.Parse(string(text))
	if err != nil {
		writeAskProblem(w, fmt.Errorf("%w: %w", ErrBody, err))
		return
	}
	a := asker{s: s, view: view, operator: operator, text: string(text), opts: readAskOptions(r.URL.Query())}
	answer, err := a.carryOut(r.Context(), commands)
	if err != nil {
		writeAskProblem(w, err)
		return
	}
	writeJSON(w, statusOf(answer), answer)
}

func writeAskProblem(w http.ResponseWriter, err error) {
	p := problemOf(err)
	if p.status == http.StatusInternalServerError {
		p.status = http.StatusBadRequest
	}
	detail := detailOf(err, router.OutcomeNone)
	writeJSON(w, p.status, AskAnswer{Error: &detail})
}

func statusOf(a AskAnswer) int {
	if a.Change == nil {
		return http.StatusOK
	}
	switch {
	case a.Change.Result == ChangeRefused && a.Change.RetryAfterMS > 0:
		return http.StatusServiceUnavailable
	case a.Change.Result == ChangeRefused:
		return http.StatusConflict
	case a.Change.Result == ChangeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusOK
	}
}

// asker carries out one operator's commands on one view.
type asker struct {
	s        *Server
	view     *daemon.View
	operator models.Operator
	text     string
	opts     AskOptions
}

// errMixed is returned for commands that can't be carried out together.
var errMixed = errors.New("changes and questions can't be mixed, and only one question or plan is answered at a time")

func (a asker) carryOut(ctx context.Context, commands []*query.Command) (AskAnswer, error) {
	var changes []*query.Change
	for _, c := range commands {
		if c.Change != nil {
			changes = append(changes, c.Change)
		}
	}
	switch {
	case len(commands) == 0:
		return AskAnswer{}, fmt.Errorf("%w: there is no command", ErrBody)
	case len(changes) == len(commands) && a.opts.Diff:
		return a.preview(changes)
	case len(changes) == len(commands):
		return a.change(ctx, changes)
	case len(commands) > 1:
		return AskAnswer{}, errMixed
	case commands[0].Plan != nil:
		return a.preview([]*query.Change{commands[0].Plan})
	case commands[0].Where != nil:
		return a.where(ctx, commands[0].Where.Request)
	case commands[0].Why != nil && commands[0].Why.What == "request":
		return a.whyRequest(ctx, commands[0].Why.Name)
	default:
		answer, err := query.Evaluate(a.facts(), commands[0])
		return AskAnswer{Result: answer}, err
	}
}

func (a asker) facts() query.View {
	now := time.Now()
	f := query.View{
		Now: now, Self: a.s.cfg.ID, State: a.view.State, Instances: a.view.Instances,
		Evidence: a.view.Evidence, Gates: a.view.Table.Gates,
		Rules: planner.DefaultRules(a.s.cfg.ReplaceAfter, a.s.cfg.GateBound),
	}
	own := a.s.daemon.Status(now)
	_, listed := a.view.State.Daemons[own.ID]
	f.Daemons = append(f.Daemons, query.Daemon{Status: own, OnRoster: listed})
	for _, p := range a.view.Peers {
		f.Daemons = append(f.Daemons, query.Daemon{Status: p.Status, Age: now.Sub(p.Seen), OnRoster: p.OnRoster})
	}
	return f
}

// findWithin bounds the search of the log for a request.
const findWithin = 5 * time.Second

func (a asker) find(ctx context.Context, id string) (models.TrailEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, findWithin)
	defer cancel()
	entry, found, err := a.s.daemon.FindTrail(ctx, models.RequestID(id))
	if err == nil && !found {
		err = fmt.Errorf("%w: request %q is not on the trail (any more)", query.ErrNotFound, id)
	}
	return entry, err
}

// where tells where a request ran.
func (a asker) where(ctx context.Context, id string) (AskAnswer, error) {
	entry, err := a.find(ctx, id)
	if err != nil {
		return AskAnswer{}, err
	}
	return AskAnswer{Result: query.WhereRequest(entry)}, nil
}

// whyRequest tells in a sentence why a request ended as it did.
func (a asker) whyRequest(ctx context.Context, id string) (AskAnswer, error) {
	entry, err := a.find(ctx, id)
	if err != nil {
		return AskAnswer{}, err
	}
	return AskAnswer{Result: query.WhyRequest(entry)}, nil
}

func (a asker) compile(changes []*query.Change) (state.ChangeConfig, error) {
	if a.operator.Right != models.RightChange {
		return state.ChangeConfig{}, ErrRight
	}
	if a.opts.Prune {
		changes = append(changes, query.Prune(a.view.State, changes)...)
	}
	ops, err := query.Compile(a.view.State, changes)
	if err != nil {
		return state.ChangeConfig{}, err
	}
	ops = query.Effective(a.view.State, ops)
	var notes []string
	for _, c := range changes {
		if c.Note != "" {
			notes = append(notes, c.Note)
		}
	}
	return state.ChangeConfig{
		Operator: a.operator.Name, Note: strings.Join(notes, "; "), Text: strings.TrimSpace(a.text), Ops: ops,
	}, nil
}

// preview tells what a change would do, without making it.
func (a asker) preview(changes []*query.Change) (AskAnswer, error) {
	change, err := a.compile(changes)
	if err != nil {
		return AskAnswer{}, err
	}
	if len(change.Ops) == 0 {
		return a.nothing(), nil
	}
	next, err := a.view.State.Preview(change.Ops)
	if err != nil {
		return AskAnswer{Change: &ChangeResult{Result: ChangeWouldRefuse, Reason: err.Error()}}, nil
	}
	answer := query.Preview(a.facts(), next)
	answer.Text = query.Diff(a.view.State, next)
	return AskAnswer{Result: answer, Change: &ChangeResult{Result: ChangePlanned, Of: len(a.view.State.Daemons)}}, nil
}

// nothing answers changes that leave everything as it is.
func (a asker) nothing() AskAnswer {
	offset := a.view.State.ConfigOffset
	have, of := a.view.InForce(a.s.cfg.ID, offset)
	return AskAnswer{
		Result: query.Result{Text: "Nothing to change."},
		Change: &ChangeResult{Result: ChangeAccepted, Offset: offset, InForce: have, Of: of},
	}
}

// change makes a change and tells on how many daemons it is in force.
func (a asker) change(ctx context.Context, changes []*query.Change) (AskAnswer, error) {
	change, err := a.compile(changes)
	if err != nil {
		return AskAnswer{}, err
	}
	if len(change.Ops) == 0 {
		return a.nothing(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	outcome, err := a.s.daemon.Propose(ctx, change)
	switch {
	case errors.Is(err, daemon.ErrLogAway):
		return AskAnswer{Change: &ChangeResult{Result: ChangeRefused, Reason: err.Error(), RetryAfterMS: retryLog.Milliseconds()}}, nil
	case err != nil:
		return AskAnswer{Change: &ChangeResult{Result: ChangeUnknown, Reason: err.Error() + "; show audit tells whether it took effect"}}, nil
	case outcome.Rejection != nil:
		return AskAnswer{Change: &ChangeResult{Result: ChangeRefused, Offset: outcome.Offset, Reason: a.explain(ctx, outcome)}}, nil
	}
	return AskAnswer{Change: a.inForce(ctx, outcome.Offset)}, nil
}

// retryLog is when to try a change again that met an outage of the log.
const retryLog = 5 * time.Second

const (
	// viewWithin bounds the wait for the state to show an offset that the
	// daemon has folded: views come ten times a second.
	viewWithin = 500 * time.Millisecond
	viewStep   = 10 * time.Millisecond
)

// stateAt returns the state as soon as it shows the offset, or what there is
// in time.
func (a asker) stateAt(ctx context.Context, offset models.Offset) *state.State {
	ctx, cancel := context.WithTimeout(ctx, viewWithin)
	defer cancel()
	for {
		s := a.s.daemon.View().State
		if s.Applied >= offset {
			return s
		}
		select {
		case <-ctx.Done():
			return s
		case <-time.After(viewStep):
		}
	}
}

// explain tells a loser which change it lost to.
func (a asker) explain(ctx context.Context, outcome state.Outcome) string {
	reason := outcome.Rejection.Error()
	var conflict *state.Conflict
	if !errors.As(outcome.Rejection, &conflict) {
		return reason
	}
	for _, e := range slices.Backward(a.stateAt(ctx, conflict.Current).Audit) {
		if e.Offset == conflict.Current {
			return fmt.Sprintf("%s; revision %d was made by %s through %s: %s", reason, e.Offset, e.Operator, e.Daemon, e.Change)
		}
	}
	return reason
}

func (a asker) inForce(ctx context.Context, offset models.Offset) *ChangeResult {
	ctx, cancel := context.WithTimeout(ctx, forceTimeout)
	defer cancel()
	enough := func(have, of int) bool {
		if a.opts.WaitAll {
			return have == of && of > 0
		}
		return have > of/2
	}
	have, of := a.s.daemon.OnDaemons(ctx, offset, enough)
	result := &ChangeResult{Result: ChangeRecorded, Offset: offset, InForce: have, Of: of}
	if have > of/2 {
		result.Result = ChangeAccepted
	}
	return result
}
