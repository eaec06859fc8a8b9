package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

func TestPassTime(t *testing.T) {
	c := qt.New(t)
	engine := &models.EngineProfile{Slots: 17, StepTime: 8 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, PrefillTokensPerSecond: 40000, StepsPerSend: 5}
	idle := passTime(engine, models.ModelProfile{TimeFactor: 1}, cluster.Load{})
	c.Assert(idle, qt.Equals, 40*time.Millisecond)
	busy := passTime(engine, models.ModelProfile{TimeFactor: 1}, cluster.Load{Requests: 10, PrefillTokens: 2000})
	c.Assert(busy, qt.Equals, 95*time.Millisecond)
	over := passTime(engine, models.ModelProfile{TimeFactor: 0.5}, cluster.Load{Requests: 40})
	c.Assert(over, qt.Equals, 24250*time.Microsecond)
}

// TestStallTimeoutFollowsPauses checks that the stall timeout follows the pauses that are counted,
// ignores stalls, and stays within its bounds.
func TestStallTimeoutFollowsPauses(t *testing.T) {
	c := qt.New(t)
	const pass = 50 * time.Millisecond
	var unknown *pauseHistogram
	c.Assert(unknown.stallTimeout(pass), qt.Equals, 90*time.Millisecond)
	p := &pauseHistogram{}
	for range 2 * maxPauseCount {
		p.add(pass, pass)
		p.add(time.Second, pass)
	}
	steady := p.stallTimeout(pass)
	c.Assert(steady > pass && steady < 70*time.Millisecond, qt.IsTrue, qt.Commentf("%s", steady))
	for range 2 * maxPauseCount {
		p.add(2*pass, pass)
	}
	c.Assert(p.stallTimeout(pass) > 2*pass, qt.IsTrue)
	c.Assert(p.stallTimeout(time.Millisecond), qt.Equals, minStallTimeout)
	c.Assert(p.stallTimeout(time.Second), qt.Equals, maxStallTimeout)
}

// TestBudget checks that retries stay within a fraction of the requests and the daemon's share of
// the fixed number, over any window.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	b := newRetryBudget(0.2, 100, 10*time.Second, time.Unix(1000, 0), false)
	now := time.Unix(1000, 0)
	allowed := 0
	for range 1000 {
		b.addRequest(now, 10)
		if b.allowRetry(now, 10, false) {
			allowed++
		}
		now = now.Add(5 * time.Millisecond)
	}
	c.Assert(allowed > 100 && allowed <= 210, qt.IsTrue, qt.Commentf("%d", allowed))
	now = now.Add(time.Minute)
	c.Assert(b.allowRetry(now, 10, false), qt.IsTrue)
}

// TestFailoverSlack checks that a stream waits for its group as long as it can still continue
// elsewhere in time, and that this is shorter for longer prompts. Daemons that did not know of each
// other's prompts took seventeen healthy groups for stalled within two seconds, at a stall
// timeout of 56 ms where the caller tolerates 200.
func TestFailoverSlack(t *testing.T) {
	c := qt.New(t)
	engine := &models.EngineProfile{Slots: 20, StepTime: 8 * time.Millisecond, StepTimePerRequest: 100 * time.Microsecond, PrefillTokensPerSecond: 46000, StepsPerSend: 6}
	model := models.ModelProfile{TimeFactor: 0.5}
	c.Assert(failoverSlack(engine, model, 460, 200*time.Millisecond), qt.Equals, 138*time.Millisecond)
	c.Assert(failoverSlack(engine, model, 1840, 200*time.Millisecond), qt.Equals, 93*time.Millisecond)
	c.Assert(failoverSlack(engine, model, 460, 0) < 0, qt.IsTrue, qt.Commentf("the route sets no pause"))
}

// TestDelayedPromptReports replays a group that prefills long prompts, which its daemons know of
// only after a delay, and checks that few of its pauses exceed the stall timeout.
func TestDelayedPromptReports(t *testing.T) {
	c := qt.New(t)
	firstRate := falseAlarmRate(func(expected, _ time.Duration) time.Duration { return currentPassTime(expected, 0, 0) })
	laterRate := falseAlarmRate(func(expected, now time.Duration) time.Duration { return currentPassTime(expected, now, loadDelay) })
	t.Logf("false alarms per million passes: %.0f by the expectation at their begin, %.0f by the later one", firstRate*1e6, laterRate*1e6)
	c.Assert(firstRate > 0.005, qt.IsTrue, qt.Commentf("the load no longer shows the fault: %v", firstRate))
	c.Assert(laterRate < 0.001, qt.IsTrue, qt.Commentf("%v", laterRate))
}

const (
	// loadDelay is how late the loads of other daemons are received.
	loadDelay = 50 * time.Millisecond
	// promptInterval is the mean time between two prompts, promptTokens their mean length.
	promptInterval = 180 * time.Millisecond
	promptTokens   = 1700
	// runningRequests is how many requests the group is running.
	runningRequests = 6
)

// falseAlarmRate returns the fraction of a group's passes that exceed the stall timeout, where
// expectation returns the expected pass time from the expectations when the pass began and now.
func falseAlarmRate(expectation func(expected, now time.Duration) time.Duration) float64 {
	engine := &models.EngineProfile{Slots: 14, StepTime: 7800 * time.Microsecond, StepTimePerRequest: 95 * time.Microsecond, StepsPerSend: 8, PrefillTokensPerSecond: 45900}
	model := models.ModelProfile{TimeFactor: 1}
	random := rand.New(rand.NewPCG(1, 2))
	type prompt struct {
		arrived time.Duration
		tokens  int
	}
	var waiting []prompt
	next, now, alarms := time.Duration(0), time.Duration(0), 0
	const passes = 200_000
	// prefillTokens returns the tokens of the prompts that arrived until a time.
	prefillTokens := func(until time.Duration) int {
		sum := 0
		for _, p := range waiting {
			if p.arrived <= until {
				sum += p.tokens
			}
		}
		return sum
	}
	for range passes {
		pass := func(tokens int) time.Duration {
			return passTime(engine, model, cluster.Load{Requests: runningRequests, PrefillTokens: tokens})
		}
		expected, actual := pass(prefillTokens(now-loadDelay)), pass(prefillTokens(now))
		prefilled := len(waiting)
		for next <= now+actual {
			waiting = append(waiting, prompt{next, int(random.ExpFloat64() * promptTokens)})
			next += time.Duration(random.ExpFloat64() * float64(promptInterval))
		}
		var p *pauseHistogram
		timeout := p.stallTimeout(expected)
		if actual > timeout {
			later := pass(prefillTokens(now + timeout - loadDelay))
			if actual > p.stallTimeout(expectation(expected, later)) {
				alarms++
			}
		}
		waiting, now = waiting[prefilled:], now+actual
	}
	return float64(alarms) / passes
}
