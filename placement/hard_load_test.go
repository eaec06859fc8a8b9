package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/placement"
)

// hardLoad is a load on the groups of a small model, of which the first one differs from the others.
type hardLoad struct {
	pattern
	engine *models.EngineProfile
	target time.Duration
	// slow multiplies all durations of the first group from 3 s until slowUntil. failing is the fraction of
	// requests that it fails at once, formed is when it opens.
	slow, failing float64
	slowUntil     time.Duration
	formed        time.Duration
	// maxLate bounds the percentage of requests from 3 to 9 s that are late, maxFirst the number sent
	// to the first group as a percentage of the number before predictions were used, maxBurst the
	// number sent to it in burstTime after it opens as a percentage of an equal share.
	maxLate, maxFirst, maxBurst float64
}

const (
	// requestPasses is the number of passes of a request.
	requestPasses = 25
	// replaySeeds is the number of replays of a load, since single ones differ by more than the
	// effect of predictions.
	replaySeeds = 8
	// maxExtra is by how many percentage points more requests may be late than before. The difference
	// has a standard deviation of 1 for a single seed, so this is three standard errors.
	maxExtra = 1
	// burstTime is the time in which daemons learn the load of a group that has opened, twice the age
	// of loads.
	burstTime = 300 * time.Millisecond
	// newGroupTime is how long a group counts as of unknown speed after it has opened.
	newGroupTime = 2 * time.Second
	// windowFrom and windowTo bound the time in which requests are counted.
	windowFrom, windowTo = 3 * time.Second, 9 * time.Second
)

// TestHardLoad replays the loads of the data file without a known base latency, which is as before
// predictions were used, and with one.
func TestHardLoad(t *testing.T) {
	for _, h := range hardLoads(t) {
		t.Run(h.name, func(t *testing.T) {
			c := qt.New(t)
			var before, now hardResult
			for seed := range uint64(replaySeeds) {
				before.merge(h.replay(0, seed))
				now.merge(h.replay(baseSmall, seed))
			}
			t.Logf("before: %s", before)
			t.Logf("now: %s", now)
			c.Check(now.late() <= h.maxLate, qt.IsTrue, qt.Commentf("%s", now))
			c.Check(now.late() <= before.late()+maxExtra, qt.IsTrue, qt.Commentf("%s, before %s", now, before))
			c.Check(percent(now.first, before.first) <= h.maxFirst, qt.IsTrue, qt.Commentf("%s, before %s", now, before))
			equal := replaySeeds * h.rate * burstTime.Seconds() / float64(h.groups)
			c.Check(100*float64(now.burst)/equal <= h.maxBurst, qt.IsTrue, qt.Commentf("%s, %.0f in an equal share", now, equal))
		})
	}
}

// simGroup is a simulated group whose requests are counted in passes.
type simGroup struct {
	h       *hardLoad
	index   int
	waiting []*simRequest
	running []int
	busy    time.Duration
}

type simRequest struct {
	arrived time.Duration
	prompt  int
	daemon  *simDaemon
	group   int
	// tried is the group that failed the request, -1 if there is none.
	tried   int
	pending *placement.PendingFirstEvent
	firstAt time.Duration
}

// simDaemon is what one daemon has observed.
type simDaemon struct {
	slowness []placement.Slowness
	failures []float64
	failedAt []time.Duration
}

// slowness returns the factor of the group's durations.
func (g *simGroup) slowness(now time.Duration) float64 {
	if g.index == 0 && g.h.slow > 0 && now >= windowFrom && now < g.h.slowUntil {
		return g.h.slow
	}
	return 1
}

