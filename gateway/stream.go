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
const extraSends = 3

var errEventGap = errors.New("an event is missing")

// stream passes the events of a stream on as they come, and goes on at
// another group when one fails or stands still and the stream may be resumed.
type stream struct {
	*exchange
	ctx context.Context
	// last is the newest event that the caller has, if begun.
	lastID  int64
	hasLast bool
	// moved is when the last event went out.
	lastEvent time.Time
	// runs counts the runs that were begun and not refused unrun.
	attempts int
	current  *streamAttempt
	hedge    *hedge
	flush    func() error
}

// stream sends a request to a group and passes its events on.
func (e *exchange) serveStream(ctx context.Context) error {
	e.g.budget.addRequest(e.started)
	e.addDemand()
	s := &stream{exchange: e, ctx: ctx, flush: http.NewResponseController(e.w).Flush}
	if e.head.Resumed {
		s.lastID, s.hasLast = e.head.After, true
	}
	defer s.close()
	to, err := s.awaitGroup()
	if err != nil {
		return err
	}
	s.startAttempt(to)
	return s.relay()
}

// begin begins a run that takes the place of the former one.
func (s *stream) startAttempt(dest target) {
	s.attempts++
	s.current = s.newAttempt(dest)
	s.current.readTimeout = s.readTimeout
	s.group = dest.group.Key
}

func (s *stream) close() {
	if s.hedge != nil {
		s.hedge.cancelAndClose()
	}
	if s.current != nil {
		s.current.close()
	}
}

// run passes events on until the stream ends.
func (s *stream) relay() error {
	for {
		event, err := s.current.next()
		if err == nil {
			err = s.checkSequence(event)
		}
		switch {
		case err == nil:
			s.dropHedge()
			if err := s.forward(event); err != nil {
				return err
			}
		case errors.Is(err, io.EOF):
			return s.finishStream()
		case s.ctx.Err() != nil:
			return err
		default:
			err = s.failOver(err)
			if errors.Is(err, errFailureResponse) {
				// No other group takes the stream: the caller gets what the
				// instance said.
				return s.forwardFailure(s.current.response)
			}
			if err != nil {
				return err
			}
		}
	}
}

// goOn has the stream go on elsewhere after its run failed with the error,
// which is returned if it can't.
func (s *stream) failOver(cause error) error {
	if s.headSent {
		// Events that were not flushed because others were to follow.
		if err := s.flush(); err != nil {
			return err
		}
	}
	s.noteFailure(cause)
	if errors.Is(cause, errNotAdmitted) {
		s.unmarkTried(s.current.group.Head)
	}
	if s.hedge != nil && s.adoptHedge(cause) {
		return nil
	}
	// What no instance has run may be sent again, whatever the route.
	notExecuted := errors.Is(cause, errNotExecuted) && s.attempts == 0 && s.maySend()
	if !s.mayRetry() && !notExecuted {
		return cause
	}
	if err := s.checkQuarantine(); err != nil {
		return errors.Join(cause, err)
	}
	dest, err := s.awaitGroup()
	if err != nil {
		return errors.Join(cause, err)
	}
	if !errors.Is(cause, errNotAdmitted) && !s.allowRetry(isRejected(cause)) {
		return errors.Join(cause, errRetryBudget)
	}
	s.logFailover(dest.group, cause)
	s.current.close()
	s.startAttempt(dest)
	return nil
}

// takeHedge has the hedge, once it has its first event, take the place of a run
// that failed with the error. It returns false if the hedge failed too.
func (s *stream) adoptHedge(cause error) bool {
	h := s.hedge
	s.hedge = nil
	if err := h.wait(); err != nil {
		s.noteFailure(err)
		h.close()
		return false
	}
	s.switchTo(h.streamAttempt, cause)
	return true
}

// noteEnd notes that a run ended with an error: one that the instance did not
// run does not count against the route's attempts.
func (s *stream) noteFailure(err error) {
	if errors.Is(err, errNotExecuted) {
		s.attempts--
		return
	}
	s.maybeExecuted = true
}

// switchTo has a hedge's run take the place of the former one.
func (s *stream) switchTo(a *streamAttempt, cause error) {
	s.logFailover(a.group, cause)
	s.current.close()
	s.current, s.group = a, a.group.Key
	a.readTimeout = s.readTimeout
	a.response.Body.SetPatience(s.readTimeout)
}

// logMove tells that the stream goes on at another group.
func (s *stream) logFailover(dest cluster.Group, cause error) {
	s.g.stats.resumes.Inc()
	s.g.log.Info().Str("request", string(s.head.ID)).Str("from", string(s.current.group.Key.Name)).Str("to", string(dest.Key.Name)).
		Int64("after", s.lastID).Bool("begun", s.headSent).Dur("pass", s.current.passTime()).Dur("patience", s.current.stallTimeout()).
		Err(cause).Msg("stream-moved")
}

// engine describes the engine of the stream's service; it may be nil.
func (s *stream) engine() *models.EngineProfile {
	return s.g.node.View().Routing.Services[s.service].Engine
}

// mayRepeat reports whether the request may be run once more.
func (s *stream) mayRetry() bool {
	return s.route.Repeatable() && s.attempts < s.route.Attempts && s.maySend()
}

// maySend reports whether one more instance may be sent the request.
func (s *stream) maySend() bool { return len(s.tried) < s.route.Attempts+extraSends }

// spend takes a repeat from the budget, of a send that was turned away if so.
func (s *stream) allowRetry(rejected bool) bool {
	return s.g.budget.allowRetry(time.Now(), s.g.node.View().Daemons, rejected)
}

// pass passes an event on.
func (s *stream) forward(event sse.Event) error {
	if !s.headSent {
		s.writeHead(s.current.response.Status, s.current.response.Header)
	}
	now := time.Now()
	if !s.lastEvent.IsZero() {
		s.maxPause = max(s.maxPause, now.Sub(s.lastEvent))
	}
	s.lastEvent = now
	if _, err := s.w.Write(event.Raw); err != nil {
		return err
	}
	if s.current.events.Pending() {
		return nil
	}
	return s.flush()
}

// passFailure passes on an answer that is no stream.
func (s *stream) forwardFailure(answer *h1.Response) error {
	body, err := readResponse(answer)
	if err != nil {
		return errors.Join(errMaybeExecuted, err)
	}
	if s.headSent {
		return fmt.Errorf("%w: status %d", errMaybeExecuted, answer.Status)
	}
	s.writeHead(answer.Status, answer.Header)
	_, err = s.w.Write(body)
	return err
}

// finishStream ends the answer as whole.
func (s *stream) finishStream() error {
	if !s.headSent {
		s.writeHead(s.current.response.Status, s.current.response.Header)
	}
	return nil
}

// check refuses an event that does not follow the last one.
func (s *stream) checkSequence(event sse.Event) error {
	if !event.HasID {
		return nil
	}
	if s.hasLast && event.ID != s.lastID+1 {
		return fmt.Errorf("%w: %w: %d follows %d", errMaybeExecuted, errEventGap, event.ID, s.lastID)
	}
	s.lastID, s.hasLast = event.ID, true
	return nil
}
