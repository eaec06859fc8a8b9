package fleet

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// arrivalQuietPeriod is how long no new instance may have been seen before the set of instances
	// counts as complete: instances register over about 4 s.
	arrivalQuietPeriod = 800 * time.Millisecond
	// maxArrivalWait bounds the wait for the set of instances to be complete.
	maxArrivalWait = 6 * time.Second
)

// arrivals tracks when instances first appeared in each fabric domain.
type arrivals struct {
	seen map[models.InstanceID]bool
	// lastArrival is when the newest instance of a domain was first seen.
	lastArrival map[models.Domain]time.Time
}

func newArrivals() arrivals {
	return arrivals{seen: map[models.InstanceID]bool{}, lastArrival: map[models.Domain]time.Time{}}
}

// observe records the current set of instances.
func (a arrivals) observe(instances map[models.InstanceID]models.UpstreamInstance, now time.Time) {
	for id, i := range instances {
		if !a.seen[id] {
			a.seen[id] = true
			a.lastArrival[i.Domain] = now
		}
	}
	for id := range a.seen {
		if _, there := instances[id]; !there {
			delete(a.seen, id)
		}
	}
}

// recent reports whether an instance appeared in any domain within arrivalQuietPeriod.
func (a arrivals) recent(now time.Time) bool {
	for _, last := range a.lastArrival {
		if now.Sub(last) < arrivalQuietPeriod {
			return true
		}
	}
	return false
}
