package gateway

import (
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// hedgeStep is how often a run that has a hedge looks at it.
	hedgePollInterval = 8 * time.Millisecond
	// firstPart is the part of its aim within which the first event of a
	// request is waited for at a head of which nothing else is known.
	firstEventFraction = 0.75
	// fullPart is the part of a group's slots from which on a request may be
	// waiting there for a place: what is known of other daemons' requests is
	// up to a second old. An estimate: requests waited so at 0.95 of the slots and
	// more.
	fullFraction = 0.9
	// watchers is how many requests a group must have for those that it is
	// answering to tell that it stands still, sooner than one that waits for its
	// first event could. An estimate: groups had 8 to 14 when their streams told
	// within 0.25 s.
	minWatchers = 4
	// longWait is how often its aim a request waits for its first event at a
	// group that is watched. It is late by then, and may still be answered.
	// An estimate.
	watchedWaitFactor = 1.5
	// firstStep is how often a run that waits is looked at, givenUpStep how
	// often one for which nothing more can be done.
	stallPollInterval = 40 * time.Millisecond
	idlePollInterval  = 250 * time.Millisecond
)

// hedge is a second run that was begun because nothing came from the first.
// Whichever has the next event first goes on.
type hedge struct {
	*streamAttempt
	// ended yields nil once the run has its first event, or its error.
	firstEvent chan error
	// result holds what ended yielded, if over.
	result   error
	finished bool
}

// newHedge begins a second run in the background.
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

// done reports whether the run has its first event or failed.
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

// wait waits for the run's first event.
func (h *hedge) wait() error {
	if !h.finished {
		h.result, h.finished = <-h.firstEvent, true
	}
	return h.result
}

// abandon ends the run and waits until nothing of it is left.
func (h *hedge) cancelAndClose() {
	h.cancel()
	// The run is over either way; its error tells nothing new.
	_ = h.wait()
	h.close()
}

// dropHedge ends a hedge that the first run has outpaced.
func (s *stream) dropHedge() {
	if s.hedge == nil {
		return
	}
	s.hedge.cancelAndClose()
	s.hedge = nil
}

// besideHedge is patience for a run that has a hedge.
func (s *stream) hedgedReadTimeout() time.Duration {
	if !s.hedge.done() {
		return hedgePollInterval
	}
	if s.hedge.result == nil {
		// Ends this run; goOn changes over.
		return 0
	}
	s.noteFailure(s.hedge.result)
	s.hedge.close()
	s.hedge = nil
	return hedgePollInterval
}

// patience decides how much longer to wait for a run from which nothing came.
// A hedge is begun if the whole group seems to stand still.
func (s *stream) readTimeout(silence time.Duration) time.Duration {
	a := s.current
	if s.hedge != nil {
		return s.hedgedReadTimeout()
	}
	if s.g.hasRestarted(a.group.Head) {
		// Nothing comes from an earlier life; goOn looks for another group.
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
	if !suspect && !s.isStalled(a, stallTimeout) {
		return stallPollInterval
	}
	if !s.mayRetry() || s.standing().OnTrial() {
		// A request that is about to be found out to crash instances is not sent to two
		// at once.
		return idlePollInterval
	}
	dest, free := s.findUnlimitedGroup()
	if !free {
		// Permits are scarce, and the first run may still go on: they come second.
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

// restarted reports whether an instance is known to have started again since it was
// picked.
func (g *Gateway) hasRestarted(i models.UpstreamInstance) bool {
	now, there := g.node.View().All[i.ID]
	return there && i.LifeOf(now.Born) == models.LaterLife
}

// logHedge tells why a second run was begun.
func (s *stream) logHedge(dest cluster.Group, silence, stallTimeout time.Duration, suspect bool) {
	s.g.log.Info().Str("request", string(s.head.ID)).Str("from", string(s.current.group.Key.Name)).Str("to", string(dest.Key.Name)).
		Dur("silence", silence).Dur("longest", stallTimeout).Bool("suspect", suspect).
		Int("load", s.g.scheduler.totalLoad(s.g.node, dest.Head.ID).Requests).Msg("stream-hedged")
}

// isWatched reports whether a request that waits for its first event leaves it
// to others to find that the group stands still: it may be waiting for a place,
// or for the prompts before its own.
func (s *stream) isWatched(group cluster.Group, waited time.Duration) bool {
	engine := s.engine()
	if engine == nil {
		return false
	}
	load := s.g.scheduler.totalLoad(s.g.node, group.Head.ID)
	full := float64(load.Requests) >= fullFraction*float64(engine.Slots)
	return full || (load.Requests >= minWatchers && waited < time.Duration(watchedWaitFactor*float64(s.route.Aim)))
}

// standsStill reports whether so little has come from the run's group that a
// hedge is due. It tells the other daemons of a group that surely stands still.
func (s *stream) isStalled(a *streamAttempt, stallTimeout time.Duration) bool {
	now, head, awaitsFirst := time.Now(), a.group.Head.ID, a.lastEvent.IsZero()
	waited := now.Sub(a.sentAt)
	switch {
	case s.g.scheduler.silence(head, now) < stallTimeout:
		// The group moves; only this request waits.
		return false
	case awaitsFirst && waited < time.Duration(firstEventFraction*float64(s.route.Aim)):
		// Nothing has come yet, and may still be on its way.
		return false
	case awaitsFirst && s.isWatched(a.group, waited):
		// A second run would only be one prompt more to read elsewhere.
		return false
	case now.Before(s.g.stallReportsFrom), awaitsFirst && waited < s.route.Aim:
		// Too little is known to suspect the group; a hedge does no harm.
		return true
	default:
		s.g.node.ReportStalled(a.group.Key, head)
		return true
	}
}
