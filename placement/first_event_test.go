package placement_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/placement"
)

// The engine profiles of the two deployments of docs/design/13-hard-load.md, and their models.
var (
	engineA = &models.EngineProfile{Slots: 20, StepTime: 7800 * time.Microsecond, StepTimePerRequest: 95 * time.Microsecond, StepsPerSend: 6, PrefillTokensPerSecond: 45900}
	engineB = &models.EngineProfile{Slots: 34, StepTime: 6070 * time.Microsecond, StepTimePerRequest: 241 * time.Microsecond, StepsPerSend: 5, PrefillTokensPerSecond: 46000}
	large   = models.ModelProfile{Name: "large", TimeFactor: 1}
	small   = models.ModelProfile{Name: "small", TimeFactor: 0.6}
)

// The base latencies of the two models: 120 ms plus the prefill of an average prompt.
const (
	baseSmall = 120 * time.Millisecond
	baseLarge = 157 * time.Millisecond
)

// measuredFirstEvent is a row of the design page: the mean first event in ms of requests that were
// sent to a group with this known load.
type measuredFirstEvent struct {
	engine   *models.EngineProfile
	model    models.ModelProfile
	base     time.Duration
	from, to int
	measured float64
}

func (m measuredFirstEvent) predicted() float64 {
	sum := time.Duration(0)
	for load := m.from; load <= m.to; load++ {
		sum += placement.DefaultPolicy().FirstEvent(m.engine, m.model, m.base, placement.Candidate{Requests: load})
	}
	return sum.Seconds() * 1000 / float64(m.to-m.from+1)
}

// TestFirstEventAsMeasured guards against predictions that differ from the measured first events at
// groups with free slots.
func TestFirstEventAsMeasured(t *testing.T) {
	c := qt.New(t)
	for _, m := range []measuredFirstEvent{
		{engineB, small, baseSmall, 8, 11, 183},
		{engineB, small, baseSmall, 16, 19, 201},
		{engineB, small, baseSmall, 20, 23, 215},
		{engineB, small, baseSmall, 24, 27, 240},
		{engineA, small, baseSmall, 0, 3, 185},
		{engineA, small, baseSmall, 8, 11, 194},
		{engineA, small, baseSmall, 16, 19, 220},
		{engineA, large, baseLarge, 0, 3, 275},
		{engineA, large, baseLarge, 8, 11, 307},
	} {
		deviation := m.predicted()/m.measured - 1
		c.Check(math.Abs(deviation) <= 0.15, qt.IsTrue, qt.Commentf("slots %d, model %s, load %d to %d: %.0f predicted, %.0f measured", m.engine.Slots, m.model.Name, m.from, m.to, m.predicted(), m.measured))
	}
}

// TestFirstEventAtFullGroups guards against predictions that ignore the wait for a slot. Predictions
// are for the load given; where that is close to the slots, measured first events are later, since
// other daemons sent requests after the loads were reported.
func TestFirstEventAtFullGroups(t *testing.T) {
	c := qt.New(t)
	for _, m := range []measuredFirstEvent{
		{engineB, small, baseSmall, 28, 31, 275},
		{engineB, small, baseSmall, 32, 35, 418},
		{engineA, small, baseSmall, 20, 23, 405},
		{engineA, large, baseLarge, 16, 19, 408},
		{engineA, large, baseLarge, 20, 23, 535},
	} {
		predicted := m.predicted()
		c.Check(predicted > 0.55*m.measured && predicted < 1.1*m.measured, qt.IsTrue, qt.Commentf("slots %d, model %s, load %d to %d: %.0f predicted, %.0f measured", m.engine.Slots, m.model.Name, m.from, m.to, predicted, m.measured))
	}
}

// TestFirstEvent checks the single terms of the prediction.
func TestFirstEvent(t *testing.T) {
	c := qt.New(t)
	engine := &models.EngineProfile{Slots: 10, StepTime: 8500 * time.Microsecond, StepTimePerRequest: 850 * time.Microsecond, StepsPerSend: 1, PrefillTokensPerSecond: 10000}
	// A pass takes 10 ms plus 1 ms for each running request; a slot becomes free every 50 ms.
	for _, test := range []struct {
		name       string
		timeFactor float64
		base       time.Duration
		candidate  placement.Candidate
		want       time.Duration
	}{
		{"idle, base unknown", 1, 0, placement.Candidate{}, 20 * time.Millisecond},
		{"idle", 1, 100 * time.Millisecond, placement.Candidate{}, 120 * time.Millisecond},
		{"small model", 0.5, 100 * time.Millisecond, placement.Candidate{}, 110 * time.Millisecond},
		{"loaded", 1, 100 * time.Millisecond, placement.Candidate{Requests: 9}, 138 * time.Millisecond},
		{"prefill", 1, 100 * time.Millisecond, placement.Candidate{PrefillTokens: 300}, 150 * time.Millisecond},
		{"prefill of the small model", 0.5, 100 * time.Millisecond, placement.Candidate{PrefillTokens: 300}, 125 * time.Millisecond},
		{"full", 1, 100 * time.Millisecond, placement.Candidate{Requests: 10}, 190 * time.Millisecond},
		{"two requests ahead", 1, 100 * time.Millisecond, placement.Candidate{Requests: 12}, 290 * time.Millisecond},
		{"slow", 1, 100 * time.Millisecond, placement.Candidate{Requests: 12, Slowness: 2}, 580 * time.Millisecond},
		{"fast", 1, 100 * time.Millisecond, placement.Candidate{Slowness: 0.8}, 96 * time.Millisecond},
	} {
		got := placement.DefaultPolicy().FirstEvent(engine, models.ModelProfile{TimeFactor: test.timeFactor}, test.base, test.candidate)
		c.Check(got.Round(time.Microsecond), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
