package placement

import (
	"math"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// PrefillFraction is the assumed fraction of a group's time that is spent on prefill. A daemon does
// not know the request rate at one group; the fraction was about 0.15 on the users' deployments.
const PrefillFraction = 0.15

// firstEventPasses is the number of passes until the first event: the pass that runs when the
// request arrives, of which half is left on average, and the request's own, which may have to wait
// for the next one.
const firstEventPasses = 2

// FirstEvent returns the mean time to the first event of a request that is sent to the group. The
// base latency of the model, which includes the prefill of an average prompt, is 0 if it is unknown.
func (p Policy) FirstEvent(engine *models.EngineProfile, model models.ModelProfile, base time.Duration, c Candidate) time.Duration {
	running := min(c.Requests, engine.Slots)
	first := base + firstEventPasses*PassTime(engine, model, running) + scale(engine.PrefillTime(c.PrefillTokens), model.TimeFactor)
	if c.Requests >= engine.Slots && engine.Slots > 0 {
		ahead := c.Requests - engine.Slots + 1
		requestTime := time.Duration(p.RequestPasses) * PassTime(engine, model, engine.Slots)
		first += time.Duration(ahead) * requestTime / time.Duration(engine.Slots)
	}
	if c.Slowness > 0 {
		first = scale(first, c.Slowness)
	}
	return first
}

// PassTime returns the mean time between two events of a request at a group with this number of
// running requests, including the prefill of other prompts.
func PassTime(engine *models.EngineProfile, model models.ModelProfile, running int) time.Duration {
	steps := time.Duration(engine.StepsPerSend) * (engine.StepTime + time.Duration(running)*engine.StepTimePerRequest)
	return scale(steps, model.TimeFactor/(1-PrefillFraction))
}

// FirstEventSpread returns the standard deviation of first events around their mean: a tenth of the
// latency target, and 2.3 times the prefill of a prompt, since a request waits for a varying number
// of other prompts. Both were measured on the users' deployments.
func FirstEventSpread(engine *models.EngineProfile, model models.ModelProfile, latencyTarget time.Duration, promptTokens int) time.Duration {
	prefill := scale(engine.PrefillTime(promptTokens), model.TimeFactor/(1-PrefillFraction))
	return time.Duration(math.Hypot(0.1*float64(latencyTarget), 2.3*float64(prefill)))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
