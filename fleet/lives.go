package fleet

import (
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// noteLives forgets what instances did before they started again under their ids:
// what they were ordered is void, and they have joined nothing.
func (r *round) noteLives() {
	for id, i := range r.Instances {
		before, known := r.born[id]
		if known && !before.IsZero() && !before.Equal(i.Born) {
			r.forgetLife(id)
		}
		r.born[id] = i.Born
	}
	maps.DeleteFunc(r.born, func(id models.InstanceID, _ time.Time) bool {
		_, there := r.Instances[id]
		return !there
	})
}

// forgetLife drops what the planner has under way at an instance.
func (r *round) forgetLife(id models.InstanceID) {
	delete(r.sent, id)
	delete(r.held, id)
	delete(r.staging, id)
	delete(r.warming, id)
	for _, f := range r.forming {
		delete(f.joined, id)
	}
}
