package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/buffers"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// maxResponseBytes bounds a response that is buffered before it is forwarded.
	maxResponseBytes = 16 << 20
	// slowTimeoutFactor is how many times its latency target an idempotent request waits before it
	// is sent to another instance.
	slowTimeoutFactor = 1.5
	// minSlowTimeout is the shortest such wait.
	minSlowTimeout = 150 * time.Millisecond
)

var (
	errResponseTooLong = errors.New("the response is too long")
	errUnsigned        = errors.New("the response is not signed")
)

// serveUnary sends a request to an instance of a plain service and forwards the response once it is
// complete.
func (e *exchange) serveUnary(ctx context.Context) error {
	e.g.budget.addRequest(e.started, e.g.node.View().Daemons)
	var err error
	for {
		i, p, none := e.nextInstance(ctx)
		if none != nil {
			return errors.Join(err, none)
		}
		last := len(e.tried)+1 >= e.route.MaxAttempts
		err = e.attemptUnary(ctx, i, p, last)
		e.noteDisconnect(ctx, i, err)
		if errors.Is(err, errNotAdmitted) {
			// Nothing was sent; another instance is picked.
			e.unmarkTried(i)
			continue
		}
		if errors.Is(err, h1.ErrNoResponse) {
			e.g.node.CheckPath(ctx, i.Addr)
		}
		e.mayHaveRun = e.mayHaveRun || (err != nil && !errors.Is(err, errNotRun))
		if err == nil || last || ctx.Err() != nil || !(e.route.Idempotent() || errors.Is(err, errNotRun)) {
			return err
		}
		if quarantined := e.checkQuarantine(); quarantined != nil {
			return errors.Join(err, quarantined)
		}
		if e.reserved == nil && !e.allowRetry(isRejected(err)) {
			return errors.Join(err, errRetryBudget)
		}
		e.g.stats.retries.Inc()
	}
}

// pickInstance returns the instance to send the request to next; a rate-limited one still needs a
// permit. An isolated request gets the instance that is assigned to it, if that is available.
func (e *exchange) pickInstance() (models.UpstreamInstance, bool) {
	all := e.permittedInstances()
	if place := e.isolationIndex(); place != nil && len(all) > 0 {
		sorted := slices.SortedFunc(slices.Values(all), func(a, b models.UpstreamInstance) int { return cmp.Compare(a.ID, b.ID) })
		pinned := sorted[place(len(sorted))]
		if !slices.Contains(e.tried, pinned.ID) && e.g.node.Breakers().Check(pinned) == nil {
			return pinned, true
		}
	}
	return e.g.scheduler.pickInstance(e.g.node, all, e.tried)
}

// attemptUnary makes one attempt. A failure response is forwarded only in the last one.
func (e *exchange) attemptUnary(ctx context.Context, i models.UpstreamInstance, p permit, last bool) error {
	e.markTried(i)
	e.g.scheduler.addLoad(i.ID, 1, 0)
	defer e.g.scheduler.addLoad(i.ID, -1, 0)
	var readTimeout h1.StallPolicy
	if e.route.Idempotent() && !last {
		readTimeout = e.slowTimeout(ctx)
	}
	resp, err := e.send(ctx, i, p, models.Attempt{}, readTimeout)
	if err != nil {
		return err
	}
	body, err := e.readResponse(resp)
	if err != nil {
		return errors.Join(errMayHaveRun, err)
	}
	if resp.Status >= http.StatusInternalServerError && e.route.Idempotent() && !last {
		return errMayHaveRun
	}
	if resp.Status < http.StatusMultipleChoices && !platform.DecodeResponse(resp.Status, resp.Header).Signed {
		return errors.Join(errMayHaveRun, errUnsigned)
	}
	if err := e.checkPromise(resp.Status); err != nil {
		return err
	}
	if resp.Status < http.StatusMultipleChoices {
		e.markSound()
	}
	e.setContentLength(resp, body)
	e.writeHead(resp)
	_, err = e.w.Write(body)
	return err
}

// reservedInstance is the instance that a request is sent to next, with its permit and a retry of the budget.
type reservedInstance struct {
	instance models.UpstreamInstance
	permit   permit
}

// slowTimeout returns the policy of an attempt that is given up if it is slow and the request can be sent to
// another instance.
func (e *exchange) slowTimeout(ctx context.Context) h1.StallPolicy {
	slowAt := time.Now().Add(max(minSlowTimeout, time.Duration(slowTimeoutFactor*float64(e.route.LatencyTarget))))
	return func(time.Duration) time.Duration {
		switch left := time.Until(slowAt); {
		case left > 0:
			return left
		case e.reserve(ctx):
			return 0
		default:
			return stallPollInterval
		}
	}
}

// reserve reserves another instance for the request, and reports whether there is one.
func (e *exchange) reserve(ctx context.Context) bool {
	if e.checkTimeLeft(0) != nil || e.checkQuarantine() != nil || !e.hasRetry() {
		return false
	}
	i, p, found := e.pickPermittedInstance(ctx)
	if !found || !e.allowRetry(false) {
		return false
	}
	e.reserved = &reservedInstance{i, p}
	return true
}

// nextInstance returns the reserved instance, or else waits for one.
func (e *exchange) nextInstance(ctx context.Context) (models.UpstreamInstance, permit, error) {
	if r := e.reserved; r != nil {
		e.reserved = nil
		return r.instance, r.permit, nil
	}
	return e.awaitInstance(ctx)
}

// setContentLength sets the Content-Length for the caller. The instance's own header describes its
// connection, except in a response to HEAD, where it is the length of the omitted body. A response that
// ended with its connection gets none, since that may have been closed early.
func (e *exchange) setContentLength(resp *h1.Response, body []byte) {
	if resp.Framing == h1.FramedByClose {
		return
	}
	length := strconv.Itoa(len(body))
	if e.r.Method == http.MethodHead {
		length = resp.Header.Get("Content-Length")
	}
	if length != "" {
		e.w.Header().Set("Content-Length", length)
	}
}

// readResponse reads a response's body to its end.
func (e *exchange) readResponse(resp *h1.Response) ([]byte, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(buffers.Reader{R: io.LimitReader(resp.Body, maxResponseBytes+1), Budget: e.g.buffers, Holds: &e.heldBytes, IsResponse: true})
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, errResponseTooLong
	}
	return body, nil
}
