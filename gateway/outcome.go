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
	// errLimited: no permit comes in time to send the request to any of them.
	errLimited = errors.New("all instances had named limits")
	// errResting: none of them ends its rest in time.
	errResting = errors.New("all instances had asked for rest")
	// errHeld: the request was not sent, since the instance is to get none.
	errHeld = errors.New("nothing may be sent to the instance now")
	// errNoPermit: the instance named a limit since it was picked, or the permit lapsed.
	errNoPermit = errors.New("the instance names a limit, and there is no permit for it")
	// errQuarantined: instances crashed each time that they ran the request.
	errQuarantined = errors.New("the request crashes the instances that run it")
	// errLastSpared: an instance crashed with the request, and only one is left.
	errLastSpared = errors.New("an instance crashed with the request, and the last one is spared")
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
	case errors.Is(err, errQuarantined):
		// No word of when to retry: that would only bring the caller back.
		e.g.stats.quarantined.Inc()
	case errors.Is(err, errLimited):
		e.g.stats.limited.Inc()
		platform.SetRetryAfter(e.w.Header(), afterPermit(time.Until(e.opening.at)))
	case errors.Is(err, errResting):
		e.g.stats.rested.Inc()
		platform.SetRetryAfter(e.w.Header(), afterRest(e.opening, rank(e.holder.Priority, e.route.Priority), time.Now()))
	default:
		platform.SetRetryAfter(e.w.Header(), retryAfter(err))
	}
	e.note(end, status, err)
	e.w.WriteHeader(status)
}

const (
	// startTime is about how long a daemon of the users' platform takes from
	// its start to its first configuration, a large one at 20 Mbit/s.
	startTime = 400 * time.Millisecond
	// retryLeast and retrySpread are when a caller is asked to retry where no
	// place is free: a group of 20 slots, with requests of 1.2 s, ends one about
	// every 60 ms, but what filled all of them takes longer to pass, and most
	// callers come back only once. An estimate; 120 ms was worse. They are spread
	// so that callers do not come all at the same time.
	retryLeast  = 300 * time.Millisecond
	retrySpread = 500 * time.Millisecond
)

// retryAfter is when a caller that was refused for this reason should retry.
func retryAfter(reason error) time.Duration {
	if errors.Is(reason, errNoConfig) {
		return startTime
	}
	return retryLeast + rand.N(retrySpread)
}

// afterPermit is when a caller should retry for whom a permit may come after a wait. They are
// spread, as a permit is for one of them.
func afterPermit(wait time.Duration) time.Duration {
	return max(retryLeast, wait) + rand.N(max(retrySpread, wait))
}

// ranksSpread is over how many ranks callers are spread who are told to come back.
const ranksSpread = 3

// afterRest is when a caller should retry who found all instances resting: after the first
// rest ends, the more urgent ones first. They are spread over half of the time for which
// callers were refused, so that those who come back add twice the usual requests at most.
func afterRest(o opening, rank int, now time.Time) time.Duration {
	spread := max(retrySpread, now.Sub(o.since)/2)
	part := (float64(min(rank, ranksSpread-1)) + rand.Float64()) / ranksSpread
	return max(retryLeast, o.at.Sub(now)) + time.Duration(part*float64(spread))
}

// finish gives a request its end if no instance did.
func (e *exchange) finish(ctx context.Context, err error) {
	switch {
	case err == nil:
		e.clear()
		e.note(outcomeWhole, 0, nil)
	case e.r.Context().Err() != nil:
		e.note(outcomeGone, 0, err)
		panic(http.ErrAbortHandler)
	case e.answering:
		// Only a broken connection tells the caller that the answer that has
		// begun is not whole.
		e.note(outcomeBroken, 0, err)
		panic(http.ErrAbortHandler)
	case !e.ran && isUnrun(err):
		e.refuse(err)
	case ctx.Err() != nil:
		e.note(outcomeLate, http.StatusGatewayTimeout, err)
		e.w.WriteHeader(http.StatusGatewayTimeout)
	default:
		e.note(outcomeBroken, http.StatusBadGateway, err)
		e.w.WriteHeader(http.StatusBadGateway)
	}
}

// isUnrun reports whether the error tells that no instance ran the request.
func isUnrun(err error) bool {
	for _, reason := range []error{errNotRun, errFull, errNoUpstream, errLimited, errResting, errQuarantined, errLastSpared} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// isTurnedAway reports whether the error tells that an instance would not run the request.
func isTurnedAway(err error) bool {
	return errors.Is(err, errNotRun) && !errors.Is(err, h1.ErrNotSent)
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
	if e.digested.Load() {
		event.Stringer("digest", e.digest())
	}
	event.Str("request", string(e.head.ID)).Str("route", e.route.Name).Str("model", string(e.head.Model)).
		Dur("aim", e.route.Aim).Int64("config", version).Str("workspace", string(e.holder.Workspace)).
		Str("outcome", string(end)).Int("status", status).Str("instance", string(e.at.ID)).Str("zone", string(e.at.Zone)).
		Str("group", string(e.group.Name)).Int("sent", len(e.tried)).Int32("turned-away", e.turnedAway.Load()).Int("load", e.load).
		Dur("first", first).Dur("gap", e.gap).Dur("took", time.Since(e.began)).
		Msg("request-ended")
}
