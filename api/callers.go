package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/worker/upstream"
)

// Headers that callers may set.
const (
	// HeaderPriority is a number; higher goes first. 0 if not set.
	HeaderPriority = "Lupinkeel-Priority"
	// HeaderTimeout is how long the caller waits, as in "30s".
	HeaderTimeout = "Lupinkeel-Timeout"
	// HeaderRepeatable is true or false: whether running the request twice
	// does no harm.
	HeaderRepeatable = "Lupinkeel-Repeatable"
	// HeaderKey names a request that must run at most once, whichever
	// daemon it is sent to and however often.
	HeaderKey = "Idempotency-Key"
)

const (
	// maxTries is how often one request is sent at most.
	maxTries     = 3
	maxUnary     = 16 << 20
	maxPriority  = 9
	cancelWithin = time.Second
)

// exchange is one caller's request on its way through the daemon.
type exchange struct {
	s         *Server
	w         http.ResponseWriter
	r         *http.Request
	req       *router.Request
	workspace models.Workspace
	body      []byte
	priority  int
	started   time.Time
	tried     []netip.AddrPort
	// key is the hash of workspace and idempotency key; empty without one.
	key     string
	claimed bool
	// entry is what the trail tells of the request.
	entry models.TrailEntry
	// choose picks the upstream of the next try.
	choose func(now time.Time) (router.Target, error)
	// call makes the try at the target.
	call func(router.Target) upstream.Call
	// answer passes an upstream's answer on. It returns an error for an
	// answer that is not whole.
	answer func(context.Context, router.Target, *upstream.Answer) error
}

// begin checks what every request has in common. It returns nil after it
// has answered a request that can't go on. The caller of begin must call
// done.
func (s *Server) begin(w http.ResponseWriter, r *http.Request, repeatable bool) (*exchange, context.Context, func()) {
	id := models.RequestID(uuid.NewString())
	w.Header().Set(HeaderRequest, string(id))
	w.Header().Set(HeaderDaemon, string(s.cfg.ID))
	if err := s.flights.begin(); err != nil {
		s.refuse(w, err)
		return nil, nil, nil
	}
	e, timeout, err := s.newExchange(w, r, id, repeatable)
	if err != nil {
		s.flights.end()
		s.refuse(w, err)
		return nil, nil, nil
	}
	if err := s.limits.Take(e.workspace, s.allotment(e.workspace)); err != nil {
		s.flights.end()
		s.refuse(w, err)
		return nil, nil, nil
	}
	s.budget.Earn()
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return e, ctx, func() {
		cancel()
		s.limits.Give(e.workspace.Name)
		s.flights.end()
	}
}

// allotment is this daemon's part of a workspace's limit.
func (s *Server) allotment(w models.Workspace) int {
	if w.Concurrent == 0 {
		return 0
	}
	return router.Allotment(w.Concurrent, s.cfg.ID, s.daemon.View().Serving(time.Now()), string(w.Name))
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	s.stats.refused.Inc()
	writeProblem(w, err, router.EndNotRun)
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, id models.RequestID, repeatable bool) (*exchange, time.Duration, error) {
	view := s.daemon.View()
	if !view.Current(time.Now()) {
		return nil, 0, ErrNotCurrent
	}
	workspace, err := workspaceOf(view.State, r)
	if err != nil {
		return nil, 0, err
	}
	settings, err := s.readSettings(r, repeatable)
	if err != nil {
		return nil, 0, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.cfg.MaxBody)))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, 0, fmt.Errorf("%w: allowed are %d bytes", ErrBodyLength, tooLong.Limit)
	case err != nil:
		return nil, 0, fmt.Errorf("%w: %w", ErrBody, err)
	}
	return &exchange{
		s: s, w: w, r: r, workspace: workspace, body: body, priority: settings.priority, started: time.Now(),
		req: &router.Request{ID: id, Repeatable: settings.repeatable}, key: settings.keyIn(workspace.Name),
		entry: models.TrailEntry{Request: id, Workspace: workspace.Name, Daemon: s.cfg.ID, Started: time.Now().UTC()},
	}, settings.timeout, nil
}

// settings are what a caller says of its request.
type settings struct {
	repeatable bool
	priority   int
	timeout    time.Duration
	key        string
}

// maxKey is the longest idempotency key, in bytes.
const maxKey = 256

// keyIn is the hash of a workspace's key; empty without a key.
func (s settings) keyIn(w models.WorkspaceName) string {
	if s.key == "" {
		return ""
	}
	return HashToken(string(w) + "/" + s.key)
}

