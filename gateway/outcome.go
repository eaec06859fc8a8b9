package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// outcome is how a request ended, as logged and counted.
type outcome string

// Outcomes of requests.
const (
	outcomeComplete     outcome = "whole"
	outcomeRejected     outcome = "refused"
	outcomeUnknownRoute outcome = "unknown-route"
	outcomeForbidden    outcome = "forbidden"
	outcomeBroken       outcome = "broken"
	outcomeTimeout      outcome = "out-of-time"
	outcomeCallerGone   outcome = "caller-gone"
)

var outcomes = []outcome{outcomeComplete, outcomeRejected, outcomeUnknownRoute, outcomeForbidden, outcomeBroken, outcomeTimeout, outcomeCallerGone}

// Errors for requests that no instance answered.
var (
	errNoConfig    = errors.New("no configuration is known yet")
	errStaleConfig = errors.New("the keys may have changed")
	errNoRoute     = errors.New("no route matches this host and path")
	errUnknownKey  = errors.New("the key is unknown")
	// errForwarded: the address of this daemon stands among the instances. A request that is forwarded
	// again would go round until its deadline.
	errForwarded      = errors.New("another daemon takes this one for an instance")
	errBodyTooLong    = errors.New("the request body is too long")
	errBodyIncomplete = errors.New("the request body is incomplete")
	errBodyLate       = errors.New("the request body did not arrive within the request's time")
	errNoInstance     = errors.New("no instance is available for this request")
	errAllFull        = errors.New("all instances are full")
	errNotRun         = errors.New("the instance did not run the request")
	errMayHaveRun     = errors.New("the request may have been run")
	errRetryBudget    = errors.New("too many requests are being repeated")
	// errAllLimited: no permit to send the request to any of them comes in time.
	errAllLimited = errors.New("all instances had named limits")
	// errAllBackingOff: the backoff of none of them ends in time.
	errAllBackingOff = errors.New("all instances had asked for rest")
	// errNotAdmitted: the request was not sent, since the instance must not get any.
	errNotAdmitted = errors.New("the instance must not be sent requests now")
	// errFalsePromise: the instance ran a request that may run only once, and answered with a status
	// which promises callers that it did not.
	errFalsePromise = errors.New("the status promises that the request was not run, and the instance does not say so")
	// errNoPermit: the instance announced a rate limit after it was picked, or the permit expired.
	errNoPermit = errors.New("the instance is rate-limited, and there is no valid permit for it")
	// errOutsideHomes: neither route nor workspace may use the instance's region.
	errOutsideHomes = errors.New("the instance is outside the homes of the request")
	// errZoneEvacuated: operators evacuate the instance's availability zone.
	errZoneEvacuated = errors.New("the availability zone is evacuated")
	// errQuarantined: several instances crashed while they ran the request.
	errQuarantined = errors.New("the request crashes the instances that run it")
	// errPartQuarantined: several instances crashed while they ran requests with the same part of
	// their prompts.
	errPartQuarantined = errors.New("a part of the prompt crashes the instances that run it")
	// errLastInstance: an instance crashed while it ran the request, and only one is left.
	errLastInstance = errors.New("an instance crashed with the request, and the last one is spared")
)

// reject answers a request that no instance has run.
func (e *exchange) reject(err error) {
	status, outcome := http.StatusServiceUnavailable, outcomeRejected
	switch {
	case errors.Is(err, errNoRoute):
		status, outcome = http.StatusNotFound, outcomeUnknownRoute
	case errors.Is(err, errUnknownKey):
		status, outcome = http.StatusUnauthorized, outcomeForbidden
	case errors.Is(err, errForwarded):
		status, outcome = http.StatusMisdirectedRequest, outcomeForbidden
		platform.SetRequestID(e.w.Header(), e.head.ID)
	case errors.Is(err, errBodyTooLong):
		status, outcome = http.StatusRequestEntityTooLarge, outcomeForbidden
	case errors.Is(err, errBodyIncomplete):
		outcome = outcomeCallerGone
		status = http.StatusBadRequest
	case errors.Is(err, errBodyLate):
		status, outcome = http.StatusRequestTimeout, outcomeTimeout
	case errors.Is(err, errQuarantined), errors.Is(err, errPartQuarantined):
		// No Retry-After: it would only make the caller send the request again.
		e.g.stats.quarantineRejections.Inc()
	case errors.Is(err, errAllLimited):
		e.g.stats.limitRejections.Inc()
		platform.SetRetryAfter(e.w.Header(), retryAfterPermit(time.Until(e.available.at)))
	case errors.Is(err, errAllBackingOff):
		e.g.stats.backoffRejections.Inc()
		platform.SetRetryAfter(e.w.Header(), retryAfterBackoff(e.available, rank(e.owner.Priority, e.route.Priority), time.Now()))
	case e.rejected != nil:
		platform.SetRetryAfter(e.w.Header(), e.rejected.RetryAfter)
	default:
		platform.SetRetryAfter(e.w.Header(), retryAfter(err))
	}
	if e.received.IsZero() {
		// net/http reads what is left of a short body before it sends the response.
		e.setDeadline(http.NewResponseController(e.w).SetReadDeadline, time.Now().Add(unreadBodyTimeout))
	}
	e.logEnd(outcome, status, err)
	e.announceClose()
	e.w.WriteHeader(status)
}

