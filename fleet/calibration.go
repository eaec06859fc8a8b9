package fleet

import (
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// assumedOutputFraction is the fraction of the tokens that callers accept which responses
	// have, until it has been observed.
	assumedOutputFraction = 0.45
	// minOutputFraction bounds an observed fraction: while links are cut, the loads of some daemons
	// are missing but not their rates, and responses once looked half as long as they were.
	minOutputFraction = 0.3
	// maxOutputFraction bounds an observed fraction: responses can't have more tokens than callers
	// accept, but requests that wait for prefill or for slots count as in flight too.
	maxOutputFraction = 1.5
	// calibrationPeriod is the time constant of the moving average of the observed fraction: the
	// requests in flight and their rate are averages with time constants of 1.5 s themselves.
	calibrationPeriod = 5 * time.Second
	// maxCalibrationLoad is the fraction of the slots in use up to which the fraction is observed:
	// above it, requests in flight include those that wait for a slot.
	maxCalibrationLoad = 0.8
	// minCalibrationRate is the rate of requests from which the requests in flight are enough to
	// tell how long a request takes.
	minCalibrationRate = 5
	// calibrationDelay is the time from the first request, as this planner knows it, until the
	// averages of the rate and of the requests in flight have settled.
	calibrationDelay = 4 * time.Second
	// firstDemandDelay is the time from the first request until the first planner knows the demand.
	firstDemandDelay = 1500 * time.Millisecond
	// takeoverDelay is the time from the start of a later planner's term until it knows the demand:
	// the average of the requests in flight starts anew. With 4 s, a burst was over before the
	// successor of a planner that had failed moved anything.
	takeoverDelay = 3 * time.Second
	// peakPeriod is the time constant with which the recent peak of a model's rate decays: demand
	// oscillates over 10 to 15 s.
	peakPeriod = 20 * time.Second
	// firstTerm is the term of the first planner.
	firstTerm = 1
)

// calibration is what a planner has learned of the models' requests.
type calibration struct {
	// trafficSince is when the planner first knew of requests, updated when it last learned.
	trafficSince, updated time.Time
	// outputFractions is the fraction of the tokens that callers accept which responses have.
	outputFractions map[models.ModelName]float64
	// peaks are the recent peaks of the rates of requests.
	peaks map[models.ModelName]float64
}

func newCalibration() calibration {
	return calibration{outputFractions: map[models.ModelName]float64{}, peaks: map[models.ModelName]float64{}}
}

// outputFraction returns the observed or assumed fraction for a model.
func (c *calibration) outputFraction(model models.ModelName) float64 {
	if f, known := c.outputFractions[model]; known {
		return f
	}
	return assumedOutputFraction
}

// observe updates the calibration by the present demand and requests in flight.
func (c *calibration) observe(s Snapshot) {
	if !s.HasTraffic {
		return
	}
	if c.trafficSince.IsZero() {
		c.trafficSince, c.updated = s.Now, s.Now
	}
	elapsed := max(0, s.Now.Sub(c.updated))
	c.updated = s.Now
	weight := 1 - math.Exp(-elapsed.Seconds()/calibrationPeriod.Seconds())
	for _, m := range s.Profile.Models {
		c.peaks[m.Name] = max(s.Demand[m.Name].Rate, c.peaks[m.Name]*math.Exp(-elapsed.Seconds()/peakPeriod.Seconds()))
		observed, ok := s.observedOutputFraction(m)
		if ok && s.Now.Sub(c.trafficSince) >= calibrationDelay {
			c.outputFractions[m.Name] = (1-weight)*c.outputFraction(m.Name) + weight*observed
		}
	}
}

// observedOutputFraction returns the fraction of the tokens that callers accept which responses
// have by Little's law: requests in flight over their rate give the time that a request takes.
func (s Snapshot) observedOutputFraction(m models.ModelProfile) (float64, bool) {
	d, inFlight, groups := s.Demand[m.Name], s.InFlight[m.Name], float64(s.Serving[m.Name])
	if groups == 0 || d.Rate < minCalibrationRate || d.Output <= 0 || inFlight >= maxCalibrationLoad*groups*float64(s.Profile.Slots) {
		return 0, false
	}
	e := latencyEstimate{engine: s.Profile, model: m, demand: d}
	step := e.step(inFlight / groups)
	if step <= 0 {
		return 0, false
	}
	tokens := inFlight / d.Rate * (1 - e.prefillFraction(d.Rate/groups)) / step
	return min(maxOutputFraction, max(minOutputFraction, tokens/d.Output)), true
}

// demandKnown reports whether the demand is known well enough to move instances between models.
func (r *round) demandKnown() bool {
	if !r.estimatesLateness() || r.calibration.trafficSince.IsZero() {
		return false
	}
	if r.term != firstTerm && r.Now.Sub(r.began) < takeoverDelay {
		return false
	}
	return r.Now.Sub(r.calibration.trafficSince) >= firstDemandDelay
}

// minStoreLoads is the number of concurrent loads from which lateness decides. Every join makes a host
// lose the other model's weights, and the weight store replaces them; with fewer loads at once, the
// replacement of lost instances takes them all, and moves can't be undone for tens of seconds.
const minStoreLoads = 10

// estimatesLateness reports whether the profile says how fast engines are, whether there are models
// to divide the instances between, and whether the weight store is fast enough for moves.
func (s Snapshot) estimatesLateness() bool {
	p := s.Profile
	return len(p.Models) > 1 && p.PrefillTokensPerSecond > 0 && p.StepTime > 0 && p.MaxConcurrentLoads >= minStoreLoads
}

// estimate returns the latency estimate of a model's requests.
func (r *round) estimate(m models.ModelProfile) latencyEstimate {
	d, groups := r.Demand[m.Name], float64(r.Serving[m.Name])
	e := latencyEstimate{engine: r.Profile, model: m, demand: d, outputTokens: r.calibration.outputFraction(m.Name) * d.Output}
	if groups > 0 {
		if expected := e.load(d.Rate / groups); expected > 0 {
			e.loadFactor = r.InFlight[m.Name] / groups / expected
		}
	}
	return e
}
