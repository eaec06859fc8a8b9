package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/models"
)

func TestPassTime(t *testing.T) {
	c := qt.New(t)
	engine := &models.EngineProfile{Slots: 17, Step: 8 * time.Millisecond, PerRequest: 100 * time.Microsecond, ReadPerSecond: 40000, Stride: 5}
	idle := passTime(engine, models.ModelProfile{Pace: 1}, cluster.Load{})
	c.Assert(idle, qt.Equals, 40*time.Millisecond)
	busy := passTime(engine, models.ModelProfile{Pace: 1}, cluster.Load{Requests: 10, Unread: 2000})
	c.Assert(busy, qt.Equals, 95*time.Millisecond)
	over := passTime(engine, models.ModelProfile{Pace: 0.5}, cluster.Load{Requests: 40})
	c.Assert(over, qt.Equals, 24250*time.Microsecond)
}

// TestPatienceIsLearned checks that the patience follows the pauses that are
// seen, keeps clear of stalls, and stays within its bounds.
func TestPatienceIsLearned(t *testing.T) {
	c := qt.New(t)
	const pass = 50 * time.Millisecond
	var unknown *pauses
	c.Assert(unknown.patience(pass), qt.Equals, 90*time.Millisecond)
	p := &pauses{}
	for range 2 * pausesKept {
		p.add(pass, pass)
		p.add(time.Second, pass)
	}
	steady := p.patience(pass)
	c.Assert(steady > pass && steady < 70*time.Millisecond, qt.IsTrue, qt.Commentf("%s", steady))
	for range 2 * pausesKept {
		p.add(2*pass, pass)
	}
	c.Assert(p.patience(pass) > 2*pass, qt.IsTrue)
	c.Assert(p.patience(time.Millisecond), qt.Equals, leastPatience)
	c.Assert(p.patience(time.Second), qt.Equals, mostPatience)
}

// TestBudget checks that repeats stay within a part of the requests and the
// daemon's part of the fixed number, over any window.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	b := newBudget(0.2, 100, 10*time.Second)
	now := time.Unix(1000, 0)
	allowed := 0
	for range 1000 {
		b.request(now)
		if b.repeat(now, 10) {
			allowed++
		}
		now = now.Add(5 * time.Millisecond)
	}
	c.Assert(allowed > 100 && allowed <= 210, qt.IsTrue, qt.Commentf("%d", allowed))
	now = now.Add(time.Minute)
	c.Assert(b.repeat(now, 10), qt.IsTrue)
}

// TestSparePause checks that a stream waits for its group as long as it may go
// on elsewhere in time, and that this is the shorter the longer its prompt is.
// In a play of the grown mtkvari daemons that did not know of each other's
// prompts took seventeen sound groups for stalled within two seconds, at 56 ms
// where the caller allows 200.
func TestSparePause(t *testing.T) {
	c := qt.New(t)
	engine := &models.EngineProfile{Slots: 20, Step: 8 * time.Millisecond, PerRequest: 100 * time.Microsecond, ReadPerSecond: 46000, Stride: 6}
	model := models.ModelProfile{Pace: 0.5}
	c.Assert(sparePause(engine, model, 460, 200*time.Millisecond), qt.Equals, 138*time.Millisecond)
	c.Assert(sparePause(engine, model, 1840, 200*time.Millisecond), qt.Equals, 93*time.Millisecond)
	c.Assert(sparePause(engine, model, 460, 0) < 0, qt.IsTrue, qt.Commentf("no pause is named"))
}
