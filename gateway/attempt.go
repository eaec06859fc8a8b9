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
	errEmptyStream = errors.New("the stream ended early")
	// errFailure: the instance answered with a failure, which is in answer.
	errFailureResponse = errors.New("the instance answered with a failure")
)

// run is one try of a stream on one group.
type streamAttempt struct {
	s      *stream
	group  cluster.Group
	permit permit
	ctx    context.Context
	cancel context.CancelFunc
	// resume is the event after which the run goes on, if resumed.
	resume  int64
	resumed bool
	// patience is asked when nothing comes from the group.
	readTimeout h1.Patience

	response *h1.Response
	events   *sse.Reader
	// unread are the prompt's tokens until the first event.
	prefillTokens int
	sentAt        time.Time
	// moved is when the last event came, expected how long the group's pass
	// should take that began then: prompts that come later are read in the
	// next one, and by the end of this one its prompts count as read.
	lastEvent    time.Time
	expectedPass time.Duration
	// ahead is an event that was read before it was asked for.
	buffered *sse.Event
}

// newRun prepares a run and counts it at its group. It must be closed.
func (s *stream) newAttempt(dest target) *streamAttempt {
	group := dest.group
	a := &streamAttempt{
		s: s, group: group, permit: dest.permit, resume: s.lastID, resumed: s.hasLast, prefillTokens: s.head.PromptTokens, sentAt: time.Now(),
	}
	a.ctx, a.cancel = context.WithCancel(s.ctx)
	s.markTried(group.Head)
	s.g.scheduler.addLoad(group.Head.ID, 1, a.prefillTokens)
	return a
}

// close ends the run if it has not ended.
func (a *streamAttempt) close() {
	if a.response != nil {
		// Close keeps the connection only if the answer was read to its end.
		if err := a.response.Body.Close(); err != nil {
			a.s.g.log.Debug().Err(err).Msg("answer-not-closed")
		}
	}
	a.cancel()
	a.s.g.scheduler.addLoad(a.group.Head.ID, -1, -a.prefillTokens)
	a.prefillTokens = 0
}

// open sends the request and reads the head of the answer.
func (a *streamAttempt) open() error {
	resp, err := a.s.send(a.ctx, a.group.Head, a.permit, models.Attempt{Resume: a.resumed, After: a.resume}, a.readTimeout)
	if err != nil {
		return err
	}
	a.response = resp
	switch {
	case resp.Status != http.StatusOK:
		return errFailureResponse
	case !platform.DecodeAnswer(resp.Status, resp.Header).Signed:
		return errors.Join(errMaybeExecuted, errUnsigned)
	}
	a.events = sse.NewReader(resp.Body)
	return nil
}

// next returns the next event, or io.EOF at the proper end of the stream.
func (a *streamAttempt) next() (sse.Event, error) {
	event, err := a.read()
	if err != nil {
		a.s.noteDisconnect(a.ctx, a.group.Head, err)
	}
	return event, err
}

// read is next without a look at what a failure tells of the instance.
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
	case errors.Is(err, io.EOF) && a.lastEvent.IsZero() && !a.response.Framed:
		return event, errors.Join(errMaybeExecuted, errEmptyStream)
	case errors.Is(err, io.EOF):
		return event, io.EOF
	case err != nil:
		return event, errors.Join(errMaybeExecuted, err)
	}
	a.noteEvent()
	return event, nil
}

// note notes that the group moves and that the prompt has been read.
func (a *streamAttempt) noteEvent() {
	balance, head := a.s.g.scheduler, a.group.Head.ID
	balance.noteEvent(head)
	now := time.Now()
	if a.lastEvent.IsZero() {
		balance.addLoad(head, 0, -a.prefillTokens)
		a.prefillTokens = 0
	} else {
		balance.addPause(a.s.head.Model, now.Sub(a.lastEvent), a.expectedPass)
	}
	a.lastEvent, a.expectedPass = now, a.passTime()
}

// profile describes the engine and the model, if they are known.
func (a *streamAttempt) profile() (*models.EngineProfile, models.ModelProfile, bool) {
	engine := a.s.engine()
	if engine == nil {
		return nil, models.ModelProfile{}, false
	}
	model, known := engine.Model(a.s.head.Model)
	return engine, model, known
}

// pass is how long the group's next pass should take.
func (a *streamAttempt) passTime() time.Duration {
	engine, model, known := a.profile()
	if !known {
		return defaultStallTimeout
	}
	load := a.s.g.scheduler.totalLoad(a.s.g.node, a.group.Head.ID)
	return passTime(engine, model, load)
}

// longest is how long nothing may come from the group while it works. Once events
// have come it is sparePause at least.
func (a *streamAttempt) stallTimeout() time.Duration {
	if a.lastEvent.IsZero() {
		return a.s.g.scheduler.stallTimeout(a.s.head.Model, a.passTime())
	}
	expected := currentPassTime(a.expectedPass, a.passTime(), a.s.g.node.View().LoadsAge())
	timeout := a.s.g.scheduler.stallTimeout(a.s.head.Model, expected)
	if engine, model, known := a.profile(); known {
		timeout = max(timeout, failoverSlack(engine, model, a.s.head.PromptTokens, a.s.route.Pause))
	}
	return timeout
}