func (s *Server) readSettings(r *http.Request, repeatable bool) (settings, error) {
	out := settings{repeatable: repeatable, timeout: s.cfg.RequestTimeout}
	var err error
	if text := r.Header.Get(HeaderRepeatable); text != "" {
		if out.repeatable, err = strconv.ParseBool(text); err != nil {
			return out, fmt.Errorf("%w: header %s is %q, allowed are true and false", ErrBody, HeaderRepeatable, text)
		}
	}
	if text := r.Header.Get(HeaderPriority); text != "" {
		out.priority, err = strconv.Atoi(text)
		if err != nil || out.priority < 0 || out.priority > maxPriority {
			return out, fmt.Errorf("%w: header %s is %q, allowed are 0 to %d", ErrBody, HeaderPriority, text, maxPriority)
		}
	}
	if text := r.Header.Get(HeaderTimeout); text != "" {
		out.timeout, err = time.ParseDuration(text)
		if err != nil || out.timeout <= 0 {
			return out, fmt.Errorf("%w: header %s is %q, not a duration such as 30s", ErrBody, HeaderTimeout, text)
		}
	}
	if out.key = r.Header.Get(HeaderKey); out.key != "" {
		out.repeatable = false
	}
	if len(out.key) > maxKey {
		return out, fmt.Errorf("%w: header %s has %d bytes, allowed are %d", ErrBody, HeaderKey, len(out.key), maxKey)
	}
	return out, nil
}

// run sends the request until it has its end.
func (e *exchange) run(ctx context.Context) {
	err := e.claim(ctx)
	if err == nil {
		err = e.tryAll(ctx)
	}
	answering := e.req.Phase() == router.PhaseAnswering
	end := e.req.Finish(err == nil)
	e.s.stats.ends[end].Inc()
	if e.claimed && end == router.EndNotRun {
		e.s.release(e.key, e.req.ID)
	}
	e.note(end, err)
	log := e.s.log.Info()
	if err != nil {
		log = e.s.log.Warn().Err(err)
	}
	log.Str("request", string(e.req.ID)).Str("workspace", string(e.workspace.Name)).Str("end", string(end)).
		Int("tries", e.req.Tries()).Dur("took", time.Since(e.started)).Msg("request-ended")
	switch {
	case err == nil:
	case answering:
		// The head has gone out, so only a broken connection tells the
		// caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	default:
		writeProblem(e.w, err, end)
	}
}

// note puts the request's end on the trail.
func (e *exchange) note(end router.End, err error) {
	e.entry.End, e.entry.Tries, e.entry.Took = string(end), e.req.Tries(), time.Since(e.started)
	if err != nil {
		e.entry.Reason = err.Error()
	}
	e.s.daemon.Note(e.entry)
}

// noteTarget puts on the trail where the request is about to be sent.
func (e *exchange) noteTarget(t router.Target) {
	e.entry.Group, e.entry.Version, e.entry.Instances = t.Group.ID, t.Group.Version, t.Instances
	e.entry.Zone, e.entry.Domain = t.Zone, t.Domain
	e.s.daemon.Note(e.entry)
}

// claimWithin bounds how long a request waits for its key to be recorded.
const claimWithin = 3 * time.Second

// claim records the request's key on the log before anything is sent. Only
// the request whose claim is the first on the log goes on.
func (e *exchange) claim(ctx context.Context) error {
	if e.key == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimWithin)
	defer cancel()
	holder, err := e.s.daemon.Claim(ctx, e.key, e.req.ID)
	switch {
	case errors.Is(err, daemon.ErrOutcomeUnknown):
		// Nothing was sent, but the key may stay claimed for nothing.
		e.claimed = true
		return fmt.Errorf("%w: %w", ErrNoClaim, err)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrNoClaim, err)
	case holder != e.req.ID:
		return errors.Join(ErrKeyInUse, e.req.HeldElsewhere())
	}
	e.claimed = true
	return nil
}

const releaseWithin = 10 * time.Second

// release gives a key up in the background, so that the caller may try again
// with it. If that fails the key stays claimed, which is safe.
func (s *Server) release(key string, id models.RequestID) {
	task.Start(context.Background(), "release", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, releaseWithin)
		defer cancel()
		err := s.daemon.Release(ctx, key, id)
		if err != nil {
			s.log.Warn().Err(err).Str("request", string(id)).Msg("release-failed")
		}
		return err
	})
}

