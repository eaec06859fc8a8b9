package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/platform"
)

// outcome is how a request ended.
type outcome string

// The outcomes of requests.
const (
	outcomeComplete     outcome = "whole"
	outcomeRefused      outcome = "refused"
	outcomeUnknownRoute outcome = "unknown-route"
	outcomeForbidden    outcome = "forbidden"
	outcomeBroken       outcome = "broken"
	outcomeTimeout      outcome = "out-of-time"
	outcomeCallerGone   outcome = "caller-gone"
)

var outcomes = []outcome{outcomeComplete, outcomeRefused, outcomeUnknownRoute, outcomeForbidden, outcomeBroken, outcomeTimeout, outcomeCallerGone}

// Reasons why a request is not answered by an instance.
var (
	errNoConfig       = errors.New("no configuration is known yet")
	errStaleConfig    = errors.New("the keys may have changed")
	errNoRoute        = errors.New("no route has this host and path")
	errUnknownKey     = errors.New("the key is not known")
	errBodyTooLong    = errors.New("the body is too long")
	errBodyIncomplete = errors.New("the body did not come whole")
	errNoInstance     = errors.New("no instance takes this request now")
	errAllFull        = errors.New("all instances are full")
	errNotExecuted    = errors.New("the instance did not run the request")
	errMaybeExecuted  = errors.New("the request may have been run")
	errRetryBudget    = errors.New("too many requests are being repeated")
	// errLimited: no permit comes in time to send the request to any of them.
	errAllLimited = errors.New("all instances had named limits")
	// errResting: none of them ends its rest in time.
	errAllBackingOff = errors.New("all instances had asked for rest")
	// errHeld: the request was not sent, since the instance is to get none.
	errNotAdmitted = errors.New("nothing may be sent to the instance now")
	// errNoPermit: the instance named a limit since it was picked, or the permit lapsed.
	errNoPermit = errors.New("the instance names a limit, and there is no permit for it")
	// errQuarantined: instances crashed each time that they ran the request.
	errQuarantined = errors.New("the request crashes the instances that run it")
	// errLastSpared: an instance crashed with the request, and only one is left.
	errLastInstance = errors.New("an instance crashed with the request, and the last one is spared")
)

// refuse answers a request that was sent nowhere.
func (e *exchange) refuse(err error) {
	status, end := http.StatusServiceUnavailable, outcomeRefused
	switch {
	case errors.Is(err, errNoRoute):
		status, end = http.StatusNotFound, outcomeUnknownRoute
	case errors.Is(err, errUnknownKey):
		status, end = http.StatusUnauthorized, outcomeForbidden
	case errors.Is(err, errBodyTooLong):
		status, end = http.StatusRequestEntityTooLarge, outcomeForbidden
	case errors.Is(err, errBodyIncomplete):
		end = outcomeCallerGone
		status = http.StatusBadRequest
	case errors.Is(err, errQuarantined):
		// No word of when to retry: that would only bring the caller back.
		e.g.stats.quarantineRefusals.Inc()
	case errors.Is(err, errAllLimited):
		e.g.stats.limitRefusals.Inc()
		platform.SetRetryAfter(e.w.Header(), retryAfterPermit(time.Until(e.available.at)))
	case errors.Is(err, errAllBackingOff):
		e.g.stats.backoffRefusals.Inc()
		platform.SetRetryAfter(e.w.Header(), retryAfterBackoff(e.available, rank(e.holder.Priority, e.route.Priority), time.Now()))
	default:
		platform.SetRetryAfter(e.w.Header(), retryAfter(err))
	}
	e.logEnd(end, status, err)
	e.w.WriteHeader(status)
}

const (
	// startTime is about how long a daemon of the users' platform takes from
	// its start to its first configuration, a large one at 20 Mbit/s.
	typicalStartup = 400 * time.Millisecond
	// retryLeast and retrySpread are when a caller is asked to retry where no
	// place is free: a group of 20 slots, with requests of 1.2 s, ends one about
	// every 60 ms, but what filled all of them takes longer to pass, and most
	// callers come back only once. An estimate; 120 ms was worse. They are spread
	// so that callers do not come all at the same time.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterJitter = 500 * time.Millisecond
)

// retryAfter is when a caller that was refused for this reason should retry.
func retryAfter(reason error) time.Duration {
	if errors.Is(reason, errNoConfig) {
		return typicalStartup
	}
	return minRetryAfter + rand.N(retryAfterJitter)
}

// afterPermit is when a caller should retry for whom a permit may come after a wait. They are
// spread, as a permit is for one of them.
func retryAfterPermit(wait time.Duration) time.Duration {
	return max(minRetryAfter, wait) + rand.N(max(retryAfterJitter, wait))
}

// ranksSpread is over how many ranks callers are spread who are told to come back.
const jitterRanks = 3

// afterRest is when a caller should retry who found all instances resting: after the first
// rest ends, the more urgent ones first. They are spread over half of the time for which
// callers were refused, so that those who come back add twice the usual requests at most.
func retryAfterBackoff(o availability, rank int, now time.Time) time.Duration {
	jitter := max(retryAfterJitter, now.Sub(o.since)/2)
	fraction := (float64(min(rank, jitterRanks-1)) + rand.Float64()) / jitterRanks
	return max(minRetryAfter, o.at.Sub(now)) + time.Duration(fraction*float64(jitter))
}

// finish gives a request its end if no instance did.
func (e *exchange) finish(ctx context.Context, err error) {
	switch {
	case err == nil:
		e.clearCrashes()
		e.logEnd(outcomeComplete, 0, nil)
	case e.r.Context().Err() != nil:
		e.logEnd(outcomeCallerGone, 0, err)
		panic(http.ErrAbortHandler)
	case e.headSent:
		// Only a broken connection tells the caller that the answer that has
		// begun is not whole.
		e.logEnd(outcomeBroken, 0, err)
		panic(http.ErrAbortHandler)
	case !e.maybeExecuted && isNotExecuted(err):
		e.refuse(err)
	case ctx.Err() != nil:
		e.logEnd(outcomeTimeout, http.StatusGatewayTimeout, err)
		e.w.WriteHeader(http.StatusGatewayTimeout)
	default:
		e.logEnd(outcomeBroken, http.StatusBadGateway, err)
		e.w.WriteHeader(http.StatusBadGateway)
	}
}

// isUnrun reports whether the error tells that no instance ran the request.
func isNotExecuted(err error) bool {
	for _, reason := range []error{errNotExecuted, errAllFull, errNoInstance, errAllLimited, errAllBackingOff, errQuarantined, errLastInstance} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// isTurnedAway reports whether the error tells that an instance would not run the request.
func isRejected(err error) bool {
	return errors.Is(err, errNotExecuted) && !errors.Is(err, h1.ErrNotSent)
}

// note writes a request's end into the log and the metrics.
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
	event.Str("request", string(e.head.ID)).Str("route", e.route.Name).Str("model", string(e.head.Model)).
		Dur("aim", e.route.Aim).Int64("config", version).Str("workspace", string(e.holder.Workspace)).
		Str("outcome", string(end)).Int("status", status).Str("instance", string(e.instance.ID)).Str("zone", string(e.instance.Zone)).
		Str("group", string(e.group.Name)).Int("sent", len(e.tried)).Int32("turned-away", e.rejections.Load()).Int("load", e.pickedLoad).
		Dur("first", first).Dur("gap", e.maxPause).Dur("took", time.Since(e.started)).
		Msg("request-ended")
}
