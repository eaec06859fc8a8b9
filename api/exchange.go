package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/worker/upstream"
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
	// choose picks the upstream of the next try, none of those to avoid.
	choose func(now time.Time, avoid []netip.AddrPort) (router.Target, error)
	// call makes the try at the target.
	call func(router.Target) upstream.Call
	// answer passes an upstream's answer on. It returns an error for an
	// answer that is not whole.
	answer func(context.Context, router.Target, *upstream.Answer) error
}

// run sends the request until it has its end.
func (e *exchange) run(ctx context.Context) {
	err := e.claim(ctx)
	if err == nil {
		err = e.tryAll(ctx)
	}
	answering := e.req.Phase() == router.PhaseResponding
	end := e.req.Finish(err == nil)
	e.s.stats.ends[end].Inc()
	if e.claimed && end == router.OutcomeNotRun {
		e.s.release(e.key, e.req.ID)
	}
	e.note(end, err)
	log := e.s.log.Info()
	if err != nil {
		log = e.s.log.Warn().Err(err)
	}
	log.Str("request", string(e.req.ID)).Str("workspace", string(e.workspace.Name)).Str("end", string(end)).
		Int("tries", e.req.Attempts()).Dur("took", time.Since(e.started)).Msg("request-ended")
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
func (e *exchange) note(end router.Outcome, err error) {
	e.entry.Outcome, e.entry.Attempts, e.entry.Elapsed = string(end), e.req.Attempts(), time.Since(e.started)
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

// tryAll makes one try after another while that is allowed, and returns the
// error of the last.
func (e *exchange) tryAll(ctx context.Context) error {
	var last error
	for e.req.MayRetry() && e.req.Attempts() < maxTries && ctx.Err() == nil {
		target, err := e.pick(time.Now())
		if err != nil {
			return errors.Join(err, last)
		}
		if e.req.Attempts() > 0 && !e.s.budget.Withdraw() {
			return fmt.Errorf("%w: too many requests are tried again already: %w", ErrUpstream, last)
		}
		if e.req.Attempts() > 0 {
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

// pick chooses the upstream of the next try. Suspects are asked only if
// nothing else is there.
func (e *exchange) pick(now time.Time) (router.Target, error) {
	suspects := e.s.suspects.List(now)
	if len(suspects) == 0 {
		return e.choose(now, e.tried)
	}
	target, err := e.choose(now, append(suspects, e.tried...))
	if errors.Is(err, router.ErrNoUpstream) {
		return e.choose(now, e.tried)
	}
	return target, err
}

// judge notes whether the upstream of a try serves.
func (e *exchange) judge(ctx context.Context, target router.Target, err error) {
	switch {
	case err == nil:
		e.s.suspects.Clear(target.Addr)
	case errors.Is(err, upstream.ErrNotServing) && ctx.Err() == nil:
		e.s.suspects.Add(target.Addr, time.Now())
		e.s.log.Info().Str("request", string(e.req.ID)).Stringer("upstream", target.Addr).Err(err).Msg("upstream-suspected")
	}
}

// try sends the request to one upstream and passes its answer on.
func (e *exchange) try(ctx context.Context, target router.Target) error {
	e.tried = append(e.tried, target.Addr)
	e.s.flights.take(target.Addr)
	defer e.s.flights.give(target.Addr)
	if err := e.req.Send(); err != nil {
		return err
	}
	e.noteTarget(target)
	answer, err := e.s.upstream.Do(ctx, e.call(target))
	e.judge(ctx, target, err)
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
	if err := e.req.Respond(); err != nil {
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