// tryAll makes one try after another while that is allowed, and returns the
// error of the last.
func (e *exchange) tryAll(ctx context.Context) error {
	var last error
	for e.req.MayRetry() && e.req.Tries() < maxTries && ctx.Err() == nil {
		target, err := e.choose(time.Now())
		if err != nil {
			return errors.Join(err, last)
		}
		if e.req.Tries() > 0 && !e.s.budget.Spend() {
			return fmt.Errorf("%w: too many requests are tried again already: %w", ErrUpstream, last)
		}
		if e.req.Tries() > 0 {
			e.s.stats.retries.Inc()
		}
		if last = e.try(ctx, target); last == nil {
			return nil
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return fmt.Errorf("%w: %w", ErrUpstream, last)
}

func (e *exchange) try(ctx context.Context, target router.Target) error {
	e.tried = append(e.tried, target.Addr)
	e.s.flights.take(target.Addr)
	defer e.s.flights.give(target.Addr)
	if err := e.req.Send(); err != nil {
		return err
	}
	e.noteTarget(target)
	answer, err := e.s.upstream.Do(ctx, e.call(target))
	if errors.Is(err, upstream.ErrNotRun) {
		return errors.Join(err, e.req.NotRun())
	}
	if err == nil {
		err = e.answer(ctx, target, answer)
	}
	if err != nil && e.req.Phase() == router.PhaseSent {
		return errors.Join(err, e.req.Failed())
	}
	return err
}

// writeHead writes the place where the request ran and the answer's head,
// and notes that the answer has begun.
func (e *exchange) writeHead(target router.Target, answer *upstream.Answer) error {
	if err := e.req.Answer(); err != nil {
		return err
	}
	h := e.w.Header()
	setPlace(h, target)
	if t := answer.Header.Get("Content-Type"); t != "" {
		h.Set("Content-Type", t)
	}
	e.s.stats.firstToken.Update(time.Since(e.started).Seconds())
	e.w.WriteHeader(answer.Status)
	return nil
}

func setPlace(h http.Header, target router.Target) {
	if target.Group.ID != "" {
		h.Set(HeaderGroup, string(target.Group.ID))
		h.Set(HeaderVersion, string(target.Group.Version))
	}
	names := make([]string, 0, len(target.Instances))
	for _, id := range target.Instances {
		names = append(names, string(id))
	}
	h.Set(HeaderInstances, strings.Join(names, ","))
	h.Set(HeaderZone, string(target.Zone))
	h.Set(HeaderDomain, string(target.Domain))
}

// serveModels lists the models that the workspace may use.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	view := s.daemon.View()
	workspace, err := workspaceOf(view.State, r)
	if err != nil {
		writeProblem(w, err, router.EndNone)
		return
	}
	type model struct {
		ID     models.ModelName `json:"id"`
		Object string           `json:"object"`
	}
	out := []model{}
	for name, m := range view.State.Models {
		if workspace.AllowsModel(name, m.Version) {
			out = append(out, model{ID: name, Object: "model"})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": out})
}

// serveService passes a call to a plain service on. Only methods that
// change nothing count as repeatable unless the caller says otherwise.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	harmless := r.Method == http.MethodGet || r.Method == http.MethodHead
	e, ctx, done := s.begin(w, r, harmless)
	if e == nil {
		return
	}
	defer done()
	name := models.ServiceName(r.PathValue("service"))
	e.entry.Wanted = string(name)
	e.choose = func(now time.Time) (router.Target, error) {
		return s.daemon.View().Table.ChooseService(e.workspace, name, now, s.flights.at, e.tried)
	}
	e.call = func(t router.Target) upstream.Call {
		path := "/" + r.PathValue("path")
		if r.URL.RawQuery != "" {
			path += "?" + r.URL.RawQuery
		}
		return upstream.Call{
			Addr: t.Addr, Method: r.Method, Path: path, Header: passOn(r.Header), Body: e.body,
			Request: e.req.ID, Fresh: !e.req.Repeatable,
		}
	}
	e.answer = e.answerWhole
	e.run(ctx)
}

// passOn picks the headers that an upstream gets to see.
func passOn(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language"} {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// answerWhole reads the answer to its end before the caller sees any of it.
func (e *exchange) answerWhole(_ context.Context, target router.Target, answer *upstream.Answer) error {
	data, err := answer.ReadWhole(maxUnary)
	if err != nil {
		return err
	}
	if target.Group.ID != "" {
		if err := checkCompletion(answer.Status, data); err != nil {
			return err
		}
	}
	e.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if err := e.writeHead(target, answer); err != nil {
		return err
	}
	_, err = e.w.Write(data)
	return err
}

// errNotWhole is returned for an engine's answer without its end mark.
var errNotWhole = errors.New("the answer is not whole")

// checkCompletion accepts an answer only if every choice has come to its
// end. An engine's own error is no answer, unless it blames the request.
func checkCompletion(status int, data []byte) error {
	if status >= 500 {
		return fmt.Errorf("%w: %w: status %d", upstream.ErrMayHaveRun, errNotWhole, status)
	}
	if status >= 400 {
		return nil
	}
	var completion struct {
		Choices []struct {
			FinishReason string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &completion); err != nil {
		return fmt.Errorf("%w: %w: %w", upstream.ErrMayHaveRun, errNotWhole, err)
	}
	for _, c := range completion.Choices {
		if c.FinishReason == "" {
			return fmt.Errorf("%w: %w: a choice has no finish_reason", upstream.ErrMayHaveRun, errNotWhole)
		}
	}
	if len(completion.Choices) == 0 {
		return fmt.Errorf("%w: %w: it has no choices", upstream.ErrMayHaveRun, errNotWhole)
	}
	return nil
}
