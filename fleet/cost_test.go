package fleet

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestKindsCountAlike checks that a model whose callers ask for two kinds of requests
// weighs twice as much as one with the same load and one kind: with both alike the
// callers of two kinds were late three times as often as those of the third.
func TestKindsCountAlike(t *testing.T) {
	c := qt.New(t)
	r := replay{large: 16, small: 4, rateLarge: 40, rateSmall: 423}
	w := World{Profile: r.profile(), Traffic: true, Load: r.loadAt(0)}
	m := w.Profile.Models[0]
	one := w.costOf(m, 3)
	l := w.Load["big"]
	l.Kinds = 2
	w.Load["big"] = l
	c.Assert(w.costOf(m, 3), qt.Equals, 2*one)
}

// emulated is a group that works in passes: each gives every request that runs a few
// tokens and reads what prompts have come, up to its slots.
type emulated struct {
	// until is when the pass under way ends.
	until time.Duration
	// waiting are when requests came that have not begun, running how many tokens each
	// of the others still has to write.
	waiting []time.Duration
	running []float64
}

// pass begins a pass at a time and returns how late the first events of those that it
// begins to answer are.
func (g *emulated) pass(engine *models.EngineProfile, m models.ModelProfile, l Load, answer float64, now time.Duration) []time.Duration {
	begun := min(len(g.waiting), engine.Slots-len(g.running))
	steps := float64(engine.Stride) * (engine.Step.Seconds() + float64(len(g.running)+begun)*engine.PerRequest.Seconds())
	reading := float64(begun) * engine.ReadTime(int(l.Prompt)).Seconds()
	g.until = now + time.Duration(m.Pace*(steps+reading)*float64(time.Second))
	var late []time.Duration
	for _, came := range g.waiting[:begun] {
		late = append(late, g.until-came)
		g.running = append(g.running, answer)
	}
	g.waiting = g.waiting[begun:]
	left := g.running[:0]
	for _, tokens := range g.running {
		if tokens -= float64(engine.Stride); tokens > 0 {
			left = append(left, tokens)
		}
	}
	g.running = left
	return late
}

// emulate tells which part of requests comes too late where they go to the emptiest of
// two groups drawn at random, as daemons that know each other's loads a moment late do.
func emulate(engine *models.EngineProfile, m models.ModelProfile, l Load, answer float64, groups int, seed uint64) float64 {
	const span = 60 * time.Second
	random := rand.New(rand.NewPCG(seed, 1))
	all := make([]emulated, groups)
	next, late, count := time.Duration(0), 0, 0
	for now := time.Duration(0); now < span; now += time.Millisecond {
		for ; next <= now; next += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)) {
			a, b := &all[random.IntN(groups)], &all[random.IntN(groups)]
			if len(b.waiting)+len(b.running) < len(a.waiting)+len(a.running) {
				a = b
			}
			a.waiting = append(a.waiting, now)
		}
		for i := range all {
			if now < all[i].until || len(all[i].waiting)+len(all[i].running) == 0 {
				continue
			}
			for _, first := range all[i].pass(engine, m, l, answer, now) {
				count++
				if first+wayTime > l.Aim {
					late++
				}
			}
		}
	}
	return float64(late) / float64(max(1, count))
}

// TestLate compares what is reckoned to be late with emulated groups, by the lines of
// testdata/late.txt.
func TestLate(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/late.txt")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		var model, groups int
		var rate, prompt, answer, aim, least, most float64
		_, err := fmt.Sscan(line, &model, &rate, &prompt, &answer, &aim, &groups, &least, &most)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", line))
		r := replay{large: 16, small: 4}
		engine := r.profile()
		l := r.load(model, rate, prompt, answer, time.Duration(aim)*time.Millisecond)
		got := 100 * l.late(engine, engine.Models[model], float64(groups))
		seen := 100 * emulate(engine, engine.Models[model], l, answer, groups, 1)
		t.Logf("model %d, %d groups: reckoned %.1f, emulated %.1f", model, groups, got, seen)
		c.Check(got >= least && got <= most, qt.IsTrue, qt.Commentf("%s: reckoned %.1f", line, got))
		c.Check(seen >= least && seen <= most, qt.IsTrue, qt.Commentf("%s: emulated %.1f", line, seen))
	}
}
