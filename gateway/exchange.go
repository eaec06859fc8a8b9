package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lupinkeel/lupinkeel/admission"
	"github.com/lupinkeel/lupinkeel/lib/entrance"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

// exchange is a request in progress and its response.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	head    models.RequestHead
	route   models.Route
	service models.ServiceName
	owner   models.KeyOwner
	// zones are the zones whose instances may run the request.
	zones zoneFilter
	body  []byte
	// heldBytes is the number of bytes that are held for the request and its response.
	heldBytes int
	started   time.Time
	// received is when the whole request was read.
	received time.Time
	deadline time.Time
	// tried are the instances that the request was sent to.
	tried []models.InstanceID
	// reserved is where a plain request is sent next, if an attempt was given up for it.
	reserved *reservedInstance
	// mayHaveRun is set if an instance may have run the request, which then must not be
	// rejected with a status that promises the opposite.
	mayHaveRun bool
	// headSent is set once the head of the response was sent to the caller.
	headSent bool
	// continueAfterEnd keeps the end of a planned stop from ending the request.
	continueAfterEnd func() bool
	// framedByClose is set if the end of the caller's connection is the end of the response.
	framedByClose bool
	// instance is where the request was sent last, group its group if it is a stream.
	instance models.UpstreamInstance
	group    models.GroupKey
	// firstByte is when the first byte of the response was sent to the caller.
	firstByte time.Time
	// maxPause is the longest pause between two events. pickedLoad is the load that the group had
	// when it was picked.
	maxPause   time.Duration
	pickedLoad int
	// end describes the end of a stream, for the log.
	end streamEnd
	// arrivals is the number of sends of which an instance may have received a part.
	arrivals atomic.Int32
	// unanswered is set once a connection gave no response to the request.
	unanswered atomic.Bool
	// rejections counts the sends that instances rejected without running the request.
	rejections atomic.Int32
	// available is when the request could be sent, if that is after the deadline for waiting.
	available availability
	// rejected is set if the queue of the request's model rejected it.
	rejected *admission.Reject
	// digest returns the hash of the request's content. It is safe for concurrent use.
	digest func() quarantine.Digest
	// parts returns the digests of the shared parts of the prompt. It is safe for concurrent use.
	parts func() []quarantine.Digest
	// digestUsed is set once the digest was computed.
	digestUsed atomic.Bool
	// probed is closed once it is known whether the instance that last disconnected during the
	// request has crashed; nil if none disconnected.
	probed atomic.Pointer[<-chan struct{}]
}

// serve handles one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	if !entrance.HeadReceived(r) {
		panic(http.ErrAbortHandler)
	}
	g.stats.inFlight.Add(1)
	defer g.stats.inFlight.Add(-1)
	e := &exchange{g: g, w: w, r: r, started: time.Now(), head: platform.DecodeRequest(r.Header)}
	e.setDeadline(http.NewResponseController(w).SetWriteDeadline, e.started.Add(rejectionTimeout))
	e.digest = sync.OnceValue(e.computeDigest)
	e.parts = sync.OnceValue(func() []quarantine.Digest {
		return quarantine.PartDigests(e.owner.Workspace, e.head.Model, e.head.SharedParts)
	})
	defer func() { g.buffers.Release(e.heldBytes) }()
	err := e.admit()
	if err == nil {
		err = e.checkQuarantine()
	}
	if err != nil {
		e.reject(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), e.deadline)
	defer cancel()
	ctx, cut := context.WithCancelCause(ctx)
	e.continueAfterEnd = g.stop.afterEnd(func() { cut(errStopEnded) })
	defer e.continueAfterEnd()
	if e.route.Kind == models.RouteStream {
		err = e.serveStream(ctx)
	} else {
		err = e.serveUnary(ctx)
	}
	e.finish(ctx, err)
}

const (
	// unreadBodyTimeout bounds how long the body of a rejected request is read.
	unreadBodyTimeout = time.Second
	// rejectionTimeout bounds the time in which a caller takes the response to a request without a deadline.
	rejectionTimeout = 10 * time.Second
	// responseMargin is for how long after the request's deadline its caller may take the response.
	responseMargin = 5 * time.Second
)

// setDeadline sets a deadline of the caller's connection, which callers that don't send or read must not keep open.
func (e *exchange) setDeadline(set func(time.Time) error, at time.Time) {
	if err := set(at); err != nil {
		e.g.log.Debug().Err(err).Msg("deadline-not-set")
	}
}

// computeDigest returns the hash of the request's content.
func (e *exchange) computeDigest() quarantine.Digest {
	e.digestUsed.Store(true)
	content := quarantine.Request{
		Workspace: e.owner.Workspace, Method: e.r.Method, Host: e.r.Host, Target: e.r.RequestURI, Body: e.body,
	}
	return content.Digest()
}

// markTried records that the request is about to be sent to an instance.
func (e *exchange) markTried(i models.UpstreamInstance) {
	e.instance = i
	if !slices.Contains(e.tried, i.ID) {
		e.tried = append(e.tried, i.ID)
	}
}

// allowRetry reports whether the request may be sent once more. As long as it has not arrived anywhere,
// the next send takes nothing from the budget, which bounds what arrives beyond each request's first.
func (e *exchange) allowRetry(rejected bool) bool {
	return e.arrivals.Load() == 0 || e.g.budget.allowRetry(time.Now(), e.g.node.View().Daemons, rejected)
}

// hasRetry is allowRetry for a request that was not rejected, but counts nothing.
func (e *exchange) hasRetry() bool {
	return e.arrivals.Load() == 0 || e.g.budget.mayRetry(time.Now(), e.g.node.View().Daemons)
}

// unmarkTried records that the request was not sent to the instance after all.
func (e *exchange) unmarkTried(i models.UpstreamInstance) {
	e.tried = slices.DeleteFunc(e.tried, func(id models.InstanceID) bool { return id == i.ID })
}

const (
	// maxPriority is the lowest rank that instances accept in the Priority header.
	maxPriority = 9
	// routeRanks is how many consecutive ranks the routes of one workspace share: the users' routes
	// have two or three priorities.
	routeRanks = 3
	// maxIdleIdempotent and maxIdleNonIdempotent bound how long a connection may have been idle to
	// carry a request that may be repeated, and one that may not: an upstream may close an idle
	// connection at any time.
	maxIdleIdempotent    = 4 * time.Second
	maxIdleNonIdempotent = 300 * time.Millisecond
)

// rank returns the priority of a request at an instance, 0 being the most urgent. The workspace's
// priority takes precedence over the route's.
func rank(workspace, route int) int {
	within := min(max(0, route), routeRanks-1)
	return min(maxPriority, max(0, workspace)*routeRanks+within)
}

// writeHead forwards the head of a response.
func (e *exchange) writeHead(resp *h1.Response) {
	out := e.w.Header()
	for name, values := range platform.ResponseHeader(resp.Header) {
		out[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, given := out[name]; !given {
			// A nil list keeps net/http from adding the header.
			out[name] = nil
		}
	}
	e.frameByClose(resp)
	e.announceClose()
	e.headSent, e.firstByte = true, time.Now()
	e.continueAfterEnd()
	e.w.WriteHeader(resp.Status)
}
