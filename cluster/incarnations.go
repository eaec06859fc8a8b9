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
//   - An instance that keeps writing entries with an earlier StartedAt is alive, and the later one was
//     not its own: another writer may have left an entry under its ID. See contradiction.

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
		o.correct(k, startedAt, o.fleet.entries.end, requestedAt)
		return true
	}
	return o.observeIncarnation(k, startedAt, requestedAt)
}

// contradiction is the first of the entries that contradict what an entry before them said for the rest
// of the incarnation.
type contradiction struct {
	startedAt time.Time
	heartbeat int64
	// requestedAt is when the read was requested that returned it.
	requestedAt time.Time
}

// observeContradiction corrects what is known of an instance once its entries have contradicted it
// for writesToRecover writes, in a later read. A single entry may have been under way.
func (o *owner) observeContradiction(i models.UpstreamInstance, end models.Position, requestedAt time.Time) {
	k, known := o.fleet.instances[i.ID]
	switch {
	case !known, end.Era != k.knownThrough.Era, end.Compare(k.knownThrough) <= 0:
		return
	case !k.isContradictedBy(i), o.hasLeavingSignal(k):
		k.contradicted = contradiction{}
		return
	}
	first := k.contradicted
	if first.requestedAt.IsZero() || !first.startedAt.Equal(i.StartedAt) || i.HeartbeatSeq < first.heartbeat {
		k.contradicted = contradiction{startedAt: i.StartedAt, heartbeat: i.HeartbeatSeq, requestedAt: requestedAt}
		return
	}
	if i.HeartbeatSeq >= first.heartbeat+writesToRecover && requestedAt.After(first.requestedAt) {
		o.correct(k, i.StartedAt, end, requestedAt)
	}
}

// isContradictedBy reports whether an entry is of an earlier incarnation than the known one, or lacks
// that it leaves.
func (k *knownInstance) isContradictedBy(i models.UpstreamInstance) bool {
	return k.CompareIncarnation(i.StartedAt) == models.EarlierIncarnation || k.Draining && !i.Draining
}

// correct begins the incarnation that an instance's own entries or report show, as of the store's
// records before end, or records that the known one does not leave.
func (o *owner) correct(k *knownInstance, startedAt time.Time, end models.Position, at time.Time) {
	o.n.log.Warn().Str("instance", string(k.ID)).Time("born", startedAt).Time("was-born", k.StartedAt).Msg("instance-corrected")
	k.correctedThrough = end
	if k.CompareIncarnation(startedAt) == models.EarlierIncarnation {
		o.beginIncarnation(k, startedAt, at)
		// What was observed of the incarnation that never was would count as newer.
		o.n.limits.Forget(k.ID)
		o.n.breakers.Forget(k.ID)
		return
	}
	k.Draining, k.contradicted, o.fleet.listStale = false, contradiction{}, true
	// Its responses may have said so as well.
	o.applyLeavingSignals(time.Now())
}

// applyCorrection applies the correction that the source of an update has made, unless this daemon knows
// more of the store's records.
func (o *owner) applyCorrection(u InstanceUpdate, end models.Position, at time.Time) {
	k, known := o.fleet.instances[u.Instance.ID]
	if known && k.knownThrough.Compare(end) <= 0 && k.correctedThrough.Compare(u.CorrectedThrough) < 0 && k.isContradictedBy(u.Instance) {
		o.correct(k, u.Instance.StartedAt, u.CorrectedThrough, at)
	}
}

// markCorrected takes over the mark of a correction, which other daemons get from this one.
func (f *fleetState) markCorrected(u InstanceUpdate) {
	k, known := f.instances[u.Instance.ID]
	if known && k.StartedAt.Equal(u.Instance.StartedAt) && k.correctedThrough.Compare(u.CorrectedThrough) < 0 {
		k.correctedThrough = u.CorrectedThrough
	}
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
	*k = knownInstance{
		UpstreamInstance: i, incarnationKnownAt: at, unlisted: k.unlisted, lastBroadcast: k.lastBroadcast, correctedThrough: k.correctedThrough,
	}
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
