package cluster

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestPlacesUnderLimits checks that a limit that does not bind withholds nothing.
func TestPlacesUnderLimits(t *testing.T) {
	c := qt.New(t)
	engine := &models.EngineProfile{Slots: 10}
	c.Assert(places(engine, models.NoRateLimit, 3), qt.Equals, 10)
	c.Assert(places(engine, 20, 3), qt.Equals, 10)
	c.Assert(places(engine, 1.5, 0), qt.Equals, 2)
	c.Assert(places(engine, 1.5, 6), qt.Equals, 6)
	c.Assert(places(engine, 1.5, 14), qt.Equals, 10)
}
