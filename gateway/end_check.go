package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/h1"
	"github.com/lupinkeel/lupinkeel/lib/sse"
	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/quarantine"
)

const (
	// maxEndChecks is how many answers may be asked for to find out whether a stream ends after its last event,
	// and maxEndCheckRejections how many groups may reject that.
	maxEndChecks          = 3
	maxEndCheckRejections = 4
	// Of the prompt ends of trusted instances, one in endSample is checked all the same.
	endSample = 8
	// endCheckWait is how long a check is waited for. Callers give up a stream that pauses for 2 s.
	endCheckWait = 1200 * time.Millisecond
	// endCheckPatience is how long a group that is asked may send nothing, promptEndPatience the same if the end
	// was a prompt one, which is a proof by itself.
	endCheckPatience  = 2 * time.Second
	promptEndPatience = 800 * time.Millisecond
	// minPromptEnd and maxPromptEnd bound how long after the last event a connection is closed that is
	// closed because of it: half of the shortest pause between events, of which minPauses must be known. The
	// kernel tells that time in its own ticks of 1 to 10 ms.
	minPromptEnd = 4 * time.Millisecond
	maxPromptEnd = 20 * time.Millisecond
	minPauses    = 4
	// crashEvidenceDelay is after which time the probes of an instance that has closed a connection have shown whether
	// it was killed; see probeDelays.
	crashEvidenceDelay = 300 * time.Millisecond
)

// unprovenEnd is the end of a stream that nothing but a closed connection marks.
type unprovenEnd struct {
	// group closed the connection of response.
	group    cluster.Group
	response *h1.Response
	// prompt is set if it was closed with the last event.
	prompt bool
	// checks counts the answers that were asked for, confirmed those of them that ended there too, and
	// rejections the groups that did not run the request.
	checks, confirmed, rejections int
	// rejecting are the heads of the latter, confirming is the group that confirmed the end last.
	rejecting  []models.InstanceID
	confirming *cluster.Group
	// judged is set once the end was counted in the metrics.
	judged bool
}

// noteUnframedEnd records that a group ended the stream without a proof, or confirmed such an end. An instance that
// does not go on running confirms nothing: a request may crash each instance after the same event.
func (s *stream) noteUnframedEnd() {
	a := s.current
	if !a.checksEnd {
		s.unproven = &unprovenEnd{group: a.group, response: a.response, prompt: a.isPromptEnd()}
		a.close()
		return
	}
	a.close()
	if s.g.crashes.survives(s.ctx, a.group.Head) {
		s.unproven.confirmed++
		s.unproven.confirming = &a.group
	}
}

// checkEnd finds out whether the stream is complete, after an unproven end or a check that ended with the cause. It
// returns errStreamEnd if the stream is complete, nil if a check was started, or else the cause.
func (s *stream) checkEnd(cause error) error {
	u, trust := s.unproven, s.g.endRecords.trust(s.service, time.Now())
	if s.current.checksEnd && errors.Is(cause, errNotRun) {
		u.checks--
		u.rejections++
		u.rejecting = append(u.rejecting, s.current.group.Head.ID)
	}
	if u.confirmed >= trust.neededConfirmations(u.prompt) {
		return s.completeEnd(endCheckConfirmed)
	}
	// A leaving instance may close all its connections at once.
	if trust == endsTrusted && u.checks == 0 && s.g.crashes.runs(u.group.Head) && rand.N(endSample) > 0 && s.isSurvivedPromptEnd() {
		return s.completeEnd(endCheckPrompt)
	}
	err := s.checkQuarantine()
	asks := err == nil && !s.unresumable
	until := time.Now().Add(endCheckWait)
	stops := s.g.stop.bound(until).Before(until)
	if u.prompt && (stops || errors.Is(cause, h1.ErrStalled)) {
		// There may be no time for another check.
		asks = false
	}
	for {
		if asks {
			if err = s.tryEndCheck(); err == nil {
				return nil
			}
		}
		if !s.unresumable && s.isSurvivedPromptEnd() {
			return s.completeEnd(endCheckPrompt)
		}
		last := !asks || errors.Is(err, errUnframedEnd) || time.Now().After(until)
		impossible := errors.Is(err, errRetryBudget) || errors.Is(err, errNoInstance)
		if impossible && (last || stops) && s.isAssumedEnd(trust) {
			return s.completeEnd(endCheckAssumed)
		}
		if last {
			s.judgeEnd(endCheckBroken)
			return errors.Join(cause, err)
		}
		select {
		case <-s.ctx.Done():
			s.judgeEnd(endCheckBroken)
			return errors.Join(cause, s.ctx.Err())
		case <-time.After(stallPollInterval):
		}
	}
}

