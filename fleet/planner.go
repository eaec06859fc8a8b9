// Package fleet decides which replica groups the upstream instances of a
// model service form, and which orders bring that about. It is pure: a
// planner is told the time and what the instances say, and returns orders.
//
// The instances hold the truth. A planner that starts adopts the groups that
// it finds; one that was replaced is shut out by the fence of its successor,
// which every instance remembers.
package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// termBits is how far a term is shifted to make room for the orders
	// given in it. A term of a million orders outlasts any deployment's day.
	termBits = 20
	// repeatAfter is how long an order may go unanswered or unheeded before
	// it is given again under a newer fence.
	repeatAfter = 600 * time.Millisecond
	// holdUnfit is how long an instance that refused an order is left alone.
	holdUnfit = 2 * time.Second
	// formSlack is added to the expected time of a formation, staging or
	// warming before it is given up; formFactor allows for loads slowed by
	// others.
	formSlack  = 3 * time.Second
	formFactor = 2
	// Rejoin is how long an instance takes to join a group of the model that
	// it ran last, as the engines' makers state.
	Rejoin = 200 * time.Millisecond
	// repeatClose is how soon a head that began to close is told so again:
	// its answer tells when it is done.
	repeatClose = 30 * time.Millisecond
	// repeatFinish is the same for a head that lets its requests end, which
	// takes a second or so.
	repeatFinish = 250 * time.Millisecond
	// loadWindow is the window over which begun loads are bounded, and
	// loadMargin the part of the weight store's rate that is used in it.
	loadWindow = 5 * time.Second
	loadMargin = 0.8
)

// World is what is known at one moment.
type World struct {
	Now     time.Time
	Profile *models.EngineProfile
	// Instances are those of the model service that have an entry.
	Instances map[models.InstanceID]models.UpstreamInstance
	// Lost are instances that have an entry and yet do not answer.
	Lost map[models.InstanceID]bool
	// Unlisted are members of groups that have no entry any more. Their groups
	// may go on, but nothing new is made of them.
	Unlisted map[models.InstanceID]bool
	// Unproven are instances that the planner has not asked in its own term.
	// What is known of them may be older than the last planner's orders, so
	// they are not used for new groups.
	Unproven map[models.InstanceID]bool
	// Demand is the part of all instances that each model needs.
	Demand map[models.ModelName]float64
	// Busy counts the requests that each model's groups have.
	Busy map[models.ModelName]float64
	// Withheld counts the places of each model's groups that are not to be had, since
	// their heads name limits.
	Withheld map[models.ModelName]float64
	// Traffic tells that requests have come. Until then loads are cheap.
	Traffic bool
}

// usable reports whether an instance may be given a part in a group.
func (w World) usable(id models.InstanceID) bool {
	i, there := w.Instances[id]
	return there && !w.Lost[id] && !w.Unlisted[id] && !i.Draining
}

// maxOrders is how many fences and epochs there are in a term, less those of
// one round.
const maxOrders = 1<<termBits - 1<<12

// Planner gives the orders of one term. Its methods are not safe for use by
// several goroutines.
type Planner struct {
	term int64
	seq  int64
	// forming are the groups that are being made, ending those that are
	// being taken apart.
	forming map[models.GroupKey]*formation
	ending  map[models.GroupKey]*ending
	// unheardOpens is when an order to open a group got no answer last.
	unheardOpens map[models.GroupKey]time.Time
	// sent holds the last order to each instance.
	sent map[models.InstanceID]*sentOrder
	// born is the birth of each instance's life that the planner knows.
	born map[models.InstanceID]time.Time
	// held are instances that refused an order, until when.
	held map[models.InstanceID]time.Time
	// layout is what to form before there is traffic, laidFor what it was made
	// for.
	layout  layout
	laidFor layoutInput
	// staging is what instances are loading onto their hosts.
	staging map[models.InstanceID]staging
	// warming are spares that get ready to join faster.
	warming  map[models.InstanceID]warming
	arrivals arrivals
	// converting is the conversion under way, converted when the last began.
	converting *conversion
	converted  time.Time
	// began is when the term began.
	began time.Time
	// loads are when loads were begun of late.
	loads []time.Time
	// superseded tells that an instance has seen a newer term.
	superseded bool
	counts     Counts
}

// pending is the outcome of an order until its answer is in.
const pending types.OrderOutcome = ""

type sentOrder struct {
	order   types.GroupOrder
	at      time.Time
	outcome types.OrderOutcome
}

