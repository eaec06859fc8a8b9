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
	// maxTries is the maximum number of attempts for one request.
	maxTries = 3
	// maxBufferedResponse is the maximum length in bytes of a response that is read before it is forwarded,
	// maxBufferedResponses that of all of them together.
	maxBufferedResponse  = 16 << 20
	maxBufferedResponses = 128 << 20
	maxPriority          = 9
	cancelTimeout        = time.Second
)

// exchange is the processing of one caller's request.
type exchange struct {
	s         *Server
	w         http.ResponseWriter
	r         *http.Request
	req       *router.Request
	workspace models.Workspace
	body      []byte
	// heldBytes is the number of bytes that are held for its responses.
	heldBytes  int
	priority   int
	started    time.Time
	triedAddrs []netip.AddrPort
	// keyHash is the hash of workspace and idempotency key; empty without a key.
	keyHash    string
	keyClaimed bool
	// entry is the request's entry on the trail.
	entry models.TrailEntry
	// chooseTarget picks the upstream of the next attempt, excluding the addresses to avoid.
	chooseTarget func(now time.Time, avoid []netip.AddrPort) (router.Target, error)
	// newCall returns the call of an attempt at the target.
	newCall func(router.Target) upstream.Call
	// forward forwards an upstream's response. It returns an error for an incomplete response.
	forward func(context.Context, router.Target, *upstream.Response) error
}

// run processes the request to its end.
func (e *exchange) run(ctx context.Context) {
	defer func() { e.s.buffers.Release(e.heldBytes) }()
	err := e.claim(ctx)
	if err == nil {
		err = e.tryAll(ctx)
	}
	responseStarted := e.req.Phase() == router.PhaseResponding
	end := e.req.Finish(err == nil)
	e.s.stats.byOutcome[end].Inc()
	if e.keyClaimed && end == router.OutcomeNotRun {
		e.s.release(e.keyHash, e.req.ID)
	}
	e.recordOutcome(end, err)
	log := e.s.log.Info()
	if err != nil {
		log = e.s.log.Warn().Err(err)
	}
	log.Str("request", string(e.req.ID)).Str("workspace", string(e.workspace.Name)).Str("end", string(end)).
		Int("tries", e.req.Attempts()).Dur("took", time.Since(e.started)).Msg("request-ended")
	switch {
	case err == nil:
		e.s.callerListener.Served(time.Since(e.started))
	case responseStarted:
		// The header has been sent, so only an aborted connection tells the caller that the
		// response is incomplete.
		panic(http.ErrAbortHandler)
	default:
		writeError(e.w, err, end)
	}
}

// recordOutcome records the outcome of the request on the trail.
func (e *exchange) recordOutcome(end router.Outcome, err error) {
	e.entry.Outcome, e.entry.Attempts, e.entry.Elapsed = string(end), e.req.Attempts(), time.Since(e.started)
	if err != nil {
		e.entry.Reason = err.Error()
	}
	e.s.daemon.RecordTrail(e.entry)
}

// recordTarget records on the trail where the request is about to be sent.
func (e *exchange) recordTarget(t router.Target) {
	e.entry.Group, e.entry.Version, e.entry.Instances = t.Group.ID, t.Group.Version, t.Instances
	e.entry.Zone, e.entry.Domain = t.Zone, t.Domain
	e.s.daemon.RecordTrail(e.entry)
}

// tryAll makes attempts while retries are allowed, and returns the last error.
func (e *exchange) tryAll(ctx context.Context) error {
	var lastErr error
	for e.req.MayRetry() && e.req.Attempts() < maxTries && ctx.Err() == nil {
		target, err := e.pickTarget(time.Now())
		if err != nil {
			return errors.Join(err, lastErr)
		}
		if e.req.Attempts() > 0 && !e.s.budget.Withdraw(time.Now()) {
			return fmt.Errorf("%w: too many requests are tried again already: %w", ErrUpstreamFailed, lastErr)
		}
		if e.req.Attempts() > 0 {
			e.s.stats.retries.Inc()
		}
		if lastErr = e.attempt(ctx, target); lastErr == nil {
			return nil
		}
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return fmt.Errorf("%w: %w", ErrUpstreamFailed, lastErr)
}

// pickTarget chooses the upstream of the next attempt. Suspected upstreams are used only if there
// is no other.
func (e *exchange) pickTarget(now time.Time) (router.Target, error) {
	suspects := e.s.suspects.List(now)
	if len(suspects) == 0 {
		return e.chooseTarget(now, e.triedAddrs)
	}
	target, err := e.chooseTarget(now, append(suspects, e.triedAddrs...))
	if errors.Is(err, router.ErrNoUpstream) {
		return e.chooseTarget(now, e.triedAddrs)
	}
	return target, err
}

// recordHealth records whether the upstream of an attempt serves.
func (e *exchange) recordHealth(ctx context.Context, target router.Target, err error) {
	switch {
	case err == nil:
		e.s.suspects.Clear(target.Addr)
	case errors.Is(err, upstream.ErrNotServing) && ctx.Err() == nil:
		e.s.suspects.Add(target.Addr, time.Now())
		e.s.log.Info().Str("request", string(e.req.ID)).Stringer("upstream", target.Addr).Err(err).Msg("upstream-suspected")
	}
}

// attempt sends the request to one upstream and forwards the response.
func (e *exchange) attempt(ctx context.Context, target router.Target) error {
	e.triedAddrs = append(e.triedAddrs, target.Addr)
	e.s.inFlight.startTry(target.Addr)
	defer e.s.inFlight.endTry(target.Addr)
	if err := e.req.Send(); err != nil {
		return err
	}
	e.recordTarget(target)
	resp, err := e.s.upstream.Do(ctx, e.newCall(target))
	e.recordHealth(ctx, target, err)
	if errors.Is(err, upstream.ErrNotRun) {
		return errors.Join(err, e.req.NotRun())
	}
	if err == nil {
		err = e.forward(ctx, target, resp)
	}
	if err != nil && e.req.Phase() == router.PhaseSent {
		return errors.Join(err, e.req.Failed())
	}
	return err
}

// writeHeader sends the response header, with where the request ran, and marks the response as
// started.
func (e *exchange) writeHeader(target router.Target, resp *upstream.Response) error {
	if err := e.req.Respond(); err != nil {
		return err
	}
	h := e.w.Header()
	setPlacementHeaders(h, target)
	if contentType := resp.Header.Get("Content-Type"); contentType != "" {
		h.Set("Content-Type", contentType)
	}
	e.s.stats.firstToken.Update(time.Since(e.started).Seconds())
	e.w.WriteHeader(resp.Status)
	return nil
}

func setPlacementHeaders(h http.Header, target router.Target) {
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
