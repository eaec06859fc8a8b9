package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// askAsPlanner asks the instance for a report if this node plans.
func (o *owner) askAsPlanner(k *knownInstance, now time.Time) {
	if o.fleet.planner != nil {
		o.ask(k, now, patientReport)
	}
}

// handleReport takes in what an instance told of itself, or that it did not
// answer.
func (o *owner) handleReport(m reportEnded) {
	o.fleet.asking--
	o.fleet.calls.Note(m.took)
	defer o.giveOrders()
	k, known := o.fleet.instances[m.instance.ID]
	switch {
	case !known || m.asked.Before(k.told):
		// Answers on different connections overtake each other.
	case m.err != nil && m.asked.Before(k.bornKnown) && k.CompareIncarnation(m.instance.StartedAt) != models.SameIncarnation:
		// An earlier life did not answer.
	case m.err != nil:
		o.noteSilence(k, m)
	case !o.noteReportedLife(k, m.instance.StartedAt, m.asked):
	default:
		o.noteReport(k, m)
	}
}

// noteSilence takes in that an instance did not answer.
func (o *owner) noteSilence(k *knownInstance, m reportEnded) {
	if !o.provesLoss(k, m.asked) {
		if k.failed.IsZero() {
			k.failed = time.Now()
		}
		o.fleet.due[k.ID] = time.Now().Add(askFailed)
		return
	}
	if k.lost.IsZero() {
		k.lost = m.asked
		o.tellOthers(k, m.asked)
		o.n.log.Warn().Str("instance", string(k.ID)).Str("group", string(k.Group.Key.Name)).Err(m.err).Msg("instance-lost")
	}
	o.fleetStale = true
}

// provesLoss reports whether a question that an instance did not answer proves
// that it is lost: where streams found its group to stand still, or if it was
// asked after another had failed. One alone may be lost on the way or be late.
func (o *owner) provesLoss(k *knownInstance, asked time.Time) bool {
	for _, s := range o.fleet.suspects {
		if s.group == k.Group.Key && k.Group.State != models.MemberNone && asked.Before(s.until) {
			return true
		}
	}
	return !k.failed.IsZero() && asked.After(k.failed)
}

// noteReport takes in what an instance told of itself.
func (o *owner) noteReport(k *knownInstance, m reportEnded) {
	_, suspect := o.fleet.suspects[k.ID]
	news := suspect || !k.lost.IsZero()
	if !k.lost.IsZero() {
		o.n.log.Info().Str("instance", string(k.ID)).Dur("after", m.asked.Sub(k.lost)).Msg("instance-back")
	}
	k.lost, k.told, k.failed = time.Time{}, m.asked, time.Time{}
	told := k.UpstreamInstance
	told.Group, told.LoadedModel, told.StagedModels = m.instance.Group, m.instance.LoadedModel, m.instance.StagedModels
	k.takeIn(told)
	delete(o.fleet.suspects, k.ID)
	if o.underWay(k) {
		o.fleet.due[k.ID] = time.Now().Add(askUnderWay)
	}
	if news || k.differs() {
		// Most reports say nothing new. Each was told to all daemons, which showed all
		// instances anew: 0.4 ms of a core with 766 of them, some 100 times a second
		// while groups form.
		o.tellOthers(k, m.asked)
		o.fleetStale = true
	}
	o.planGroups(time.Now())
}

// tellOthers spreads what the instance told at a time. Of one without an entry
// they know that it is gone.
func (o *owner) tellOthers(k *knownInstance, at time.Time) {
	if k.unlisted || o.fleet.planner == nil {
		return
	}
	k.spread = k.shown()
	o.spread(k.news(at))
}
