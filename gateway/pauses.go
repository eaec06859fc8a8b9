package gateway

import (
	"time"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// ratioStep and ratioSteps are the width and the number of the steps in
	// which pauses are counted, as parts of the pass that was expected.
	pauseBucketWidth = 0.1
	pauseBuckets     = 80
	// pausesKept is how many pauses are remembered before their counts are
	// halved, so that what is learned follows the load within seconds.
	maxPauseCount = 3000
	// rarePause is the part of pauses that may be longer than the patience.
	// A stream has some 35 of them, and a hedge that was begun in vain costs
	// one reading of its prompt.
	tailFraction = 0.003
	// leastPauses is how many must have been seen to rely on them.
	minPauseCount = 300
	// firstRatio is used while too little is known; what is learned was 1.1 to
	// 1.3 times the pass.
	defaultPauseRatio = 1.6
	// firstPatience is the patience where the engine is not described,
	// leastPatience and mostPatience bound it elsewhere.
	defaultStallTimeout = 250 * time.Millisecond
	minStallTimeout     = 40 * time.Millisecond
	maxStallTimeout     = 400 * time.Millisecond
	// netSlack is put on top for the way from the group and through the
	// daemon.
	networkMargin = 10 * time.Millisecond
	// movedPrompts is how many prompts may have to be read before a stream that
	// is moved goes on: others are moved to the same group. The 18
	// streams of two lost groups come to two or three at each of eight.
	failoverPrompts = 3
)

// passTime is how long a pass of a group takes with this load: the steps of
// those that write, and the reading of what is unread.
func passTime(engine *models.EngineProfile, model models.ModelProfile, load cluster.Load) time.Duration {
	running := time.Duration(min(load.Requests, engine.Slots))
	steps := time.Duration(max(1, engine.Stride)) * (engine.Step + running*engine.PerRequest)
	return time.Duration(model.Pace * float64(steps+engine.ReadTime(load.Unread)))
}

// begunPass is how long the pass should take that a group is at, from how long it
// was expected to take when it began and how long it would take by what is known
// now. Where loads are told with a delay some of the prompts that it reads were not
// known yet: at a group for long prompts 7 pauses in 100 were longer than the
// patience by what was known first, 3 in 10,000 by what is known later
// (TestPromptsToldLate). All daemons pass such a group over.
func currentPassTime(expected, now, loadsAge time.Duration) time.Duration {
	if loadsAge > 0 {
		return max(expected, now)
	}
	return expected
}

// sparePause is how long nothing may come from a group if the stream is then to
// go on at another one within the pause that its caller puts up with. It is not
// worth while to begin a second run before that: of the passes that take longer
// than expected most read prompts of which this daemon does not know yet.
func failoverSlack(engine *models.EngineProfile, model models.ModelProfile, promptTokens int, pause time.Duration) time.Duration {
	destLoad := cluster.Load{Requests: engine.Slots / 2, Unread: failoverPrompts * promptTokens}
	return pause - passTime(engine, model, destLoad) - 2*networkMargin
}

// pauses counts the pauses between the events of a model's streams, each as
// a part of the pass that was expected.
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
		// Longer ones are stalls, from which nothing is to be learned.
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

// patience is how long nothing may come from a head whose pass should take
// this long. It may be asked of nil.
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

// within is the patience for a pass and the ratio by which it may be longer.
func boundedStallTimeout(ratio float64, pass time.Duration) time.Duration {
	timeout := time.Duration(ratio*float64(pass)) + networkMargin
	return min(maxStallTimeout, max(minStallTimeout, timeout))
}

func (s *scheduler) addPause(model models.ModelName, pause, pass time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pauses[model]
	if p == nil {
		p = &pauseHistogram{}
		s.pauses[model] = p
	}
	p.add(pause, pass)
}

// patience is how long nothing may come from a head of the model's groups
// whose pass should take this long.
func (s *scheduler) stallTimeout(model models.ModelName, pass time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pauses[model].stallTimeout(pass)
}
