package gateway

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// pauseStep and pauseSteps are the width and the number of the steps in
	// which pauses between events are counted.
	pauseStep  = 5 * time.Millisecond
	pauseSteps = 80
	// pausesKept is how many pauses are remembered before their counts are
	// halved, so that what is learned follows the load within seconds.
	pausesKept = 4000
	// rarePause is the part of pauses that may be longer than the patience.
	rarePause = 0.0008
	// leastPauses is how many must have been seen to rely on them.
	leastPauses = 300
	// pauseMargin is put on top of the longest usual pause.
	pauseMargin = 1.15
	// firstPatience is the patience while too little is known, leastPatience
	// and mostPatience bound it afterwards.
	firstPatience = 250 * time.Millisecond
	leastPatience = 80 * time.Millisecond
	mostPatience  = 400 * time.Millisecond
)

// pauses counts the pauses between the events of a model's streams.
type pauses struct {
	counts [pauseSteps]float64
	total  float64
}

func (p *pauses) add(d time.Duration) {
	at := int(d / pauseStep)
	if at >= pauseSteps {
		// Longer ones are stalls, from which nothing is to be learned.
		return
	}
	p.counts[at]++
	p.total++
	if p.total < pausesKept {
		return
	}
	for i := range p.counts {
		p.counts[i] /= 2
	}
	p.total /= 2
}

// patience is how long nothing may come from a head that works.
func (p *pauses) patience() time.Duration {
	if p.total < leastPauses {
		return firstPatience
	}
	above := 0.0
	for at := pauseSteps - 1; at >= 0; at-- {
		above += p.counts[at]
		if above > rarePause*p.total {
			longest := pauseMargin * float64((time.Duration(at)+1)*pauseStep)
			return min(mostPatience, max(leastPatience, time.Duration(longest)))
		}
	}
	return firstPatience
}

func (b *balance) addPause(model models.ModelName, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pauses[model]
	if p == nil {
		p = &pauses{}
		b.pauses[model] = p
	}
	p.add(d)
}

// patience is how long nothing may come from a head of the model's groups.
func (b *balance) patience(model models.ModelName) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pauses[model]; p != nil {
		return p.patience()
	}
	return firstPatience
}
