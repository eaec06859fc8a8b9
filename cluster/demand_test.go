package cluster

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestUsableSlots checks that a rate limit that is not reached withholds no slots.
func TestUsableSlots(t *testing.T) {
	c := qt.New(t)
	engine := &models.EngineProfile{Slots: 10}
	c.Assert(usableSlots(engine, models.NoRateLimit, 3), qt.Equals, 10)
	c.Assert(usableSlots(engine, 20, 3), qt.Equals, 10)
	c.Assert(usableSlots(engine, 1.5, 0), qt.Equals, 2)
	c.Assert(usableSlots(engine, 1.5, 6), qt.Equals, 6)
	c.Assert(usableSlots(engine, 1.5, 14), qt.Equals, 10)
}