// advance runs the passes that begin up to a time, and returns the requests that have their first
// event at the end of one.
func (g *simGroup) advance(now time.Duration) (first []*simRequest) {
	for g.busy <= now {
		admitted := min(g.h.engine.Slots-len(g.running), len(g.waiting))
		tokens := 0
		for _, r := range g.waiting[:admitted] {
			tokens += r.prompt
			g.running = append(g.running, requestPasses)
		}
		steps := time.Duration(g.h.engine.StepsPerSend) * (g.h.engine.StepTime + time.Duration(len(g.running))*g.h.engine.StepTimePerRequest)
		factor := small.TimeFactor * g.slowness(g.busy)
		g.busy += time.Duration(factor * float64(steps+g.h.engine.PrefillTime(tokens)))
		for _, r := range g.waiting[:admitted] {
			r.firstAt = g.busy + time.Duration(float64(baseSmall)*g.slowness(now))
		}
		first = append(first, g.waiting[:admitted]...)
		g.waiting = g.waiting[admitted:]
		for i := range g.running {
			g.running[i]--
		}
		g.running = slices.DeleteFunc(g.running, func(left int) bool { return left == 0 })
	}
	return first
}

func (g *simGroup) load() placement.Candidate {
	c := placement.Candidate{Requests: len(g.waiting) + len(g.running), SameZone: true}
	for _, r := range g.waiting {
		c.PrefillTokens += r.prompt
	}
	return c
}

// hardReplay is a replay in progress.
type hardReplay struct {
	*hardLoad
	base    time.Duration
	random  *rand.Rand
	groups  []*simGroup
	daemons []*simDaemon
	history [][]placement.Candidate
	// awaited are the requests whose first events have not arrived.
	awaited []*simRequest
	result  hardResult
}

// hardResult counts the requests that arrived in the window, at all groups and at the first one,
// those sent to the first one just after it opened, and those that it failed.
type hardResult struct{ all, allLate, first, firstLate, burst, failed int }

func (r hardResult) late() float64 { return percent(r.allLate, r.all) }

func (r hardResult) String() string {
	return fmt.Sprintf("%.1f %% late (of %d), at the first group %.1f %% (of %d), %d in the first 300 ms, %d failed", r.late(), r.all, percent(r.firstLate, r.first), r.first, r.burst, r.failed)
}

func percent(part, all int) float64 { return 100 * float64(part) / float64(max(1, all)) }

// replay places the requests and returns how many are late.
func (h *hardLoad) replay(base time.Duration, seed uint64) hardResult {
	random := rand.New(rand.NewPCG(seed, 2))
	r := &hardReplay{hardLoad: h, base: base, random: rand.New(rand.NewPCG(seed, 4))}
	for i := range h.pattern.groups {
		r.groups = append(r.groups, &simGroup{h: h, index: i})
	}
	for range h.pattern.daemons {
		r.daemons = append(r.daemons, &simDaemon{slowness: make([]placement.Slowness, h.pattern.groups), failures: make([]float64, h.pattern.groups), failedAt: make([]time.Duration, h.pattern.groups)})
	}
	next := 0.0
	for now := time.Duration(0); now < duration; now += step {
		var loads []placement.Candidate
		for _, g := range r.groups {
			r.awaited = append(r.awaited, g.advance(now)...)
			loads = append(loads, g.load())
		}
		r.history = append(r.history, loads)
		r.deliver(now)
		for ; next <= now.Seconds(); next += random.ExpFloat64() / h.rate {
			request := &simRequest{arrived: now, prompt: int(random.ExpFloat64() * h.prompt), daemon: r.daemons[random.IntN(len(r.daemons))], tried: -1}
			r.place(request, now)
		}
	}
	return r.result
}

// deliver hands the first events that have arrived to the daemons, and counts the requests.
func (r *hardReplay) deliver(now time.Duration) {
	r.awaited = slices.DeleteFunc(r.awaited, func(q *simRequest) bool {
		if q.firstAt > now {
			return false
		}
		d := q.daemon
		d.slowness[q.group].Arrived(q.pending, simTime(q.firstAt))
		d.failures[q.group] = d.decayedFailures(q.group, now) / 2
		d.failedAt[q.group] = now
		if q.arrived >= windowFrom && q.arrived < windowTo {
			r.result.add(q.group == 0, q.firstAt-q.arrived > r.target)
		}
		return true
	})
}

