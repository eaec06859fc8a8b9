package cluster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/pack"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// twoServices is a configuration of two services of engines that serve a model of the same name.
func twoServices() *models.Routing {
	engine := func() *models.EngineProfile {
		return &models.EngineProfile{Slots: 10, MaxConcurrentLoads: 9, LoadsPerSecond: 9, FormTime: time.Second, Models: []models.ModelProfile{
			{Name: "m", GroupSize: 2, Share: 1, TimeFactor: 1, LoadTime: time.Second, WarmLoadTime: time.Second},
		}}
	}
	return &models.Routing{Services: map[models.ServiceName]models.UpstreamService{"s": {Name: "s", Engine: engine()}, "t": {Name: "t", Engine: engine()}}}
}

// TestServiceForgetsFormations guards against a planner that takes the instances of one service for gone
// in the round of another one, and so begins the formations of both again and again.
func TestServiceForgetsFormations(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.config.routing = twoServices()
	now := time.Now()
	for service := range o.config.routing.Services {
		for n := range 4 {
			id := models.InstanceID(fmt.Sprintf("%s-%d", service, n))
			o.fleet.instances[id] = &knownInstance{stateAt: now, UpstreamInstance: models.UpstreamInstance{
				ID: id, Service: service, Domain: models.Domain(service), LoadedModel: "m", StagedModels: []models.ModelName{"m"}, StartedAt: time.Unix(1, 0),
			}}
		}
	}
	o.handleLease(leaseHeld{term: firstTerm, until: now.Add(time.Minute)})
	joins := map[models.InstanceID]map[models.GroupKey]bool{}
	for round := range 5 {
		for name, service := range o.config.routing.Services {
			snapshot := o.planningSnapshot(name, service.Engine, now.Add(time.Duration(round)*50*time.Millisecond))
			for _, order := range o.fleet.planners.Of(name).Step(snapshot) {
				c.Check(o.fleet.instances[order.Instance].Service, qt.Equals, name)
				if order.Kind != types.GroupJoin {
					continue
				}
				if joins[order.Instance] == nil {
					joins[order.Instance] = map[models.GroupKey]bool{}
				}
				joins[order.Instance][order.Group] = true
			}
		}
	}
	c.Assert(joins, qt.HasLen, 8)
	services := map[models.GroupKey]models.ServiceName{}
	for id, groups := range joins {
		c.Check(groups, qt.HasLen, 1, qt.Commentf("%s is to join one group", id))
		for key := range groups {
			service := o.fleet.instances[id].Service
			if other, taken := services[key]; taken {
				c.Check(other, qt.Equals, service, qt.Commentf("two services have a group %v", key))
			}
			services[key] = service
		}
	}
}

// TestOtherServiceTakesDemand guards against the demand for one service that counts for another one, in
// one daemon and between daemons.
func TestOtherServiceTakesDemand(t *testing.T) {
	c := qt.New(t)
	routing := twoServices()
	o := newTestOwner(t)
	o.peers.topology.IsMesh = true
	o.config.routing = routing
	o.n.traffic = demandTraffic{demand: map[models.ServedModel]ModelDemand{served("s"): {Requests: 10, Work: 4}}}
	receive := func(routing *models.Routing) {
		var sent, received Heartbeat
		sent.Demand, sent.ServiceDemand = demandToSend(map[models.ServedModel]ModelDemand{served("s"): {Requests: 30, Work: 8}}, routing)
		body, err := pack.Marshal(sent)
		c.Assert(err, qt.IsNil)
		c.Assert(pack.Unmarshal(body, &received), qt.IsNil)
		o.peers.seen["d2"] = peerStatus{heartbeat: received}
	}
	receive(routing)
	c.Check(o.meanDemand("s")["m"].Rate, qt.Equals, 40.0)
	c.Check(o.meanDemand("t"), qt.HasLen, 0)
	c.Check(o.clusterDemand()[served("s")].Work, qt.Equals, float32(12))

	// A daemon of an older version sends the demand by model alone.
	receive(nil)
	c.Check(o.meanDemand("s")["m"].Rate, qt.Equals, 40.0)
	c.Check(o.meanDemand("t")["m"].Rate, qt.Equals, 30.0)
}

// TestRemovedServicesFillMemory guards against what a planner keeps of services that operators have removed, and
// against a planner of such a service whose superseded orders end the term.
func TestRemovedServicesFillMemory(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	now := time.Now()
	o.handleLease(leaseHeld{term: firstTerm, until: now.Add(time.Minute)})
	for n := range 10 {
		name := models.ServiceName(fmt.Sprint("s", n))
		o.config.routing = &models.Routing{Services: map[models.ServiceName]models.UpstreamService{name: {Name: name, Engine: twoServices().Services["s"].Engine}}}
		now = now.Add(time.Second)
		o.fleet.lastPlan = throttle{}
		o.planGroups(now)
		kept := 0
		o.fleet.planners.Retain(func(models.ServiceName) bool { kept++; return true })
		c.Assert(kept, qt.Equals, 1, qt.Commentf("after %d services", n+1))
		c.Assert(o.fleet.averages, qt.HasLen, 1)
	}
}
