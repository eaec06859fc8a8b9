package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/sse"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

const (
	// queueStep is how often a waiting request looks for a place.
	queueStep = 20 * time.Millisecond
	// queuePart is the part of its aim that a request waits for a place, so
	// that a refusal comes early enough to be made good elsewhere.
	queuePart = 0.22
	// firstPart is the part of its aim within which the first event of a
	// request is waited for at a head of which nothing else is known.
	firstPart = 0.9
	// overSlots is how many requests beyond its slots a group is sent.
	overSlots = 2
)

var (
	errGap     = errors.New("an event is missing")
	errCutHead = errors.New("the stream ended early")
)

// stream passes the events of a stream on as they come, and goes on at
// another group when one fails and the stream may be resumed.
type stream struct {
	*exchange
	ctx context.Context
	// last is the newest event that the caller has, if begun.
	last  int64
	begun bool
	// moved is when the last event went out.
	moved time.Time
	// unread are the prompt's tokens until the first event of a try, sent is
	// when the try began, and came tells that an event has come in it.
	unread int
	sent   time.Time
	came   bool
	flush  func() error
}

func (e *exchange) stream(ctx context.Context) error {
	e.g.budget.request(e.began)
	e.addWork()
	s := &stream{exchange: e, ctx: ctx, flush: http.NewResponseController(e.w).Flush}
	if e.head.Resumed {
		s.last, s.begun = e.head.After, true
	}
	for {
		group, err := s.pick()
		if err != nil {
			return s.noMore(err)
		}
		err = s.try(group)
		if err == nil || ctx.Err() != nil || len(s.tried) >= s.route.Attempts {
			return err
		}
		if !s.route.Repeatable() && !errors.Is(err, errNotRun) {
			return err
		}
		if !s.g.budget.repeat(time.Now(), s.g.node.View().Daemons) {
			return errors.Join(err, errBudget)
		}
		s.g.stats.resumes.Inc()
		s.g.log.Info().Str("request", string(s.head.ID)).Str("from", string(group.Key.Name)).Int64("after", s.last).
			Bool("begun", s.answering).Err(err).Msg("stream-moved")
	}
}

// addWork counts what the request asks of its model.
func (e *exchange) addWork() {
	service, known := e.g.node.View().Routing.Services[e.service]
	if !known || service.Engine == nil {
		return
	}
	profile, known := service.Engine.Model(e.head.Model)
	if !known {
		return
	}
	e.g.balance.addWork(e.head.Model, groupSeconds(service.Engine, profile, e.head))
}

// groupSeconds is how long a request occupies a whole group that is half
// full.
func groupSeconds(engine *models.EngineProfile, model models.ModelProfile, head models.RequestHead) float64 {
	read := float64(head.PromptTokens) / max(1, engine.ReadPerSecond)
	half := max(1, float64(engine.Slots)/2)
	token := engine.Step.Seconds()/half + engine.PerRequest.Seconds()
	return (read + float64(head.AnswerTokens)*token) * model.Pace
}

// pick waits for a group with a place.
func (s *stream) pick() (cluster.Group, error) {
	until := s.began.Add(time.Duration(queuePart * float64(s.route.Aim)))
	for {
		v := s.g.node.View()
		engine := v.Routing.Services[s.service].Engine
		if engine == nil {
			return cluster.Group{}, errNoUpstream
		}
		group, load, found := s.g.balance.pickGroup(s.g.node, engine, s.head.Model, s.tried)
		if found && (load < engine.Slots+overSlots || s.answering) {
			s.load = load
			return group, nil
		}
		if len(s.tried) == 0 && time.Now().After(until) {
			if found {
				return group, errFull
			}
			return group, errNoUpstream
		}
		select {
		case <-s.ctx.Done():
			return group, errors.Join(errNoUpstream, s.ctx.Err())
		case <-time.After(queueStep):
		}
	}
}

