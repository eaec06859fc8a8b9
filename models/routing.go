package models

import (
	"strings"
	"time"
)

// RouteKind defines whether a request of a route may be run more than once, and how it is
// answered.
type RouteKind string

// The kinds of routes.
const (
	// RouteIdempotent is for idempotent requests, which may be run more than once.
	RouteIdempotent RouteKind = "repeatable"
	// RouteNonIdempotent is for requests that must run at most once.
	RouteNonIdempotent RouteKind = "once"
	// RouteStream is for requests whose response is a stream of events.
	RouteStream RouteKind = "stream"
)

// Route routes the requests for a host whose path begins with PathPrefix to upstream services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout limits the duration of a request. LatencyTarget is the target latency of the response
	// or, for a stream, of its first event. EventGapTarget is the target for the longest gap
	// between two events.
	Timeout        time.Duration
	LatencyTarget  time.Duration
	EventGapTarget time.Duration
	// MaxAttempts is the maximum number of instances to which a request is sent.
	MaxAttempts int
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	Targets  []RouteTarget
	// AuthExempt is true if requests need no API key.
	AuthExempt bool
	// Resumable is true if a stream may be continued on another instance.
	Resumable bool
	// Homes are the regions whose instances may run the route's requests; all may if it is empty.
	Homes []Region
}

// Idempotent reports whether a request of the route may be run more than once.
func (r Route) Idempotent() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// RouteTarget is a service of a route, with its weight relative to the route's other services.
type RouteTarget struct {
	Service ServiceName
	Weight  int
}

// UpstreamService is a service to which requests are routed.
type UpstreamService struct {
	Name       ServiceName
	HealthPath string
	// MaxConnections is the number of connections that an instance accepts from all daemons
	// together.
	MaxConnections int
	// ColdRate is the number of requests per second that an instance may get from all daemons
	// together while it is cold; 0 sets no limit.
	ColdRate float64
	// Engine is the profile of the service's model engines; nil for a plain service.
	Engine *EngineProfile
}

// EngineProfile describes the speed of a service's engines and the models that they can load.
type EngineProfile struct {
	// Slots is the number of requests that a replica group runs concurrently.
	Slots int
	// StepTime is the base duration of a decode step, which generates one token for every running
	// request. Each running request adds StepTimePerRequest, and StepTimePerThousandTokens for
	// every thousand tokens of its context.
	StepTime                  time.Duration
	StepTimePerRequest        time.Duration
	StepTimePerThousandTokens time.Duration
	// PrefillTokensPerSecond is the prefill speed, in prompt tokens per second; PrefillChunk is the
	// maximum number of prompt tokens that one step processes.
	PrefillTokensPerSecond float64
	PrefillChunk           int
	// StepsPerSend is the number of steps after which an engine sends the generated tokens.
	StepsPerSend int
	// LoadsPerSecond limits the rate at which loads from the weight store start, MaxConcurrentLoads
	// how many run concurrently.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// FormTime is the time that a group needs to open once all its members are ready.
	FormTime time.Duration
	Models   []ModelProfile
}

// PrefillTime returns the prefill time of prompts with that many tokens, or 0 if the profile sets
// no prefill speed.
func (e *EngineProfile) PrefillTime(tokens int) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.PrefillTokensPerSecond * float64(time.Second))
}

// ModelProfile describes a model that engines can load.
type ModelProfile struct {
	Name ModelName
	// GroupSize is the number of instances of a replica group.
	GroupSize int
	// Share is the fraction of all instances that the model needs initially.
	Share float64
	// TimeFactor is the factor by which the model multiplies all durations of the engine profile.
	TimeFactor float64
	// LoadTime is the time to load the weights from the weight store, WarmLoadTime the time to load
	// them from the instance's own host.
	LoadTime     time.Duration
	WarmLoadTime time.Duration
}

// Model returns the profile of a model.
func (e *EngineProfile) Model(name ModelName) (ModelProfile, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return ModelProfile{}, false
}

// KeyOwner is the workspace to which an API key belongs, with the priority of its requests.
type KeyOwner struct {
	Workspace WorkspaceName
	Priority  int
	// Homes are the regions whose instances may run the workspace's requests; all may if it is empty.
	Homes []Region
}

// CallerLimits limits the size of a caller's request, and the time that a caller may take to
// send its headers or leave a connection idle.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is a version of the routing configuration. It is immutable once it is in use.
type Routing struct {
	Version int64
	// Hosts holds each host's routes, the longest prefix first.
	Hosts    map[string][]Route
	Services map[ServiceName]UpstreamService
	// Keys maps API keys to their workspaces. RequiresKeys is true if the configuration declares
	// workspaces: only then do requests need a key.
	Keys         map[string]KeyOwner
	RequiresKeys bool
	Limits       CallerLimits
}

// Match returns the route with the longest prefix that matches the host and path.
func (r *Routing) Match(host, path string) (Route, bool) {
	for _, route := range r.Hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

// ServedModel is a model as one service serves it: others may serve a model of the same name on other
// instances, at another speed.
type ServedModel struct {
	Service ServiceName
	Model   ModelName
}
