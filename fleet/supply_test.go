package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestLimitedSlotsAreNotIdle checks that the slots of groups whose heads announce rate limits do
// not count as idle, so that these groups don't become donors.
func TestLimitedSlotsAreNotIdle(t *testing.T) {
	c := qt.New(t)
	m := models.ModelProfile{Name: "m", GroupSize: 2}
	w := Snapshot{Profile: &models.EngineProfile{Slots: 10, Models: []models.ModelProfile{m}}, InFlight: map[models.ModelName]float64{"m": 12}}
	c.Assert(w.utilization(m, 8), qt.Equals, 0.3)
	w.LimitedSlots = map[models.ModelName]float64{"m": 25}
	c.Assert(w.utilization(m, 8), qt.Equals, 0.8)
	w.LimitedSlots["m"] = 50
	c.Assert(w.utilization(m, 8), qt.Equals, 12.0)
}