// try runs the stream on one group until it ends there.
func (s *stream) try(group cluster.Group) error {
	head := group.Head
	s.g.balance.add(head.ID, 1, s.head.PromptTokens)
	s.unread = s.head.PromptTokens
	defer func() { s.g.balance.add(head.ID, -1, -s.unread) }()
	s.group, s.sent, s.came = group.Key, time.Now(), false
	patience := s.g.balance.patience(s.head.Model)
	resp, err := s.send(s.ctx, head, models.Attempt{Resume: s.begun, After: s.last}, patience, func() bool { return s.keepWaiting(group, patience) })
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return s.passFailure(resp)
	}
	if !platform.DecodeAnswer(resp.Status, resp.Header).Signed {
		resp.Body.Discard()
		return errors.Join(errMayHaveRun, errUnsigned)
	}
	if err := s.passEvents(head, resp); err != nil {
		resp.Body.Discard()
		return errors.Join(errMayHaveRun, err)
	}
	return resp.Body.Close()
}

// keepWaiting decides what becomes of a stream on which nothing came for its
// patience.
func (s *stream) keepWaiting(group cluster.Group, patience time.Duration) bool {
	now := time.Now()
	suspect := s.g.node.View().Suspects[group.Head.ID]
	switch {
	case s.g.balance.still(group.Head.ID, now) < patience:
		// The group moves; only this request waits.
		return true
	case suspect:
	case !s.came && now.Sub(s.sent) < time.Duration(firstPart*float64(s.route.Aim)):
		// Nothing has come yet, and may still be on its way.
		return true
	default:
		s.g.node.ReportStalled(group.Key, group.Head.ID)
	}
	if len(s.tried) >= s.route.Attempts || !s.route.Repeatable() {
		return true
	}
	engine := s.g.node.View().Routing.Services[s.service].Engine
	if engine == nil {
		return true
	}
	_, _, elsewhere := s.g.balance.pickGroup(s.g.node, engine, s.head.Model, s.tried)
	return !elsewhere
}

// passFailure passes on an answer that is no stream, unless the request may
// be tried elsewhere.
func (s *stream) passFailure(resp *h1.Response) error {
	body, err := readWhole(resp)
	if err != nil {
		return errors.Join(errMayHaveRun, err)
	}
	again := s.route.Repeatable() && len(s.tried) < s.route.Attempts && resp.Status >= http.StatusInternalServerError
	if again || s.answering {
		return fmt.Errorf("%w: status %d", errMayHaveRun, resp.Status)
	}
	s.writeHead(resp.Status, resp.Header)
	_, err = s.w.Write(body)
	return err
}

// passEvents passes whole events on until the stream ends.
func (s *stream) passEvents(head models.UpstreamInstance, resp *h1.Response) error {
	events := sse.NewReader(resp.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return s.end(resp)
		}
		if err != nil {
			return err
		}
		s.noteEvent(head)
		if err := s.check(event); err != nil {
			return err
		}
		if !s.answering {
			s.writeHead(resp.Status, resp.Header)
		}
		s.noteGap()
		if _, err := s.w.Write(event.Raw); err != nil {
			return err
		}
		if events.Pending() {
			continue
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
}

// noteEvent notes that the head moves and that the prompt has been read.
func (s *stream) noteEvent(head models.UpstreamInstance) {
	s.g.balance.move(head.ID)
	if !s.came {
		s.came = true
		s.g.balance.add(head.ID, 0, -s.unread)
		s.unread = 0
		return
	}
	s.g.balance.addPause(s.head.Model, time.Since(s.moved))
}

// noteGap measures the pause before the event that goes out now.
func (s *stream) noteGap() {
	now := time.Now()
	if !s.moved.IsZero() {
		s.gap = max(s.gap, now.Sub(s.moved))
	}
	s.moved = now
}

// check refuses an event that does not follow the last one.
func (s *stream) check(event sse.Event) error {
	if !event.HasID {
		return nil
	}
	if s.begun && event.ID != s.last+1 {
		return fmt.Errorf("%w: %d follows %d", errGap, event.ID, s.last)
	}
	s.last, s.begun = event.ID, true
	return nil
}

// end ends the answer as whole.
func (s *stream) end(resp *h1.Response) error {
	if s.answering {
		return nil
	}
	if !resp.Framed {
		return errCutHead
	}
	s.writeHead(resp.Status, resp.Header)
	return nil
}
