package placement_test

import (
	"bufio"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/placement"
)

// pattern is a load that several daemons place on the groups of a model.
type pattern struct {
	name string
	// rate is the number of requests per second for all daemons, groups the number of groups,
	// prompt the mean length of a prompt in tokens.
	rate   float64
	groups int
	prompt float64
	// age is the delay with which loads are reported, daemons how many daemons place requests by
	// them.
	age     time.Duration
	daemons int
	// lostGroups is how many groups are lost at 5 s, with all their requests.
	lostGroups int
	// burst multiplies the rate from 5 to 8 s.
	burst float64
	// maxExtraLate bounds the percentage of late requests, beyond the percentage with an omniscient
	// scheduler.
	maxExtraLate float64
}

const (
	// latencyTarget is the time in which a request should have its first event, decodeTime how long
	// it runs from the begin of its first pass.
	latencyTarget = 300 * time.Millisecond
	decodeTime    = 1100 * time.Millisecond
	// step is the time step of a replay, duration its length.
	step     = 5 * time.Millisecond
	duration = 12 * time.Second
)

// engine is one of the users' engines for short prompts.
var engine = &models.EngineProfile{Slots: 14, StepTime: 4700 * time.Microsecond, StepTimePerRequest: 57 * time.Microsecond, StepsPerSend: 8, PrefillTokensPerSecond: 76500}

// picker picks a group by the known loads.
type picker func(known []placement.Candidate, prompt int, rate float64) int

// TestReplays replays the load patterns of the data file with three schedulers: daemons that know
// delayed loads, an omniscient scheduler, and one that sends each request to the group with the
// fewest requests. The daemons may have slightly more late requests than the omniscient scheduler
// and must not have more than the last one.
func TestReplays(t *testing.T) {
	policy := placement.DefaultPolicy()
	for _, p := range patterns(t) {
		t.Run(p.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(3, 4))
			staleLoads := p.replay(p.age, func(known []placement.Candidate, prompt int, rate float64) int {
				staleness := placement.Staleness{Age: p.age, Daemons: p.daemons, RequestRate: rate / float64(p.daemons)}
				return policy.Pick(engine, known, placement.Request{PromptTokens: prompt, LatencyTarget: latencyTarget, RouteTarget: latencyTarget}, staleness, random)
			})
			omniscient := p.replay(0, func(known []placement.Candidate, prompt int, _ float64) int {
				return policy.Pick(engine, known, placement.Request{PromptTokens: prompt, LatencyTarget: latencyTarget, RouteTarget: latencyTarget}, placement.Staleness{}, random)
			})
			byRequests := p.replay(p.age, func(known []placement.Candidate, _ int, _ float64) int { return fewestRequests(known) })
			t.Logf("percent late: %.1f, omniscient %.1f, fewest requests %.1f", staleLoads, omniscient, byRequests)
			c.Check(staleLoads-omniscient <= p.maxExtraLate, qt.IsTrue, qt.Commentf("%.1f %% late, omniscient %.1f %%", staleLoads, omniscient))
			c.Check(staleLoads <= byRequests, qt.IsTrue, qt.Commentf("%.1f %% late, by fewest requests %.1f %%", staleLoads, byRequests))
		})
	}
}

func fewestRequests(known []placement.Candidate) int {
	best := 0
	for i, k := range known {
		if k.Requests < known[best].Requests {
			best = i
		}
	}
	return best
}

// group is a simulated group.
type group struct {
	// waiting are the requests whose prompts wait for prefill, in order; running are the end times
	// of the running ones; busy is when the current pass ends.
	waiting []request
	running []time.Duration
	busy    time.Duration
}

type request struct {
	arrived time.Duration
	tokens  int
}

func (g *group) load() placement.Candidate {
	c := placement.Candidate{Requests: len(g.waiting) + len(g.running), SameZone: true}
	for _, j := range g.waiting {
		c.PrefillTokens += j.tokens
	}
	return c
}

// advance runs the passes that begin up to a time. It counts the requests whose first event was
// late.
func (g *group) advance(now time.Duration) (late int) {
	for g.busy <= now {
		g.running = slices.DeleteFunc(g.running, func(end time.Duration) bool { return end <= g.busy })
		admitted := min(engine.Slots-len(g.running), len(g.waiting))
		tokens := 0
		for _, j := range g.waiting[:admitted] {
			tokens += j.tokens
		}
		steps := time.Duration(engine.StepsPerSend) * (engine.StepTime + time.Duration(len(g.running)+admitted)*engine.StepTimePerRequest)
		started := g.busy
		g.busy += steps + engine.PrefillTime(tokens)
		for _, j := range g.waiting[:admitted] {
			if g.busy-j.arrived > latencyTarget {
				late++
			}
			g.running = append(g.running, started+decodeTime)
		}
		g.waiting = g.waiting[admitted:]
	}
	return late
}

// replay places the pattern's requests and returns the percentage that is late or lost.
func (p pattern) replay(age time.Duration, pick picker) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	groups := make([]group, p.groups)
	var history [][]placement.Candidate
	requests, late, next := 0, 0, 0.0
	for now := time.Duration(0); now < duration; now += step {
		rate := p.rate
		if now >= 5*time.Second && now < 8*time.Second {
			rate *= p.burst
		}
		if now == 5*time.Second {
			late += inFlight(groups[:p.lostGroups])
			groups = groups[p.lostGroups:]
		}
		for i := range groups {
			late += groups[i].advance(now)
		}
		history = append(history, loads(groups))
		for ; next <= now.Seconds(); next += random.ExpFloat64() / rate {
			requests++
			known := loads(groups)
			if age > 0 {
				known = history[max(0, len(history)-1-int(age/step))]
			}
			// Skips the loads of groups that were lost since.
			known = known[len(known)-len(groups):]
			prompt := int(random.ExpFloat64() * p.prompt)
			index := pick(known, prompt, rate)
			groups[index].waiting = append(groups[index].waiting, request{now, prompt})
		}
	}
	return 100 * float64(late) / float64(requests)
}

func loads(groups []group) []placement.Candidate {
	out := make([]placement.Candidate, len(groups))
	for i := range groups {
		out[i] = groups[i].load()
	}
	return out
}

// inFlight counts the requests of groups.
func inFlight(groups []group) (n int) {
	for i := range groups {
		n += groups[i].load().Requests
	}
	return n
}

// patterns reads the data file.
func patterns(t *testing.T) []*pattern {
	var out []*pattern
	readPatterns(t, "testdata/patterns.txt", func(name string) func(key string, n float64) {
		p := &pattern{name: name, burst: 1}
		out = append(out, p)
		return func(key string, n float64) { p.set(t, key, n) }
	})
	return out
}

// readPatterns reads a file of lines with a name and numbers by key. It calls begin for each name, and
// what that returns for each number.
func readPatterns(t *testing.T, file string, begin func(name string) func(key string, n float64)) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		set := begin(words[0])
		for _, word := range words[1:] {
			key, value, _ := strings.Cut(word, "=")
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatal(err)
			}
			set(key, n)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
}

func (p *pattern) set(t *testing.T, key string, n float64) {
	switch key {
	case "rate":
		p.rate = n
	case "groups":
		p.groups = int(n)
	case "prompt":
		p.prompt = n
	case "age-ms":
		p.age = time.Duration(n) * time.Millisecond
	case "daemons":
		p.daemons = int(n)
	case "lost-groups":
		p.lostGroups = int(n)
	case "burst":
		p.burst = n
	case "max-extra-late":
		p.maxExtraLate = n
	default:
		t.Fatalf("unknown key %q", key)
	}
}
