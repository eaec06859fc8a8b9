package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/sse"
	"github.com/lupinkeel/lupinkeel/models"
)

// extraSends is how many sends a request may make beyond its attempts, to instances that turn out
// not to run it.
const extraSends = 3

var errEventGap = errors.New("an event is missing")

// stream forwards the events of a stream as they arrive, and continues at another group if one
// fails or stalls and the stream may be resumed.
type stream struct {
	*exchange
	ctx context.Context
	// lastID is the ID of the last event that the caller has, if hasLast.
	lastID  int64
	hasLast bool
	// unresumable is set while the last event that the caller has is one without an ID.
	unresumable bool
	// lastEvent is when the last event was sent to the caller.
	lastEvent time.Time
	// attempts counts the attempts that were started and not rejected.
	attempts int
	current  *streamAttempt
	hedge    *hedge
	// spare is the group of a hedge that was not needed; nil if there was none.
	spare *cluster.Group
	flush func() error
	// admittedBy is the queue that admitted the stream, until its load is counted.
	admittedBy *groupQueue
	// unproven is the end after lastID that a closed connection claims; nil if none does.
	unproven *unprovenEnd
}

// serveStream sends a request to a group and forwards its events.
func (e *exchange) serveStream(ctx context.Context) error {
	e.g.budget.addRequest(e.started, e.g.node.View().Daemons)
	e.addDemand()
	s := &stream{exchange: e, ctx: ctx, flush: http.NewResponseController(e.w).Flush}
	if e.head.HasLastEventID {
		s.lastID, s.hasLast = e.head.LastEventID, true
	}
	defer s.close()
	defer func() { e.end = s.currentEnd() }()
	to, err := s.awaitGroup()
	if err != nil {
		return err
	}
	s.startAttempt(to)
	return s.relay()
}

// startAttempt starts an attempt that replaces the current one.
func (s *stream) startAttempt(dest target) {
	s.attempts++
	s.current = s.newAttempt(dest)
	s.settleAdmission()
	s.current.readTimeout = s.readTimeout
	s.group = dest.group.Key
}

func (s *stream) close() {
	s.settleAdmission()
	if s.hedge != nil {
		s.hedge.cancelAndClose()
	}
	if s.current != nil {
		s.current.close()
	}
}

// relay forwards events until the stream ends.
func (s *stream) relay() error {
	for {
		event, err := s.current.next()
		if err == nil {
			if s.isRepeated(event) {
				continue
			}
			err = s.checkSequence(event)
		}
		switch {
		case err == nil:
			s.dropHedge()
			s.noteContinuation()
			if err := s.forward(event); err != nil {
				return err
			}
		case errors.Is(err, errStreamEnd):
			return s.finishStream()
		case s.ctx.Err() != nil:
			return err
		default:
			switch err = s.failOver(err); {
			case errors.Is(err, errStreamEnd):
				return s.finishStream()
			case errors.Is(err, errFailureResponse):
				// No other group takes the stream: the caller gets the failure response.
				return s.forwardFailure(s.current.response)
			case err != nil:
				return err
			}
		}
	}
}

