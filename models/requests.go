package models

import (
	"math"
	"time"
)

// NoLimit is the rate limit of an instance that accepts requests at any rate.
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
	// After is the ID of the last event of a stream that the caller has received. It is valid
	// only if Resumed is true.
	LastEventID    int64
	HasLastEventID bool
}

// Attempt holds what a daemon adds to the headers of a request that it sends to an instance.
type Attempt struct {
	// Left is the time until the caller's deadline.
	Remaining time.Duration
	Instance  InstanceID
	Workspace WorkspaceName
	// Priority is the priority of the request at the instance, from 0 (most urgent) to 9.
	Priority int
	// After is the ID of the last event that the caller has received. It is valid only if
	// Resume is true.
	LastEventID    int64
	HasLastEventID bool
}

// AnswerHead holds what the headers of an instance's response say.
type ResponseHead struct {
	// ID is the request to which the response belongs.
	ID RequestID
	// NotRun is true if the instance guarantees that it did not run the request and never will.
	NotRun bool
	// Signed is true if the response carries the instance's response stamp.
	Signed bool
	// Fault is the instance that prevents its group from running; empty if the response names
	// none.
	FaultyInstance InstanceID
	// Limit is the number of requests per second that the instance accepts from all daemons
	// together: NoLimit if the response sets no limit, NaN if the limit can't be parsed.
	RateLimit float64
	// Rest is the time during which the instance wants no requests from the daemon that
	// receives the response; 0 if the response does not ask for a pause.
	Backoff time.Duration
	// Leaving is true if the instance is about to leave.
	Leaving bool
	// Unreadable lists the headers of Rest and Leaving whose values are malformed.
	InvalidHeaders []string
}
