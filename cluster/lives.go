package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// An instance may start again under its id. It then knows nothing of before, so that
// what is known of it, and what it was ordered, is about one life. Births are told by
// the instances' own clocks:
//
//   - An entry or news of an earlier birth never takes the place of those of a later
//     one: a store may answer with what it held before, and news may come late.
//   - An answer of the instance itself, to a question that was asked after its last
//     birth became known, is always of the present life. If it tells an earlier birth,
//     the instance's clock was set back.
//   - Without a birth, as older processes tell, news are taken to be of the life that
//     is known.

// noteLife begins a new life of the instance if an entry or news, as of some time,
// tell of one. It reports false if they tell of an earlier life: then they say nothing.
func (o *owner) noteLife(k *knownInstance, born, at time.Time) bool {
	switch k.CompareIncarnation(born) {
	case models.EarlierIncarnation:
		return false
	case models.LaterIncarnation:
		o.beginLife(k, born, at)
	case models.SameIncarnation:
		o.learnBirth(k, born, at)
	}
	return true
}

// noteReportedLife is noteLife for the answer of the instance itself.
func (o *owner) noteReportedLife(k *knownInstance, born, asked time.Time) bool {
	if k.CompareIncarnation(born) == models.EarlierIncarnation && asked.After(k.bornKnown) {
		o.beginLife(k, born, asked)
		return true
	}
	return o.noteLife(k, born, asked)
}

// learnBirth notes the birth of an instance of which none was known.
func (o *owner) learnBirth(k *knownInstance, born, at time.Time) {
	if k.StartedAt.IsZero() && !born.IsZero() {
		k.StartedAt, k.bornKnown = born, at
	}
}

// beginLife forgets what the instance was and did before it started again. A member
// that did is lost to its group at once, however soon it is back: the group would
// stand still until its head finds that out by itself, six seconds later where the
// users' engines are.
func (o *owner) beginLife(k *knownInstance, born, at time.Time) {
	o.n.stats.reborn.Inc()
	o.n.log.Info().Str("instance", string(k.ID)).Time("born", born).Str("group", string(k.Group.Key.Name)).Msg("instance-restarted")
	delete(o.fleet.suspects, k.ID)
	delete(o.fleet.due, k.ID)
	if k.Group.State != models.MemberNone {
		o.fleet.restarted[k.Group.Key] = append(o.fleet.restarted[k.Group.Key], k.ID)
	}
	i := k.UpstreamInstance
	i.StartedAt, i.Group, i.LoadedModel, i.HeartbeatSeq, i.Draining = born, models.Membership{}, "", 0, false
	*k = knownInstance{UpstreamInstance: i, bornKnown: at, unlisted: k.unlisted, spread: k.spread}
	o.fleetStale, o.fleet.listed = true, true
}

// lacksRestarted reports whether a member of the group started again and has not
// joined it anew.
func (f *fleetState) lacksRestarted(key models.GroupKey) bool {
	return slices.ContainsFunc(f.restarted[key], func(id models.InstanceID) bool {
		k, there := f.instances[id]
		return !there || k.Group.Key != key
	})
}

// forgetRestarted forgets those that were members of groups of which nobody tells any
// more.
func (f *fleetState) forgetRestarted() {
	if len(f.restarted) == 0 {
		return
	}
	told := map[models.GroupKey]bool{}
	for _, i := range f.instances {
		told[i.Group.Key] = true
	}
	maps.DeleteFunc(f.restarted, func(key models.GroupKey, _ []models.InstanceID) bool { return !told[key] })
}

// endedKept is for how long it is remembered that an instance's entry went: longer than
// a copy of the store is old.
const endedKept = time.Minute

// endedLife is what is remembered of an instance whose entry went.
type endedLife struct {
	born time.Time
	// heartbeat counts the writes of its entry, zero if nobody told.
	heartbeat int64
	at        time.Time
}

// hasEnded reports whether an entry or news are of a life that has ended: the instance
// has written nothing since. Requests went to one that had left, when a store that came
// back from a copy listed it again.
func (f *fleetState) hasEnded(i models.UpstreamInstance) bool {
	e, ended := f.ended[i.ID]
	if !ended || e.heartbeat == 0 || i.HeartbeatSeq > e.heartbeat {
		return false
	}
	was := models.UpstreamInstance{StartedAt: e.born}
	return was.CompareIncarnation(i.StartedAt) != models.LaterIncarnation
}

// noteEnded takes in how often an instance that is gone had written its entry.
func (f *fleetState) noteEnded(i models.UpstreamInstance, now time.Time) {
	e := f.ended[i.ID]
	f.ended[i.ID] = endedLife{born: i.StartedAt, heartbeat: max(e.heartbeat, i.HeartbeatSeq), at: now}
}

// forgetEnded forgets those that ended long ago.
func (f *fleetState) forgetEnded(now time.Time) {
	maps.DeleteFunc(f.ended, func(_ models.InstanceID, e endedLife) bool { return now.Sub(e.at) > endedKept })
}
