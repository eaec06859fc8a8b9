package cluster

import (
	"iter"
	"maps"

	"github.com/lupinkeel/lupinkeel/models"
)

// The demand for each model is summed up by zone for the planner.

// ModelDemand is the demand of callers for a model, as sums over the requests of a second.
type ModelDemand struct {
	//lint:ignore U1000 The codec reads it: the figures go without their names.
	_msgpack struct{} `msgpack:",as_array"`

	// Work is in group-seconds: how many replica groups the requests would keep fully busy.
	Work float32
	// Requests is the number of requests, Prompt and Output are the tokens of their prompts and the
	// maximum tokens of the responses that their callers accept.
	Requests float32
	Prompt   float32
	Output   float32
	// Target are the latency targets, in seconds.
	Target float32
	// Base are the base latencies, in seconds, of those requests for which one has been observed,
	// and Observed is the number of these.
	Base     float32
	Observed float32
}

// Add returns the sum of two demands.
func (d ModelDemand) Add(o ModelDemand) ModelDemand {
	return ModelDemand{
		Work: d.Work + o.Work, Requests: d.Requests + o.Requests, Prompt: d.Prompt + o.Prompt, Output: d.Output + o.Output,
		Target: d.Target + o.Target, Base: d.Base + o.Base, Observed: d.Observed + o.Observed,
	}
}

// Scale returns the demand multiplied by a factor.
func (d ModelDemand) Scale(factor float64) ModelDemand {
	f := float32(factor)
	return ModelDemand{
		Work: f * d.Work, Requests: f * d.Requests, Prompt: f * d.Prompt, Output: f * d.Output,
		Target: f * d.Target, Base: f * d.Base, Observed: f * d.Observed,
	}
}

// serviceDemand is the demand for each model of each service.
type serviceDemand map[models.ServiceName]map[models.ModelName]ModelDemand

// clusterDemand returns the demand of all daemons' callers for each model. The demand of another
// zone comes from the first of its relays that sends it.
func (o *owner) clusterDemand() map[models.ServedModel]ModelDemand {
	sum := o.zoneDemand()
	if o.peers.topology.IsMesh {
		return sum
	}
	counted := map[models.Zone]bool{}
	for _, d := range o.peers.topology.PlannerCandidates {
		p, seen := o.peers.seen[d.ID]
		if d.Zone == o.n.cfg.Zone || !seen || counted[d.Zone] || len(p.heartbeat.ZoneDemand) == 0 {
			continue
		}
		counted[d.Zone] = true
		o.addDemand(sum, p.heartbeat.ZoneServiceDemand, p.heartbeat.ZoneDemand)
	}
	return sum
}

// zoneDemand returns the demand of the callers of this zone's daemons for each model; in a mesh, of
// all daemons.
func (o *owner) zoneDemand() map[models.ServedModel]ModelDemand {
	sum := maps.Clone(o.n.traffic.Demand())
	if sum == nil {
		sum = map[models.ServedModel]ModelDemand{}
	}
	for _, p := range o.peers.seen {
		if o.peers.topology.IsMesh || p.heartbeat.Zone == o.n.cfg.Zone {
			o.addDemand(sum, p.heartbeat.ServiceDemand, p.heartbeat.Demand)
		}
	}
	return sum
}

// addDemand adds the demand that another daemon sent. Without the demand by service, that for a model
// counts for each service that serves it: there is one, or the sender has an older version or
// configuration.
func (o *owner) addDemand(sum map[models.ServedModel]ModelDemand, byService serviceDemand, byModel map[models.ModelName]ModelDemand) {
	if len(byService) == 0 {
		byService = serviceDemand{}
		for service := range engineServices(o.config.routing) {
			byService[service] = byModel
		}
	}
	for service, demand := range byService {
		for model, d := range demand {
			served := models.ServedModel{Service: service, Model: model}
			sum[served] = sum[served].Add(d)
		}
	}
}

// engineServices yields the services that have engines.
func engineServices(routing *models.Routing) iter.Seq[models.ServiceName] {
	return func(yield func(models.ServiceName) bool) {
		if routing == nil {
			return
		}
		for name, service := range routing.Services {
			if service.Engine != nil && !yield(name) {
				return
			}
		}
	}
}

// demandToSend returns demand as it is sent to other daemons: by model, and by service as well if
// several have engines.
func demandToSend(demand map[models.ServedModel]ModelDemand, routing *models.Routing) (map[models.ModelName]ModelDemand, serviceDemand) {
	byModel, byService := map[models.ModelName]ModelDemand{}, serviceDemand{}
	for service := range engineServices(routing) {
		byService[service] = map[models.ModelName]ModelDemand{}
	}
	for served, d := range demand {
		byModel[served.Model] = byModel[served.Model].Add(d)
		if of := byService[served.Service]; of != nil {
			of[served.Model] = d
		}
	}
	if len(byService) < 2 {
		return byModel, nil
	}
	return byModel, byService
}

// zoneDemandUpdate returns the zone's demand to be sent to other zones, if this daemon is a relay.
func (o *owner) zoneDemandUpdate() map[models.ServedModel]ModelDemand {
	if o.peers.topology.IsMesh || !o.peers.topology.IsRelay {
		return nil
	}
	return o.zoneDemand()
}
