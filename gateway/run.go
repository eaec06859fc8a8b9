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
	errCutHead = errors.New("the stream ended early")
	// errFailure: the instance answered with a failure, which is in answer.
	errFailure = errors.New("the instance answered with a failure")
)

// run is one try of a stream on one group.
type run struct {
	s      *stream
	group  cluster.Group
	permit permit
	ctx    context.Context
	cancel context.CancelFunc
	// resume is the event after which the run goes on, if resumed.
	resume  int64
	resumed bool
	// patience is asked when nothing comes from the group.
	patience h1.Patience

	answer *h1.Response
	events *sse.Reader
	// unread are the prompt's tokens until the first event.
	unread int
	sent   time.Time
	// moved is when the last event came, expected how long the group's pass
	// should take that began then: prompts that come later are read in the
	// next one, and by the end of this one its prompts count as read.
	moved    time.Time
	expected time.Duration
	// ahead is an event that was read before it was asked for.
	ahead *sse.Event
}

// newRun prepares a run and counts it at its group. It must be closed.
func (s *stream) newRun(to placed) *run {
	group := to.group
	r := &run{
		s: s, group: group, permit: to.permit, resume: s.last, resumed: s.begun, unread: s.head.PromptTokens, sent: time.Now(),
	}
	r.ctx, r.cancel = context.WithCancel(s.ctx)
	s.try(group.Head)
	s.g.balance.add(group.Head.ID, 1, r.unread)
	return r
}

// close ends the run if it has not ended.
func (r *run) close() {
	if r.answer != nil {
		// Close keeps the connection only if the answer was read to its end.
		if err := r.answer.Body.Close(); err != nil {
			r.s.g.log.Debug().Err(err).Msg("answer-not-closed")
		}
	}
	r.cancel()
	r.s.g.balance.add(r.group.Head.ID, -1, -r.unread)
	r.unread = 0
}

// open sends the request and reads the head of the answer.
func (r *run) open() error {
	answer, err := r.s.send(r.ctx, r.group.Head, r.permit, models.Attempt{Resume: r.resumed, After: r.resume}, r.patience)
	if err != nil {
		return err
	}
	r.answer = answer
	switch {
	case answer.Status != http.StatusOK:
		return errFailure
	case !platform.DecodeAnswer(answer.Status, answer.Header).Signed:
		return errors.Join(errMayHaveRun, errUnsigned)
	}
	r.events = sse.NewReader(answer.Body)
	return nil
}

// next returns the next event, or io.EOF at the proper end of the stream.
func (r *run) next() (sse.Event, error) {
	event, err := r.read()
	if err != nil {
		r.s.noteCut(r.ctx, r.group.Head, err)
	}
	return event, err
}

// read is next without a look at what a failure tells of the instance.
func (r *run) read() (sse.Event, error) {
	if r.ahead != nil {
		event := *r.ahead
		r.ahead = nil
		return event, nil
	}
	if r.answer == nil {
		if err := r.open(); err != nil {
			return sse.Event{}, err
		}
	}
	event, err := r.events.Next()
	switch {
	case errors.Is(err, io.EOF) && r.moved.IsZero() && !r.answer.Framed:
		return event, errors.Join(errMayHaveRun, errCutHead)
	case errors.Is(err, io.EOF):
		return event, io.EOF
	case err != nil:
		return event, errors.Join(errMayHaveRun, err)
	}
	r.note()
	return event, nil
}

// note notes that the group moves and that the prompt has been read.
func (r *run) note() {
	balance, head := r.s.g.balance, r.group.Head.ID
	balance.move(head)
	now := time.Now()
	if r.moved.IsZero() {
		balance.add(head, 0, -r.unread)
		r.unread = 0
	} else {
		balance.addPause(r.s.head.Model, now.Sub(r.moved), r.expected)
	}
	r.moved, r.expected = now, r.pass()
}

// profile describes the engine and the model, if they are known.
func (r *run) profile() (*models.EngineProfile, models.ModelProfile, bool) {
	engine := r.s.engine()
	if engine == nil {
		return nil, models.ModelProfile{}, false
	}
	model, known := engine.Model(r.s.head.Model)
	return engine, model, known
}

// pass is how long the group's next pass should take.
func (r *run) pass() time.Duration {
	engine, model, known := r.profile()
	if !known {
		return firstPatience
	}
	load := r.s.g.balance.loadNow(r.s.g.node, r.group.Head.ID)
	return passTime(engine, model, load)
}

// longest is how long nothing may come from the group while it works. Once events
// have come it is sparePause at least.
func (r *run) longest() time.Duration {
	if r.moved.IsZero() {
		return r.s.g.balance.patience(r.s.head.Model, r.pass())
	}
	expected := begunPass(r.expected, r.pass(), r.s.g.node.View().LoadsAge())
	longest := r.s.g.balance.patience(r.s.head.Model, expected)
	if engine, model, known := r.profile(); known {
		longest = max(longest, sparePause(engine, model, r.s.head.PromptTokens, r.s.route.Pause))
	}
	return longest
}
