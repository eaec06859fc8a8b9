// Package api serves HTTP: to callers an OpenAI-style interface and the
// plain services, to operators their language, to the platform probes and
// metrics.
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/lupinkeel/lupinkeel/daemon"
	"github.com/lupinkeel/lupinkeel/query"
	"github.com/lupinkeel/lupinkeel/router"
)

// Headers of answers to callers.
const (
	HeaderRequest   = "Lupinkeel-Request"
	HeaderGroup     = "Lupinkeel-Group"
	HeaderInstances = "Lupinkeel-Instances"
	HeaderZone      = "Lupinkeel-Zone"
	HeaderDomain    = "Lupinkeel-Domain"
	HeaderVersion   = "Lupinkeel-Version"
	HeaderDaemon    = "Lupinkeel-Daemon"
	// HeaderEnd is not-run or may-have-run on an answer that is an error.
	HeaderEnd = "Lupinkeel-End"
)

// Reasons for which a request is refused before it is routed.
var (
	ErrBody       = errors.New("bad request body")
	ErrBodyLength = errors.New("request body too long")
	ErrToken      = errors.New("no workspace or operator has this token")
	ErrRight      = errors.New("this operator may only ask")
	ErrNotCurrent = errors.New("this daemon can't show that its configuration is current")
	ErrStopping   = errors.New("this daemon is stopping")
	ErrUpstream   = errors.New("the upstream failed")
	// ErrKeyInUse: a request with this key was sent before.
	ErrKeyInUse = errors.New("a request with this idempotency key may have run already")
	// ErrNoClaim: the log can't record the key now.
	ErrNoClaim = errors.New("the idempotency key can't be recorded now")
)

// retrySoon is when a caller should come back after something that passes.
const retrySoon = time.Second

// problem is how an error looks to a caller.
type problem struct {
	status int
	kind   string
	code   string
	// retry is when to come back; 0 if that would not help.
	retry time.Duration
}

// problems maps sentinels to what callers see; the first that matches
// counts.
var problems = []struct {
	is error
	problem
}{
	{ErrBodyLength, problem{http.StatusRequestEntityTooLarge, "invalid_request_error", "body_too_long", 0}},
	{ErrBody, problem{http.StatusBadRequest, "invalid_request_error", "bad_body", 0}},
	{ErrToken, problem{http.StatusUnauthorized, "authentication_error", "unknown_token", 0}},
	{ErrRight, problem{http.StatusForbidden, "permission_error", "only_ask", 0}},
	{router.ErrUnknownModel, problem{http.StatusNotFound, "invalid_request_error", "model_not_found", 0}},
	{router.ErrUnknownService, problem{http.StatusNotFound, "invalid_request_error", "service_not_found", 0}},
	{router.ErrNotAllowed, problem{http.StatusForbidden, "permission_error", "not_allowed", 0}},
	{router.ErrNoUpstream, problem{http.StatusServiceUnavailable, "overloaded_error", "no_upstream", retrySoon}},
	{router.ErrOverLimit, problem{http.StatusTooManyRequests, "rate_limit_error", "over_limit", retrySoon}},
	{router.ErrOverloaded, problem{http.StatusServiceUnavailable, "overloaded_error", "overloaded", retrySoon}},
	{ErrNotCurrent, problem{http.StatusServiceUnavailable, "overloaded_error", "not_current", retrySoon}},
	{ErrStopping, problem{http.StatusServiceUnavailable, "overloaded_error", "stopping", retrySoon}},
	{ErrKeyInUse, problem{http.StatusConflict, "invalid_request_error", "key_in_use", 0}},
	{ErrNoClaim, problem{http.StatusServiceUnavailable, "overloaded_error", "no_claim", retryLog}},
	{daemon.ErrLogAway, problem{http.StatusServiceUnavailable, "api_error", "log_away", retryLog}},
	{query.ErrNotFound, problem{http.StatusNotFound, "invalid_request_error", "not_found", 0}},
	{ErrUpstream, problem{http.StatusBadGateway, "api_error", "upstream_failed", retrySoon}},
}

func problemOf(err error) problem {
	for _, p := range problems {
		if errors.Is(err, p.is) {
			return p.problem
		}
	}
	return problem{http.StatusInternalServerError, "api_error", "internal", 0}
}

// errorBody is the OpenAI-style form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    string         `json:"code"`
	End     router.Outcome `json:"end,omitempty"`
}

func detailOf(err error, end router.Outcome) errorDetail {
	p := problemOf(err)
	return errorDetail{Message: err.Error(), Type: p.kind, Code: p.code, End: end}
}

// writeProblem answers with an error. end tells whether the request may have
// been run; it is empty for calls that run nothing.
func writeProblem(w http.ResponseWriter, err error, end router.Outcome) {
	p := problemOf(err)
	if p.retry > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(int(math.Ceil(p.retry.Seconds()))))
	}
	if end != router.OutcomeNone {
		w.Header().Set(HeaderEnd, string(end))
	}
	writeJSON(w, p.status, errorBody{Error: detailOf(err, end)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has gone if this fails; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}
