package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/sse"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

var (
	// errStreamEnd is the proper end of a stream. Unlike io.EOF, no other layer returns it.
	errStreamEnd   = errors.New("the stream is complete")
	errEmptyStream = errors.New("the stream ended before its first event")
	// errUnframedEnd: the connection of a response without a length was closed, which also a killed
	// instance does.
	errUnframedEnd = errors.New("the connection was closed, and nothing marks the end of the stream")
	// errFailureResponse: the instance answered with a status other than 200; see
	// streamAttempt.response.
	errFailureResponse = errors.New("the instance answered with a failure status")
)

// soundAfter is how long a group must send events for the prompt to be sound. A prompt that crashes
// instances does so soon after the first event.
const soundAfter = 500 * time.Millisecond

// streamAttempt is one attempt to serve a stream from one group.
type streamAttempt struct {
	s      *stream
	group  cluster.Group
	permit permit
	ctx    context.Context
	cancel context.CancelFunc
	// resume is the ID of the event after which the attempt continues, if resumed.
	resume  int64
	resumed bool
	// readTimeout is called when nothing is received from the group.
	readTimeout h1.StallPolicy

	response *h1.Response
	events   *sse.Reader
	// heldBytes is the number of bytes that are held for a long event.
	heldBytes int
	predicted prediction
	// prefillTokens are the prompt's tokens that wait for prefill: all until the first event, then
	// 0.
	prefillTokens int
	sentAt        time.Time
	// lastEvent is when the last event was received. expectedPass is the expected duration of the
	// engine pass that began then: prompts that arrive later are prefilled in the next pass, and
	// when this pass ends its prompts count as prefilled.
	lastEvent    time.Time
	expectedPass time.Duration
	// pauses counts the pauses between events, shortestPause is the shortest of them.
	pauses        int
	shortestPause time.Duration
	// firstEvent is when the first event was received, proven is set once the prompt is known to be
	// sound.
	firstEvent time.Time
	proven     bool
	// checksEnd is set if the attempt asks for the last event that the caller has once more, to find out
	// whether the stream ends there, and repeated once that event was received.
	checksEnd, repeated bool
	// buffered is an event that was read before next was called for it.
	buffered *sse.Event
	closed   bool
}

// newAttempt prepares an attempt and counts it in the group's load. It must be closed.
func (s *stream) newAttempt(dest target) *streamAttempt {
	group := dest.group
	a := &streamAttempt{
		s: s, group: group, permit: dest.permit, resume: s.lastID, resumed: s.hasLast, prefillTokens: s.head.PromptTokens, sentAt: time.Now(),
	}
	a.ctx, a.cancel = context.WithCancel(s.ctx)
	a.predicted = s.g.scheduler.predict(s.g.node, s.engine(), group, s.head, s.route.LatencyTarget)
	s.markTried(group.Head)
	s.g.scheduler.addLoad(group.Head.ID, 1, a.prefillTokens)
	return a
}

// close ends the attempt and removes it from the group's load.
func (a *streamAttempt) close() {
	if a.closed {
		return
	}
	a.closed = true
	if a.response != nil {
		// Close keeps the connection only if the response was read to its end.
		if err := a.response.Body.Close(); err != nil {
			a.s.g.log.Debug().Err(err).Msg("answer-not-closed")
		}
	}
	a.s.g.buffers.Release(a.heldBytes)
	a.heldBytes = 0
	a.cancel()
	a.s.g.scheduler.endPrediction(a.group.Key, a.predicted, false)
	a.s.g.scheduler.addLoad(a.group.Head.ID, -1, -a.prefillTokens)
	a.prefillTokens = 0
	a.s.g.queues.requestEnded(a.s.servedModel())
}

// open sends the request and reads the head of the response.
func (a *streamAttempt) open() error {
	resp, err := a.s.send(a.ctx, a.group.Head, a.permit, models.Attempt{HasLastEventID: a.resumed, LastEventID: a.resume, FromStart: a.checksEnd && !a.resumed}, a.readTimeout)
	if err != nil {
		return err
	}
	a.response = resp
	switch {
	case resp.Status < http.StatusMultipleChoices && !platform.DecodeResponse(resp.Status, resp.Header).Signed:
		return errors.Join(errMayHaveRun, errUnsigned)
	case resp.Status != http.StatusOK:
		return errFailureResponse
	}
	a.events = sse.NewReader(resp.Body)
	a.events.Reserve = a.reserve
	return nil
}

