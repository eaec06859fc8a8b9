// Package api serves HTTP: an OpenAI-compatible API and the plain services to callers, the
// command language to operators, and probes and metrics to the platform.
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

// Headers of responses to callers.
const (
	HeaderRequest   = "Lupinkeel-Request"
	HeaderGroup     = "Lupinkeel-Group"
	HeaderInstances = "Lupinkeel-Instances"
	HeaderZone      = "Lupinkeel-Zone"
	HeaderDomain    = "Lupinkeel-Domain"
	HeaderVersion   = "Lupinkeel-Version"
	HeaderDaemon    = "Lupinkeel-Daemon"
	// HeaderOutcome is not-run or may-have-run on an error response.
	HeaderOutcome = "Lupinkeel-End"
)

// Errors of requests, which callers and operators get.
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
	// ErrKeyNotRecorded: the log can't record the key now.
	ErrKeyNotRecorded = errors.New("the idempotency key can't be recorded now")
)

// shortRetryAfter is when a caller should retry after a transient error.
const shortRetryAfter = time.Second

// errorClass is how a class of errors is reported to callers.
type errorClass struct {
	status  int
	errType string
	code    string
	// retryAfter is when to retry; 0 if a retry would not help.
	retryAfter time.Duration
}

// errorClasses maps sentinel errors to classes; the first match applies.
var errorClasses = []struct {
	target error
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
		if errors.Is(err, p.target) {
			return p.errorClass
		}
	}
	return errorClass{http.StatusInternalServerError, "api_error", "internal", 0}
}

// errorBody is an OpenAI-compatible error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    string         `json:"code"`
	Outcome router.Outcome `json:"end,omitempty"`
}

func newErrorDetail(err error, end router.Outcome) errorDetail {
	p := classify(err)
	return errorDetail{Message: err.Error(), Type: p.errType, Code: p.code, Outcome: end}
}

// writeError sends an error response. end reports whether the request may have run; it is empty for
// calls that run nothing.
func writeError(w http.ResponseWriter, err error, end router.Outcome) {
	p := classify(err)
	if p.retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	if end != router.OutcomeNone {
		w.Header().Set(HeaderOutcome, string(end))
	}
	writeJSON(w, p.status, errorBody{Error: newErrorDetail(err, end)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