// NewPlanner returns the planner of a term that begins now. Terms only ever
// rise.
func NewPlanner(term int64, now time.Time) *Planner {
	return &Planner{
		term: term, forming: map[models.GroupKey]*formation{}, ending: map[models.GroupKey]*ending{},
		sent: map[models.InstanceID]*sentOrder{}, born: map[models.InstanceID]time.Time{}, unheardOpens: map[models.GroupKey]time.Time{}, held: map[models.InstanceID]time.Time{},
		staging: map[models.InstanceID]staging{}, began: now, converted: now,
		warming: map[models.InstanceID]warming{}, arrivals: newArrivals(),
	}
}

// Superseded reports whether a planner of a newer term gives orders, or one
// has to since this one's numbers are used up.
func (p *Planner) Superseded() bool { return p.superseded || p.seq >= maxOrders }

// next returns a number that rises with each call and with each term. It
// serves as fence and as epoch.
func (p *Planner) next() int64 {
	p.seq++
	return p.term<<termBits | p.seq
}

// TermOf returns the term in which an order with this fence was given.
func TermOf(fence int64) int64 { return fence >> termBits }

// newKey names a group of the model that was never before.
func (p *Planner) newKey(model models.ModelName) models.GroupKey {
	epoch := p.next()
	return models.GroupKey{Name: nameGroup(model, epoch), Epoch: epoch}
}

// nameGroup makes a group's name, from which ModelOf reads its model.
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

// Step returns the orders that are due.
func (p *Planner) Step(w World) []types.GroupOrder {
	if w.Profile == nil || len(w.Profile.Models) == 0 {
		return nil
	}
	r := &round{Planner: p, World: w, groups: Groups(w.Instances), taken: map[models.InstanceID]bool{}, settled: supply{}, settledIn: map[models.Domain]supply{}}
	r.arrivals.note(w.Instances, w.Now)
	r.noteLives()
	r.forget()
	r.advanceForming()
	r.advanceWarming()
	r.examineGroups()
	r.advanceStaging()
	r.advanceConversion()
	r.advanceEnding()
	r.formAll()
	r.convert()
	r.prepareSpares()
	p.counts = Counts{Forming: len(p.forming), Ending: len(p.ending), Staging: len(p.staging), Loading: r.loading}
	for _, ids := range r.free() {
		p.counts.Free += len(ids)
	}
	return r.orders
}

// Expects is the kind of the last order that the instance began, empty if it
// is at none.
func (p *Planner) Expects(id models.InstanceID) types.GroupOrderKind {
	if s := p.sent[id]; s != nil && s.outcome == types.OrderBegun {
		return s.order.Kind
	}
	return ""
}

// Counts tells what a planner has under way.
type Counts struct {
	// Forming and Ending count groups, the others instances. Free are those
	// in no group and not on the way into one.
	Forming, Ending, Staging, Loading, Free int
}

// Counts tells what was under way after the last Step.
func (p *Planner) Counts() Counts { return p.counts }

// Note takes in what came of an order.
func (p *Planner) Note(o types.GroupOrder, outcome types.OrderOutcome, now time.Time) {
	if (models.UpstreamInstance{Born: p.born[o.Instance]}).LifeOf(o.Born) != models.SameLife {
		// It was given to another life.
		return
	}
	if s := p.sent[o.Instance]; s != nil && s.order.Fence == o.Fence {
		s.outcome = outcome
	}
	switch outcome {
	case types.OrderFenced:
		p.noteFenced(o)
	case types.OrderUnfit, types.OrderOtherInstance:
		if o.Kind == types.GroupJoin || outcome == types.OrderOtherInstance {
			p.held[o.Instance] = now.Add(holdUnfit)
		}
	case types.OrderDone, types.OrderBegun:
		p.noteTaken(o, outcome, now)
	case types.OrderUnknown:
		if o.Kind == types.GroupOpen {
			p.unheardOpens[o.Group] = now
		}
	}
}

// noteFenced tells an order overtaken by a newer one of this planner from
// one of another's.
func (p *Planner) noteFenced(o types.GroupOrder) {
	if s := p.sent[o.Instance]; s != nil && s.order.Fence == o.Fence {
		p.superseded = true
	}
}

// noteTaken notes that a member joins, or that a head takes no requests any
// more.
func (p *Planner) noteTaken(o types.GroupOrder, outcome types.OrderOutcome, now time.Time) {
	if f := p.forming[o.Group]; f != nil && o.Kind == types.GroupJoin {
		f.joined[o.Instance] = true
	}
	if e := p.ending[o.Group]; e != nil && o.Instance == e.head && outcome == types.OrderDone {
		e.took(o.Kind, p.mayReopen(o.Group, now))
	}
}