func (r *hardResult) merge(o hardResult) {
	r.all, r.allLate, r.first, r.firstLate = r.all+o.all, r.allLate+o.allLate, r.first+o.first, r.firstLate+o.firstLate
	r.burst, r.failed = r.burst+o.burst, r.failed+o.failed
}

func (r *hardResult) add(first, late bool) {
	r.all++
	if late {
		r.allLate++
	}
	if first {
		r.first++
	}
	if first && late {
		r.firstLate++
	}
}

// place sends a request to a group, and to another one if that fails it.
func (r *hardReplay) place(q *simRequest, now time.Duration) {
	known := r.history[max(0, len(r.history)-1-int(r.age/step))]
	var candidates []placement.Candidate
	var indexes []int
	for i, c := range known {
		if i == q.tried || (i == 0 && now < r.formed) {
			continue
		}
		c.Slowness = q.daemon.slowness[i].Factor(simTime(now))
		c.Unproven = i == 0 && r.formed > 0 && now < r.formed+newGroupTime && !q.daemon.slowness[i].Observed()
		c.Failures = q.daemon.decayedFailures(i, now)
		candidates, indexes = append(candidates, c), append(indexes, i)
	}
	req := placement.Request{PromptTokens: q.prompt, LatencyTarget: r.target, RouteTarget: r.target, Displaced: 1, Model: small, Base: r.base, TimeLeft: r.target}
	staleness := placement.Staleness{Age: r.age, Daemons: len(r.daemons), RequestRate: r.rate / float64(len(r.daemons))}
	q.group = indexes[placement.DefaultPolicy().Pick(r.engine, candidates, req, staleness, r.random)]
	if q.group == 0 && r.formed > 0 && now < r.formed+burstTime {
		r.result.burst++
	}
	if q.group == 0 && r.random.Float64() < r.failing {
		r.result.failed++
		q.daemon.failures[0], q.daemon.failedAt[0] = min(4, q.daemon.decayedFailures(0, now)+1), now
		q.tried = 0
		r.place(q, now)
		return
	}
	predicted := placement.DefaultPolicy().FirstEvent(r.engine, small, baseSmall, known[q.group])
	q.pending = q.daemon.slowness[q.group].Begin(predicted, simTime(now))
	g := r.groups[q.group]
	g.waiting = append(g.waiting, q)
}

// decayedFailures returns the daemon's recent failures of a group, as the gateway counts them.
func (d *simDaemon) decayedFailures(group int, now time.Duration) float64 {
	return d.failures[group] * math.Exp(-(now-d.failedAt[group]).Seconds()/2)
}

func simTime(now time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(now) }

// hardLoads reads the data file.
func hardLoads(t *testing.T) []*hardLoad {
	var out []*hardLoad
	readPatterns(t, "testdata/hard_load.txt", func(name string) func(key string, n float64) {
		h := &hardLoad{pattern: pattern{name: name, burst: 1}, engine: engineB, target: 250 * time.Millisecond, slowUntil: windowTo}
		out = append(out, h)
		return func(key string, n float64) { h.set(t, key, n) }
	})
	return out
}

func (h *hardLoad) set(t *testing.T, key string, n float64) {
	switch key {
	case "slots":
		if int(n) == engineA.Slots {
			h.engine, h.target = engineA, 300*time.Millisecond
		}
	case "slow":
		h.slow = n
	case "slow-until-ms":
		h.slowUntil = time.Duration(n) * time.Millisecond
	case "failing":
		h.failing = n
	case "formed-ms":
		h.formed = time.Duration(n) * time.Millisecond
	case "max-late":
		h.maxLate = n
	case "max-first":
		h.maxFirst = n
	case "max-burst":
		h.maxBurst = n
	default:
		h.pattern.set(t, key, n)
	}
}
