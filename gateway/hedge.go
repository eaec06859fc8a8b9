package gateway

import (
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// hedgePollInterval is how often an attempt checks its hedge.
	hedgePollInterval = 8 * time.Millisecond
	// firstEventFraction is the part of the latency target within which the first event is waited
	// for if it is not predicted.
	firstEventFraction = 0.75
	// overdueSpreads is by how many standard deviations a first event is later than predicted before
	// it is overdue: 1 in 40 is by chance.
	overdueSpreads = 2
	// fullFraction is the part of a group's slots above which a request may be queued there: the
	// loads that other daemons report are up to a second old, and requests are queued from 0.95 of
	// the slots on.
	fullFraction = 0.9
	// minWatchers is how many requests a group must have for them to detect a stall sooner than a
	// request that waits for its first event could. The streams of groups with 8 to 14 requests
	// detect a stall within 0.25 s.
	minWatchers = 4
	// watchedWaitFactor is how many times its latency target a request waits for its first event at
	// a watched group. It is late by then, and may still be answered.
	watchedWaitFactor = 1.5
	// stallPollInterval is how often a silent attempt is checked, idlePollInterval how often one
	// that can be neither hedged nor moved.
	stallPollInterval = 40 * time.Millisecond
	idlePollInterval  = 250 * time.Millisecond
)

// hedge is a second attempt of a stream, started because the first one seems to be stalled. The
// attempt that has the next event first continues the stream.
type hedge struct {
	*streamAttempt
	// firstEvent yields nil once the attempt has its first event, or else its error.
	firstEvent chan error
	// result holds what firstEvent yielded, if finished.
	result   error
	finished bool
}

// newHedge starts a second attempt in the background.
func (s *stream) newHedge(dest target) *hedge {
	h := &hedge{streamAttempt: s.newAttempt(dest), firstEvent: make(chan error, 1)}
	h.readTimeout = func(time.Duration) time.Duration { return hedgePollInterval }
	go func() {
		event, err := h.next()
		if err == nil {
			h.buffered = &event
		}
		h.firstEvent <- err
	}()
	return h
}

// done reports whether the attempt has its first event or failed.
func (h *hedge) done() bool {
	if h.finished {
		return true
	}
	select {
	case h.result = <-h.firstEvent:
		h.finished = true
	default:
	}
	return h.finished
}

// wait waits for the attempt's first event.
func (h *hedge) wait() error {
	if !h.finished {
		h.result, h.finished = <-h.firstEvent, true
	}
	return h.result
}

// cancelAndClose cancels the attempt, waits for its goroutine and closes it.
func (h *hedge) cancelAndClose() {
	h.cancel()
	// The error is expected after the cancellation.
	_ = h.wait()
	h.close()
}

// dropHedge ends the hedge because the first attempt has the next event.
func (s *stream) dropHedge() {
	if s.hedge == nil {
		return
	}
	s.hedge.cancelAndClose()
	s.spare, s.hedge = &s.hedge.group, nil
}

// hedgedReadTimeout is readTimeout for an attempt that has a hedge.
func (s *stream) hedgedReadTimeout() time.Duration {
	if !s.hedge.done() {
		return hedgePollInterval
	}
	if s.hedge.result == nil || s.isComplete(s.hedge, s.hedge.result) {
		// Ends this attempt; failOver switches to the hedge.
		return 0
	}
	s.noteFailure(s.hedge.result)
	s.hedge.close()
	s.hedge = nil
	return hedgePollInterval
}

// readTimeout decides how much longer to wait for a silent attempt. It starts a hedge if the whole
// group seems to be stalled.
func (s *stream) readTimeout(silence time.Duration) time.Duration {
	a := s.current
	if s.hedge != nil {
		return s.hedgedReadTimeout()
	}
	if a.checksEnd {
		return a.endCheckTimeout(silence)
	}
	if s.g.hasRestarted(a.group.Head) {
		// The instance lost the request when it restarted; failOver picks another group.
		return 0
	}
	if a.lastEvent.IsZero() && silence == 0 {
		return stallPollInterval
	}
	stallTimeout := a.stallTimeout()
	if silence < stallTimeout {
		return stallTimeout - silence
	}
	suspect := s.g.node.View().Suspects[a.group.Head.ID]
	stalled := suspect || s.isStalled(a, stallTimeout)
	if !stalled && !s.isOverdue(a, time.Now()) {
		return stallPollInterval
	}
	if stalled {
		s.g.node.CheckPath(s.ctx, a.group.Head.Addr)
	}
	if !s.mayRetry() || s.quarantineStatus().NeedsIsolation() {
		// A request suspected of crashing instances is not sent to two at once.
		return idlePollInterval
	}
	if !s.headSent && s.checkTimeLeft(0) != nil {
		return idlePollInterval
	}
	dest, free := s.findUnlimitedGroup()
	if !stalled && !(free && s.wouldBeInTime(dest.group)) {
		// The first attempt may still answer as soon as any other group.
		return stallPollInterval
	}
	if !free && s.hasRetry() {
		// Permits are scarce, and the first attempt may still continue: groups that need one come
		// second.
		dest, _, free = s.findGroup()
	}
	if !free || !s.allowRetry(false) {
		return stallPollInterval
	}
	s.attempts++
	s.hedge = s.newHedge(dest)
	s.logHedge(dest.group, silence, stallTimeout, suspect)
	return hedgePollInterval
}

