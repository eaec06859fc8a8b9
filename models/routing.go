package models

import (
	"strings"
	"time"
)

// RouteKind tells how often a request of a route may be run.
type RouteKind string

// The kinds of routes.
const (
	// RouteRepeatable requests may be run more than once.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce requests are run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered with a series of events.
	RouteStream RouteKind = "stream"
)

// Route sends the requests of one host whose path begins with Prefix to an
// upstream service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is how long a request may be held, Aim how soon it should be
	// answered or its first event sent, Pause the longest gap between two
	// events that callers put up with.
	Timeout time.Duration
	Aim     time.Duration
	Pause   time.Duration
	// Attempts is how many instances one request may be sent to.
	Attempts int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	Targets  []RouteTarget
	// Open routes need no key.
	Open bool
	// Resumable streams may be continued on another instance.
	Resumable bool
}

// Repeatable reports whether a request of the route may be run again.
func (r Route) Repeatable() bool {
	return r.Kind == RouteRepeatable || (r.Kind == RouteStream && r.Resumable)
}

// RouteTarget is one service of a route and its weight against the others.
type RouteTarget struct {
	Service ServiceName
	Weight  int
}

// UpstreamService is a service that requests are routed to.
type UpstreamService struct {
	Name       ServiceName
	HealthPath string
	// MaxConnections is how many connections an instance takes from all
	// daemons together.
	MaxConnections int
	// Engine describes model engines; nil for a plain service.
	Engine *EngineProfile
}

// EngineProfile describes how fast a service's engines work and what may be
// loaded onto them.
type EngineProfile struct {
	// Slots is how many requests a replica group runs at once.
	Slots int
	// Step is how long a pass takes that gives every running request one
	// token; each running request adds PerRequest, and PerThousandTokens for
	// every thousand tokens of its context.
	Step              time.Duration
	PerRequest        time.Duration
	PerThousandTokens time.Duration
	// ReadPerSecond is how many prompt tokens are read in a second, Chunk
	// how many of them in one step at most.
	ReadPerSecond float64
	Chunk         int
	// Stride is how many steps a pass takes before its tokens go out.
	Stride int
	// LoadsPerSecond and LoadsAtOnce bound what the weight store gives.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// FormTime is how long a complete group takes to open.
	FormTime time.Duration
	Models   []ModelProfile
}

// ReadTime is how long an engine takes to read prompts of so many tokens, 0 if
// that is not described.
func (e *EngineProfile) ReadTime(tokens int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadPerSecond * float64(time.Second))
}

// ModelProfile describes one model that engines can load.
type ModelProfile struct {
	Name ModelName
	// Size is the number of instances of a replica group.
	Size int
	// Share is the part of all instances that the model needs at first.
	Share float64
	// Pace is a factor on all times of the engine.
	Pace float64
	// Load is how long weights take to load from the weight store, Warm
	// from the instance's own host.
	Load time.Duration
	Warm time.Duration
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

// KeyHolder is the workspace that a key belongs to.
type KeyHolder struct {
	Workspace WorkspaceName
	Priority  int
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one version of the configuration that decides where requests
// go. It is never changed once it is in use.
type Routing struct {
	Version int64
	// Hosts holds each host's routes, the longest prefix first.
	Hosts    map[string][]Route
	Services map[ServiceName]UpstreamService
	// Keys is empty where the configuration declares no workspaces.
	Keys   map[string]KeyHolder
	Keyed  bool
	Limits CallerLimits
}

// Match returns the route of a host and path.
func (r *Routing) Match(host, path string) (Route, bool) {
	for _, route := range r.Hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}
