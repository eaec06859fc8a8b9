package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/placement"
)

// observe records first events that each took a multiple of the prediction, one after the other.
func observe(s *placement.Slowness, now time.Time, ratios ...float64) {
	const predicted = 200 * time.Millisecond
	for _, r := range ratios {
		took := time.Duration(r * float64(predicted))
		s.Arrived(s.Begin(predicted, now.Add(-took)), now)
	}
}

// TestSlownessFollowsEvidence guards against an estimate that one late first event dominates, that
// does not reach the actual slowness, or that outlasts its observations.
func TestSlownessFollowsEvidence(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		name     string
		ratios   []float64
		age      time.Duration
		min, max float64
	}{
		{"no observation", nil, 0, 1, 1},
		{"one late event", []float64{4}, 0, 1.1, 1.4},
		{"one stalled request", []float64{50}, 0, 1.1, 1.4},
		{"one late event of three", []float64{1, 4, 1}, 0, 1.1, 1.45},
		{"two late events", []float64{4, 4}, 0, 1.9, 2.1},
		{"many late events", []float64{4, 4, 4, 4, 4, 4, 4, 4, 4, 4}, 0, 3.5, 4},
		{"many stalled requests", []float64{50, 50, 50, 50, 50, 50, 50, 50, 50, 50}, 0, 3.5, 4},
		{"many early events", []float64{.1, .1, .1, .1, .1, .1, .1, .1, .1, .1}, 0, 0.8, 0.85},
		{"late events 4 s ago", []float64{4, 4, 4, 4}, 4 * time.Second, 1.1, 1.4},
		{"late events 20 s ago", []float64{4, 4, 4, 4, 4, 4, 4, 4, 4, 4}, 20 * time.Second, 1, 1.01},
	} {
		var s placement.Slowness
		observe(&s, now, test.ratios...)
		got := s.Factor(now.Add(test.age))
		c.Check(got >= test.min && got <= test.max, qt.IsTrue, qt.Commentf("%s: %.3f", test.name, got))
		c.Check(s.Observed(), qt.Equals, len(test.ratios) > 0)
	}
}

// TestSilentGroupIsSlow checks that requests whose first events are overdue count before the events
// arrive, and that requests which are not overdue, or end early without an event, don't.
func TestSilentGroupIsSlow(t *testing.T) {
	c := qt.New(t)
	const predicted = 200 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	var s placement.Slowness
	first, second, third := s.Begin(predicted, now), s.Begin(predicted, now), s.Begin(predicted, now)
	c.Check(s.Factor(now.Add(predicted)), qt.Equals, 1.0)
	overdue := now.Add(4 * predicted)
	c.Check(s.Factor(overdue) > 2, qt.IsTrue, qt.Commentf("%.2f", s.Factor(overdue)))
	c.Check(s.Observed(), qt.IsFalse)
	c.Check(s.InUse(), qt.IsTrue)

	// Abandoned when overdue, they still count; otherwise not.
	s.Abandoned(first, overdue)
	s.Abandoned(second, overdue)
	c.Check(s.Factor(overdue) > 2, qt.IsTrue)
	s.Arrived(third, overdue)
	s.Arrived(third, overdue)
	c.Check(s.InUse(), qt.IsFalse)

	var quick placement.Slowness
	quick.Abandoned(quick.Begin(predicted, now), now.Add(time.Millisecond))
	c.Check(quick.Factor(now.Add(time.Millisecond)), qt.Equals, 1.0)
	c.Check(quick.Observed(), qt.IsFalse)
}
