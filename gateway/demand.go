package gateway

import (
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

// demandRates are the rates of the requests for a model. Their past decays exponentially, with
// averagingPeriod.
type demandRates struct {
	rates   cluster.ModelDemand
	updated time.Time
}

// decayed returns the rates now. It may be called on nil.
func (d *demandRates) decayed(now time.Time) cluster.ModelDemand {
	if d == nil {
		return cluster.ModelDemand{}
	}
	return d.rates.Scale(math.Exp(-now.Sub(d.updated).Seconds() / averagingPeriod.Seconds()))
}

// requests returns the rate of requests now. It may be called on nil.
func (d *demandRates) requests(now time.Time) float64 { return float64(d.decayed(now).Requests) }

// add counts one request.
func (d *demandRates) add(request cluster.ModelDemand, now time.Time) {
	d.rates, d.updated = d.decayed(now).Add(request.Scale(1/averagingPeriod.Seconds())), now
}

// Demand returns the demand of this daemon's callers for each model.
func (s *scheduler) Demand() map[models.ServedModel]cluster.ModelDemand {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[models.ServedModel]cluster.ModelDemand, len(s.demand))
	for served, rates := range s.demand {
		d := rates.decayed(now)
		if base := s.bases[served]; base != nil {
			d.Observed, d.Base = d.Requests, d.Requests*float32(base.value.Seconds())
		}
		out[served] = d
	}
	return out
}

// addDemand adds a request to the demand for a model.
func (s *scheduler) addDemand(model models.ServedModel, request cluster.ModelDemand) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.demand[model]
	if d == nil {
		d = &demandRates{updated: now}
		s.demand[model] = d
	}
	if request.Target == 0 && d.rates.Requests > 0 {
		// Requests of routes without a latency target must not lower the mean target.
		request.Target = d.rates.Target / d.rates.Requests
	}
	d.add(request, now)
}

// addDemand adds the request to the demand for its model.
func (e *exchange) addDemand() {
	service, known := e.g.node.View().Routing.Services[e.service]
	if !known || service.Engine == nil {
		return
	}
	profile, known := service.Engine.Model(e.head.Model)
	if !known {
		return
	}
	e.g.scheduler.addDemand(e.servedModel(), cluster.ModelDemand{
		Work: float32(groupSeconds(service.Engine, profile, e.head)), Requests: 1,
		Prompt: float32(e.head.PromptTokens), Output: float32(e.head.OutputTokens), Target: float32(e.route.LatencyTarget.Seconds()),
	})
}

// groupSeconds returns how long a request would occupy a whole group, at half of the group's slots
// in use.
func groupSeconds(engine *models.EngineProfile, model models.ModelProfile, head models.RequestHead) float64 {
	read := float64(head.PromptTokens) / max(1, engine.PrefillTokensPerSecond)
	half := max(1, float64(engine.Slots)/2)
	token := engine.StepTime.Seconds()/half + engine.StepTimePerRequest.Seconds()
	return (read + float64(head.OutputTokens)*token) * model.TimeFactor
}
