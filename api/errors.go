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
	ErrBadBody        = errors.New("bad request body")
	ErrBodyTooLong    = errors.New("request body too long")
	ErrUnknownToken   = errors.New("no workspace or operator has this token")
	ErrReadOnly       = errors.New("this operator may only ask")
	ErrNotCurrent     = errors.New("this daemon can't show that its configuration is current")
	ErrStopping       = errors.New("this daemon is stopping")
	ErrUpstreamFailed = errors.New("the upstream failed")
	// ErrKeyInUse: a request with this key was sent before.
	ErrKeyInUse = errors.New("a request with this idempotency key may have run already")
	// ErrNoClaim: the log can't record the key now.
	ErrKeyNotRecorded = errors.New("the idempotency key can't be recorded now")
)

// retrySoon is when a caller should come back after something that passes.
const shortRetryAfter = time.Second

// problem is how an error looks to a caller.
type errorClass struct {
	status  int
	errType string
	code    string
	// retry is when to come back; 0 if that would not help.
	retryAfter time.Duration
}

// problems maps sentinels to what callers see; the first that matches
// counts.
var errorClasses = []struct {
	is error
	errorClass
}{
	{ErrBodyTooLong, errorClass{http.StatusRequestEntityTooLarge, "invalid_request_error", "body_too_long", 0}},
	{ErrBadBody, errorClass{http.StatusBadRequest, "invalid_request_error", "bad_body", 0}},
	{ErrUnknownToken, errorClass{http.StatusUnauthorized, "authentication_error", "unknown_token", 0}},
	{ErrReadOnly, errorClass{http.StatusForbidden, "permission_error", "only_ask", 0}},
	{router.ErrUnknownModel, errorClass{http.StatusNotFound, "invalid_request_error", "model_not_found", 0}},
	{router.ErrUnknownService, errorClass{http.StatusNotFound, "invalid_request_error", "service_not_found", 0}},
	{router.ErrNotAllowed, errorClass{http.StatusForbidden, "permission_error", "not_allowed", 0}},
	{router.ErrNoUpstream, errorClass{http.StatusServiceUnavailable, "overloaded_error", "no_upstream", shortRetryAfter}},
	{router.ErrOverLimit, errorClass{http.StatusTooManyRequests, "rate_limit_error", "over_limit", shortRetryAfter}},
	{router.ErrOverloaded, errorClass{http.StatusServiceUnavailable, "overloaded_error", "overloaded", shortRetryAfter}},
	{ErrNotCurrent, errorClass{http.StatusServiceUnavailable, "overloaded_error", "not_current", shortRetryAfter}},
	{ErrStopping, errorClass{http.StatusServiceUnavailable, "overloaded_error", "stopping", shortRetryAfter}},
	{ErrKeyInUse, errorClass{http.StatusConflict, "invalid_request_error", "key_in_use", 0}},
	{ErrKeyNotRecorded, errorClass{http.StatusServiceUnavailable, "overloaded_error", "no_claim", logRetryAfter}},
	{daemon.ErrLogUnavailable, errorClass{http.StatusServiceUnavailable, "api_error", "log_away", logRetryAfter}},
	{query.ErrNotFound, errorClass{http.StatusNotFound, "invalid_request_error", "not_found", 0}},
	{ErrUpstreamFailed, errorClass{http.StatusBadGateway, "api_error", "upstream_failed", shortRetryAfter}},
}

func classify(err error) errorClass {
	for _, p := range errorClasses {
		if errors.Is(err, p.is) {
			return p.errorClass
		}
	}
	return errorClass{http.StatusInternalServerError, "api_error", "internal", 0}
}

// errorBody is the OpenAI-style form of an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string     `json:"message"`
	Type    string     `json:"type"`
	Code    string     `json:"code"`
	End     router.End `json:"end,omitempty"`
}

func newErrorDetail(err error, end router.End) errorDetail {
	p := classify(err)
	return errorDetail{Message: err.Error(), Type: p.errType, Code: p.code, End: end}
}

// writeProblem answers with an error. end tells whether the request may have
// been run; it is empty for calls that run nothing.
func writeError(w http.ResponseWriter, err error, end router.End) {
	p := classify(err)
	if p.retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	if end != router.EndNone {
		w.Header().Set(HeaderEnd, string(end))
	}
	writeJSON(w, p.status, errorBody{Error: newErrorDetail(err, end)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has gone if this fails; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}
