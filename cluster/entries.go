package cluster

import (
	"cmp"
	"reflect"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
)

// aliveWrites is after how many writes of its entry an instance that was found
// lost counts as alive again at a daemon that does not ask for itself: the
// first may have been on its way when it was lost.
const aliveWrites = 2

// handleInstances takes in entries read from the store: all of them if whole,
// else those that were written since the last reading.
func (o *owner) handleInstances(records []platform.KeyedRecord, asked time.Time, whole bool) {
	known := o.fleet.instances
	listed := map[models.InstanceID]bool{}
	for _, r := range records {
		id := models.InstanceID(r.Key)
		if len(r.Value) == 0 {
			o.dropInstance(id)
			continue
		}
		i, err := platform.DecodeInstance(r.Key, r.Value)
		if err != nil {
			o.n.log.Error().Err(err).Msg("instance-unreadable")
			continue
		}
		listed[id] = true
		o.noteEntry(i, asked)
	}
	if whole {
		for id := range known {
			if !listed[id] {
				o.dropInstance(id)
			}
		}
	}
	// Even without news the others learn that this one still reads.
	o.spread(o.fleet.changedEntries(records, asked)...)
	if o.fleet.planner != nil && len(o.fleet.news) == 0 {
		o.sendFeed()
	}
	o.changed = o.changed || len(records) > 0
}

// noteEntry takes in one entry, as it stood in the store when it was asked for.
func (o *owner) noteEntry(i models.UpstreamInstance, asked time.Time) {
	k, known := o.fleet.instances[i.ID]
	if !known {
		k = &knownInstance{}
		o.fleet.instances[i.ID] = k
	}
	if known && (k.Draining != i.Draining || k.Group != i.Group) {
		o.n.log.Info().Str("instance", string(i.ID)).Str("group", string(i.Group.Key.Name)).Str("state", string(i.Group.State)).
			Bool("draining", i.Draining).Msg("instance-changed")
	}
	back := known && i.Group != k.Group && !i.Group.Follows(k.Group)
	if back && (o.fleet.planner != nil || asked.Before(k.told.Add(entryLag))) {
		// What the instance itself told is newer than this entry may be. The
		// one that plans asks: it would use a member that seems to be free.
		i.Group, i.Loaded, i.Staged = k.Group, k.Loaded, k.Staged
		defer o.askAsPlanner(k)
	}
	if !k.lost.IsZero() && o.fleet.planner == nil && i.Heartbeat >= k.Heartbeat+aliveWrites {
		// The word that it is back was missed.
		k.lost = time.Time{}
	}
	if k.lost.IsZero() {
		k.takeIn(i)
	} else {
		k.takeInLost(i)
	}
	k.written, k.unlisted = time.Now(), false
	if o.fleet.planner != nil && !k.lost.IsZero() && k.written.Sub(k.lost) > askAgain {
		o.ask(k, k.written, patientReport)
	}
}

// provesLoss reports whether a question that an instance did not answer proves
// that it is lost: where streams found its group to stand still, or if it is
// the second in a row. One alone may be lost on the way or be late.
func (o *owner) provesLoss(k *knownInstance, asked time.Time) bool {
	for _, s := range o.fleet.suspects {
		if s.group == k.Group.Key && k.Group.State != models.MemberNone && asked.Before(s.until) {
			return true
		}
	}
	if !k.failed.IsZero() {
		return true
	}
	k.failed = asked
	o.fleet.due[k.ID] = time.Now().Add(askFailed)
	return false
}

// askAsPlanner asks the instance for a report if this node plans.
func (o *owner) askAsPlanner(k *knownInstance) {
	if o.fleet.planner != nil {
		o.ask(k, time.Now(), patientReport)
	}
}

// handleReport takes in what an instance told of itself, or that it did not
// answer.
func (o *owner) handleReport(m reportEnded) {
	k, known := o.fleet.instances[m.instance.ID]
	if !known || m.asked.Before(k.told) {
		// Answers on different connections overtake each other.
		return
	}
	if m.err != nil {
		if !o.provesLoss(k, m.asked) {
			return
		}
		if k.lost.IsZero() {
			k.lost = m.asked
			o.tellOthers(k, m.asked)
			o.n.log.Warn().Str("instance", string(k.ID)).Str("group", string(k.Group.Key.Name)).Err(m.err).Msg("instance-lost")
		}
		o.changed = true
		return
	}
	if !k.lost.IsZero() {
		o.n.log.Info().Str("instance", string(k.ID)).Dur("after", m.asked.Sub(k.lost)).Msg("instance-back")
	}
	k.lost, k.told, k.failed = time.Time{}, m.asked, time.Time{}
	told := k.UpstreamInstance
	told.Group, told.Loaded, told.Staged = m.instance.Group, m.instance.Loaded, m.instance.Staged
	k.takeIn(told)
	delete(o.fleet.suspects, k.ID)
	if o.underWay(k) {
		o.fleet.due[k.ID] = time.Now().Add(askUnderWay)
	}
	o.tellOthers(k, m.asked)
	o.changed = true
	o.planGroups(time.Now())
}

// takeIn replaces what is known of the instance, but for the model that it ran
// last: an instance in no group tells none.
func (k *knownInstance) takeIn(i models.UpstreamInstance) {
	i.Loaded = cmp.Or(i.Loaded, k.Loaded)
	k.UpstreamInstance = i
}

// tellOthers spreads what the instance told at a time. Of one without an entry
// they know that it is gone.
func (o *owner) tellOthers(k *knownInstance, at time.Time) {
	if !k.unlisted {
		o.spread(k.news(at))
	}
}

// takeInLost is takeIn for an instance that was found lost. It keeps the count
// of writes at that time, against which later ones tell that it lives.
func (k *knownInstance) takeInLost(i models.UpstreamInstance) {
	i.Heartbeat = k.Heartbeat
	k.takeIn(i)
}

// changedEntries are the instances of these records of which the others have
// not been told as they are now.
func (f *fleetState) changedEntries(records []platform.KeyedRecord, asked time.Time) []InstanceNews {
	if f.planner == nil {
		return nil
	}
	var out []InstanceNews
	told := map[models.InstanceID]bool{}
	for _, r := range records {
		id := models.InstanceID(r.Key)
		if told[id] {
			continue
		}
		told[id] = true
		k, known := f.instances[id]
		if !known || k.unlisted {
			out = append(out, InstanceNews{Instance: models.UpstreamInstance{ID: id}, Age: time.Since(asked), Gone: true})
			continue
		}
		shown := k.UpstreamInstance
		shown.Heartbeat = 0
		if !reflect.DeepEqual(shown, k.spread) {
			k.spread = shown
			out = append(out, k.news(asked))
		}
	}
	return out
}

// news is what the other daemons are told of the instance, as it was at a time.
func (k *knownInstance) news(at time.Time) InstanceNews {
	return InstanceNews{Instance: k.UpstreamInstance, Age: time.Since(at), Lost: !k.lost.IsZero()}
}
