package cluster

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// minProbeInterval is the minimum time between two probes of an instance that are not urgent.
	minProbeInterval = 400 * time.Millisecond
	// orderProbeMargin is added to the expected duration of an order before the instance is probed
	// for its result.
	orderProbeMargin = 15 * time.Millisecond
	// unfinishedProbeDelay is the delay before an instance is probed again that has not finished an
	// order in the expected time.
	unfinishedProbeDelay = 100 * time.Millisecond
	// failedProbeDelay is the delay before an instance is probed again after a failed probe.
	failedProbeDelay = 50 * time.Millisecond
)

// probe queues a probe of an instance, unless one was sent within minProbeInterval.
func (o *owner) probe(k *knownInstance, now time.Time, timeout time.Duration) {
	if now.Sub(k.probedAt) >= minProbeInterval {
		o.queueProbe(k, timeout)
	}
}

// queuedProbe is a probe that waits to be sent.
type queuedProbe struct {
	id      models.InstanceID
	timeout time.Duration
}

// queueProbe queues a probe of an instance. Probes with a timeout below probeTimeout are for
// instances that may have failed, and go to the front of the queue.
func (o *owner) queueProbe(k *knownInstance, timeout time.Duration) {
	f, q := &o.fleet, queuedProbe{k.ID, timeout}
	switch {
	case timeout < probeTimeout:
		f.probes = slices.Insert(f.probes, 0, q)
	case !k.probeQueued:
		f.probes = append(f.probes, q)
	}
	k.probeQueued = true
	o.startCalls()
}

// startCalls sends queued probes and orders. callLimit bounds the calls in flight, so that the node
// has time for everything else, such as the renewal of its lease. While both kinds are queued, each
// gets half of the calls.
func (o *owner) startCalls() {
	f := &o.fleet
	limit := f.callLimit.Max()
	for f.probesInFlight+f.ordersInFlight < limit {
		switch {
		case len(f.probes) > 0 && (len(f.orders) == 0 || f.probesInFlight < limit/2 || f.ordersInFlight >= limit/2):
			o.startProbe()
		case len(f.orders) > 0:
			o.sendFirstOrder()
		default:
			return
		}
	}
}

// startProbe sends the first queued probe.
func (o *owner) startProbe() {
	f := &o.fleet
	q := f.probes[0]
	f.probes = f.probes[1:]
	k := f.instances[q.id]
	if k == nil || !k.probeQueued {
		// The instance was removed or probed meanwhile.
		return
	}
	k.probedAt, k.probeQueued = time.Now(), false
	if o.n.sendProbe(o.ctx, k.UpstreamInstance, q.timeout) {
		f.probesInFlight++
	}
}

// handleStalled marks a head as suspect, so that it gets no requests, and has the planner probe the
// members of its group.
func (o *owner) handleStalled(m stallDetected) {
	k, known := o.fleet.instances[m.head]
	if !known || k.Group.Key != m.group {
		return
	}
	now := time.Now()
	if s, suspect := o.fleet.suspects[m.head]; !suspect || now.After(s.until) {
		o.n.log.Warn().Str("group", string(m.group.Name)).Str("head", string(m.head)).Str("from", string(m.from)).Msg("group-stalled")
		// A partitioned daemon does not tell others what it suspects.
		own := m.from == "" && !o.n.paths.partitioned()
		o.fleet.suspects[m.head] = suspicion{group: m.group, until: now.Add(suspicionDuration), own: own}
		if own {
			o.n.links.broadcast(Update{From: o.n.cfg.ID, Stalled: []StalledHead{{Group: m.group, Head: m.head}}})
		}
		o.fleetStale = true
	}
	if o.fleet.planners == nil {
		return
	}
	for _, i := range o.fleet.instances {
		if i.Group.Key == m.group && i.lostSince.IsZero() {
			o.probe(i, now, stalledProbeTimeout)
		}
	}
}

// expectedDuration returns how long an accepted order takes, and false if its end need not be
// probed for.
func (o *owner) expectedDuration(order types.GroupOrder, i models.UpstreamInstance) (time.Duration, bool) {
	service, known := o.config.routing.Services[i.Service]
	if !known || service.Engine == nil {
		return 0, false
	}
	model, known := service.Engine.Model(fleet.ModelOf(order.Group.Name))
	switch {
	case !known:
		return 0, false
	case order.Kind == types.GroupOpen:
		return service.Engine.FormTime + orderProbeMargin, true
	case order.Kind == types.GroupJoin && i.LoadedModel == model.Name:
		return fleet.RejoinTime + orderProbeMargin, true
	case order.Kind == types.GroupJoin && slices.Contains(i.StagedModels, model.Name):
		return model.WarmLoadTime + orderProbeMargin, true
	}
	return 0, false
}

// isOrderUnfinished reports whether the instance has yet to finish an order whose expected duration
// is over.
func (o *owner) isOrderUnfinished(k *knownInstance) bool {
	if o.fleet.planners == nil {
		return false
	}
	switch o.fleet.planners.Of(k.Service).OrderInProgress(k.ID) {
	case types.GroupJoin:
		return k.Group.State == models.MemberJoining && joinedWarm(k.UpstreamInstance)
	case types.GroupOpen:
		return k.Group.State == models.MemberReady
	default:
		return false
	}
}

// joinedWarm reports whether the instance had the weights of its group's model when it joined, in
// which case joining takes a second or two.
func joinedWarm(i models.UpstreamInstance) bool {
	return fleet.IsWarm(i, fleet.ModelOf(i.Group.Key.Name))
}

// sendDueProbes probes the instances whose scheduled probe is due.
func (o *owner) sendDueProbes(now time.Time) {
	for id, at := range o.fleet.probeAt {
		if now.Before(at) {
			continue
		}
		delete(o.fleet.probeAt, id)
		if k := o.fleet.instances[id]; k != nil && o.fleet.planners != nil {
			o.queueProbe(k, probeTimeout)
		}
	}
}
