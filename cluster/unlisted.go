package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// unlistedEvery is how often the planner asks a member of a group that has no
// entry whether it still is one.
const unlistedEvery = time.Second

// holdsUp reports whether an instance without an entry is kept: it is a member,
// not the head, of a group that serves, and was not found lost. An instance
// that is merely cut off from the store goes on working for its group, and a
// group of eight has such a member as soon as a few instances are cut off.
// Requests only go to heads, and one that ends stops its group, which is
// noticed by the streams.
func (f *fleetState) holdsUp(i *knownInstance) bool {
	if i.Group.State != models.MemberReady || i.Group.Rank == 0 || i.Draining || !i.lost.IsZero() {
		return false
	}
	for _, head := range f.instances {
		if head.Group.Key == i.Group.Key && head.Group.Rank == 0 {
			return head.Group.State == models.MemberOpen && !head.unlisted && head.lost.IsZero()
		}
	}
	return false
}

// watchUnlisted asks the instances that are kept without an entry, and forgets
// those that hold up no group any more.
func (o *owner) watchUnlisted(now time.Time) {
	for _, i := range o.fleet.instances {
		switch {
		case !i.unlisted:
		case !o.fleet.holdsUp(i):
			o.forgetInstance(i)
		case o.fleet.planner != nil && now.Sub(i.asked) >= unlistedEvery:
			o.ask(i, now, patientReport)
		}
	}
}

// dropInstance takes in that an instance's entry is gone.
func (o *owner) dropInstance(id models.InstanceID) {
	i, known := o.fleet.instances[id]
	switch {
	case !known || i.unlisted:
	case o.fleet.holdsUp(i):
		o.n.log.Info().Str("instance", string(id)).Str("group", string(i.Group.Key.Name)).Msg("instance-unlisted")
		i.unlisted, o.fleetStale = true, true
	default:
		o.forgetInstance(i)
	}
}

// forgetInstance drops what is known of an instance.
func (o *owner) forgetInstance(i *knownInstance) {
	o.n.log.Info().Str("instance", string(i.ID)).Str("group", string(i.Group.Key.Name)).Msg("instance-gone")
	o.fleet.ended[i.ID] = endedLife{born: i.StartedAt, heartbeat: i.HeartbeatSeq, at: time.Now()}
	delete(o.fleet.instances, i.ID)
	o.fleetStale, o.fleet.listed = true, true
}
