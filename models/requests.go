package models

import (
	"math"
	"time"
)

// NoLimit stands for the limit of an instance that takes any number of requests.
const NoLimit = math.MaxFloat64

// RequestHead is what a caller tells about a request beside its body.
type RequestHead struct {
	ID RequestID
	// Deadline is how long the caller will wait; 0 if it does not tell.
	Deadline time.Duration
	// Key is the caller's key; empty without one.
	Key string
	// Model is set for requests to model engines.
	Model        ModelName
	PromptTokens int
	AnswerTokens int
	// After is the id of the last event of a stream that the caller has;
	// Resumed tells that it names one.
	After   int64
	Resumed bool
}

// Attempt is what a daemon adds to a request that it sends to an instance.
type Attempt struct {
	// Left is how long the caller still waits.
	Left      time.Duration
	Instance  InstanceID
	Workspace WorkspaceName
	// Priority ranks the request at the instance, 0 to 9.
	Priority int
	// After is the last event that need not be sent again, if Resume is set.
	After  int64
	Resume bool
}

// AnswerHead is what an instance tells about its answer.
type AnswerHead struct {
	// ID is the request that the answer belongs to.
	ID RequestID
	// NotRun proves that the request was not run and will not be.
	NotRun bool
	// Signed tells that the answer bears the instance's signature.
	Signed bool
	// Fault names the instance that keeps a group from running; empty if
	// the answer names none.
	Fault InstanceID
	// Limit is how many requests a second the instance takes from all daemons
	// together: NoLimit if it names none, NaN if what it names can't be read.
	Limit float64
	// Rest is for how long the instance wants nothing from the daemon that it answers, 0
	// if it does not say.
	Rest time.Duration
	// Leaving tells that the instance is about to leave.
	Leaving bool
	// Unreadable names the headers of Rest and Leaving that can't be read as they stand.
	Unreadable []string
}
