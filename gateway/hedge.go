package gateway

import (
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// hedgeStep is how often a run that has a hedge looks at it.
	hedgeStep = 8 * time.Millisecond
	// firstPart is the part of its aim within which the first event of a
	// request is waited for at a head of which nothing else is known.
	firstPart = 0.75
	// fullPart is the part of a group's slots from which on a request may be
	// waiting there for a place: what is known of other daemons' requests is
	// up to a second old. An estimate: requests waited so at 0.95 of the slots and
	// more.
	fullPart = 0.9
	// watchers is how many requests a group must have for those that it is
	// answering to tell that it stands still, sooner than one that waits for its
	// first event could. An estimate: groups had 8 to 14 when their streams told
	// within 0.25 s.
	watchers = 4
	// longWait is how often its aim a request waits for its first event at a
	// group that is watched. It is late by then, and may still be answered.
	// An estimate.
	longWait = 1.5
	// firstStep is how often a run that waits is looked at, givenUpStep how
	// often one for which nothing more can be done.
	firstStep   = 40 * time.Millisecond
	givenUpStep = 250 * time.Millisecond
)

// hedge is a second run that was begun because nothing came from the first.
// Whichever has the next event first goes on.
type hedge struct {
	*run
	// ended yields nil once the run has its first event, or its error.
	ended chan error
	// result holds what ended yielded, if over.
	result error
	over   bool
}

// newHedge begins a second run in the background.
func (s *stream) newHedge(to placed) *hedge {
	h := &hedge{run: s.newRun(to), ended: make(chan error, 1)}
	h.patience = func(time.Duration) time.Duration { return hedgeStep }
	go func() {
		event, err := h.next()
		if err == nil {
			h.ahead = &event
		}
		h.ended <- err
	}()
	return h
}

// done reports whether the run has its first event or failed.
func (h *hedge) done() bool {
	if h.over {
		return true
	}
	select {
	case h.result = <-h.ended:
		h.over = true
	default:
	}
	return h.over
}

// wait waits for the run's first event.
func (h *hedge) wait() error {
	if !h.over {
		h.result, h.over = <-h.ended, true
	}
	return h.result
}

// abandon ends the run and waits until nothing of it is left.
func (h *hedge) abandon() {
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
	s.hedge.abandon()
	s.hedge = nil
}

// besideHedge is patience for a run that has a hedge.
func (s *stream) besideHedge() time.Duration {
	if !s.hedge.done() {
		return hedgeStep
	}
	if s.hedge.result == nil {
		// Ends this run; goOn changes over.
		return 0
	}
	s.noteEnd(s.hedge.result)
	s.hedge.close()
	s.hedge = nil
	return hedgeStep
}

// patience decides how much longer to wait for a run from which nothing came.
// A hedge is begun if the whole group seems to stand still.
func (s *stream) patience(silence time.Duration) time.Duration {
	r := s.current
	if s.hedge != nil {
		return s.besideHedge()
	}
	if s.g.restarted(r.group.Head) {
		// Nothing comes from an earlier life; goOn looks for another group.
		return 0
	}
	if r.moved.IsZero() && silence == 0 {
		return firstStep
	}
	longest := r.longest()
	if silence < longest {
		return longest - silence
	}
	suspect := s.g.node.View().Suspects[r.group.Head.ID]
	if !suspect && !s.standsStill(r, longest) {
		return firstStep
	}
	if !s.mayRepeat() || s.standing().OnTrial() {
		// A request that is about to be found out to crash instances is not sent to two
		// at once.
		return givenUpStep
	}
	to, free := s.lookUnlimited()
	if !free {
		// Permits are scarce, and the first run may still go on: they come second.
		to, _, free = s.look()
	}
	if !free || !s.spend(false) {
		return firstStep
	}
	s.runs++
	s.hedge = s.newHedge(to)
	s.logHedge(to.group, silence, longest, suspect)
	return hedgeStep
}

// restarted reports whether an instance is known to have started again since it was
// picked.
func (g *Gateway) restarted(i models.UpstreamInstance) bool {
	now, there := g.node.View().All[i.ID]
	return there && i.LifeOf(now.Born) == models.LaterLife
}

// logHedge tells why a second run was begun.
func (s *stream) logHedge(to cluster.Group, silence, longest time.Duration, suspect bool) {
	s.g.log.Info().Str("request", string(s.head.ID)).Str("from", string(s.current.group.Key.Name)).Str("to", string(to.Key.Name)).
		Dur("silence", silence).Dur("longest", longest).Bool("suspect", suspect).
		Int("load", s.g.balance.loadNow(s.g.node, to.Head.ID).Requests).Msg("stream-hedged")
}

// isWatched reports whether a request that waits for its first event leaves it
// to others to find that the group stands still: it may be waiting for a place,
// or for the prompts before its own.
func (s *stream) isWatched(group cluster.Group, waited time.Duration) bool {
	engine := s.engine()
	if engine == nil {
		return false
	}
	load := s.g.balance.loadNow(s.g.node, group.Head.ID)
	full := float64(load.Requests) >= fullPart*float64(engine.Slots)
	return full || (load.Requests >= watchers && waited < time.Duration(longWait*float64(s.route.Aim)))
}

// standsStill reports whether so little has come from the run's group that a
// hedge is due. It tells the other daemons of a group that surely stands still.
func (s *stream) standsStill(r *run, longest time.Duration) bool {
	now, head, unbegun := time.Now(), r.group.Head.ID, r.moved.IsZero()
	waited := now.Sub(r.sent)
	switch {
	case s.g.balance.still(head, now) < longest:
		// The group moves; only this request waits.
		return false
	case unbegun && waited < time.Duration(firstPart*float64(s.route.Aim)):
		// Nothing has come yet, and may still be on its way.
		return false
	case unbegun && s.isWatched(r.group, waited):
		// A second run would only be one prompt more to read elsewhere.
		return false
	case now.Before(s.g.settled), unbegun && waited < s.route.Aim:
		// Too little is known to suspect the group; a hedge does no harm.
		return true
	default:
		s.g.node.ReportStalled(r.group.Key, head)
		return true
	}
}