// reserve reserves n bytes for a long event.
func (a *streamAttempt) reserve(n int) error {
	if err := a.s.g.buffers.ReserveShare(n, a.heldBytes); err != nil {
		return err
	}
	a.heldBytes += n
	return nil
}

// next returns the next event, or errStreamEnd at the proper end of the stream.
func (a *streamAttempt) next() (sse.Event, error) {
	event, err := a.read()
	if err != nil {
		a.s.noteDisconnect(a.ctx, a.group.Head, err)
	}
	return event, err
}

// read is next without the crash detection.
func (a *streamAttempt) read() (sse.Event, error) {
	if a.buffered != nil {
		event := *a.buffered
		a.buffered = nil
		return event, nil
	}
	if a.response == nil {
		if err := a.open(); err != nil {
			return sse.Event{}, err
		}
	}
	event, err := a.events.Next()
	switch {
	case errors.Is(err, io.EOF):
		return event, a.bodyEnd()
	case err != nil:
		return event, errors.Join(errMayHaveRun, err)
	}
	a.noteEvent()
	return event, nil
}

// bodyEnd returns what the end of the response's body means.
func (a *streamAttempt) bodyEnd() error {
	return claim{
		framing: a.response.Framing, resumable: a.s.route.Idempotent(), resumed: a.resumed, events: !a.lastEvent.IsZero(),
		checksEnd: a.checksEnd, repeated: a.repeated,
	}.judge()
}

// noteEvent records that the group makes progress and, on the first event, that the prompt has been
// prefilled.
func (a *streamAttempt) noteEvent() {
	balance, head := a.s.g.scheduler, a.group.Head.ID
	balance.noteEvent(head)
	now := time.Now()
	if a.lastEvent.IsZero() {
		balance.endPrediction(a.group.Key, a.predicted, true)
		balance.addLoad(head, 0, -a.prefillTokens)
		a.prefillTokens, a.firstEvent = 0, now
	} else {
		pause := now.Sub(a.lastEvent)
		balance.addPause(a.s.servedModel(), pause, a.expectedPass)
		if a.pauses++; a.pauses == 1 || pause < a.shortestPause {
			a.shortestPause = pause
		}
	}
	a.lastEvent, a.expectedPass = now, a.passTime()
	if !a.proven && now.Sub(a.firstEvent) >= soundAfter {
		a.proven = true
		a.s.markSound()
	}
}

// profile returns the profiles of the engine and the model, if they are known.
func (a *streamAttempt) profile() (*models.EngineProfile, models.ModelProfile, bool) {
	engine := a.s.engine()
	if engine == nil {
		return nil, models.ModelProfile{}, false
	}
	model, known := engine.Model(a.s.head.Model)
	return engine, model, known
}

// passTime returns the expected duration of the group's next pass.
func (a *streamAttempt) passTime() time.Duration {
	engine, model, known := a.profile()
	if !known {
		return defaultStallTimeout
	}
	load := a.s.g.scheduler.totalLoad(a.s.g.node, a.group.Head.ID)
	return passTime(engine, model, load)
}

// stallTimeout returns how long the group may send nothing before it is taken as stalled. After the
// first event it is at least the failoverSlack.
func (a *streamAttempt) stallTimeout() time.Duration {
	if a.lastEvent.IsZero() {
		return a.s.g.scheduler.stallTimeout(a.s.servedModel(), a.passTime())
	}
	expected := currentPassTime(a.expectedPass, a.passTime(), a.s.g.node.View().LoadsAge())
	timeout := a.s.g.scheduler.stallTimeout(a.s.servedModel(), expected)
	if engine, model, known := a.profile(); known {
		timeout = max(timeout, failoverSlack(engine, model, a.s.head.PromptTokens, a.s.route.EventGapTarget))
	}
	return timeout
}
