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

// pattern is a load that many daemons place on the groups of a model.
type pattern struct {
	name string
	// rate is how many requests come in a second to all daemons, groups how many
	// groups there are, prompt the mean length of a prompt in tokens.
	rate   float64
	groups int
	prompt float64
	// age is how late loads are told, daemons how many place by them.
	age     time.Duration
	daemons int
	// gone is how many groups are lost at 5 s, with all that they were answering.
	gone int
	// burst is by how much the load is higher from 5 to 8 s.
	burst float64
	// most is how many in a hundred may be late beyond those of a scheduler that
	// knows all.
	most float64
}

const (
	// aim is within what time a request should have its first event, answer how
	// long one takes after that.
	aim    = 300 * time.Millisecond
	answer = 1100 * time.Millisecond
	// moment is the step of a replay, length its length.
	moment = 5 * time.Millisecond
	length = 12 * time.Second
)

// engine is one of the users' engines for short prompts.
var engine = &models.EngineProfile{Slots: 14, Step: 4700 * time.Microsecond, PerRequest: 57 * time.Microsecond, Stride: 8, ReadPerSecond: 76500}

// chooser picks a group by what is known of all.
type chooser func(known []placement.Candidate, prompt int, rate float64) int

// TestReplays replays the load patterns of the data file: requests are placed by
// daemons that know the loads of a while ago, by a scheduler that knows all, and by
// one that sends each request to the group that had the fewest.
func TestReplays(t *testing.T) {
	policy := placement.DefaultPolicy()
	for _, p := range patterns(t) {
		t.Run(p.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(3, 4))
			ours := p.replay(p.age, func(known []placement.Candidate, prompt int, rate float64) int {
				news := placement.Staleness{Age: p.age, Daemons: p.daemons, RequestRate: rate / float64(p.daemons)}
				return policy.Pick(engine, known, placement.Request{PromptTokens: prompt, LatencyTarget: aim, RouteTarget: aim}, news, random)
			})
			allKnowing := p.replay(0, func(known []placement.Candidate, prompt int, _ float64) int {
				return policy.Pick(engine, known, placement.Request{PromptTokens: prompt, LatencyTarget: aim, RouteTarget: aim}, placement.Staleness{}, random)
			})
			naive := p.replay(p.age, func(known []placement.Candidate, _ int, _ float64) int { return fewest(known) })
			t.Logf("late in a hundred: %.1f, knowing all %.1f, fewest requests %.1f", ours, allKnowing, naive)
			c.Check(ours-allKnowing <= p.most, qt.IsTrue, qt.Commentf("%.1f against %.1f", ours, allKnowing))
			c.Check(ours <= naive, qt.IsTrue, qt.Commentf("%.1f against %.1f by fewest requests", ours, naive))
		})
	}
}

func fewest(known []placement.Candidate) int {
	best := 0
	for i, k := range known {
		if k.Requests < known[best].Requests {
			best = i
		}
	}
	return best
}

// group is one group of a replay: the requests that it reads, answers and queues.
type group struct {
	// waiting are those whose prompts are yet to be read, in turn, running the ends
	// of those that are being answered.
	waiting []job
	running []time.Duration
	busy    time.Duration
}

type job struct {
	came   time.Duration
	tokens int
}

func (g *group) load() placement.Candidate {
	c := placement.Candidate{Requests: len(g.waiting) + len(g.running), SameZone: true}
	for _, j := range g.waiting {
		c.PrefillTokens += j.tokens
	}
	return c
}

// advance has the group begin passes up to a time. It counts those whose first
// event came late.
func (g *group) advance(now time.Duration) (late int) {
	for g.busy <= now {
		g.running = slices.DeleteFunc(g.running, func(end time.Duration) bool { return end <= g.busy })
		free := min(engine.Slots-len(g.running), len(g.waiting))
		tokens := 0
		for _, j := range g.waiting[:free] {
			tokens += j.tokens
		}
		steps := time.Duration(engine.Stride) * (engine.Step + time.Duration(len(g.running)+free)*engine.PerRequest)
		begun := g.busy
		g.busy += steps + engine.ReadTime(tokens)
		for _, j := range g.waiting[:free] {
			if g.busy-j.came > aim {
				late++
			}
			g.running = append(g.running, begun+answer)
		}
		g.waiting = g.waiting[free:]
	}
	return late
}

// replay places the pattern's requests and returns how many in a hundred are late
// or lost.
func (p pattern) replay(age time.Duration, choose chooser) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	groups := make([]group, p.groups)
	var told [][]placement.Candidate
	asked, late, next := 0, 0, 0.0
	for now := time.Duration(0); now < length; now += moment {
		rate := p.rate
		if now >= 5*time.Second && now < 8*time.Second {
			rate *= p.burst
		}
		if now == 5*time.Second {
			late += inFlight(groups[:p.gone])
			groups = groups[p.gone:]
		}
		for i := range groups {
			late += groups[i].advance(now)
		}
		told = append(told, loads(groups))
		for ; next <= now.Seconds(); next += random.ExpFloat64() / rate {
			asked++
			known := loads(groups)
			if age > 0 {
				known = told[max(0, len(told)-1-int(age/moment))]
			}
			// What is told of groups that were lost since is passed over.
			known = known[len(known)-len(groups):]
			prompt := int(random.ExpFloat64() * p.prompt)
			at := choose(known, prompt, rate)
			groups[at].waiting = append(groups[at].waiting, job{now, prompt})
		}
	}
	return 100 * float64(late) / float64(asked)
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

// patterns reads the data file: name, then key=value pairs.
func patterns(t *testing.T) []pattern {
	f, err := os.Open("testdata/patterns.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var out []pattern
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		p := pattern{name: words[0], burst: 1}
		for _, word := range words[1:] {
			key, value, _ := strings.Cut(word, "=")
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatal(err)
			}
			p.set(t, key, n)
		}
		out = append(out, p)
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return out
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
	case "gone":
		p.gone = int(n)
	case "burst":
		p.burst = n
	case "most":
		p.most = n
	default:
		t.Fatalf("unknown: %s", key)
	}
}
