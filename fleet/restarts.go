package fleet

import (
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// detectRestarts forgets the state of instances that restarted under the same ID: orders to them
// are void, and they are in no group.
func (r *round) detectRestarts() {
	for id, i := range r.Instances {
		previous, known := r.startTimes[id]
		if known && !previous.IsZero() && !previous.Equal(i.StartedAt) {
			r.forgetInstance(id)
		}
		r.startTimes[id] = i.StartedAt
	}
	maps.DeleteFunc(r.startTimes, func(id models.InstanceID, _ time.Time) bool {
		_, present := r.Instances[id]
		return !present
	})
}

// forgetInstance drops the orders, backoff, staging, warming and joins of an instance.
func (r *round) forgetInstance(id models.InstanceID) {
	delete(r.sent, id)
	delete(r.backoffUntil, id)
	delete(r.staging, id)
	delete(r.warming, id)
	for _, f := range r.forming {
		delete(f.joined, id)
	}
}