// hasRestarted reports whether an instance is known to have restarted since it was picked.
func (g *Gateway) hasRestarted(i models.UpstreamInstance) bool {
	now, there := g.node.View().Instances[i.ID]
	return there && i.CompareIncarnation(now.StartedAt) == models.LaterIncarnation
}

// logHedge logs why a hedge was started.
func (s *stream) logHedge(dest cluster.Group, silence, stallTimeout time.Duration, suspect bool) {
	s.g.log.Info().Str("request", string(s.head.ID)).Str("from", string(s.current.group.Key.Name)).Str("to", string(dest.Key.Name)).
		Dur("silence", silence).Dur("longest", stallTimeout).Bool("suspect", suspect).
		Int("load", s.g.scheduler.totalLoad(s.g.node, dest.Head.ID).Requests).Msg("stream-hedged")
}

// isWatched reports whether a request that waits for its first event leaves it to the group's other
// requests to detect a stall: it may itself be queued, or wait for the prefill of earlier prompts.
func (s *stream) isWatched(group cluster.Group, waited time.Duration) bool {
	engine := s.engine()
	if engine == nil {
		return false
	}
	load := s.g.scheduler.totalLoad(s.g.node, group.Head.ID)
	full := float64(load.Requests) >= fullFraction*float64(engine.Slots)
	return full || (load.Requests >= minWatchers && waited < time.Duration(watchedWaitFactor*float64(s.route.LatencyTarget)))
}

// firstEventTimeout returns how long the attempt's first event is waited for: until it is overdue, if
// it was predicted, but not so long that it is late anyway.
func (s *stream) firstEventTimeout(a *streamAttempt) time.Duration {
	if !a.predicted.known() {
		return time.Duration(firstEventFraction * float64(s.route.LatencyTarget))
	}
	return min(a.predicted.overdueAfter(), time.Duration(watchedWaitFactor*float64(s.route.LatencyTarget)))
}

// isOverdue reports whether the attempt's first event is later than predicted by more than first
// events vary, but not late yet.
func (s *stream) isOverdue(a *streamAttempt, now time.Time) bool {
	return a.lastEvent.IsZero() && !s.headSent && a.predicted.known() &&
		now.Sub(a.sentAt) >= a.predicted.overdueAfter() && now.Before(s.started.Add(s.route.LatencyTarget))
}

// wouldBeInTime reports whether the stream's first event is predicted to be in time at a group.
func (s *stream) wouldBeInTime(group cluster.Group) bool {
	first, known := s.g.scheduler.predictFirstEvent(s.g.node, s.engine(), group, s.head.Model)
	return known && first <= s.criteria().timeLeft
}

// isStalled reports whether the attempt's group has been silent for long enough to start a hedge.
// It reports the group to the other daemons if it is surely stalled.
func (s *stream) isStalled(a *streamAttempt, stallTimeout time.Duration) bool {
	now, head, awaitsFirst := time.Now(), a.group.Head.ID, a.lastEvent.IsZero()
	waited := now.Sub(a.sentAt)
	switch {
	case s.g.scheduler.silence(head, now) < stallTimeout:
		// The group makes progress; only this request waits.
		return false
	case awaitsFirst && waited < s.firstEventTimeout(a):
		// The first event may still be on its way.
		return false
	case awaitsFirst && s.isWatched(a.group, waited):
		// A hedge would only add a prompt to prefill elsewhere.
		return false
	case now.Before(s.g.stallReportsFrom), awaitsFirst && waited < s.route.LatencyTarget:
		// Too little is known to report the group; a hedge does no harm.
		return true
	default:
		s.g.node.ReportStalled(a.group.Key, head)
		return true
	}
}
