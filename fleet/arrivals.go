package fleet

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	// arrivalGap is how long no instance may have come for all to count as there:
	// they enter themselves over some four seconds.
	arrivalGap = 800 * time.Millisecond
	// arrivalsMost bounds the wait for them.
	arrivalsMost = 6 * time.Second
)

// arrivals tell whether instances still come to a fabric domain.
type arrivals struct {
	seen map[models.InstanceID]bool
	// newest is when the newest instance of a domain was first seen.
	newest map[models.Domain]time.Time
}

func newArrivals() arrivals {
	return arrivals{seen: map[models.InstanceID]bool{}, newest: map[models.Domain]time.Time{}}
}

// note takes in which instances there are now.
func (a arrivals) note(instances map[models.InstanceID]models.UpstreamInstance, now time.Time) {
	for id, i := range instances {
		if !a.seen[id] {
			a.seen[id] = true
			a.newest[i.Domain] = now
		}
	}
	for id := range a.seen {
		if _, there := instances[id]; !there {
			delete(a.seen, id)
		}
	}
}

// goOn reports whether an instance came to any domain of late.
func (a arrivals) goOn(now time.Time) bool {
	for _, newest := range a.newest {
		if now.Sub(newest) < arrivalGap {
			return true
		}
	}
	return false
}
