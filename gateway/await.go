package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/lupinkeel/lupinkeel/admission"
)

const (
	// queueFraction is the part of its latency target for which a request waits that no queue
	// decides on: a rejection must be early enough for the caller to succeed elsewhere.
	queueFraction = 0.22
	// loggedWaitFraction is the part of its latency target from which on a wait is logged.
	loggedWaitFraction = 0.125
)

// errRejected: the queue of the request's model rejected it, and it was not sent.
var errRejected = errors.New("the request was not admitted")

// awaitGroup waits for a group with capacity.
func (s *stream) awaitGroup() (target, error) {
	if !s.headSent {
		if err := s.checkTimeLeft(0); err != nil {
			return target{}, err
		}
	}
	if s.engine() == nil || s.route.LatencyTarget <= 0 || s.headSent || s.mayHaveRun || len(s.tried) > 0 || s.quarantineStatus().NeedsIsolation() {
		return s.awaitAnyGroup()
	}
	gq, w, joined := s.g.queues.join(s)
	if !joined {
		return s.awaitAnyGroup()
	}
	verdict, err := s.awaitVerdict(gq, w)
	if err != nil {
		return target{}, err
	}
	if v, rejected := verdict.(admission.Reject); rejected {
		return target{}, s.rejection(gq, v)
	}
	s.admittedBy = gq
	dest, _, free := s.findGroup()
	if free {
		return dest, nil
	}
	// Loads have changed since the decision, or the group's head has a rate limit and grants no
	// permit.
	s.settleAdmission()
	return s.awaitAnyGroup()
}

// awaitVerdict waits until the queue admits or rejects the stream.
func (s *stream) awaitVerdict(gq *groupQueue, w *queuedStream) (admission.Verdict, error) {
	select {
	case v := <-w.verdict:
		// The usual case: the request was decided on its arrival.
		s.countVerdict(v, 0)
		return v, nil
	default:
	}
	began := time.Now()
	s.g.stats.verdicts.count("wait", "")
	for {
		select {
		case <-s.ctx.Done():
			s.g.queues.leave(gq, w)
			return nil, errors.Join(errNoInstance, s.ctx.Err())
		case v := <-w.verdict:
			s.countVerdict(v, time.Since(began))
			return v, nil
		case <-w.next.C:
			s.g.queues.redecide(gq)
		}
	}
}

// countVerdict counts the end of a stream's wait, and logs long waits.
func (s *stream) countVerdict(v admission.Verdict, waited time.Duration) {
	if v, rejected := v.(admission.Reject); rejected {
		s.g.stats.verdicts.count("reject", reasonLabel(v.Reason))
		return
	}
	s.g.stats.verdicts.count("run", "")
	s.g.queues.queueWait(s.head.Model).Update(waited.Seconds())
	if waited > time.Duration(loggedWaitFraction*float64(s.route.LatencyTarget)) {
		s.g.log.Info().Str("request", string(s.head.ID)).Str("model", string(s.head.Model)).Dur("aim", s.route.LatencyTarget).
			Int("rank", rank(s.owner.Priority, s.route.Priority)).Dur("waited", waited).Msg("request-waited")
	}
}

// reasonLabel names the reason of a rejection in metrics.
func reasonLabel(reason error) string {
	switch {
	case errors.Is(reason, admission.ErrDeadline):
		return "deadline"
	case errors.Is(reason, admission.ErrLate):
		return "late"
	default:
		return "full"
	}
}

// rejection returns the error for a request that its queue rejected, and logs it.
func (s *stream) rejection(gq *groupQueue, v admission.Reject) error {
	c := s.g.queues.capacityOf(gq)
	if c.groups == 0 {
		if next, opens := s.g.scheduler.nextAvailability(s.g.node, s.heads(), s.tried); opens {
			s.available = next
			return next.err
		}
		return errNoInstance
	}
	s.rejected, s.pickedLoad = &v, c.load
	s.g.log.Info().Str("request", string(s.head.ID)).Str("model", string(s.head.Model)).Dur("aim", s.route.LatencyTarget).
		Str("reason", reasonLabel(v.Reason)).Int("rank", rank(s.owner.Priority, s.route.Priority)).
		Dur("waited", time.Since(s.started)).Dur("left", time.Until(s.deadline)).Dur("predicted", c.FirstEvent).Dur("age", c.LoadsAge).
		Int("slots", c.Slots).Int("slots-in-time", c.SlotsInTime).Dur("retry-after", v.RetryAfter).Msg("request-rejected")
	if errors.Is(v.Reason, admission.ErrFull) {
		return fmt.Errorf("%w: %w", errAllFull, v.Reason)
	}
	return fmt.Errorf("%w: %w", errRejected, v.Reason)
}

// settleAdmission ends the stream's admission by its queue: its load is counted, or it was not
// sent.
func (s *stream) settleAdmission() {
	if s.admittedBy != nil {
		s.g.queues.settle(s.admittedBy)
		s.admittedBy = nil
	}
}

// awaitAnyGroup waits for a group with capacity for a stream that no queue decides on: no group may
// run it now, its route has no latency target, it was sent before, or it must be isolated. A stream whose response has begun takes
// any group, and waits as long as its caller tolerates a pause. It does not wait if no permit and no
// end of a backoff comes in time.
func (s *stream) awaitAnyGroup() (target, error) {
	until := s.started.Add(time.Duration(queueFraction * float64(s.route.LatencyTarget)))
	if s.headSent {
		until = s.lastEvent.Add(s.route.EventGapTarget)
	}
	changes := s.g.queues.watch()
	defer s.g.queues.unwatch(changes)
	for {
		dest, found, free := s.findGroup()
		if free || (found && s.headSent) {
			return dest, nil
		}
		next, opens := availability{}, false
		if !found {
			next, opens = s.g.scheduler.nextAvailability(s.g.node, s.heads(), s.tried)
		}
		now := time.Now()
		switch {
		case opens && next.at.After(until):
			s.available = next
			return dest, next.err
		case now.After(until) && found:
			return dest, errAllFull
		case now.After(until):
			return dest, errNoInstance
		}
		wake := until
		if opens {
			wake = next.at
		}
		select {
		case <-s.ctx.Done():
			return dest, errors.Join(errNoInstance, s.ctx.Err())
		case <-changes.changed:
		case <-time.After(time.Until(wake) + time.Millisecond):
		}
	}
}
