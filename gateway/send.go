package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/lupinkeel/lupinkeel/breaker"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/ratelimit"
)

// send sends the request to an instance, if that takes any and the permit allows it. It is
// safe for use by several goroutines.
func (e *exchange) send(ctx context.Context, i models.UpstreamInstance, p permit, a models.Attempt, patience h1.Patience) (*h1.Response, error) {
	if !p.allows(e.g, i) {
		return nil, errors.Join(errNotRun, errHeld, errNoPermit)
	}
	admission, err := e.g.node.Breakers().Admit(i)
	if err != nil {
		return nil, errors.Join(errNotRun, errHeld, err)
	}
	resp, end, err := e.sendAdmitted(ctx, i, p, a, patience)
	e.g.node.Breakers().Settle(admission, end)
	return resp, err
}

// held returns why the request may not be sent to an instance any more for which it had been
// admitted. It is asked when the connection is there: the instance may have asked for rest
// since, or the permit have lapsed.
func (e *exchange) held(i models.UpstreamInstance, p permit) error {
	if err := e.g.node.Breakers().Blocks(i); err != nil {
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
