package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// An instance may restart under the same ID. The new incarnation has no state of the earlier one,
// so instance state and orders belong to one incarnation. An incarnation is identified by its start
// time (StartedAt), which comes from the instance's own clock:
//
//   - An entry or update with an earlier StartedAt never replaces one with a later one: a restored
//     store may return old entries, and updates may be late.
//   - The response to a probe that was sent after the latest StartedAt became known is always from
//     the current incarnation. If its StartedAt is earlier, the instance's clock was set back.
//   - Entries and updates without StartedAt, which older versions send, are attributed to the known
//     incarnation.

// observeIncarnation begins a new incarnation of the instance if an entry or update, as of a time,
// shows one. It returns false if they show an earlier incarnation and are to be ignored.
func (o *owner) observeIncarnation(k *knownInstance, startedAt, at time.Time) bool {
	switch k.CompareIncarnation(startedAt) {
	case models.EarlierIncarnation:
		return false
	case models.LaterIncarnation:
		o.beginIncarnation(k, startedAt, at)
	case models.SameIncarnation:
		o.learnStartTime(k, startedAt, at)
	}
	return true
}

// observeReportedIncarnation is observeIncarnation for the instance's own response to a probe.
func (o *owner) observeReportedIncarnation(k *knownInstance, startedAt, requestedAt time.Time) bool {
	if k.CompareIncarnation(startedAt) == models.EarlierIncarnation && requestedAt.After(k.incarnationKnownAt) {
		o.beginIncarnation(k, startedAt, requestedAt)
		return true
	}
	return o.observeIncarnation(k, startedAt, requestedAt)
}

// learnStartTime sets StartedAt if it was not known.
func (o *owner) learnStartTime(k *knownInstance, startedAt, at time.Time) {
	if k.StartedAt.IsZero() && !startedAt.IsZero() {
		k.StartedAt, k.incarnationKnownAt = startedAt, at
	}
}

// beginIncarnation resets the state of a restarted instance. Its group has lost this member, even
// if the instance is back at once: otherwise the group would be stalled until its head detects
// that, which takes six seconds with the engines in production.
func (o *owner) beginIncarnation(k *knownInstance, startedAt, at time.Time) {
	o.n.stats.restarted.Inc()
	o.n.log.Info().Str("instance", string(k.ID)).Time("born", startedAt).Str("group", string(k.Group.Key.Name)).Msg("instance-restarted")
	delete(o.fleet.suspects, k.ID)
	delete(o.fleet.probeAt, k.ID)
	if k.Group.State != models.MemberNone {
		o.fleet.restarted[k.Group.Key] = append(o.fleet.restarted[k.Group.Key], k.ID)
	}
	i := k.UpstreamInstance
	i.StartedAt, i.Group, i.LoadedModel, i.HeartbeatSeq, i.Draining = startedAt, models.Membership{}, "", 0, false
	*k = knownInstance{UpstreamInstance: i, incarnationKnownAt: at, unlisted: k.unlisted, lastBroadcast: k.lastBroadcast}
	o.fleetStale, o.fleet.listStale = true, true
}

// hasRestartedMember reports whether a member of the group restarted and has not rejoined the
// group.
func (f *fleetState) hasRestartedMember(key models.GroupKey) bool {
	return slices.ContainsFunc(f.restarted[key], func(id models.InstanceID) bool {
		k, there := f.instances[id]
		return !there || k.Group.Key != key
	})
}

// pruneRestarted drops the restarted members of groups that no instance belongs to any more.
func (f *fleetState) pruneRestarted() {
	if len(f.restarted) == 0 {
		return
	}
	current := map[models.GroupKey]bool{}
	for _, i := range f.instances {
		current[i.Group.Key] = true
	}
	maps.DeleteFunc(f.restarted, func(key models.GroupKey, _ []models.InstanceID) bool { return !current[key] })
}

// endedRetention is how long removed instances are remembered. It exceeds the age of the backup
// from which a store is restored.
const endedRetention = time.Minute

// endedInstance is the last state of a removed instance.
type endedInstance struct {
	startedAt time.Time
	// heartbeat is the number of writes of its entry, 0 if unknown.
	heartbeat int64
	at        time.Time
	// knownThrough is the position up to which the store's records were known that removed it.
	knownThrough models.Position
}

// hasEnded reports whether an entry or update belongs to a removed incarnation that has written
// nothing since. Without this check, requests were sent to an instance that had left when a store
// restored from a backup listed it again.
func (f *fleetState) hasEnded(i models.UpstreamInstance) bool {
	e, ended := f.ended[i.ID]
	if !ended || e.heartbeat == 0 || i.HeartbeatSeq > e.heartbeat {
		return false
	}
	was := models.UpstreamInstance{StartedAt: e.startedAt}
	return was.CompareIncarnation(i.StartedAt) != models.LaterIncarnation
}

// markEnded records the write count of a removed instance.
func (f *fleetState) markEnded(i models.UpstreamInstance, now time.Time) {
	e := f.ended[i.ID]
	f.ended[i.ID] = endedInstance{startedAt: i.StartedAt, heartbeat: max(e.heartbeat, i.HeartbeatSeq), at: now, knownThrough: e.knownThrough}
}

// markRemoved records that the store's records before end removed an instance.
func (f *fleetState) markRemoved(id models.InstanceID, end models.Position) {
	if e, ended := f.ended[id]; ended && e.knownThrough.Compare(end) < 0 {
		e.knownThrough = end
		f.ended[id] = e
	}
}

// forgetRemoved forgets a removed instance that the store's records before end list again, unless they
// may be those of a restored store. The write count of such an instance proves nothing: another writer
// may have set it.
func (f *fleetState) forgetRemoved(id models.InstanceID, end models.Position) {
	if e, ended := f.ended[id]; ended && e.knownThrough.Era == end.Era && e.knownThrough.Compare(end) < 0 && e.knownThrough != (models.Position{}) {
		delete(f.ended, id)
	}
}

// pruneEnded drops instances that were removed more than endedRetention ago.
func (f *fleetState) pruneEnded(now time.Time) {
	maps.DeleteFunc(f.ended, func(_ models.InstanceID, e endedInstance) bool { return now.Sub(e.at) > endedRetention })
}
