package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestNoModels checks that a service of engines without models needs no
// orders; it once ended the daemon that plans.
func TestNoModels(t *testing.T) {
	p := NewPlanner(1, time.Now())
	orders := p.Step(World{
		Now: time.Now(), Profile: &models.EngineProfile{Slots: 1},
		Instances: map[models.InstanceID]models.UpstreamInstance{"i-1": {ID: "i-1", Domain: "a"}},
	})
	qt.Assert(t, orders, qt.HasLen, 0)
}

// TestTermEnds checks that a planner gives up its term before its numbers run
// into those of the next.
func TestTermEnds(t *testing.T) {
	p := NewPlanner(1, time.Now())
	p.seq = maxOrders - 1
	qt.Assert(t, p.Superseded(), qt.IsFalse)
	last := p.next()
	qt.Assert(t, p.Superseded(), qt.IsTrue)
	qt.Assert(t, last < NewPlanner(2, time.Now()).next(), qt.IsTrue)
}