// judgeEnd counts how the check of an unproven end ended.
func (s *stream) judgeEnd(result endCheckResult) {
	s.unproven.judged = true
	s.g.stats.endChecks[result].Inc()
}

// completeEnd ends the stream as a complete one.
func (s *stream) completeEnd(result endCheckResult) error {
	if result == endCheckConfirmed {
		s.g.endRecords.noteConfirmed(s.service)
	}
	s.judgeEnd(result)
	// An instance that crashes later did not do so because of this request.
	s.g.crashes.acquit(append([]quarantine.Digest{s.digest()}, s.parts()...)...)
	return errStreamEnd
}

// isSurvivedPromptEnd reports whether the connection was closed with the last event by an instance that goes on
// running. It does not count after an instance of the service has closed a connection so before the end.
func (s *stream) isSurvivedPromptEnd() bool {
	u := s.unproven
	if !u.prompt || s.g.endRecords.arePromptDisputed(s.service, time.Now()) {
		return false
	}
	// The instance is probed once.
	u.prompt = s.g.crashes.survives(s.ctx, u.group.Head)
	return u.prompt
}

// isAssumedEnd reports whether an end that can't be checked any further is taken for that of a complete stream: another
// response ended there, or the service's instances are trusted and the one that ended it goes on running.
func (s *stream) isAssumedEnd(trust endTrust) bool {
	u := s.unproven
	switch {
	case s.unresumable, trust == endsDisputed:
		return false
	case u.confirmed > 0:
		return true
	default:
		return trust == endsTrusted && s.g.crashes.runs(u.group.Head) && s.g.crashes.survives(s.ctx, u.group.Head)
	}
}

// tryEndCheck asks a group for the last event once more, and what follows it. It returns errUnframedEnd if enough
// were asked.
func (s *stream) tryEndCheck() error {
	u, now, daemons := s.unproven, time.Now(), s.g.node.View().Daemons
	if u.checks == maxEndChecks || u.rejections == maxEndCheckRejections {
		return errUnframedEnd
	}
	if !s.g.budget.mayCheck(now, daemons, u.prompt) {
		return errRetryBudget
	}
	dest, found := s.endCheckTarget()
	if !found {
		return errNoInstance
	}
	if !s.g.budget.allowCheck(now, daemons, u.prompt) {
		return errRetryBudget
	}
	u.checks++
	s.startEndCheck(dest)
	return nil
}

// isPromptEnd reports whether the connection was closed with the last event rather than when another one was
// due, as a connection is that is closed for another reason.
func (a *streamAttempt) isPromptEnd() bool {
	if a.lastEvent.IsZero() {
		return false
	}
	delay, err := a.response.Body.EndDelay()
	if err != nil {
		// This daemon's own clock would not do: after a pause it reads the event and the end at the same time.
		return false
	}
	if a.pauses < minPauses {
		return delay <= minPromptEnd
	}
	return delay <= max(minPromptEnd, min(maxPromptEnd, a.shortestPause/2))
}

// endCheckTarget returns the group to ask whether the stream is complete: one that was not tried, if the
// route allows another attempt and the group has capacity, or else the one that ended the stream, which
// takes no further instance and has had room until now.
func (s *stream) endCheckTarget() (target, bool) {
	same, there := s.endingGroup()
	if s.mayRetry() && (!there || s.hasFreeGroup()) {
		if other, found, free := s.findGroup(); found && (free || !there) {
			return other, true
		}
	}
	return target{group: same}, there
}

// hasFreeGroup reports whether the group that would be picked has capacity. Unlike findGroup it takes no permit.
func (s *stream) hasFreeGroup() bool {
	engine := s.engine()
	if engine == nil {
		return false
	}
	_, load, found := s.pickFreeGroup(engine)
	return found && s.g.scheduler.policy.HasCapacity(engine, load)
}

