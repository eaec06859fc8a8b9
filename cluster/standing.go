package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/membership"
)

const (
	// candidates is how many daemons may ask the store for the planner's lease:
	// enough that some are left after any loss, and few against the store's price.
	candidates = 9
	// strongerThan is how many daemons with more processor are enough to plan in
	// place of those with less.
	strongerThan = 3
	// strongSilence is for how long no planner must be heard until the first in
	// standing asks for the lease, weakSilence until those do which have less
	// processor than others: one of those that plans and hears of daemons with more
	// gives up again, and each change costs half a second without a planner. The
	// first is feedFresh, within which three or four news come; the second is two
	// leases and some more.
	strongSilence = feedFresh
	weakSilence   = 2500 * time.Millisecond
	// askStep is how much longer each of the others waits than the one before it in
	// standing: the store deals the lease anew whenever somebody asks for it beside
	// its holder. The lease is asked for within askPause, and some 30 ms later all
	// have heard of the new planner.
	askStep = 200 * time.Millisecond
	// askPause is how often a daemon that has no part in the lease looks whether it
	// should ask.
	askPause = 50 * time.Millisecond
	// plannerWord is how long a daemon that starts waits for word of the
	// planner if others tell of one: links to a daemon that was away are tried
	// again within mostRedial.
	plannerWord = mostRedial + 100*time.Millisecond
	// allHeard is when a daemon that starts has heard of all others, and so
	// knows its standing.
	allHeard = 2 * sparseEvery
)

// mayPlan reports whether this node is one of those that may plan.
func (o *owner) mayPlan() bool {
	before, _, stands := o.rank()
	return stands && before < candidates
}

// candidate reports whether this node should ask the store for the planner's
// lease, or go on holding it. No other asks while one plans: with standbys, each
// of which made the store deal the lease anew when it was restarted, the planner
// changed seven times in 34 s of a day with restarts, and twice without.
func (o *owner) candidate(now time.Time) bool {
	if o.n.standingAside.Load() {
		return false
	}
	before, stronger, stands := o.rank()
	silence := o.silence(now)
	switch {
	case o.fleet.planner != nil:
		return stands && stronger < strongerThan
	case !stands, before >= candidates, o.isTooNew(now, silence):
		return false
	case stronger >= strongerThan:
		return silence >= weakSilence+time.Duration(before)*askStep
	case o.peers.planned.IsZero() && o.peers.term == 0:
		// The whole system has just started.
		return o.quiet(now) >= meetOthers+time.Duration(before)*askStep
	default:
		return silence >= strongSilence+time.Duration(before)*askStep
	}
}

// quiet is for how long this node has heard of no planner at the start of the whole
// system, and of no further daemon where there are many: the store takes the entries of
// hundreds one after the other, and as long as they come each daemon takes another one
// for the first in standing, so that three of them planned one after the other.
func (o *owner) quiet(now time.Time) time.Duration {
	if o.peers.arranged.IsMesh {
		return o.silence(now)
	}
	return min(o.silence(now), now.Sub(o.peers.metAt))
}

// isTooNew reports whether this node runs for too short a time to ask where
// others told of a planner: it may not have heard of that one yet, or hears of
// it and does not know its own standing.
func (o *owner) isTooNew(now time.Time, silence time.Duration) bool {
	if o.peers.term == 0 {
		return false
	}
	running := o.running(now)
	return running < plannerWord || (running < allHeard && silence < strongSilence)
}

// running is for how long this node has run.
func (o *owner) running(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, o.n.started))
}

// silence is for how long no daemon was heard to plan.
func (o *owner) silence(now time.Time) time.Duration {
	switch {
	case o.fleet.planner != nil:
		return 0
	case o.peers.planned.IsZero():
		return o.running(now)
	default:
		return now.Sub(o.peers.planned)
	}
}

// rank counts the daemons that may plan and come before this one, and those of
// them that have more processor. Where there are many daemons only relays may
// plan: they hear of each other, and news of a planner goes out by them.
func (o *owner) rank() (before, stronger int, stands bool) {
	self := membership.Daemon{ID: o.n.cfg.ID, Zone: o.n.cfg.Zone, CPUCores: o.n.cfg.Power}
	for _, d := range o.peers.arranged.PlannerCandidates {
		if d.ID == self.ID {
			stands = true
			continue
		}
		if d.RanksBefore(self) {
			before++
		}
		if d.CPUCores > self.CPUCores {
			stronger++
		}
	}
	return before, stronger, stands
}
