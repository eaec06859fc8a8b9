package cluster

import (
	"maps"
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// demandSmoothing is the weight of the previous estimate in the moving average, which is
	// updated at each planning round, twenty times a second: it follows changes within two seconds.
	demandSmoothing = 0.95
	// minDemand is the total demand, in groups, below which the shares declared in the configuration
	// are used instead of the measured demand.
	minDemand = 0.5
)

// demandShares returns the share of a service's instances that each model needs.
func (o *owner) demandShares(service models.ServiceName, engine *models.EngineProfile) map[models.ModelName]float64 {
	demand, averages := o.clusterDemand(), o.fleet.averagesOf(service)
	work := func(m models.ModelProfile) float64 {
		return float64(demand[models.ServedModel{Service: service, Model: m.Name}].Work) * float64(m.GroupSize)
	}
	total := 0.0
	for _, m := range engine.Models {
		total += work(m)
	}
	if total > 0 {
		o.fleet.hasTraffic = true
	}
	want := map[models.ModelName]float64{}
	for _, m := range engine.Models {
		want[m.Name] = m.Share
		if total > minDemand {
			want[m.Name] = work(m) / total
		}
	}
	if averages.demandShares == nil || total <= minDemand {
		averages.demandShares = want
	}
	for name, w := range want {
		averages.demandShares[name] = demandSmoothing*averages.demandShares[name] + (1-demandSmoothing)*w
	}
	return maps.Clone(averages.demandShares)
}

// meanDemand returns the demand of all daemons' callers for a service, as means over the requests for
// each model.
func (o *owner) meanDemand(service models.ServiceName) map[models.ModelName]fleet.Demand {
	out := map[models.ModelName]fleet.Demand{}
	for served, d := range o.clusterDemand() {
		if served.Service != service || d.Requests <= 0 {
			continue
		}
		mean := fleet.Demand{
			Rate: float64(d.Requests), Prompt: float64(d.Prompt / d.Requests), Output: float64(d.Output / d.Requests),
			Target: seconds(d.Target / d.Requests),
		}
		if d.Observed > 0 {
			mean.Base = seconds(d.Base / d.Observed)
		}
		out[served.Model] = mean
	}
	return out
}

func seconds(s float32) time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// inFlightSmoothing is the weight of the previous average in the moving average of requests, which
// is updated at each planning round, twenty times a second: it follows changes within two seconds.
const inFlightSmoothing = 0.97

// requestsInFlight returns, by a service's models, moving averages of the requests in flight at their
// groups and of the slots that rate limits and backoff withhold.
func (o *owner) requestsInFlight(service models.ServiceName, engine *models.EngineProfile, now time.Time) (inFlight, withheld map[models.ModelName]float64) {
	groups, averages := o.fleet.serving(now), o.fleet.averagesOf(service)
	own := o.n.traffic.Loads()
	for _, m := range engine.Models {
		sum, unusable := 0, 0
		for _, g := range groups[models.ServedModel{Service: service, Model: m.Name}] {
			requests := own[g.Head.ID].Requests + o.n.PeersLoad(g.Head.ID).Requests
			sum += requests
			rate := o.n.limits.Rate(g.Head, now)
			if o.n.breakers.IsBusy(g.Head) {
				rate = 0
			}
			unusable += engine.Slots - usableSlots(engine, rate, requests)
		}
		updateAverage(averages.inFlight, m.Name, sum)
		updateAverage(averages.withheld, m.Name, unusable)
	}
	return maps.Clone(averages.inFlight), maps.Clone(averages.withheld)
}

// typicalRequestTime is roughly how long a request occupies a slot.
const typicalRequestTime = time.Second

// usableSlots returns how many of a group's slots can be used if its head may get requests at a
// rate.
func usableSlots(engine *models.EngineProfile, rate float64, requests int) int {
	if rate >= float64(engine.Slots)/typicalRequestTime.Seconds() {
		return engine.Slots
	}
	return min(engine.Slots, max(requests, int(math.Ceil(rate*typicalRequestTime.Seconds()))))
}

// updateAverage adds a count to a model's moving average.
func updateAverage(averages map[models.ModelName]float64, model models.ModelName, count int) {
	if _, known := averages[model]; !known {
		averages[model] = float64(count)
	}
	averages[model] = inFlightSmoothing*averages[model] + (1-inFlightSmoothing)*float64(count)
}

// countConversions adds the conversions between two counts of one planner to the metrics.
func (s *stats) countConversions(before, now fleet.ConversionCounts) {
	s.conversionsBegun.Add(now.Begun - before.Begun)
	s.conversionsCompleted.Add(now.Completed - before.Completed)
	s.conversionsGivenUp.Add(now.GivenUp - before.GivenUp)
}

// supplyLogInterval is how often the planner logs supply and demand.
const supplyLogInterval = 2 * time.Second

// logSupply logs the groups and the demand of each model of a service, and its planner's queues.
func (o *owner) logSupply(service models.ServiceName, engine *models.EngineProfile, w fleet.Snapshot) {
	averages, planner := o.fleet.averagesOf(service), o.fleet.planners.Of(service)
	if w.Now.Sub(averages.loggedAt) < supplyLogInterval {
		return
	}
	averages.loggedAt = w.Now
	groups := o.fleet.serving(w.Now)
	demand, supply := o.clusterDemand(), planner.Supply()
	for _, m := range engine.Models {
		busy, s, served := int(w.InFlight[m.Name]), supply[m.Name], models.ServedModel{Service: service, Model: m.Name}
		o.n.log.Info().Str("service", string(service)).Str("model", string(m.Name)).Int("groups", len(groups[served])).Int("size", m.GroupSize).Int("in-flight", busy).
			Float64("demand", w.DemandShares[m.Name]).Float32("work", demand[served].Work).Int("instances", len(w.Instances)).
			Int("lost", len(w.Unreachable)).Float64("rate", w.Demand[m.Name].Rate).Int("target", s.Target).Int("reached", s.Reached).
			Float64("late", s.Late).Dur("base", s.Base).Float64("length", s.OutputTokens).Str("held", string(s.Held)).Msg("supply")
	}
	c, conversions := planner.Counts(), planner.Conversions()
	o.n.log.Info().Str("service", string(service)).Int("forming", c.Forming).Int("ending", c.Ending).Int("staging", c.Staging).Int("loading", c.Loading).
		Int("free", c.Free).Int("orders", o.fleet.ordersInFlight).Int("questions", o.fleet.probesInFlight).Int("calls-most", o.fleet.callLimit.Max()).
		Int("conversions-begun", conversions.Begun).Int("conversions-completed", conversions.Completed).Int("conversions-given-up", conversions.GivenUp).Msg("plan")
}
