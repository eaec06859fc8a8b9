package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

// exchange is one request on its way.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	head     models.RequestHead
	route    models.Route
	service  models.ServiceName
	holder   models.KeyHolder
	body     []byte
	started  time.Time
	deadline time.Time
	// tried are the instances that the request was sent to.
	tried []models.InstanceID
	// ran tells that an instance may have run the request, so that it must not
	// be refused any more.
	maybeExecuted bool
	// answering tells that the head of the answer has gone out.
	headSent bool
	// at is where the request was sent last.
	instance models.UpstreamInstance
	group    models.GroupKey
	// first is when the first byte of the answer went out.
	firstByte time.Time
	// gap is the longest pause between two events, load what the group had
	// when it was chosen.
	maxPause   time.Duration
	pickedLoad int
	// turnedAway is how many sends instances did not run.
	rejections atomic.Int32
	// opening is when the request may be sent, if that did not come in time.
	available availability
	// digest stands for what the caller asks. It may be called by several goroutines.
	digest func() quarantine.Digest
	// digested tells that the digest was asked for.
	digestUsed atomic.Bool
	// cut is closed once it is known whether the instance that cut the request off last
	// has crashed; nil if none did.
	probed atomic.Pointer[<-chan struct{}]
}

// serve handles one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.stats.inFlight.Add(1)
	defer g.stats.inFlight.Add(-1)
	e := &exchange{g: g, w: w, r: r, started: time.Now(), head: platform.DecodeRequest(r.Header)}
	e.digest = sync.OnceValue(e.computeDigest)
	err := e.admit()
	if err == nil {
		err = e.checkQuarantine()
	}
	if err != nil {
		e.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.deadline)
	defer cancel()
	if e.route.Kind == models.RouteStream {
		err = e.serveStream(ctx)
	} else {
		err = e.serveUnary(ctx)
	}
	e.finish(ctx, err)
}

// newDigest is the digest of what the caller asks.
func (e *exchange) computeDigest() quarantine.Digest {
	e.digestUsed.Store(true)
	asked := quarantine.Request{
		Workspace: e.holder.Workspace, Method: e.r.Method, Host: e.r.Host, Target: e.r.RequestURI, Body: e.body,
	}
	return asked.Digest()
}

// try notes that the request is about to be sent to an instance.
func (e *exchange) markTried(i models.UpstreamInstance) {
	e.instance = i
	if !slices.Contains(e.tried, i.ID) {
		e.tried = append(e.tried, i.ID)
	}
}

// untry notes that the request was not sent to an instance after all.
func (e *exchange) unmarkTried(i models.UpstreamInstance) {
	e.tried = slices.DeleteFunc(e.tried, func(id models.InstanceID) bool { return id == i.ID })
}

const (
	// maxPriority is the last rank of the Priority header that instances take.
	maxPriority = 9
	// routeRanks is how many of those ranks the routes of one workspace share:
	// the users' routes have two or three priorities.
	routeRanks = 3
	// freshRepeatable and freshOnce are how long a connection may have rested
	// to carry a request that may be sent again, and one that may not: an
	// upstream may close a resting connection at any time.
	maxIdleRepeatable = 4 * time.Second
	maxIdleOnce       = 300 * time.Millisecond
)

// rank is how urgent a request is at an instance, 0 first: the workspace's
// priority goes before the route's.
func rank(workspace, route int) int {
	within := min(max(0, route), routeRanks-1)
	return min(maxPriority, max(0, workspace)*routeRanks+within)
}

// writeHead passes the head of an answer on.
func (e *exchange) writeHead(status int, h http.Header) {
	out := e.w.Header()
	for name, values := range platform.AnswerHeader(h) {
		out[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, given := out[name]; !given {
			// An empty list keeps the server from adding one of its own.
			out[name] = nil
		}
	}
	e.headSent, e.firstByte = true, time.Now()
	e.w.WriteHeader(status)
}
