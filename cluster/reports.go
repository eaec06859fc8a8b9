package cluster

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// askAsPlanner asks the instance for a report if this node plans.
func (o *owner) probeIfPlanner(k *knownInstance, now time.Time) {
	if o.fleet.planner != nil {
		o.probe(k, now, probeTimeout)
	}
}

// handleReport takes in what an instance told of itself, or that it did not
// answer.
func (o *owner) handleProbeResult(m probeFinished) {
	o.fleet.probesInFlight--
	o.fleet.callLimit.Note(m.took)
	defer o.sendOrders()
	k, known := o.fleet.instances[m.instance.ID]
	switch {
	case !known || m.sentAt.Before(k.stateAt):
		// Answers on different connections overtake each other.
	case m.err != nil && m.sentAt.Before(k.bornKnownAt) && k.LifeOf(m.instance.Born) != models.SameLife:
		// An earlier life did not answer.
	case m.err != nil:
		o.handleProbeFailure(k, m)
	case !o.observeReportedIncarnation(k, m.instance.Born, m.sentAt):
	default:
		o.applyReport(k, m)
	}
}

// noteSilence takes in that an instance did not answer.
func (o *owner) handleProbeFailure(k *knownInstance, m probeFinished) {
	if !o.provesLoss(k, m.sentAt) {
		if k.probeFailedAt.IsZero() {
			k.probeFailedAt = time.Now()
		}
		o.fleet.probeAt[k.ID] = time.Now().Add(failedProbeDelay)
		return
	}
	if k.lostSince.IsZero() {
		k.lostSince = m.sentAt
		o.broadcastInstance(k, m.sentAt)
		o.n.log.Warn().Str("instance", string(k.ID)).Str("group", string(k.Group.Key.Name)).Err(m.err).Msg("instance-lost")
	}
	o.fleetStale = true
}

// provesLoss reports whether a question that an instance did not answer proves
// that it is lost: where streams found its group to stand still, or if it was
// asked after another had failed. One alone may be lost on the way or be late.
func (o *owner) provesLoss(k *knownInstance, sentAt time.Time) bool {
	for _, s := range o.fleet.suspects {
		if s.group == k.Group.Key && k.Group.State != models.MemberNone && sentAt.Before(s.until) {
			return true
		}
	}
	return !k.probeFailedAt.IsZero() && sentAt.After(k.probeFailedAt)
}

// noteReport takes in what an instance told of itself.
func (o *owner) applyReport(k *knownInstance, m probeFinished) {
	_, suspect := o.fleet.suspects[k.ID]
	changed := suspect || !k.lostSince.IsZero()
	if !k.lostSince.IsZero() {
		o.n.log.Info().Str("instance", string(k.ID)).Dur("after", m.sentAt.Sub(k.lostSince)).Msg("instance-back")
	}
	k.lostSince, k.stateAt, k.probeFailedAt = time.Time{}, m.sentAt, time.Time{}
	reported := k.UpstreamInstance
	reported.Group, reported.Loaded, reported.Staged = m.instance.Group, m.instance.Loaded, m.instance.Staged
	k.merge(reported)
	delete(o.fleet.suspects, k.ID)
	if o.isOrderUnfinished(k) {
		o.fleet.probeAt[k.ID] = time.Now().Add(unfinishedProbeDelay)
	}
	if changed || k.needsBroadcast() {
		// Most reports say nothing new. Each was told to all daemons, which showed all
		// instances anew: 0.4 ms of a core with 766 of them, some 100 times a second
		// while groups form.
		o.broadcastInstance(k, m.sentAt)
		o.fleetStale = true
	}
	o.planGroups(time.Now())
}

// tellOthers spreads what the instance told at a time. Of one without an entry
// they know that it is gone.
func (o *owner) broadcastInstance(k *knownInstance, at time.Time) {
	if k.unlisted || o.fleet.planner == nil {
		return
	}
	k.lastBroadcast = k.broadcastState()
	o.queueUpdates(k.toUpdate(at))
}
