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
)

// spareSends is how often a request may be sent beyond its attempts to
// instances that turn out not to run it.
const spareSends = 3

var errGap = errors.New("an event is missing")

// stream passes the events of a stream on as they come, and goes on at
// another group when one fails or stands still and the stream may be resumed.
type stream struct {
	*exchange
	ctx context.Context
	// last is the newest event that the caller has, if begun.
	last  int64
	begun bool
	// moved is when the last event went out.
	moved time.Time
	// runs counts the runs that were begun and not refused unrun.
	runs    int
	current *run
	hedge   *hedge
	flush   func() error
}

// stream sends a request to a group and passes its events on.
func (e *exchange) stream(ctx context.Context) error {
	e.g.budget.request(e.began)
	e.addWork()
	s := &stream{exchange: e, ctx: ctx, flush: http.NewResponseController(e.w).Flush}
	if e.head.Resumed {
		s.last, s.begun = e.head.After, true
	}
	defer s.close()
	to, err := s.pick()
	if err != nil {
		return err
	}
	s.begin(to)
	return s.run()
}

// begin begins a run that takes the place of the former one.
func (s *stream) begin(to placed) {
	s.runs++
	s.current = s.newRun(to)
	s.current.patience = s.patience
	s.group = to.group.Key
}

func (s *stream) close() {
	if s.hedge != nil {
		s.hedge.abandon()
	}
	if s.current != nil {
		s.current.close()
	}
}

// run passes events on until the stream ends.
func (s *stream) run() error {
	for {
		event, err := s.current.next()
		if err == nil {
			err = s.check(event)
		}
		switch {
		case err == nil:
			s.dropHedge()
			if err := s.pass(event); err != nil {
				return err
			}
		case errors.Is(err, io.EOF):
			return s.finishStream()
		case s.ctx.Err() != nil:
			return err
		default:
			err = s.goOn(err)
			if errors.Is(err, errFailure) {
				// No other group takes the stream: the caller gets what the
				// instance said.
				return s.passFailure(s.current.answer)
			}
			if err != nil {
				return err
			}
		}
	}
}

// goOn has the stream go on elsewhere after its run failed with the error,
// which is returned if it can't.
func (s *stream) goOn(cause error) error {
	if s.answering {
		// Events that were not flushed because others were to follow.
		if err := s.flush(); err != nil {
			return err
		}
	}
	s.noteEnd(cause)
	if errors.Is(cause, errHeld) {
		s.untry(s.current.group.Head)
	}
	if s.hedge != nil && s.takeHedge(cause) {
		return nil
	}
	// What no instance has run may be sent again, whatever the route.
	unrun := errors.Is(cause, errNotRun) && s.runs == 0 && s.maySend()
	if !s.mayRepeat() && !unrun {
		return cause
	}
	if err := s.mayBeSent(); err != nil {
		return errors.Join(cause, err)
	}
	to, err := s.pick()
	if err != nil {
		return errors.Join(cause, err)
	}
	if !errors.Is(cause, errHeld) && !s.spend(isTurnedAway(cause)) {
		return errors.Join(cause, errBudget)
	}
	s.logMove(to.group, cause)
	s.current.close()
	s.begin(to)
	return nil
}

// takeHedge has the hedge, once it has its first event, take the place of a run
// that failed with the error. It returns false if the hedge failed too.
func (s *stream) takeHedge(cause error) bool {
	h := s.hedge
	s.hedge = nil
	if err := h.wait(); err != nil {
		s.noteEnd(err)
		h.close()
		return false
	}
	s.switchTo(h.run, cause)
	return true
}

// noteEnd notes that a run ended with an error: one that the instance did not
// run does not count against the route's attempts.
func (s *stream) noteEnd(err error) {
	if errors.Is(err, errNotRun) {
		s.runs--
		return
	}
	s.ran = true
}

// switchTo has a hedge's run take the place of the former one.
func (s *stream) switchTo(r *run, cause error) {
	s.logMove(r.group, cause)
	s.current.close()
	s.current, s.group = r, r.group.Key
	r.patience = s.patience
	r.answer.Body.SetPatience(s.patience)
}

// logMove tells that the stream goes on at another group.
func (s *stream) logMove(to cluster.Group, cause error) {
	s.g.stats.resumes.Inc()
	s.g.log.Info().Str("request", string(s.head.ID)).Str("from", string(s.current.group.Key.Name)).Str("to", string(to.Key.Name)).
		Int64("after", s.last).Bool("begun", s.answering).Dur("pass", s.current.pass()).Dur("patience", s.current.longest()).
		Err(cause).Msg("stream-moved")
}

// engine describes the engine of the stream's service; it may be nil.
func (s *stream) engine() *models.EngineProfile {
	return s.g.node.View().Routing.Services[s.service].Engine
}

// mayRepeat reports whether the request may be run once more.
func (s *stream) mayRepeat() bool {
	return s.route.Repeatable() && s.runs < s.route.Attempts && s.maySend()
}

// maySend reports whether one more instance may be sent the request.
func (s *stream) maySend() bool { return len(s.tried) < s.route.Attempts+spareSends }

// spend takes a repeat from the budget, of a send that was turned away if so.
func (s *stream) spend(turnedAway bool) bool {
	return s.g.budget.repeat(time.Now(), s.g.node.View().Daemons, turnedAway)
}

// pass passes an event on.
func (s *stream) pass(event sse.Event) error {
	if !s.answering {
		s.writeHead(s.current.answer.Status, s.current.answer.Header)
	}
	now := time.Now()
	if !s.moved.IsZero() {
		s.gap = max(s.gap, now.Sub(s.moved))
	}
	s.moved = now
	if _, err := s.w.Write(event.Raw); err != nil {
		return err
	}
	if s.current.events.Pending() {
		return nil
	}
	return s.flush()
}

// passFailure passes on an answer that is no stream.
func (s *stream) passFailure(answer *h1.Response) error {
	body, err := readWhole(answer)
	if err != nil {
		return errors.Join(errMayHaveRun, err)
	}
	if s.answering {
		return fmt.Errorf("%w: status %d", errMayHaveRun, answer.Status)
	}
	s.writeHead(answer.Status, answer.Header)
	_, err = s.w.Write(body)
	return err
}

// finishStream ends the answer as whole.
func (s *stream) finishStream() error {
	if !s.answering {
		s.writeHead(s.current.answer.Status, s.current.answer.Header)
	}
	return nil
}

// check refuses an event that does not follow the last one.
func (s *stream) check(event sse.Event) error {
	if !event.HasID {
		return nil
	}
	if s.begun && event.ID != s.last+1 {
		return fmt.Errorf("%w: %w: %d follows %d", errMayHaveRun, errGap, event.ID, s.last)
	}
	s.last, s.begun = event.ID, true
	return nil
}