// failOver continues the stream at another group after its attempt failed. It returns the cause if
// that is not possible, and errStreamEnd if the stream is complete.
func (s *stream) failOver(cause error) error {
	if s.headSent {
		// Events may not have been flushed because others were to follow.
		if err := s.flush(); err != nil {
			return err
		}
	}
	s.noteFailure(cause)
	if errors.Is(cause, errNotAdmitted) && !s.current.checksEnd {
		s.unmarkTried(s.current.group.Head)
	}
	if errors.Is(cause, errUnframedEnd) {
		s.noteUnframedEnd()
		if s.hedge != nil && !s.hedge.done() {
			s.dropHedge()
		}
	}
	if s.hedge != nil && s.adoptHedge(cause) {
		return nil
	}
	if s.unproven != nil {
		return s.checkEnd(cause)
	}
	// A request that no instance has run may be sent again on any route.
	notRun := errors.Is(cause, errNotRun) && s.attempts == 0 && s.maySend()
	if !s.mayRetry() && !notRun {
		return s.resumeAtSpare(cause)
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

// resumeAtSpare continues the stream at the spare group, which takes no further instance of those that the
// route allows. It returns the cause if that is not possible.
func (s *stream) resumeAtSpare(cause error) error {
	if s.spare == nil || !s.route.Idempotent() || s.unresumable || !s.maySend() {
		return cause
	}
	group, there := s.currentGroup(*s.spare)
	s.spare = nil
	if !there || s.g.needsPermit(group.Head) {
		return cause
	}
	if err := s.checkQuarantine(); err != nil {
		return errors.Join(cause, err)
	}
	if !s.allowRetry(isRejected(cause)) {
		return errors.Join(cause, errRetryBudget)
	}
	s.logFailover(group, cause)
	s.current.close()
	s.startAttempt(target{group: group})
	return nil
}

// adoptHedge waits for the hedge's first event, or the end of the stream, and makes it the current attempt.
// It returns false if the hedge failed too.
func (s *stream) adoptHedge(cause error) bool {
	h := s.hedge
	s.hedge = nil
	if err := h.wait(); err != nil && !s.isComplete(h, err) {
		s.noteFailure(err)
		h.close()
		return false
	}
	s.switchTo(h.streamAttempt, cause)
	return true
}

// isComplete reports whether the end of a hedge's response proves that the stream is complete: the hedge
// resumed after the last event that the caller has, and there is none after that.
func (s *stream) isComplete(h *hedge, err error) bool {
	return s.headSent && errors.Is(err, errStreamEnd) && h.resumed && h.resume == s.lastID
}

// noteFailure records that an attempt failed. A request that the instance did not run does not
// count against the route's attempts.
func (s *stream) noteFailure(err error) {
	if errors.Is(err, errNotRun) {
		s.attempts--
		return
	}
	s.mayHaveRun = true
}

// switchTo makes a hedge's attempt the current one.
func (s *stream) switchTo(a *streamAttempt, cause error) {
	s.logFailover(a.group, cause)
	s.current.close()
	s.current, s.group = a, a.group.Key
	a.readTimeout = s.readTimeout
	a.response.Body.SetStallPolicy(s.readTimeout)
}

// logFailover logs that the stream continues at another group.
func (s *stream) logFailover(dest cluster.Group, cause error) {
	s.g.stats.resumes.Inc()
	end := s.currentEnd()
	s.g.log.Info().Str("request", string(s.head.ID)).Str("from", string(s.current.group.Key.Name)).Str("to", string(dest.Key.Name)).
		Int64("after", end.lastID).Str("framing", string(end.framing)).Bool("no-events", end.noEvents).Int("attempts", end.attempts).Bool("begun", s.headSent).Dur("pass", s.current.passTime()).Dur("patience", s.current.stallTimeout()).
		Err(cause).Msg("stream-moved")
}

// engine returns the engine profile of the stream's service; it may be nil.
func (s *stream) engine() *models.EngineProfile {
	return s.g.node.View().Routing.Services[s.service].Engine
}

// mayRetry reports whether the request may be run once more.
func (s *stream) mayRetry() bool {
	return s.route.Idempotent() && !s.unresumable && s.attempts < s.route.MaxAttempts && s.maySend()
}

// maySend reports whether the request may be sent to one more instance.
func (s *stream) maySend() bool { return len(s.tried) < s.route.MaxAttempts+extraSends }

// forward sends an event to the caller.
func (s *stream) forward(event sse.Event) error {
	if !s.headSent {
		s.writeHead(s.current.response)
	}
	now := time.Now()
	if !s.lastEvent.IsZero() {
		s.maxPause = max(s.maxPause, now.Sub(s.lastEvent))
	}
	s.lastEvent, s.unresumable = now, !event.HasID
	if _, err := s.w.Write(event.Raw); err != nil {
		return err
	}
	if s.current.events.Pending() {
		return nil
	}
	return s.flush()
}

// forwardFailure forwards a failure response.
func (s *stream) forwardFailure(resp *h1.Response) error {
	body, err := s.readResponse(resp)
	if err != nil {
		return errors.Join(errMayHaveRun, err)
	}
	if err := s.checkPromise(resp.Status); err != nil {
		return err
	}
	if s.headSent {
		return fmt.Errorf("%w: status %d", errMayHaveRun, resp.Status)
	}
	s.writeHead(resp)
	_, err = s.w.Write(body)
	return err
}

// finishStream completes the response.
func (s *stream) finishStream() error {
	resp := s.current.response
	if s.unproven != nil {
		// A check of the end may have no response.
		resp = s.unproven.response
		if !s.unproven.judged {
			// A check has ended with a length or chunks.
			_ = s.completeEnd(endCheckConfirmed)
		}
	}
	s.g.stats.streamEnds[resp.Framing].Inc()
	s.observeBase()
	s.markSound()
	if !s.headSent {
		s.writeHead(resp)
	}
	return nil
}

// checkSequence returns an error for an event that does not follow the last one.
func (s *stream) checkSequence(event sse.Event) error {
	if !event.HasID {
		return nil
	}
	if s.hasLast && event.ID != s.lastID+1 {
		return fmt.Errorf("%w: %w: got event %d after %d", errMayHaveRun, errEventGap, event.ID, s.lastID)
	}
	s.lastID, s.hasLast = event.ID, true
	return nil
}
