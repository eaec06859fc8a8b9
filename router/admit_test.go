package router_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/router"
)

func admitMany(a *router.Admission, w models.Workspace, capacity, priority, n int) int {
	entered := 0
	for range n {
		if a.Acquire("m", w, capacity, priority) == nil {
			entered++
		}
	}
	return entered
}

// TestAdmissionFairUnderFlood checks that a workspace that floods the daemon leaves another
// workspace its share: a part at once, and the rest as requests of the flood end.
func TestAdmissionFairUnderFlood(t *testing.T) {
	c := qt.New(t)
	a := router.NewAdmission()
	flood, quiet := models.Workspace{Name: "flood", Share: 1}, models.Workspace{Name: "quiet", Share: 1}
	c.Assert(admitMany(a, quiet, 100, 9, 1), qt.Equals, 1)
	c.Assert(admitMany(a, flood, 100, 9, 1000), qt.Equals, 69)
	c.Assert(admitMany(a, quiet, 100, 9, 1000), qt.Equals, 30)
	for range 69 {
		a.Release("m", flood.Name)
		c.Assert(admitMany(a, flood, 100, 9, 1)+admitMany(a, quiet, 100, 9, 1) <= 1, qt.IsTrue)
	}
	// As requests of the flood end, the quiet workspace reaches its half of the capacity.
	c.Assert(admitMany(a, quiet, 100, 9, 1000) <= 1, qt.IsTrue)
	c.Assert(a.Acquire("m", flood, 100, 9), qt.ErrorIs, router.ErrOverloaded)
}

func TestAdmissionByPriority(t *testing.T) {
	c := qt.New(t)
	a := router.NewAdmission()
	w := models.Workspace{Name: "w", Share: 1}
	c.Assert(admitMany(a, w, 100, 0, 1000), qt.Equals, 80)
	c.Assert(admitMany(a, w, 100, 9, 1000), qt.Equals, 20)
	c.Assert(a.Acquire("m", w, 100, 9), qt.ErrorIs, router.ErrOverloaded)
	c.Assert(a.Acquire("other", w, 100, 0), qt.IsNil)
	c.Assert(a.Acquire("m", w, -1, 0), qt.IsNil)
}
