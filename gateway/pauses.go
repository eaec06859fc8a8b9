package gateway

import (
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// pauseBucketWidth and pauseBuckets are the width and number of the histogram's buckets. Pauses
	// are counted as a ratio to the expected pass time.
	pauseBucketWidth = 0.1
	pauseBuckets     = 80
	// maxPauseCount is the total at which the counts are halved, so that the histogram follows the
	// load within seconds.
	maxPauseCount = 3000
	// tailFraction is the fraction of pauses that may exceed the stall timeout. A stream has some
	// 35 pauses, and an unnecessary hedge costs one prefill of its prompt.
	tailFraction = 0.003
	// minPauseCount is how many pauses must have been counted for the histogram to be used.
	minPauseCount = 300
	// defaultPauseRatio is the ratio used before that; the ratio is usually 1.1 to 1.3.
	defaultPauseRatio = 1.6
	// defaultStallTimeout is the stall timeout if the engine has no profile. minStallTimeout and
	// maxStallTimeout bound it otherwise.
	defaultStallTimeout = 250 * time.Millisecond
	minStallTimeout     = 40 * time.Millisecond
	maxStallTimeout     = 400 * time.Millisecond
	// networkMargin is added for the network and the daemon's own processing.
	networkMargin = 10 * time.Millisecond
	// failoverPrompts is how many prompts may have to be prefilled before a stream continues at
	// another group, since others fail over to the same group: the 18 streams of two lost groups
	// were two or three at each of eight other groups.
	failoverPrompts = 3
)

// passTime returns the duration of an engine pass with this load: the decoding steps of the running
// requests, and the prefill of waiting prompts. Each running stream gets its next event at the end
// of a pass.
func passTime(engine *models.EngineProfile, model models.ModelProfile, load cluster.Load) time.Duration {
	running := time.Duration(min(load.Requests, engine.Slots))
	steps := time.Duration(max(1, engine.StepsPerSend)) * (engine.StepTime + running*engine.StepTimePerRequest)
	return time.Duration(model.TimeFactor * float64(steps+engine.PrefillTime(load.PrefillTokens)))
}

// currentPassTime returns the expected duration of the pass that a group is running, from the
// expectations when it began and now. If loads are reported with a delay, some of the prompts that
// the pass prefills were not known when it began. At a group for long prompts 7 pauses in 100
// exceeded the stall timeout by the first expectation, 3 in 10,000 by the later one
// (TestDelayedPromptReports). A group reported as stalled gets no requests from any daemon.
func currentPassTime(expected, now, loadsAge time.Duration) time.Duration {
	if loadsAge > 0 {
		return max(expected, now)
	}
	return expected
}

// failoverSlack returns how long a group may be silent if the stream is then still to continue at
// another group within the pause that the caller tolerates. A hedge before that is not worth its
// cost: most passes that take longer than expected prefill prompts that this daemon does not know
// of yet.
func failoverSlack(engine *models.EngineProfile, model models.ModelProfile, promptTokens int, pause time.Duration) time.Duration {
	destLoad := cluster.Load{Requests: engine.Slots / 2, PrefillTokens: failoverPrompts * promptTokens}
	return pause - passTime(engine, model, destLoad) - 2*networkMargin
}

// pauseHistogram counts the pauses between the events of a model's streams, each as a ratio to the
// expected pass time.
type pauseHistogram struct {
	counts [pauseBuckets]float64
	total  float64
}

func (p *pauseHistogram) add(pause, pass time.Duration) {
	if pass <= 0 {
		return
	}
	at := int(float64(pause) / float64(pass) / pauseBucketWidth)
	if at >= pauseBuckets {
		// Longer pauses are stalls and would distort the histogram.
		return
	}
	p.counts[at]++
	p.total++
	if p.total < maxPauseCount {
		return
	}
	for i := range p.counts {
		p.counts[i] /= 2
	}
	p.total /= 2
}

// stallTimeout returns how long a head may be silent whose pass has this expected duration. It may
// be called on nil.
func (p *pauseHistogram) stallTimeout(pass time.Duration) time.Duration {
	if p == nil || p.total < minPauseCount {
		return boundedStallTimeout(defaultPauseRatio, pass)
	}
	above := 0.0
	for at := pauseBuckets - 1; at >= 0; at-- {
		above += p.counts[at]
		if above > tailFraction*p.total {
			return boundedStallTimeout(float64(at+1)*pauseBucketWidth, pass)
		}
	}
	return boundedStallTimeout(defaultPauseRatio, pass)
}

// boundedStallTimeout returns the stall timeout for a pass and the ratio by which its duration may
// be exceeded.
func boundedStallTimeout(ratio float64, pass time.Duration) time.Duration {
	timeout := time.Duration(ratio*float64(pass)) + networkMargin
	return min(maxStallTimeout, max(minStallTimeout, timeout))
}

func (s *scheduler) addPause(model models.ServedModel, pause, pass time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pauses[model]
	if p == nil {
		p = &pauseHistogram{}
		s.pauses[model] = p
	}
	p.add(pause, pass)
}

// stallTimeout returns how long a head of one of the model's groups may be silent whose pass has
// this expected duration.
func (s *scheduler) stallTimeout(model models.ServedModel, pass time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pauses[model].stallTimeout(pass)
}
