package cluster

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// askAgain is how soon an instance is asked for a report once more.
	askAgain = 400 * time.Millisecond
	// reportMargin is how much later than an order should be done the instance
	// is asked whether it is.
	reportMargin = 15 * time.Millisecond
	// askUnderWay is how soon an instance that should have been done is asked
	// again.
	askUnderWay = 100 * time.Millisecond
	// askFailed is how soon an instance that did not answer is asked again.
	askFailed = 50 * time.Millisecond
)

// ask has an instance asked for a report, unless that was just done.
func (o *owner) ask(k *knownInstance, now time.Time, timeout time.Duration) {
	if now.Sub(k.asked) >= askAgain {
		o.askNext(k, timeout)
	}
}

// question is an instance that is to be asked for a report.
type question struct {
	id      models.InstanceID
	timeout time.Duration
}

// askNext has an instance asked for a report as soon as one more call may be made. Where
// something may be wrong that is before all others.
func (o *owner) askNext(k *knownInstance, timeout time.Duration) {
	f, q := &o.fleet, question{k.ID, timeout}
	switch {
	case timeout < patientReport:
		f.questions = slices.Insert(f.questions, 0, q)
	case !k.waits:
		f.questions = append(f.questions, q)
	}
	k.waits = true
	o.makeCalls()
}

// makeCalls asks for reports and gives orders, as many at a time as leave the node time for
// all else, the renewal of its lease among it. Neither kind keeps the other from more than half
// of the calls.
func (o *owner) makeCalls() {
	f := &o.fleet
	most := f.calls.Most()
	for f.asking+f.underWay < most {
		switch {
		case len(f.questions) > 0 && (len(f.orders) == 0 || f.asking < most/2 || f.underWay >= most/2):
			o.askFirst()
		case len(f.orders) > 0:
			o.giveFirst()
		default:
			return
		}
	}
}

// askFirst asks the first instance that is to be asked.
func (o *owner) askFirst() {
	f := &o.fleet
	q := f.questions[0]
	f.questions = f.questions[1:]
	k := f.instances[q.id]
	if k == nil || !k.waits {
		// It is gone, or was asked since.
		return
	}
	k.asked, k.waits = time.Now(), false
	if o.n.askReport(o.ctx, k.UpstreamInstance, q.timeout) {
		f.asking++
	}
}

// handleStalled passes over a head at which nothing moves, and has the
// members asked if this node plans.
func (o *owner) handleStalled(m stalled) {
	k, known := o.fleet.instances[m.head]
	if !known || k.Group.Key != m.group {
		return
	}
	now := time.Now()
	if s, suspect := o.fleet.suspects[m.head]; !suspect || now.After(s.until) {
		o.n.log.Warn().Str("group", string(m.group.Name)).Str("head", string(m.head)).Str("from", string(m.from)).Msg("group-stalled")
		o.fleet.suspects[m.head] = suspicion{group: m.group, until: now.Add(suspectFor), own: m.from == ""}
		if m.from == "" {
			o.n.links.send(News{From: o.n.cfg.ID, Stalled: []StalledHead{{Group: m.group, Head: m.head}}})
		}
		o.fleetStale = true
	}
	if o.fleet.planner == nil {
		return
	}
	for _, i := range o.fleet.instances {
		if i.Group.Key == m.group && i.lost.IsZero() {
			o.ask(i, now, promptReport)
		}
	}
}

// expected is how long an order that was begun takes, if the end is worth
// asking for.
func (o *owner) expected(order types.GroupOrder, i models.UpstreamInstance) (time.Duration, bool) {
	service, known := o.config.routing.Services[i.Service]
	if !known || service.Engine == nil {
		return 0, false
	}
	model, known := service.Engine.Model(fleet.ModelOf(order.Group.Name))
	switch {
	case !known:
		return 0, false
	case order.Kind == types.GroupOpen:
		return service.Engine.FormTime + reportMargin, true
	case order.Kind == types.GroupJoin && i.LoadedModel == model.Name:
		return fleet.RejoinTime + reportMargin, true
	case order.Kind == types.GroupJoin && slices.Contains(i.StagedModels, model.Name):
		return model.WarmLoadTime + reportMargin, true
	}
	return 0, false
}

// underWay reports whether the instance is still at an order that should be
// done.
func (o *owner) underWay(k *knownInstance) bool {
	if o.fleet.planner == nil {
		return false
	}
	switch o.fleet.planner.OrderInProgress(k.ID) {
	case types.GroupJoin:
		return k.Group.State == models.MemberJoining && joinedWarm(k.UpstreamInstance)
	case types.GroupOpen:
		return k.Group.State == models.MemberReady
	default:
		return false
	}
}

// joinedWarm reports whether the instance had the weights of its group's model
// when it joined, so that it is done within a second or two.
func joinedWarm(i models.UpstreamInstance) bool {
	return fleet.IsWarm(i, fleet.ModelOf(i.Group.Key.Name))
}

// askDue asks the instances whose orders should be done by now.
func (o *owner) askDue(now time.Time) {
	for id, at := range o.fleet.due {
		if now.Before(at) {
			continue
		}
		delete(o.fleet.due, id)
		if k := o.fleet.instances[id]; k != nil && o.fleet.planner != nil {
			o.askNext(k, patientReport)
		}
	}
}
