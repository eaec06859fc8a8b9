package models

import (
	"math"
	"time"
)

// NoRateLimit is the rate limit of an instance that accepts requests at any rate.
const NoRateLimit = math.MaxFloat64

// RequestHead holds what a caller's headers say about a request.
type RequestHead struct {
	ID RequestID
	// Deadline is the time that the caller will wait; 0 if the caller sets no deadline.
	Deadline time.Duration
	// Key is the caller's API key; empty if the request has none.
	Key string
	// Model is set for requests to model engines.
	Model        ModelName
	PromptTokens int
	OutputTokens int
	// SharedParts are the IDs of the parts of the prompt that other requests may share, in order.
	SharedParts []string
	// LastEventID is the ID of the last event of a stream that the caller has received. It is valid
	// only if HasLastEventID is true.
	LastEventID    int64
	HasLastEventID bool
	// Forwarded is set if a daemon sent the request, which takes this daemon for an instance.
	Forwarded bool
}

// Attempt holds what a daemon adds to the headers of a request that it sends to an instance.
type Attempt struct {
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	Instance  InstanceID
	Workspace WorkspaceName
	// Priority is the priority of the request at the instance, from 0 (most urgent) to 9.
	Priority int
	// LastEventID is the ID of the last event that the caller has received. It is valid only if
	// HasLastEventID is true.
	LastEventID    int64
	HasLastEventID bool
	// FromStart asks for the whole stream, also if the caller has received a part of it.
	FromStart bool
}

// ResponseHead holds what the headers of an instance's response say.
type ResponseHead struct {
	// ID is the request to which the response belongs.
	ID RequestID
	// NotRun is true if the instance guarantees that it did not run the request and never will.
	NotRun bool
	// Signed is true if the response carries the instance's response stamp.
	Signed bool
	// FaultyInstance is the instance that prevents its group from running; empty if the response
	// names none.
	FaultyInstance InstanceID
	// RateLimit is the number of requests per second that the instance accepts from all daemons
	// together: NoRateLimit if the response sets no limit, NaN if the limit can't be parsed.
	RateLimit float64
	// Backoff is the time during which the instance wants no requests from the daemon that
	// receives the response; 0 if the response does not ask for a pause.
	Backoff time.Duration
	// Leaving is true if the instance is about to leave.
	Leaving bool
	// InvalidHeaders lists the headers of Backoff and Leaving whose values are malformed.
	InvalidHeaders []string
}
