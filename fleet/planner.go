// Package fleet decides which replica groups the upstream instances of a model service form, and
// which orders bring that about. It does no I/O: a planner is passed the time and the reported
// state of the instances, and returns orders.
//
// The instances are the source of truth. A new planner adopts the groups that it finds. A replaced
// planner is fenced off: every instance rejects orders with an older fence than it has seen.
package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// termBits is the number of low bits of a fence that number the orders of a term. A term lasts
	// for a million orders, more than a deployment issues in a day.
	termBits = 20
	// orderRetryInterval is how long an order may stay unanswered or without effect before it is
	// issued again under a newer fence.
	orderRetryInterval = 600 * time.Millisecond
	// unfitBackoff is how long an instance that rejected an order gets no new group.
	unfitBackoff = 2 * time.Second
	// deadlineSlack is added to the expected time of a formation, staging or warming to get its
	// deadline; deadlineFactor allows for loads that slow each other down.
	deadlineSlack  = 3 * time.Second
	deadlineFactor = 2
	// RejoinTime is how long an instance takes to join a group of the model that it ran last, as
	// specified by the engines' vendors.
	RejoinTime = 200 * time.Millisecond
	// stopRetryInterval is how soon a head that began to close receives the order again: its response
	// reports when it has closed.
	stopRetryInterval = 30 * time.Millisecond
	// drainRetryInterval is the same for a head that finishes its requests, which takes about a
	// second.
	drainRetryInterval = 250 * time.Millisecond
	// loadWindow is the window over which load starts are limited, and loadRateFraction the
	// fraction of the weight store's rate that may be used in it.
	loadWindow       = 5 * time.Second
	loadRateFraction = 0.8
)

// Snapshot is the planner's input: the known state at one moment.
type Snapshot struct {
	Now     time.Time
	Profile *models.EngineProfile
	// Instances holds the instances of the model service that have an entry in the store.
	Instances map[models.InstanceID]models.UpstreamInstance
	// Unreachable holds instances that have an entry but do not answer.
	Unreachable map[models.InstanceID]bool
	// Unlisted holds members of groups that have no entry any more. Their groups may go on, but
	// they join no new groups.
	Unlisted map[models.InstanceID]bool
	// Unverified holds instances that the planner has not queried in its own term. Their known state
	// may be older than the last orders of the previous planner, so they join no new groups.
	Unverified map[models.InstanceID]bool
	// Evacuated holds the zones whose instances get no new requests. Their groups stay open, but do
	// not count as supply, and no groups are formed there.
	Evacuated map[models.Zone]bool
	// DemandShares is the fraction of all instances that each model needs.
	DemandShares map[models.ModelName]float64
	// InFlight is the number of requests in flight in each model's groups.
	InFlight map[models.ModelName]float64
	// LimitedSlots is the number of slots of each model's groups that can't be used because their
	// heads announce rate limits.
	LimitedSlots map[models.ModelName]float64
	// Demand is the demand of callers for each model, Serving the number of its serving groups.
	Demand  map[models.ModelName]Demand
	Serving map[models.ModelName]int
	// HasTraffic is set once requests have arrived. Until then loads are cheap.
	HasTraffic bool
}

// usable reports whether an instance may be a member of a group.
func (s Snapshot) usable(id models.InstanceID) bool {
	i, present := s.Instances[id]
	return present && !s.Unreachable[id] && !s.Unlisted[id] && !i.Draining
}

// maxOrders is the number of fences and epochs of a term, less a reserve for the orders of one
// round.
const maxOrders = 1<<termBits - 1<<12

// numbering numbers the orders of a term.
type numbering struct{ term, seq int64 }

// usedUp reports whether the next order needs a new term.
func (n *numbering) usedUp() bool { return n.seq >= maxOrders }

