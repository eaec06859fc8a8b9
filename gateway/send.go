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

// send sends the request to an instance, if the instance accepts requests and the permit allows it.
// It is safe for concurrent use.
func (e *exchange) send(ctx context.Context, i models.UpstreamInstance, p permit, a models.Attempt, readTimeout h1.StallPolicy) (*h1.Response, error) {
	if !p.allows(e.g, i) {
		return nil, errors.Join(errNotRun, errNotAdmitted, errNoPermit)
	}
	admission, err := e.g.node.Breakers().Admit(i)
	if err != nil {
		return nil, errors.Join(errNotRun, errNotAdmitted, err)
	}
	resp, outcome, err := e.sendAdmitted(ctx, i, p, a, readTimeout)
	e.g.node.Breakers().Settle(admission, outcome)
	return resp, err
}

// checkAdmission returns why an admitted request may no longer be sent. It is called once there is
// a connection: meanwhile the instance may have asked for a backoff, or the permit may have
// expired.
func (e *exchange) checkAdmission(i models.UpstreamInstance, p permit) error {
	if err := e.g.node.Breakers().Blocks(i); err != nil {
		return errors.Join(errNotAdmitted, err)
	}
	if e.g.node.View().Evacuated[i.Zone] {
		return errors.Join(errNotAdmitted, errZoneEvacuated)
	}
	if !e.zones.permits(i.Zone) {
		return errors.Join(errNotAdmitted, errOutsideHomes)
	}
	if !p.allows(e.g, i) {
		return errors.Join(errNotAdmitted, errNoPermit)
	}
	if e.arrivals.Load() == 0 {
		if err := e.checkTimeLeft(0); err != nil {
			return errors.Join(errNotAdmitted, err)
		}
	}
	return nil
}

// sendAdmitted is send for an admitted request. It also returns the result for the circuit breaker.
func (e *exchange) sendAdmitted(ctx context.Context, i models.UpstreamInstance, p permit, a models.Attempt, readTimeout h1.StallPolicy) (*h1.Response, breaker.Outcome, error) {
	a.Remaining, a.Instance, a.Workspace = time.Until(e.g.stop.bound(e.deadline)), i.ID, e.owner.Workspace
	a.Priority = rank(e.owner.Priority, e.route.Priority)
	maxIdle := maxIdleIdempotent
	if !e.route.Idempotent() {
		maxIdle = maxIdleNonIdempotent
	}
	if e.unanswered.Load() {
		// An idle connection may have been the reason, and another one may be as well.
		maxIdle = 0
	}
	sentAt, begun := time.Now(), false
	resp, err := e.g.conns.Do(ctx, i.Addr, h1.Request{
		Method: e.r.Method, Target: e.r.RequestURI, Host: e.r.Host, Header: platform.ForwardHeader(e.r.Header, a), Body: e.body,
		MaxIdleAge: maxIdle, StallPolicy: readTimeout,
		BeforeSend: func() error {
			if err := e.checkAdmission(i, p); err != nil {
				return err
			}
			// A hedge may be due before there is a response.
			begun = true
			e.arrivals.Add(1)
			return nil
		},
		Matches: func(h http.Header) bool { return platform.DecodeResponse(0, h).ID == e.head.ID },
	})
	if err != nil && ctx.Err() == nil && !errors.Is(err, h1.ErrStalled) && !errors.Is(err, errNotAdmitted) {
		e.g.scheduler.addFailure(i)
	}
	if begun && errors.Is(err, h1.ErrNotSent) {
		e.arrivals.Add(-1)
	}
	if errors.Is(err, h1.ErrNoResponse) {
		e.unanswered.Store(true)
	}
	switch {
	case errors.Is(err, h1.ErrNotSent):
		return nil, breaker.Unanswered, errors.Join(errNotRun, err)
	case err != nil:
		return nil, breaker.Unanswered, errors.Join(errMayHaveRun, err)
	}
	head := platform.DecodeResponse(resp.Status, resp.Header)
	e.recordSignals(i, head, resp.Status, sentAt)
	if !head.NotRun {
		e.g.scheduler.addSuccess(i.ID)
		return resp, breaker.Accepted, nil
	}
	// An instance that rejects requests has few of them, and would look the least loaded one.
	e.g.scheduler.addFailure(i)
	e.rejections.Add(1)
	e.g.stats.rejections.Inc()
	resp.Body.Abort()
	return nil, breaker.Rejected, fmt.Errorf("%w: status %d, at fault %q", errNotRun, resp.Status, head.FaultyInstance)
}

// recordSignals records the backoff, leaving signal and rate limit in the head of a response.
func (e *exchange) recordSignals(i models.UpstreamInstance, head models.ResponseHead, status int, sentAt time.Time) {
	for _, header := range head.InvalidHeaders {
		e.g.log.Warn().Str("instance", string(i.ID)).Str("request", string(e.head.ID)).Str("header", header).Msg("answer-unreadable")
	}
	// Another instance may have taken over the address and sent the response.
	misdirected := status == http.StatusMisdirectedRequest
	if !misdirected || !e.g.isAddressShared(i) {
		e.g.node.Breakers().ObserveHead(i.ID, i.StartedAt, head)
	}
	if !misdirected {
		e.recordLimit(i, head.RateLimit, sentAt)
	}
}

// isAddressShared reports whether another instance is known to have the same address.
func (g *Gateway) isAddressShared(i models.UpstreamInstance) bool {
	for id, other := range g.node.View().Instances {
		if id != i.ID && other.Addr == i.Addr {
			return true
		}
	}
	return false
}

// recordLimit records the rate limit that a response announced.
func (e *exchange) recordLimit(i models.UpstreamInstance, rate float64, sentAt time.Time) {
	if math.IsNaN(rate) {
		e.g.log.Warn().Str("instance", string(i.ID)).Str("request", string(e.head.ID)).Msg("limit-unreadable")
		return
	}
	e.g.node.Limits().Observe(ratelimit.Observation{Instance: i.ID, StartedAt: i.StartedAt, Rate: rate, SentAt: sentAt, ReceivedAt: time.Now()})
}
