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
)

const (
	// firstPart is the part of its aim within which the first event of a
	// request is waited for at a head of which nothing else is known.
	firstPart = 0.75
	// firstStep is how often a run that waits is looked at, givenUpStep how
	// often one for which nothing more can be done.
	firstStep   = 40 * time.Millisecond
	givenUpStep = 250 * time.Millisecond
	// spareSends is how often a request may be sent beyond its attempts to
	// instances that turn out not to run it.
	spareSends = 3
)

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
	runs  int
	leg   *leg
	rival *rival
	flush func() error
}

func (e *exchange) stream(ctx context.Context) error {
	e.g.budget.request(e.began)
	e.addWork()
	s := &stream{exchange: e, ctx: ctx, flush: http.NewResponseController(e.w).Flush}
	if e.head.Resumed {
		s.last, s.begun = e.head.After, true
	}
	defer s.close()
	group, err := s.pick()
	if err != nil {
		return err
	}
	s.begin(group)
	return s.run()
}

// begin begins a run that takes the place of the former one.
func (s *stream) begin(group cluster.Group) {
	s.runs++
	s.leg = s.newLeg(group)
	s.leg.patience = s.patience
	s.group = group.Key
}

func (s *stream) close() {
	if s.rival != nil {
		s.rival.abandon()
	}
	if s.leg != nil {
		s.leg.close()
	}
}

// run passes events on until the stream ends.
func (s *stream) run() error {
	for {
		event, err := s.leg.next()
		if err == nil {
			err = s.check(event)
		}
		switch {
		case err == nil:
			s.dropRival()
			if err := s.pass(event); err != nil {
				return err
			}
		case errors.Is(err, io.EOF):
			return s.finishStream()
		case s.ctx.Err() != nil:
			return err
		default:
			if err := s.goOn(err); err != nil {
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
	if errors.Is(cause, errNotRun) {
		s.runs--
	}
	if s.rival != nil {
		r := s.rival
		s.rival = nil
		if err := r.wait(); err == nil {
			s.switchTo(r.leg, cause)
			return nil
		}
		if errors.Is(r.result, errNotRun) {
			s.runs--
		}
		r.close()
	}
	if errors.Is(cause, errFailure) && !s.mayRepeat() {
		return s.passFailure(s.leg.answer)
	}
	if !s.mayRepeat() && !(errors.Is(cause, errNotRun) && s.runs == 0 && s.maySend()) {
		return cause
	}
	group, err := s.pick()
	if err != nil {
		return errors.Join(cause, err)
	}
	if !s.spend() {
		return errors.Join(cause, errBudget)
	}
	s.logMove(group, cause)
	s.leg.close()
	s.begin(group)
	return nil
}

// switchTo has a rival's run take the place of the former one.
func (s *stream) switchTo(l *leg, cause error) {
	s.logMove(l.group, cause)
	s.leg.close()
	s.leg, s.group = l, l.group.Key
	l.patience = s.patience
	l.answer.Body.SetPatience(s.patience)
}

func (s *stream) logMove(to cluster.Group, cause error) {
	s.g.stats.resumes.Inc()
	s.g.log.Info().Str("request", string(s.head.ID)).Str("from", string(s.leg.group.Key.Name)).Str("to", string(to.Key.Name)).
		Int64("after", s.last).Bool("begun", s.answering).Dur("pass", s.leg.pass()).Dur("patience", s.leg.longest()).
		Err(cause).Msg("stream-moved")
}

// mayRepeat reports whether the request may be run once more.
func (s *stream) mayRepeat() bool {
	return s.route.Repeatable() && s.runs < s.route.Attempts && s.maySend()
}

func (s *stream) maySend() bool { return len(s.tried) < s.route.Attempts+spareSends }

// spend takes a repeat from the budget.
func (s *stream) spend() bool {
	return s.g.budget.repeat(time.Now(), s.g.node.View().Daemons)
}

// patience decides how much longer to wait for a run from which nothing came.
// A rival is begun if the whole group seems to stand still.
func (s *stream) patience(silence time.Duration) time.Duration {
	l := s.leg
	if s.rival != nil {
		return s.besideRival()
	}
	if l.moved.IsZero() && silence == 0 {
		return firstStep
	}
	longest := l.longest()
	if silence < longest {
		return longest - silence
	}
	now, head := time.Now(), l.group.Head.ID
	suspect := s.g.node.View().Suspects[head]
	switch {
	case suspect:
	case s.g.balance.still(head, now) < longest:
		// The group moves; only this request waits.
		return firstStep
	case l.moved.IsZero() && now.Sub(l.sent) < time.Duration(firstPart*float64(s.route.Aim)):
		// Nothing has come yet, and may still be on its way.
		return firstStep
	case l.moved.IsZero() && now.Sub(l.sent) < s.route.Aim:
		// Too little is known to suspect the group; a rival does no harm.
	default:
		s.g.node.ReportStalled(l.group.Key, head)
	}
	if !s.mayRepeat() {
		return givenUpStep
	}
	group, _, free := s.look()
	if !free || !s.spend() {
		return firstStep
	}
	s.runs++
	s.rival = s.newRival(group)
	return rivalStep
}

// pass passes an event on.
func (s *stream) pass(event sse.Event) error {
	if !s.answering {
		s.writeHead(s.leg.answer.Status, s.leg.answer.Header)
	}
	now := time.Now()
	if !s.moved.IsZero() {
		s.gap = max(s.gap, now.Sub(s.moved))
	}
	s.moved = now
	if _, err := s.w.Write(event.Raw); err != nil {
		return err
	}
	if s.leg.events.Pending() {
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
		s.writeHead(s.leg.answer.Status, s.leg.answer.Header)
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
