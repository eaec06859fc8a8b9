package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// unlistedProbeInterval is how often the planner probes a group member without an entry.
const unlistedProbeInterval = time.Second

// isNeededMember reports whether an instance without an entry is kept: if it is a member, but not
// the head, of a serving group and is not lost. An instance that is only cut off from the store
// still serves its group, and a group of eight has such a member as soon as a few instances are cut
// off. Requests go to heads only, and a member that ends stalls its group, which the streams
// detect.
func (f *fleetState) isNeededMember(i *knownInstance) bool {
	if i.Group.State != models.MemberReady || i.Group.Rank == 0 || i.Draining || !i.lostSince.IsZero() {
		return false
	}
	for _, head := range f.instances {
		if head.Group.Key == i.Group.Key && head.Group.Rank == 0 {
			return head.Group.State == models.MemberOpen && !head.unlisted && head.lostSince.IsZero()
		}
	}
	return false
}

// checkUnlisted probes the instances that are kept without an entry, and removes those that no
// group needs any more.
func (o *owner) checkUnlisted(now time.Time) {
	for _, i := range o.fleet.instances {
		switch {
		case !i.unlisted:
		case !o.fleet.isNeededMember(i):
			o.removeInstance(i)
		case o.fleet.planners != nil && now.Sub(i.probedAt) >= unlistedProbeInterval:
			o.probe(i, now, probeTimeout)
		}
	}
}

// handleEntryGone handles the removal of an instance's entry.
func (o *owner) handleEntryGone(id models.InstanceID) {
	i, known := o.fleet.instances[id]
	switch {
	case !known || i.unlisted:
	case o.fleet.isNeededMember(i):
		o.n.log.Info().Str("instance", string(id)).Str("group", string(i.Group.Key.Name)).Msg("instance-unlisted")
		i.unlisted, o.fleetStale = true, true
	default:
		o.removeInstance(i)
	}
}

// handleEntryRemoved handles the removal of an instance's entry by the store's records before end.
func (o *owner) handleEntryRemoved(id models.InstanceID, end models.Position) {
	o.handleEntryGone(id)
	o.fleet.markRemoved(id, end)
}

// removeInstance removes an instance from the state.
func (o *owner) removeInstance(i *knownInstance) {
	o.n.log.Info().Str("instance", string(i.ID)).Str("group", string(i.Group.Key.Name)).Msg("instance-gone")
	o.fleet.ended[i.ID] = endedInstance{startedAt: i.StartedAt, heartbeat: i.HeartbeatSeq, at: time.Now()}
	delete(o.fleet.instances, i.ID)
	o.fleetStale, o.fleet.listStale = true, true
}
