package replica

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// coldWindow is the time in which a cold instance may get coldFactor times its rate plus
	// coldSlack requests.
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 2
)

// placeRules holds what operators and instances have asked for about places, and since when.
type placeRules struct {
	// evacuatedSince is when each zone's evacuation was written, bound how soon it must be in force.
	evacuatedSince map[models.Zone]time.Time
	bound          time.Duration
}

// Evacuate writes an operator's record that evacuates a zone. A request that reaches one of its
// instances more than bound later is a violation.
func (p *Pool) Evacuate(zone models.Zone, bound time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.places.evacuatedSince == nil {
		p.places.evacuatedSince = map[models.Zone]time.Time{}
	}
	p.store.Put("op", "evacuate/"+string(zone), []byte("{}"))
	p.places.evacuatedSince[zone], p.places.bound = time.Now(), bound
}

// EndEvacuation writes an operator's record that lifts the evacuation of a zone.
func (p *Pool) EndEvacuation(zone models.Zone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.places.evacuatedSince, zone)
	p.store.Put("op", "evacuate/"+string(zone), nil)
}

// ArrivalsSince counts the requests that have reached instances of a zone since a time.
func (p *Pool) ArrivalsSince(zone models.Zone, since time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, i := range p.instances {
		for _, at := range i.limits.arrivals {
			if i.Zone == zone && at.After(since) {
				n++
			}
		}
	}
	return n
}

// SetCold makes the instance cold for some time. More requests than a cold instance bears, once the
// propagation time is over, are a violation.
func (i *Instance) SetCold(d time.Duration, rate float64, propagation time.Duration) {
	i.pool.mu.Lock()
	defer i.pool.mu.Unlock()
	now := time.Now()
	i.coldUntil, i.coldCheckedFrom, i.coldRate = now.Add(d), now.Add(propagation), rate
	i.writeEntry()
}

// coldRemaining returns how much longer the instance is cold, in milliseconds.
func (i *Instance) coldRemaining(now time.Time) int64 {
	return max(0, i.coldUntil.Sub(now).Milliseconds())
}

// checkArrival checks the arrival of a request, which is recorded already. The pool must be locked.
func (i *Instance) checkArrival(now time.Time) {
	if since, evacuated := i.pool.places.evacuatedSince[i.Zone]; evacuated && now.Sub(since) > i.pool.places.bound {
		i.pool.reportViolation("%s got a request %v after the evacuation of zone %s", i.ID, now.Sub(since), i.Zone)
	}
	from := now.Add(-coldWindow)
	if !now.Before(i.coldUntil) || from.Before(i.coldCheckedFrom) {
		return
	}
	recent := len(i.limits.arrivals) - slices.IndexFunc(i.limits.arrivals, func(at time.Time) bool { return at.After(from) })
	if most := coldFactor*i.coldRate + coldSlack; float64(recent) > most {
		i.pool.reportViolation("%s, which is cold, got %d requests within %v, %v allowed", i.ID, recent, coldWindow, most)
	}
}
