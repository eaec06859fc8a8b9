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

// leg is one run of a stream on one group.
type leg struct {
	s      *stream
	group  cluster.Group
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
	// urgent tells that the other daemons are told at once of the run.
	urgent bool
	sent   time.Time
	// moved is when the last event came, expected how long the group's pass
	// should take that began then: prompts that come later are read in the
	// next one, and by the end of this one its prompts count as read.
	moved    time.Time
	expected time.Duration
	// ahead is an event that was read before it was asked for.
	ahead *sse.Event
}

// newLeg prepares a run and counts it at its group. It must be closed.
func (s *stream) newLeg(group cluster.Group) *leg {
	l := &leg{
		s: s, group: group, resume: s.last, resumed: s.begun, unread: s.head.PromptTokens, sent: time.Now(),
	}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	s.try(group.Head)
	l.urgent = urgent(s.g.node.View(), s.head.Model)
	s.g.balance.add(group.Head.ID, 1, l.unread, l.urgent)
	return l
}

// close ends the run if it has not ended.
func (l *leg) close() {
	if l.answer != nil {
		// Close keeps the connection only if the answer was read to its end.
		if err := l.answer.Body.Close(); err != nil {
			l.s.g.log.Debug().Err(err).Msg("answer-not-closed")
		}
	}
	l.cancel()
	l.s.g.balance.add(l.group.Head.ID, -1, -l.unread, l.urgent)
	l.unread = 0
}

// open sends the request and reads the head of the answer.
func (l *leg) open() error {
	answer, err := l.s.send(l.ctx, l.group.Head, models.Attempt{Resume: l.resumed, After: l.resume}, l.patience)
	if err != nil {
		return err
	}
	l.answer = answer
	switch {
	case answer.Status != http.StatusOK:
		return errFailure
	case !platform.DecodeAnswer(answer.Status, answer.Header).Signed:
		return errors.Join(errMayHaveRun, errUnsigned)
	}
	l.events = sse.NewReader(answer.Body)
	return nil
}

// next returns the next event, or io.EOF at the proper end of the stream.
func (l *leg) next() (sse.Event, error) {
	if l.ahead != nil {
		event := *l.ahead
		l.ahead = nil
		return event, nil
	}
	if l.answer == nil {
		if err := l.open(); err != nil {
			return sse.Event{}, err
		}
	}
	event, err := l.events.Next()
	switch {
	case errors.Is(err, io.EOF) && l.moved.IsZero() && !l.answer.Framed:
		return event, errors.Join(errMayHaveRun, errCutHead)
	case errors.Is(err, io.EOF):
		return event, io.EOF
	case err != nil:
		return event, errors.Join(errMayHaveRun, err)
	}
	l.note()
	return event, nil
}

// note notes that the group moves and that the prompt has been read.
func (l *leg) note() {
	balance, head := l.s.g.balance, l.group.Head.ID
	balance.move(head)
	now := time.Now()
	if l.moved.IsZero() {
		balance.add(head, 0, -l.unread, l.urgent)
		l.unread = 0
	} else {
		balance.addPause(l.s.head.Model, now.Sub(l.moved), l.expected)
	}
	l.moved, l.expected = now, l.pass()
}

// pass is how long the group's next pass should take.
func (l *leg) pass() time.Duration {
	engine := l.s.g.node.View().Routing.Services[l.s.service].Engine
	if engine == nil {
		return firstPatience
	}
	model, known := engine.Model(l.s.head.Model)
	if !known {
		return firstPatience
	}
	load := l.s.g.balance.loadNow(l.s.g.node, l.group.Head.ID)
	return passTime(engine, model, load)
}

// longest is how long nothing may come from the group while it works.
func (l *leg) longest() time.Duration {
	pass := l.expected
	if l.moved.IsZero() {
		pass = l.pass()
	}
	return l.s.g.balance.patience(l.s.head.Model, pass)
}
