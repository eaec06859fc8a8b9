package gateway

import (
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// basePercentile is the percentile of the observations that the base latency follows. A mean
	// rose to three times its value in an overload, since first events then contain queueing time,
	// and made every supply look equally late.
	basePercentile = 0.35
	// baseStep is the fraction by which the base latency moves by observations below and above it
	// together: about 100 observations change it by half, and a single one by at most 1.3%.
	baseStep = 0.02
	// firstBaseStep is divided by the number of observations as long as the result is above baseStep,
	// so that the first ones, which may be outliers, are corrected soon.
	firstBaseStep = 0.8
	// minBaseLatency keeps the base latency positive, since it changes by fractions of itself.
	minBaseLatency = time.Millisecond
	// basePasses is how many passes precede the first event on average: the rest of the pass that
	// runs when a request arrives, and its own.
	basePasses = 2
	// basePrefillFraction is the fraction of a group's time that is assumed to be spent on prefill;
	// a daemon does not know the rate of requests at one group.
	basePrefillFraction = 0.15
	// maxBaseLoad is the fraction of a group's slots in use up to which the base latency is
	// learned: above it a first event contains queueing time.
	maxBaseLoad = 0.6
)

// baseLatency is a running percentile of the time from a request to its first event that the passes
// of the engine do not account for: the network, the daemons, and constants of the engine.
type baseLatency struct {
	value time.Duration
	count int
}

// observe moves the percentile up by a fraction of itself if the observation is above it, and down
// if it is below.
func (b *baseLatency) observe(d time.Duration) {
	b.count++
	b.value = movePercentile(b.value, b.count, d, basePercentile)
}

// movePercentile returns a running percentile after the given number of observations, the last of which
// is d. The steps up and down balance where this part of the observations is below.
func movePercentile(value time.Duration, count int, d time.Duration, percentile float64) time.Duration {
	if count == 1 {
		return max(d, minBaseLatency)
	}
	step := max(baseStep, firstBaseStep/float64(count))
	current := float64(value)
	if d > value {
		current *= 1 + step*percentile
	} else {
		current *= 1 - step*(1-percentile)
	}
	return max(time.Duration(current), minBaseLatency)
}

// observeBase records a stream's base latency for its model, if it was sent once and to a group
// where it did not have to queue.
func (s *stream) observeBase() {
	engine := s.engine()
	sentOnce := len(s.tried) == 1 && s.rejections.Load() == 0
	if engine == nil || !sentOnce || s.firstByte.IsZero() {
		return
	}
	model, known := engine.Model(s.head.Model)
	if !known || float64(s.pickedLoad) > maxBaseLoad*float64(engine.Slots) {
		return
	}
	s.g.scheduler.observeBase(s.servedModel(), s.firstByte.Sub(s.started)-passesBeforeFirst(engine, model, s.pickedLoad))
}

// passesBeforeFirst returns the part of the time to the first event that the passes of a group with
// this load account for.
func passesBeforeFirst(engine *models.EngineProfile, model models.ModelProfile, load int) time.Duration {
	pass := passTime(engine, model, cluster.Load{Requests: load})
	return time.Duration(basePasses * float64(pass) / (1 - basePrefillFraction))
}

// observeBase adds an observation to the base latency of a model.
func (s *scheduler) observeBase(model models.ServedModel, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bases[model]
	if b == nil {
		b = &baseLatency{}
		s.bases[model] = b
	}
	b.observe(d)
}

// baseLatency returns the base latency of a model, and whether it is known.
func (s *scheduler) baseLatency(model models.ServedModel) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bases[model]
	if b == nil {
		return 0, false
	}
	return b.value, true
}
