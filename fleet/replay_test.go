package fleet

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	replayTime = 30 * time.Second
	// demandTime is the time constant of the demand figures, in seconds.
	demandTime = 1.5
	// patience is the fraction of the latency target that a request waits for a slot.
	patience = 0.22
	// mostIdle is the largest fraction of the instances that are in no group at the end of a replay
	// whose planner was killed: 3 of B's 19 in a domain fit in no group, and losses add to them.
	mostIdle = 0.25
)

// flow is a fluid model of one model's requests: how many are in flight and in time.
type flow struct {
	models.ModelProfile
	engine *models.EngineProfile
	// kinds are the kinds of requests; prompt and output are mean tokens, factor scales the rate.
	kinds                []requestKind
	rate, prompt, output float64
	factor               []func(float64) float64
	arrivals             []float64
	running, queued      float64
	arrived, inTime      float64
	last                 [2]float64
	// seen is the decaying rate at each step.
	seen []float64
}

type requestKind struct{ rate, prompt, output, target float64 }

func newFlow(engine *models.EngineProfile, m models.ModelProfile, kinds ...requestKind) *flow {
	f := &flow{ModelProfile: m, engine: engine, kinds: kinds}
	for _, k := range kinds {
		f.rate += k.rate
		f.prompt += k.rate * k.prompt
		f.output += k.rate * k.output
	}
	f.prompt /= f.rate
	f.output /= f.rate
	return f
}

func (f *flow) stepTime(load float64) float64 {
	return f.TimeFactor * (f.engine.StepTime.Seconds() + load*f.engine.StepTimePerRequest.Seconds())
}

func (f *flow) readTime() float64 {
	return f.TimeFactor * f.prompt / f.engine.PrefillTokensPerSecond
}

// advance passes one step with arriving requests and the given number of serving groups.
func (f *flow) advance(arriving float64, groups int) {
	dt, n, slots := simStep.Seconds(), float64(groups), float64(f.engine.Slots)
	f.arrived += arriving
	// Requests of lost groups are sent to others.
	f.queued += arriving + max(0, f.running-n*slots)
	f.running = min(f.running, n*slots)
	if groups == 0 {
		f.queued = 0
		return
	}
	load := f.running / n
	completions := f.running / (f.output*f.stepTime(load) + load*f.readTime())
	f.running -= completions * dt
	admitted := min(f.queued, n*slots-f.running)
	f.queued -= admitted
	f.running += admitted
	f.inTime += admitted * f.onTime(f.running/n, admitted/dt/n)
	f.queued = min(f.queued, patience*f.kinds[0].target*completions)
}

// onTime is the fraction of requests in time at a group with this load and rate. As loads vary, 1.5
// requests are ahead at a group that is full on average: the fractions late are then 0.40 and 0.86
// for the small models of A and B, and 0.52 and 0.66 were observed.
func (f *flow) onTime(load, rate float64) float64 {
	prefill := min(0.8, rate*f.readTime())
	step := f.stepTime(load) / (1 - prefill)
	wait := max(0, load+1.5-float64(f.engine.Slots)) * f.output * step / float64(f.engine.Slots)
	mean := simBase.Seconds() + 2*float64(f.engine.StepsPerSend)*step + wait
	sum := 0.0
	for _, k := range f.kinds {
		sd := math.Hypot(0.1*k.target, 2.3*f.readTime()/(1-prefill))
		sum += k.rate / f.rate * 0.5 * math.Erfc((mean-k.target)/sd/math.Sqrt2)
	}
	return sum
}

// ahead returns how many of the requests from step on will be in time, over 2 s, with this many
// groups.
func (f *flow) ahead(step, groups int) float64 {
	c := *f
	for n := step; n < min(step+40, len(f.arrivals)); n++ {
		c.advance(f.arrivals[n], groups)
	}
	return c.inTime - f.inTime
}