// Planner issues the orders of one term to the instances of one service. It is not safe for
// concurrent use.
type Planner struct {
	*numbering
	// forming holds the groups that are being formed, ending the groups that are being dissolved.
	forming map[models.GroupKey]*formation
	ending  map[models.GroupKey]*ending
	// members are those of the groups that have been complete.
	members Members
	// unansweredOpens is when an order to open a group last got no response.
	unansweredOpens map[models.GroupKey]time.Time
	// sent holds the last order to each instance.
	sent map[models.InstanceID]*sentOrder
	// startTimes is the last known start time of each instance.
	startTimes map[models.InstanceID]time.Time
	// backoffUntil is how long instances that rejected an order get no new group.
	backoffUntil map[models.InstanceID]time.Time
	// layout is the plan for groups formed before there is traffic, layoutBasis its input.
	layout      layout
	layoutBasis layoutInput
	// staging holds the models that instances are loading onto their hosts.
	staging map[models.InstanceID]staging
	// warming holds the spares that are joining a group of their own.
	warming  map[models.InstanceID]warming
	arrivals arrivals
	// converting holds the conversions in progress, converted when the last one of each domain
	// started, conversions counts them.
	converting  map[models.Domain]*conversion
	converted   map[models.Domain]time.Time
	conversions ConversionCounts
	calibration calibration
	// began is when the term began.
	began time.Time
	// loadStarts holds when loads were started within loadWindow.
	loadStarts []time.Time
	// superseded is set when an instance has seen a newer term.
	superseded bool
	counts     Counts
	// last is the last round.
	last *round
}

// pending is the outcome of an order that has not been answered yet.
const pending types.OrderOutcome = ""

type sentOrder struct {
	order   types.GroupOrder
	at      time.Time
	outcome types.OrderOutcome
}

// NewPlanner returns the planner of a term that starts now. Terms must increase.
func NewPlanner(term int64, now time.Time) *Planner {
	return newPlanner(&numbering{term: term}, now)
}

func newPlanner(n *numbering, now time.Time) *Planner {
	return &Planner{
		numbering: n, forming: map[models.GroupKey]*formation{}, ending: map[models.GroupKey]*ending{},
		sent: map[models.InstanceID]*sentOrder{}, startTimes: map[models.InstanceID]time.Time{}, unansweredOpens: map[models.GroupKey]time.Time{}, backoffUntil: map[models.InstanceID]time.Time{},
		staging: map[models.InstanceID]staging{}, began: now, converting: map[models.Domain]*conversion{}, converted: map[models.Domain]time.Time{},
		warming: map[models.InstanceID]warming{}, arrivals: newArrivals(), calibration: newCalibration(),
	}
}

// Superseded reports whether a planner of a newer term issues orders, or must take over because the
// fences of this term are used up.
func (p *Planner) Superseded() bool { return p.superseded || p.usedUp() }

// nextFence returns a number that increases with each call and with each term. It serves as fence
// and as epoch.
func (p *Planner) nextFence() int64 {
	p.seq++
	return p.term<<termBits | p.seq
}

// TermOf returns the term in which an order with this fence was issued.
func TermOf(fence int64) int64 { return fence >> termBits }

// newKey returns a unique key for a new group of the model.
func (p *Planner) newKey(model models.ModelName) models.GroupKey {
	epoch := p.nextFence()
	return models.GroupKey{Name: nameGroup(model, epoch), Epoch: epoch}
}

// nameGroup returns the name of a group, from which ModelOf extracts the model.
func nameGroup(model models.ModelName, epoch int64) models.GroupID {
	return models.GroupID(string(model) + "." + strconv.FormatInt(epoch, 36))
}

// ModelOf returns the model of a group that a planner named.
func ModelOf(name models.GroupID) models.ModelName {
	at := strings.LastIndexByte(string(name), '.')
	if at < 0 {
		return ""
	}
	return models.ModelName(name[:at])
}

