package ratelimit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// A cold instance has its service's rate until it is warm, or has restarted.
func TestColdInstances(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	i := models.UpstreamInstance{ID: "i1", Service: "engines", StartedAt: now}
	var cold Cold
	c.Assert(cold.Set(i, now.Add(3*time.Second), now), qt.IsTrue)
	c.Assert(cold.Rate(i, now), qt.Equals, models.NoRateLimit, qt.Commentf("no rate is configured"))
	c.Assert(cold.Empty(), qt.IsTrue)
	cold.SetRates(map[models.ServiceName]float64{"engines": 14})
	c.Assert(cold.Empty(), qt.IsFalse)
	c.Assert(cold.Rate(i, now), qt.Equals, 14.0)
	c.Assert(cold.Set(i, now.Add(2*time.Second), now), qt.IsFalse)
	c.Assert(cold.Rate(i, now.Add(2500*time.Millisecond)), qt.Equals, models.NoRateLimit)

	restarted := i
	restarted.StartedAt = now.Add(time.Second)
	c.Assert(cold.Rate(restarted, now), qt.Equals, models.NoRateLimit)
	cold.Set(restarted, now.Add(4*time.Second), now)
	cold.Set(i, now, now)
	c.Assert(cold.Rate(restarted, now), qt.Equals, 14.0, qt.Commentf("the earlier incarnation is ignored"))
	c.Assert(cold.Count(now), qt.Equals, 1)
	cold.Prune(now.Add(4 * time.Second))
	c.Assert(cold.Empty(), qt.IsTrue)
}