func replayDeployment(name string) (domains, perDomain int, flows []*flow) {
	p := &models.EngineProfile{
		Slots: 20, StepTime: 7800 * time.Microsecond, StepTimePerRequest: 95 * time.Microsecond, StepsPerSend: 6,
		PrefillTokensPerSecond: 45900, LoadsPerSecond: 14, MaxConcurrentLoads: 20, FormTime: 300 * time.Millisecond,
		Models: []models.ModelProfile{
			{Name: "large", GroupSize: 8, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", GroupSize: 2, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}
	if name == "A" {
		return 9, 18, []*flow{
			newFlow(p, p.Models[0], requestKind{36, 1460, 28 * 6, 0.5}, requestKind{31, 2000, 4 * 6, 0.5}),
			newFlow(p, p.Models[1], requestKind{402, 714, 28 * 6, 0.3}),
		}
	}
	p.Slots, p.StepTime, p.StepTimePerRequest, p.StepsPerSend = 34, 6070*time.Microsecond, 241*time.Microsecond, 5
	p.PrefillTokensPerSecond, p.MaxConcurrentLoads, p.Models[1].GroupSize = 46000, 21, 4
	return 9, 19, []*flow{
		newFlow(p, p.Models[0], requestKind{33, 1460, 23 * 5, 0.5}, requestKind{21, 2000, 4.5 * 5, 1}),
		newFlow(p, p.Models[1], requestKind{348, 714, 23 * 5, 0.25}),
	}
}

// replay is a run of the simulated fleet under a pattern of load.
type replay struct {
	*sim
	flows    []*flow
	groups   map[models.ModelName]int
	began    time.Time
	events   map[string][]float64
	replaced []time.Time
	killed   []*simInstance
	dark     models.Domain
	// best holds the flows under the best split that is possible at each time.
	best  []*flow
	trace string
}

func newReplay(line string, seed uint64) (*replay, error) {
	fields := strings.Fields(line)
	domains, perDomain, flows := replayDeployment(fields[1])
	r := &replay{sim: newSim(flows[0].engine, seed), flows: flows, events: map[string][]float64{"least": {0.9}}, dark: "d4"}
	for _, field := range fields[2:] {
		at := strings.IndexAny(field, "=~")
		var v []float64
		for _, text := range strings.Split(field[at+1:], ",") {
			number, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", field, err)
			}
			v = append(v, number)
		}
		m := slices.IndexFunc(flows, func(f *flow) bool { return string(f.Name) == field[:at] })
		switch {
		case m < 0:
			r.events[field[:at]] = v
		case field[at] == '~':
			flows[m].factor = append(flows[m].factor, func(t float64) float64 { return 1 + v[0]*math.Sin(2*math.Pi*t/v[1]) })
		default:
			flows[m].factor = append(flows[m].factor, func(t float64) float64 {
				if t < v[1] || t >= v[1]+v[2] {
					return 1
				}
				return v[0]
			})
		}
	}
	for d := range domains {
		for range perDomain {
			name := fmt.Sprintf("d%d", d)
			r.add(r.newID(name), models.Domain(name), models.Zone(fmt.Sprintf("z%d", d%3)))
		}
	}
	r.cheapLoads = true
	r.callers, r.groups = map[models.ModelName]simCallers{}, map[models.ModelName]int{}
	r.drawArrivals()
	return r, nil
}

// drawArrivals draws the arrivals of all steps and copies the flows for the bound.
func (r *replay) drawArrivals() {
	for _, f := range r.flows {
		f.seen = []float64{0}
		for n := range int(replayTime / simStep) {
			mean := f.rate * simStep.Seconds()
			for _, factor := range f.factor {
				mean *= factor(float64(n) * simStep.Seconds())
			}
			f.arrivals = append(f.arrivals, max(0, mean+math.Sqrt(mean)*r.rand.NormFloat64()))
			f.seen = append(f.seen, f.seen[n]+(f.arrivals[n]/simStep.Seconds()-f.seen[n])*simStep.Seconds()/demandTime)
		}
		b := *f
		r.best = append(r.best, &b)
	}
}

// observeCallers sets the demand as daemons estimate it.
func (r *replay) observeCallers(step int) {
	if stale := r.events["stale"]; stale != nil {
		step -= int(stale[0] / simStep.Seconds())
	}
	total, half := 1e-9, float64(r.profile.Slots)/2
	for _, f := range r.flows {
		r.groups[f.Name] = r.serving(f.Name)
		target := 0.0
		for _, k := range f.kinds {
			target += k.rate / f.rate * k.target
		}
		rate := f.seen[max(0, step)]
		r.callers[f.Name] = simCallers{rate, f.prompt, f.output, time.Duration(target * float64(time.Second))}
		r.demand[f.Name] = rate * (f.readTime() + f.output/simOutputFraction*f.stepTime(half)/half) * float64(f.GroupSize)
		total += r.demand[f.Name]
	}
	for _, f := range r.flows {
		r.demand[f.Name] /= total
		if step <= 0 {
			r.demand[f.Name] = f.Share
		}
	}
}

// run plays the pattern and returns the fraction of requests in time, and that of the bound.
func (r *replay) run() (got, best float64) {
	for _, f := range r.flows {
		r.demand[f.Name] = f.Share
	}
	r.newPlanner(1)
	r.sim.run(settlingTime)
	r.traffic, r.began = true, r.now
	large := 0
	for n := range int(replayTime / simStep) {
		r.cause(float64(n) * simStep.Seconds())
		r.observeCallers(n)
		r.sim.run(simStep)
		for _, f := range r.flows {
			f.advance(f.arrivals[n], r.groups[f.Name])
			r.requests[f.Name] = 0.97*r.requests[f.Name] + 0.03*(f.running+f.queued)
		}
		small := r.mostSmall(large)
		if n%5 == 0 || small < 0 {
			large = r.bestSplit(n)
			small = r.mostSmall(large)
		}
		r.best[0].advance(r.best[0].arrivals[n], large)
		r.best[1].advance(r.best[1].arrivals[n], small)
		if n%20 == 19 {
			r.trace += fmt.Sprintf("%2d s: groups %d and %d, best %d and %d; in time %.2f and %.2f, best %.2f and %.2f\n", n/20+1,
				r.groups["large"], r.groups["small"], large, small, r.flows[0].fraction(), r.flows[1].fraction(), r.best[0].fraction(), r.best[1].fraction())
		}
	}
	return fractionInTime(r.flows), fractionInTime(r.best)
}

func fractionInTime(flows []*flow) float64 {
	return (flows[0].inTime + flows[1].inTime) / (flows[0].arrived + flows[1].arrived)
}

// fraction is the fraction in time of the requests since its last call.
func (f *flow) fraction() float64 {
	out := (f.inTime - f.last[0]) / max(1, f.arrived-f.last[1])
	f.last = [2]float64{f.inTime, f.arrived}
	return out
}

// idle returns the fraction of the capacity that is in no serving group.
func (r *replay) idle() float64 {
	all, serving := 0, 0
	for _, n := range r.capacity() {
		all += n
	}
	for _, f := range r.flows {
		serving += r.serving(f.Name) * f.GroupSize
	}
	return 1 - float64(serving)/float64(all)
}

// cause causes the events that are due t seconds after the first request.
func (r *replay) cause(t float64) {
	if e := r.events["dark"]; e != nil {
		for _, i := range r.instances {
			i.cut = i.Domain == r.dark && t >= e[0] && t < e[0]+e[1]
		}
	}
	if e := r.events["loss"]; e != nil && t > 0 && math.Mod(t+1e-9, e[0]) < simStep.Seconds() {
		for range int(e[1]) {
			r.killed = append(r.killed, r.killMember())
			r.replaced = append(r.replaced, r.now)
		}
	}
	for len(r.killed) > 0 && r.now.Sub(r.replaced[0]) > 12*time.Second {
		r.add(r.newID(string(r.killed[0].Domain)), r.killed[0].Domain, r.killed[0].Zone)
		r.killed, r.replaced = r.killed[1:], r.replaced[1:]
	}
	for n, i := range r.killed {
		if r.now.Sub(r.replaced[n]) > entryLifetime && r.instances[i.ID] == i {
			delete(r.instances, i.ID)
		}
	}
	if e := r.events["store"]; e != nil {
		r.storeDown = t >= e[0]
	}
	if e := r.events["kill"]; e != nil {
		// A group that closes without the loss of a member is being moved.
		closing := func(i *simInstance) bool {
			lost := func(id models.InstanceID) bool { return r.instances[id] == nil || r.instances[id].dead }
			return i.Group.State == models.MemberClosing && !slices.ContainsFunc(i.members, lost)
		}
		switch {
		case len(r.planners) == 0 && t >= e[0]+1.5:
			r.newPlanner(2)
			delete(r.events, "kill")
		case len(r.planners) > 0 && t >= e[0] && slices.ContainsFunc(slices.Collect(maps.Values(r.instances)), closing):
			r.planners, e[0] = nil, t
		}
	}
}

// capacity returns the number of instances in each domain that could serve under the best planner:
// those that are reachable and have had time to load weights.
func (r *replay) capacity() map[models.Domain]int {
	out := map[models.Domain]int{}
	for _, i := range r.instances {
		initial := !i.StartedAt.After(time.Unix(0, 0))
		if !i.dead && !i.cut && (initial || !r.storeDown && r.now.Sub(i.StartedAt) >= r.profile.Models[1].LoadTime) {
			out[i.Domain]++
		}
	}
	return out
}

// mostSmall returns the most small groups that the domains can hold beside so many large ones, or -1.
func (r *replay) mostSmall(large int) int {
	best := []int{0}
	size, unit := r.flows[0].GroupSize, r.flows[1].GroupSize
	for _, k := range r.capacity() {
		next := slices.Repeat([]int{-1}, len(best)+k/size)
		for before, small := range best {
			for l := range k/size + 1 {
				next[before+l] = max(next[before+l], small+(k-l*size)/unit)
			}
		}
		best = next
	}
	if large >= len(best) {
		return -1
	}
	return best[large]
}

// bestSplit returns the number of large groups with which most requests are in time over the next
// 2 s, of which the arrivals are known.
func (r *replay) bestSplit(step int) int {
	best, most := 0, -1.0
	for large := 0; ; large++ {
		small := r.mostSmall(large)
		if small < 0 {
			return best
		}
		if sum := r.best[0].ahead(step, large) + r.best[1].ahead(step, small); sum > most {
			best, most = large, sum
		}
	}
}

// TestReplays checks that the planner keeps up with the patterns of load in testdata/replays.txt. It
// guards against a split that doesn't follow demand. Each line has to reach a share of what the
// best split at each time would serve in time, with the same losses and with moves that take no
// time. The bound leaves out joins, closing, weights on hosts and where in a domain groups are, and
// counts an instance that replaces a lost one once it has had time to load.
func TestReplays(t *testing.T) {
	const seeds = 2
	text, err := os.ReadFile("testdata/replays.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Fields(line)
		t.Run(fields[0]+"_"+fields[1], func(t *testing.T) {
			t.Parallel()
			var got, best, least float64
			traces := ""
			for seed := range uint64(seeds) {
				r, err := newReplay(line, seed+1)
				qt.Assert(t, err, qt.IsNil)
				a, b := r.run()
				qt.Check(t, r.events["kill"], qt.IsNil, qt.Commentf("no move to be interrupted"))
				killed := r.planners[0].term > 1
				qt.Check(t, !killed || r.idle() <= mostIdle, qt.IsTrue, qt.Commentf("%.2f idle at the end", r.idle()))
				qt.Assert(t, r.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed+1))
				traces += r.trace
				got, best, least = got+a/seeds, best+b/seeds, r.events["least"][0]
			}
			t.Logf("%s %s: in time %.3f, bound %.3f, share %.3f", fields[0], fields[1], got, best, got/best)
			qt.Check(t, got >= least*best, qt.IsTrue, qt.Commentf("share %.3f of %.3f\n%s", got/best, best, traces))
		})
	}
}
