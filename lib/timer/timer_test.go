package timer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/lib/timer"
)

func TestTicksAndPauses(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, test := range []struct {
		name  string
		moves []time.Duration
		want  int
		pause time.Duration
	}{
		{"before its period", []time.Duration{50 * time.Millisecond}, 0, 0},
		{"at its period", []time.Duration{50 * time.Millisecond, 100 * time.Millisecond}, 1, 0},
		{"a slow subscriber gets no backlog", []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}, 1, 0},
		{"a pause is reported", []time.Duration{3 * time.Second}, 1, 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := timer.New(start)
			ticks := s.Subscribe(100 * time.Millisecond)
			for _, m := range test.moves {
				s.Advance(at(m))
			}
			c.Assert(len(ticks), qt.Equals, test.want)
			if test.want > 0 {
				c.Assert((<-ticks).Paused, qt.Equals, test.pause)
			}
		})
	}
}
