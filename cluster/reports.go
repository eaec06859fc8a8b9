package cluster

import (
	"errors"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// probeIfPlanner probes the instance if this node is the planner.
func (o *owner) probeIfPlanner(k *knownInstance, now time.Time) {
	if o.fleet.planners != nil {
		o.probe(k, now, probeTimeout)
	}
}

// handleProbeResult applies the report of an instance, or the failure of the probe.
func (o *owner) handleProbeResult(m probeFinished) {
	o.fleet.probesInFlight--
	o.fleet.callLimit.Observe(m.took)
	defer o.sendOrders()
	k, known := o.fleet.instances[m.instance.ID]
	switch {
	case !known || m.sentAt.Before(k.stateAt):
		// A newer state is known: responses on different connections may arrive out of order.
	case m.err != nil && m.sentAt.Before(k.incarnationKnownAt) && k.CompareIncarnation(m.instance.StartedAt) != models.SameIncarnation:
		// The probe was for an earlier incarnation.
	case m.err != nil:
		o.handleProbeFailure(k, m)
	case !o.observeReportedIncarnation(k, m.instance.StartedAt, m.sentAt):
	default:
		o.applyReport(k, m)
	}
}

// handleProbeFailure marks an instance as lost, or probes it again if one failure is no proof, or
// may be a failure of this daemon's network.
func (o *owner) handleProbeFailure(k *knownInstance, m probeFinished) {
	if errors.Is(m.err, ErrUnconfirmed) || o.n.paths.partitioned() {
		o.fleet.probeAt[k.ID] = time.Now().Add(minProbeInterval)
		return
	}
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

// provesLoss reports whether a failed probe proves that the instance is lost: if streams found its
// group stalled, or if the probe was sent after another had failed. A single probe may be dropped
// or late.
func (o *owner) provesLoss(k *knownInstance, sentAt time.Time) bool {
	for _, s := range o.fleet.suspects {
		if s.group == k.Group.Key && k.Group.State != models.MemberNone && sentAt.Before(s.until) {
			return true
		}
	}
	return !k.probeFailedAt.IsZero() && sentAt.After(k.probeFailedAt)
}

// applyReport applies an instance's report.
func (o *owner) applyReport(k *knownInstance, m probeFinished) {
	_, suspect := o.fleet.suspects[k.ID]
	changed := suspect || !k.lostSince.IsZero()
	if !k.lostSince.IsZero() {
		o.n.log.Info().Str("instance", string(k.ID)).Dur("after", m.sentAt.Sub(k.lostSince)).Msg("instance-back")
		o.presumeCold(k, time.Now())
	}
	k.lostSince, k.stateAt, k.probeFailedAt = time.Time{}, m.sentAt, time.Time{}
	reported := k.UpstreamInstance
	reported.Group, reported.LoadedModel, reported.StagedModels = m.instance.Group, m.instance.LoadedModel, m.instance.StagedModels
	k.merge(reported)
	delete(o.fleet.suspects, k.ID)
	if o.isOrderUnfinished(k) {
		o.fleet.probeAt[k.ID] = time.Now().Add(unfinishedProbeDelay)
	}
	if changed || k.needsBroadcast() {
		// Most reports change nothing. When each was broadcast, every daemon rebuilt all instances
		// of its view for it: 0.4 ms of a core with 766 instances, some 100 times a second while
		// groups form.
		o.broadcastInstance(k, m.sentAt)
		o.fleetStale = true
	}
	o.planGroups(time.Now())
}

// broadcastInstance queues the instance's state as of a time. Other daemons regard an instance
// without an entry as removed.
func (o *owner) broadcastInstance(k *knownInstance, at time.Time) {
	if k.unlisted || o.fleet.planners == nil {
		return
	}
	k.markBroadcast()
	o.queueUpdates(k.toUpdate(at))
}
