package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// outcome is how a request ended.
type outcome string

// The outcomes of requests.
const (
	outcomeWhole     outcome = "whole"
	outcomeRefused   outcome = "refused"
	outcomeUnknown   outcome = "unknown-route"
	outcomeForbidden outcome = "forbidden"
	outcomeBroken    outcome = "broken"
	outcomeLate      outcome = "out-of-time"
	outcomeGone      outcome = "caller-gone"
)

var outcomes = []outcome{outcomeWhole, outcomeRefused, outcomeUnknown, outcomeForbidden, outcomeBroken, outcomeLate, outcomeGone}

// Reasons why a request is not answered by an instance.
var (
	errNoConfig   = errors.New("no configuration is known yet")
	errStaleKeys  = errors.New("the keys may have changed")
	errNoRoute    = errors.New("no route has this host and path")
	errBadKey     = errors.New("the key is not known")
	errTooLarge   = errors.New("the body is too long")
	errBody       = errors.New("the body did not come whole")
	errNoUpstream = errors.New("no instance takes this request now")
	errFull       = errors.New("all instances are full")
	errNotRun     = errors.New("the instance did not run the request")
	errMayHaveRun = errors.New("the request may have been run")
	errBudget     = errors.New("too many requests are being repeated")
)

// exchange is one request on its way.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	head    models.RequestHead
	route   models.Route
	service models.ServiceName
	holder  models.KeyHolder
	body    []byte
	began   time.Time
	until   time.Time
	// tried are the instances that the request was sent to.
	tried []models.InstanceID
	// answering tells that the head of the answer has gone out.
	answering bool
	// at is where the request was sent last.
	at    models.UpstreamInstance
	group models.GroupKey
	// first is when the first byte of the answer went out.
	first time.Time
	// gap is the longest pause between two events, load what the group had
	// when it was chosen.
	gap  time.Duration
	load int
}

// noDeadline bounds a request whose caller and route name no time.
const noDeadline = time.Minute

// serve handles one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.stats.inFlight.Add(1)
	defer g.stats.inFlight.Add(-1)
	e := &exchange{g: g, w: w, r: r, began: time.Now(), head: platform.DecodeRequest(r.Header)}
	err := e.admit()
	if err != nil {
		e.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.until)
	defer cancel()
	if e.route.Kind == models.RouteStream {
		err = e.stream(ctx)
	} else {
		err = e.unary(ctx)
	}
	e.finish(ctx, err)
}

// admit finds the route and the workspace and reads the body.
func (e *exchange) admit() error {
	v := e.g.node.View()
	if v.Routing == nil {
		return errNoConfig
	}
	known := false
	e.route, known = v.Routing.Match(e.r.Host, e.r.URL.EscapedPath())
	if !known {
		if !e.g.current(v, e.g.cfg.ConfigBound) {
			return errStaleKeys
		}
		return errNoRoute
	}
	if err := e.authorize(v); err != nil {
		return err
	}
	e.until = e.began.Add(noDeadline)
	if e.route.Timeout > 0 {
		e.until = e.began.Add(e.route.Timeout)
	}
	if d := e.head.Deadline; d > 0 && e.began.Add(d).Before(e.until) {
		e.until = e.began.Add(d)
	}
	h := fnv.New64a()
	h.Write([]byte(e.head.ID))
	e.service = pickService(e.route, h.Sum64())
	return e.readBody(v.Routing.Limits.BodyBytes)
}

func (e *exchange) authorize(v *cluster.View) error {
	if !v.Routing.Keyed || e.route.Open {
		return nil
	}
	if !e.g.current(v, e.g.cfg.KeysBound) {
		return errStaleKeys
	}
	holder, known := v.Routing.Keys[e.head.Key]
	switch {
	case known:
		e.holder = holder
		return nil
	case e.g.current(v, e.g.cfg.ConfigBound):
		return errBadKey
	default:
		return errStaleKeys
	}
}

func (e *exchange) readBody(limit int64) error {
	if limit <= 0 {
		limit = 4 << 20
	}
	body, err := io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return errTooLarge
	case err != nil:
		return errors.Join(errBody, err)
	}
	e.body = body
	return nil
}

// try notes that the request is about to be sent to an instance.
func (e *exchange) try(i models.UpstreamInstance) {
	e.at = i
	if !slices.Contains(e.tried, i.ID) {
		e.tried = append(e.tried, i.ID)
	}
}

