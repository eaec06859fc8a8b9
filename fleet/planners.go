package fleet

import (
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// Planners are the planners of one term, one for each service: services share neither instances nor
// demand, and may serve models of the same name. The fences and epochs of all of them are numbered
// together, so that the groups of two services never have the same key. It is not safe for concurrent
// use.
type Planners struct {
	numbering *numbering
	began     time.Time
	byService map[models.ServiceName]*Planner
}

// NewPlanners returns the planners of a term that starts now. Terms must increase.
func NewPlanners(term int64, now time.Time) *Planners {
	return &Planners{numbering: &numbering{term: term}, began: now, byService: map[models.ServiceName]*Planner{}}
}

// Of returns the planner of a service.
func (p *Planners) Of(service models.ServiceName) *Planner {
	planner := p.byService[service]
	if planner == nil {
		planner = newPlanner(p.numbering, p.began)
		p.byService[service] = planner
	}
	return planner
}

// Retain drops the planners of services for which keep returns false.
func (p *Planners) Retain(keep func(models.ServiceName) bool) {
	maps.DeleteFunc(p.byService, func(service models.ServiceName, _ *Planner) bool { return !keep(service) })
}

// Superseded reports whether any of the planners is superseded.
func (p *Planners) Superseded() bool {
	for _, planner := range p.byService {
		if planner.Superseded() {
			return true
		}
	}
	return false
}

// RecordOutcome records the outcome of an order to an instance whose service may not be known any more.
func (p *Planners) RecordOutcome(o types.GroupOrder, outcome types.OrderOutcome, now time.Time) {
	for _, planner := range p.byService {
		if planner.sent[o.Instance] != nil || len(p.byService) == 1 {
			planner.RecordOutcome(o, outcome, now)
		}
	}
}