const (
	// typicalStartup is about how long a daemon of the users' platform takes from its start to its
	// first configuration, a large one at 20 Mbit/s.
	typicalStartup = 400 * time.Millisecond
	// minRetryAfter and retryAfterJitter set when a caller should retry if all groups are full. A
	// group of 20 slots with requests of 1.2 s finishes one about every 60 ms, but an overload of
	// all groups lasts longer, and most callers retry only once. The jitter keeps callers from
	// retrying at the same time.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterJitter = 500 * time.Millisecond
	// stopRetryAfter bounds when a caller should retry that a stopping daemon rejected: others can serve
	// it at once.
	stopRetryAfter = 100 * time.Millisecond
)

// retryAfter returns when a caller that was rejected for this reason should retry.
func retryAfter(reason error) time.Duration {
	if errors.Is(reason, errNoConfig) {
		return typicalStartup
	}
	if errors.Is(reason, errStopping) {
		return rand.N(stopRetryAfter)
	}
	return minRetryAfter + rand.N(retryAfterJitter)
}

// retryAfterPermit returns when a caller should retry if a permit may be available after a wait.
// The jitter spreads the callers, since a permit serves only one of them.
func retryAfterPermit(wait time.Duration) time.Duration {
	return max(minRetryAfter, wait) + rand.N(max(retryAfterJitter, wait))
}

// jitterRanks is the number of ranks over which the retries of rejected callers are spread.
const jitterRanks = 3

// retryAfterBackoff returns when a caller should retry if all instances back off: after the first
// backoff ends, the more urgent callers first. Retries are spread over half of the time for which
// callers were rejected, so that they add at most twice the usual request rate.
func retryAfterBackoff(o availability, rank int, now time.Time) time.Duration {
	jitter := max(retryAfterJitter, now.Sub(o.since)/2)
	fraction := (float64(min(rank, jitterRanks-1)) + rand.Float64()) / jitterRanks
	return max(minRetryAfter, o.at.Sub(now)) + time.Duration(fraction*float64(jitter))
}

// finish logs the end of a request, and answers it if no response was sent.
func (e *exchange) finish(ctx context.Context, err error) {
	if !e.headSent {
		e.announceClose()
	}
	switch {
	case err == nil:
		e.completeByClose()
		e.clear()
		e.g.entrance.Served(time.Since(e.started))
		e.g.durations.observe(e.route.Name, time.Since(e.received))
		e.logEnd(outcomeComplete, 0, nil)
	case e.r.Context().Err() != nil:
		e.logEnd(outcomeCallerGone, 0, err)
		panic(http.ErrAbortHandler)
	case e.headSent:
		// Only a broken connection tells the caller that the response is incomplete.
		e.logEnd(outcomeBroken, 0, err)
		panic(http.ErrAbortHandler)
	case !e.mayHaveRun && isNotRun(err):
		e.reject(err)
	case ctx.Err() != nil:
		e.logEnd(outcomeTimeout, http.StatusGatewayTimeout, errors.Join(err, context.Cause(ctx)))
		e.w.WriteHeader(http.StatusGatewayTimeout)
	default:
		e.logEnd(outcomeBroken, http.StatusBadGateway, err)
		e.w.WriteHeader(http.StatusBadGateway)
	}
}

// promisesNotRun reports whether a status tells callers that the request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// checkPromise returns an error for an instance's status that must not be passed on: callers would
// send a request again that may run only once.
func (e *exchange) checkPromise(status int) error {
	if !e.route.Idempotent() && promisesNotRun(status) {
		return fmt.Errorf("%w: %w: status %d", errMayHaveRun, errFalsePromise, status)
	}
	return nil
}

// isNotRun reports whether the error means that no instance ran the request.
func isNotRun(err error) bool {
	for _, reason := range []error{errNotRun, errAllFull, errRejected, errNoInstance, errAllLimited, errAllBackingOff, errQuarantined, errPartQuarantined, errLastInstance, errStopping} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// isRejected reports whether the error means that an instance rejected the request.
func isRejected(err error) bool {
	return errors.Is(err, errNotRun) && !errors.Is(err, h1.ErrNotSent)
}

// logEnd logs and counts the end of a request.
func (e *exchange) logEnd(end outcome, status int, err error) {
	e.g.stats.byOutcome[end].Inc()
	event := e.g.log.Info()
	if err != nil {
		event = e.g.log.Warn().Err(err)
	}
	version := int64(0)
	if r := e.g.node.View().Routing; r != nil {
		version = r.Version
	}
	first := time.Duration(0)
	if !e.firstByte.IsZero() {
		first = e.firstByte.Sub(e.started)
		e.g.stats.firstByte.Update(first.Seconds())
	}
	if e.digestUsed.Load() {
		event.Stringer("digest", e.digest())
	}
	if e.route.Kind == models.RouteStream {
		event.EmbedObject(e.end)
	}
	event.Str("request", string(e.head.ID)).Str("route", e.route.Name).Str("model", string(e.head.Model)).
		Dur("aim", e.route.LatencyTarget).Int64("config", version).Str("workspace", string(e.owner.Workspace)).
		Str("outcome", string(end)).Int("status", status).Str("instance", string(e.instance.ID)).Str("zone", string(e.instance.Zone)).
		Str("group", string(e.group.Name)).Int("sent", len(e.tried)).Int32("turned-away", e.rejections.Load()).Int("load", e.pickedLoad).
		Dur("first", first).Dur("gap", e.maxPause).Dur("took", time.Since(e.started)).
		Msg("request-ended")
}