// Step runs one planning round and returns the orders that are due.
func (p *Planner) Step(s Snapshot) []types.GroupOrder {
	if s.Profile == nil || len(s.Profile.Models) == 0 {
		return nil
	}
	r := &round{Planner: p, Snapshot: s, groups: p.groupsOf(s), reserved: map[models.InstanceID]bool{}, assigned: supply{}, assignedByDomain: map[models.Domain]supply{}}
	r.arrivals.observe(s.Instances, s.Now)
	r.detectRestarts()
	r.pruneState()
	r.calibration.observe(s)
	r.advanceFormations()
	r.advanceWarming()
	r.evaluateGroups()
	r.advanceStaging()
	r.advanceConversions()
	r.advanceEndings()
	r.formGroups()
	r.formFirstGroups()
	r.startConversions()
	r.prepareSpares()
	p.last = r
	p.counts = Counts{Forming: len(p.forming), Ending: len(p.ending), Staging: len(p.staging), Loading: r.loading}
	for _, ids := range r.freeInstances() {
		p.counts.Free += len(ids)
	}
	return r.orders
}

// OrderInProgress returns the kind of the order that the instance is executing, empty if there is
// none.
func (p *Planner) OrderInProgress(id models.InstanceID) types.GroupOrderKind {
	if s := p.sent[id]; s != nil && s.outcome == types.OrderStarted {
		return s.order.Kind
	}
	return ""
}

// Counts is the number of operations that a planner has in progress.
type Counts struct {
	// Forming and Ending count groups, the others instances. Free counts the instances that are in
	// no group and not about to join one.
	Forming, Ending, Staging, Loading, Free int
}

// ConversionCounts counts the conversions of a planner's term.
type ConversionCounts struct {
	// Begun counts all, Completed those whose members were freed to form their group, and GivenUp
	// those that lost a member or took too long.
	Begun, Completed, GivenUp int
}

// Conversions returns the conversions of this term.
func (p *Planner) Conversions() ConversionCounts { return p.conversions }

// Counts returns the counts after the last Step.
func (p *Planner) Counts() Counts { return p.counts }

// RecordOutcome records the outcome of an order.
func (p *Planner) RecordOutcome(o types.GroupOrder, outcome types.OrderOutcome, now time.Time) {
	if (models.UpstreamInstance{StartedAt: p.startTimes[o.Instance]}).CompareIncarnation(o.StartedAt) != models.SameIncarnation {
		// The instance has restarted since the order.
		return
	}
	if s := p.sent[o.Instance]; s != nil && s.order.Fence == o.Fence {
		s.outcome = outcome
	}
	switch outcome {
	case types.OrderFenced:
		p.handleFenced(o)
	case types.OrderRejected, types.OrderOtherInstance:
		if o.Kind == types.GroupJoin || outcome == types.OrderOtherInstance {
			p.backoffUntil[o.Instance] = now.Add(unfitBackoff)
		}
	case types.OrderDone, types.OrderStarted:
		p.handleAccepted(o, outcome, now)
	case types.OrderUnknown:
		if o.Kind == types.GroupOpen {
			p.unansweredOpens[o.Group] = now
		}
	}
}

// handleFenced marks the planner as superseded, unless the order was overtaken by a newer order of
// this planner.
func (p *Planner) handleFenced(o types.GroupOrder) {
	if s := p.sent[o.Instance]; s != nil && s.order.Fence == o.Fence {
		p.superseded = true
	}
}

// handleAccepted records that a member joins, or that a head takes no more requests.
func (p *Planner) handleAccepted(o types.GroupOrder, outcome types.OrderOutcome, now time.Time) {
	if f := p.forming[o.Group]; f != nil && o.Kind == types.GroupJoin {
		f.joined[o.Instance] = true
	}
	if e := p.ending[o.Group]; e != nil && o.Instance == e.head && outcome == types.OrderDone {
		e.confirm(o.Kind, p.mayReopen(o.Group, now))
	}
}
