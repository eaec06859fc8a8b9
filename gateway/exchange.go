package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/breaker"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/quarantine"
	"github.com/lupinkeel/lupinkeel/ratelimit"
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
	// ran tells that an instance may have run the request, so that it must not
	// be refused any more.
	ran bool
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
	// turnedAway is how many sends instances did not run.
	turnedAway atomic.Int32
	// opening is when the request may be sent, if that did not come in time.
	opening opening
	// digest stands for what the caller asks. It may be called by several goroutines.
	digest func() quarantine.Digest
	// digested tells that the digest was asked for.
	digested atomic.Bool
	// cut is closed once it is known whether the instance that cut the request off last
	// has crashed; nil if none did.
	cut atomic.Pointer[<-chan struct{}]
}

// serve handles one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.stats.inFlight.Add(1)
	defer g.stats.inFlight.Add(-1)
	e := &exchange{g: g, w: w, r: r, began: time.Now(), head: platform.DecodeRequest(r.Header)}
	e.digest = sync.OnceValue(e.newDigest)
	err := e.admit()
	if err == nil {
		err = e.mayBeSent()
	}
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

// newDigest is the digest of what the caller asks.
func (e *exchange) newDigest() quarantine.Digest {
	e.digested.Store(true)
	asked := quarantine.Request{
		Workspace: e.holder.Workspace, Method: e.r.Method, Host: e.r.Host, Target: e.r.RequestURI, Body: e.body,
	}
	return asked.Digest()
}

// try notes that the request is about to be sent to an instance.
func (e *exchange) try(i models.UpstreamInstance) {
	e.at = i
	if !slices.Contains(e.tried, i.ID) {
		e.tried = append(e.tried, i.ID)
	}
}

// untry notes that the request was not sent to an instance after all.
func (e *exchange) untry(i models.UpstreamInstance) {
	e.tried = slices.DeleteFunc(e.tried, func(id models.InstanceID) bool { return id == i.ID })
}

// send sends the request to an instance, if that takes any and the permit allows it. It is
// safe for use by several goroutines.
func (e *exchange) send(ctx context.Context, i models.UpstreamInstance, p permit, a models.Attempt, patience h1.Patience) (*h1.Response, error) {
	if !p.allows(e.g, i) {
		return nil, errors.Join(errNotRun, errHeld, errNoPermit)
	}
	pass, err := e.g.node.Breakers().Admit(i)
	if err != nil {
		return nil, errors.Join(errNotRun, errHeld, err)
	}
	resp, end, err := e.sendAdmitted(ctx, i, p, a, patience)
	e.g.node.Breakers().Settle(pass, end)
	return resp, err
}

// held returns why the request may not be sent to an instance any more for which it had been
// admitted. It is asked when the connection is there: the instance may have asked for rest
// since, or the permit have lapsed.
func (e *exchange) held(i models.UpstreamInstance, p permit) error {
	if err := e.g.node.Breakers().Bars(i); err != nil {
		return errors.Join(errHeld, err)
	}
	if !p.allows(e.g, i) {
		return errors.Join(errHeld, errNoPermit)
	}
	return nil
}

// sendAdmitted is send for a request that was admitted. It tells what came of it.
func (e *exchange) sendAdmitted(ctx context.Context, i models.UpstreamInstance, p permit, a models.Attempt, patience h1.Patience) (*h1.Response, breaker.End, error) {
	a.Left, a.Instance, a.Workspace = time.Until(e.until), i.ID, e.holder.Workspace
	a.Priority = rank(e.holder.Priority, e.route.Priority)
	freshest := freshRepeatable
	if !e.route.Repeatable() {
		freshest = freshOnce
	}
	asked := time.Now()
	resp, err := e.g.conns.Do(ctx, i.Addr, h1.Request{
		Method: e.r.Method, Target: e.r.RequestURI, Host: e.r.Host, Header: platform.ForwardHeader(e.r.Header, a), Body: e.body,
		Freshest: freshest, Patience: patience,
		Ready: func() error { return e.held(i, p) },
		Mine:  func(h http.Header) bool { return platform.DecodeAnswer(0, h).ID == e.head.ID },
	})
	if err != nil && ctx.Err() == nil && !errors.Is(err, h1.ErrStalled) && !errors.Is(err, errHeld) {
		e.g.balance.fail(i)
	}
	switch {
	case errors.Is(err, h1.ErrNotSent):
		return nil, breaker.Unanswered, errors.Join(errNotRun, err)
	case err != nil:
		return nil, breaker.Unanswered, errors.Join(errMayHaveRun, err)
	}
	told := platform.DecodeAnswer(resp.Status, resp.Header)
	e.hear(i, told, resp.Status, asked)
	if !told.NotRun {
		e.g.balance.answer(i.ID)
		return resp, breaker.Taken, nil
	}
	// An instance that turns requests away has few, and would seem the least busy one.
	e.g.balance.fail(i)
	e.turnedAway.Add(1)
	e.g.stats.turnedAway.Inc()
	resp.Body.Discard()
	return nil, breaker.TurnedAway, fmt.Errorf("%w: status %d, at fault %q", errNotRun, resp.Status, told.Fault)
}

// hear notes what an answer told of its instance.
func (e *exchange) hear(i models.UpstreamInstance, told models.AnswerHead, status int, asked time.Time) {
	for _, header := range told.Unreadable {
		e.g.log.Warn().Str("instance", string(i.ID)).Str("request", string(e.head.ID)).Str("header", header).Msg("answer-unreadable")
	}
	// Another instance may have taken over the address, and answer so.
	misdirected := status == http.StatusMisdirectedRequest
	if !misdirected || !e.g.isShared(i) {
		e.g.node.Breakers().HeardHead(i.ID, i.Born, told)
	}
	if !misdirected {
		e.hearLimit(i, told.Limit, asked)
	}
}

// isShared reports whether another instance is known to have the address of an instance.
func (g *Gateway) isShared(i models.UpstreamInstance) bool {
	for id, other := range g.node.View().All {
		if id != i.ID && other.Addr == i.Addr {
			return true
		}
	}
	return false
}

// hearLimit notes what an answer told of its instance's limit.
func (e *exchange) hearLimit(i models.UpstreamInstance, rate float64, asked time.Time) {
	if math.IsNaN(rate) {
		e.g.log.Warn().Str("instance", string(i.ID)).Str("request", string(e.head.ID)).Msg("limit-unreadable")
		return
	}
	e.g.node.Limits().Heard(ratelimit.Sighting{Instance: i.ID, Born: i.Born, Rate: rate, Asked: asked, Heard: time.Now()})
}

const (
	// maxPriority is the last rank of the Priority header that instances take.
	maxPriority = 9
	// routeRanks is how many of those ranks the routes of one workspace share:
	// the users' routes have two or three priorities.
	routeRanks = 3
	// freshRepeatable and freshOnce are how long a connection may have rested
	// to carry a request that may be sent again, and one that may not: an
	// upstream may close a resting connection at any time.
	freshRepeatable = 4 * time.Second
	freshOnce       = 300 * time.Millisecond
)

// rank is how urgent a request is at an instance, 0 first: the workspace's
// priority goes before the route's.
func rank(workspace, route int) int {
	within := min(max(0, route), routeRanks-1)
	return min(maxPriority, max(0, workspace)*routeRanks+within)
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