// send sends the request to an instance. It is safe for use by several
// goroutines.
func (e *exchange) send(ctx context.Context, i models.UpstreamInstance, a models.Attempt, patience h1.Patience) (*h1.Response, error) {
	a.Left, a.Instance, a.Workspace = time.Until(e.until), i.ID, e.holder.Workspace
	a.Priority = min(maxPriority, e.route.Priority)
	freshest := freshRepeatable
	if !e.route.Repeatable() {
		freshest = freshOnce
	}
	resp, err := e.g.conns.Do(ctx, i.Addr, h1.Request{
		Method: e.r.Method, Target: e.r.RequestURI, Host: e.r.Host, Header: platform.ForwardHeader(e.r.Header, a), Body: e.body,
		Freshest: freshest, Patience: patience,
		Mine: func(h http.Header) bool { return platform.DecodeAnswer(0, h).ID == e.head.ID },
	})
	switch {
	case errors.Is(err, h1.ErrNotSent):
		return nil, errors.Join(errNotRun, err)
	case err != nil:
		return nil, errors.Join(errMayHaveRun, err)
	}
	if platform.DecodeAnswer(resp.Status, resp.Header).NotRun {
		resp.Body.Discard()
		return nil, errNotRun
	}
	return resp, nil
}

const (
	maxPriority = 9
	// freshRepeatable and freshOnce are how long a connection may have rested
	// to carry a request that may be sent again, and one that may not: an
	// upstream may close a resting connection at any time.
	freshRepeatable = 4 * time.Second
	freshOnce       = 300 * time.Millisecond
)

// refuse answers a request that was sent nowhere.
func (e *exchange) refuse(err error) {
	status, end := http.StatusServiceUnavailable, outcomeRefused
	switch {
	case errors.Is(err, errNoRoute):
		status, end = http.StatusNotFound, outcomeUnknown
	case errors.Is(err, errBadKey):
		status, end = http.StatusUnauthorized, outcomeForbidden
	case errors.Is(err, errTooLarge):
		status, end = http.StatusRequestEntityTooLarge, outcomeForbidden
	case errors.Is(err, errBody):
		end = outcomeGone
		status = http.StatusBadRequest
	default:
		platform.SetRetryAfter(e.w.Header(), retryAfter)
	}
	e.note(end, status, err)
	e.w.WriteHeader(status)
}

// retryAfter is when a caller is asked to come back: about the time in which
// a place comes free.
const retryAfter = 120 * time.Millisecond

// finish gives a request its end if no instance did.
func (e *exchange) finish(ctx context.Context, err error) {
	switch {
	case err == nil:
		e.note(outcomeWhole, 0, nil)
	case e.r.Context().Err() != nil:
		e.note(outcomeGone, 0, err)
		panic(http.ErrAbortHandler)
	case e.answering:
		// Only a broken connection tells the caller that the answer that has
		// begun is not whole.
		e.note(outcomeBroken, 0, err)
		panic(http.ErrAbortHandler)
	case errors.Is(err, errNotRun) || errors.Is(err, errFull) || errors.Is(err, errNoUpstream):
		e.refuse(err)
	case ctx.Err() != nil:
		e.note(outcomeLate, http.StatusGatewayTimeout, err)
		e.w.WriteHeader(http.StatusGatewayTimeout)
	default:
		e.note(outcomeBroken, http.StatusBadGateway, err)
		e.w.WriteHeader(http.StatusBadGateway)
	}
}

// note writes a request's end into the log and the metrics.
func (e *exchange) note(end outcome, status int, err error) {
	e.g.stats.ends[end].Inc()
	event := e.g.log.Info()
	if err != nil {
		event = e.g.log.Warn().Err(err)
	}
	version := int64(0)
	if r := e.g.node.View().Routing; r != nil {
		version = r.Version
	}
	first := time.Duration(0)
	if !e.first.IsZero() {
		first = e.first.Sub(e.began)
		e.g.stats.firstByte.Update(first.Seconds())
	}
	event.Str("request", string(e.head.ID)).Str("route", e.route.Name).Str("model", string(e.head.Model)).Dur("aim", e.route.Aim).Int64("config", version).Str("workspace", string(e.holder.Workspace)).
		Str("outcome", string(end)).Int("status", status).Str("instance", string(e.at.ID)).Str("zone", string(e.at.Zone)).
		Str("group", string(e.group.Name)).Int("sent", len(e.tried)).Int("load", e.load).Dur("first", first).Dur("gap", e.gap).Dur("took", time.Since(e.began)).
		Msg("request-ended")
}

// writeHead passes the head of an answer on.
func (e *exchange) writeHead(status int, h http.Header) {
	out := e.w.Header()
	for name, values := range platform.AnswerHeader(h) {
		out[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, given := out[name]; !given {
			// An empty list keeps the server from adding one of its own.
			out[name] = nil
		}
	}
	e.answering, e.first = true, time.Now()
	e.w.WriteHeader(status)
}