// endingGroup returns the group that ended the stream, or the one that confirmed its end, if it may be asked.
func (s *stream) endingGroup() (cluster.Group, bool) {
	u := s.unproven
	asked := []cluster.Group{u.group}
	if u.confirming != nil {
		asked = append(asked, *u.confirming)
	}
	for _, group := range asked {
		if same, there := s.currentGroup(group); there && !s.g.needsPermit(same.Head) && !slices.Contains(u.rejecting, same.Head.ID) {
			return same, true
		}
	}
	return cluster.Group{}, false
}

// currentGroup returns a group as it is now, if it still takes requests.
func (s *stream) currentGroup(group cluster.Group) (cluster.Group, bool) {
	view := s.g.node.View()
	head, known := view.Instances[group.Head.ID]
	if !known || head.Draining || head.CompareIncarnation(group.Head.StartedAt) != models.SameIncarnation {
		return group, false
	}
	for _, g := range view.Groups[s.servedModel()] {
		if g.Key == group.Key && g.Head.ID == group.Head.ID {
			return g, s.g.node.Breakers().Check(g.Head) == nil
		}
	}
	return group, false
}

// startEndCheck asks a group for the last event that the caller has, and what follows it.
func (s *stream) startEndCheck(dest target) {
	end := s.currentEnd()
	s.g.log.Info().Str("request", string(s.head.ID)).Str("from", string(s.current.group.Key.Name)).Str("to", string(dest.group.Key.Name)).
		EmbedObject(end).Msg("stream-end-unproven")
	s.current.close()
	s.startAttempt(dest)
	a := s.current
	a.checksEnd = true
	// A stream may begin with event 1.
	a.resume, a.resumed = s.lastID-1, s.lastID > 1
}

// isRepeated notes the event that a check of the stream's end is to repeat. It reports whether the caller has
// the event already.
func (s *stream) isRepeated(event sse.Event) bool {
	a := s.current
	switch {
	case !a.checksEnd:
		return false
	case !event.HasID:
		// It comes before the event that is repeated.
		return !a.repeated
	case event.ID > s.lastID:
		return false
	}
	a.repeated = event.ID == s.lastID
	return true
}

// noteContinuation records that the stream continues after an end that a group has claimed.
func (s *stream) noteContinuation() {
	u := s.unproven
	if u == nil {
		return
	}
	s.g.noteEarlyEnd(s.ctx, s.service, u.group.Head, u.prompt)
	s.judgeEnd(endCheckContinued)
	s.unproven, s.current.checksEnd, s.current.repeated = nil, false, false
}

// noteEarlyEnd records that an instance has closed the connection of a stream before its end. If it turns out to have
// been killed, that says nothing of other ends.
func (g *Gateway) noteEarlyEnd(ctx context.Context, service models.ServiceName, i models.UpstreamInstance, prompt bool) {
	if !g.crashes.runs(i) {
		return
	}
	g.endRecords.suspectEarly(service, prompt)
	task.Start(context.WithoutCancel(ctx), "early-end", func(context.Context) error {
		time.Sleep(crashEvidenceDelay)
		g.endRecords.settleEarly(service, time.Now(), prompt, g.crashes.runs(i))
		return nil
	})
}

// endCheckTimeout decides how much longer to wait for a silent check of the stream's end.
func (a *streamAttempt) endCheckTimeout(silence time.Duration) time.Duration {
	patience := endCheckPatience
	if u := a.s.unproven; u != nil && u.prompt {
		patience = promptEndPatience
	}
	if a.s.g.hasRestarted(a.group.Head) || silence >= patience {
		return 0
	}
	return min(idlePollInterval, patience-silence)
}

// endCheckResult is how the check of an unproven end of a stream ended.
type endCheckResult string

const (
	// endCheckConfirmed: another response ended after the same event.
	endCheckConfirmed endCheckResult = "confirmed"
	// endCheckContinued: the stream went on.
	endCheckContinued endCheckResult = "continued"
	// endCheckPrompt: the connection was closed with the last event, and the instance went on running.
	endCheckPrompt endCheckResult = "prompt"
	// endCheckAssumed: no further check was possible; see stream.isAssumedEnd.
	endCheckAssumed endCheckResult = "assumed"
	// endCheckBroken: the stream was broken off.
	endCheckBroken endCheckResult = "broken"
)

var endCheckResults = []endCheckResult{endCheckConfirmed, endCheckContinued, endCheckPrompt, endCheckAssumed, endCheckBroken}
