package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/state"
)

// GroupFigures are what one planner showed on one trace.
type GroupFigures struct {
	Trace   string `json:"trace"`
	Planner string `json:"planner"`
	// Downtime is the time for which fewer groups served than were wanted,
	// in group-seconds; its limit counts, at each time, the groups that the
	// instances that are up can't make, and for each event the detection
	// and one load.
	Downtime      float64 `json:"downtime_group_seconds"`
	DowntimeLimit float64 `json:"downtime_limit_group_seconds"`
	// Stranded is the time for which accelerators were up and served
	// nobody, in accelerator-seconds; its limit is what the best packing
	// leaves over.
	Stranded      float64 `json:"stranded_accelerator_seconds"`
	StrandedLimit float64 `json:"stranded_limit_accelerator_seconds"`
	Loads         int     `json:"loads"`
	Records       int     `json:"records"`
	PlanMS        float64 `json:"plan_ms"`
}

// The site of the traces: about 60 replicas of eight and 3 of four, in
// domains with a few instances to spare.
const (
	traceDomains  = 15
	domainEngines = 36
	mainReplicas  = 58
	mainMembers   = 8
	smallReplicas = 3
	smallMembers  = 4
	traceLoad     = 20 * time.Second
	traceLoadRate = 8.0
	settleFor     = 3 * time.Minute
	traceSeed     = 20261202
	loadDetection = planDetection + traceLoad
	planDetection = time.Second
)

// trace is a list of events that happen to a world.
type trace struct {
	name   string
	length time.Duration
	// events is the number of members that are lost for good or for long,
	// for the limit of the downtime.
	lost int
	// play makes what happens at a step from the start.
	play func(w *world, step int)
}

func engineID(domain, n int) models.InstanceID {
	return models.InstanceID(fmt.Sprintf("f%02d-%02d", domain, n))
}

func domainName(domain int) models.Domain { return models.Domain(fmt.Sprintf("f%02d", domain)) }

func at(step int, t time.Duration) bool { return step == int(t/worldStep) }

// singleDeaths kills one member every minute and brings a new
// instance in its place five minutes later.
func singleDeaths() trace {
	const deaths = 10
	rng := rand.New(rand.NewPCG(traceSeed, 1))
	victims := make([]models.InstanceID, deaths)
	domains := make([]models.Domain, deaths)
	for i := range victims {
		d := rng.IntN(traceDomains)
		victims[i], domains[i] = engineID(d, rng.IntN(mainMembers*4)), domainName(d)
	}
	return trace{"single deaths", 17 * time.Minute, deaths, func(w *world, step int) {
		for i := range victims {
			died := time.Duration(i) * time.Minute
			if at(step, died) {
				w.set(victims[i], false)
			}
			if at(step, died+5*time.Minute) {
				w.remove(victims[i])
				w.add(models.InstanceID(fmt.Sprintf("new-%02d", i)), domains[i])
			}
		}
	}}
}

// darkDomain takes a whole domain away for five minutes.
func darkDomain() trace {
	return trace{"domain dark", 15 * time.Minute, 4, func(w *world, step int) {
		for n := range domainEngines {
			if at(step, time.Minute) {
				w.set(engineID(3, n), false)
			}
			if at(step, 6*time.Minute) {
				w.set(engineID(3, n), true)
			}
		}
	}}
}

// rolling replaces 160 instances, one every five seconds: it leaves, is gone
// after a minute, and another comes half a minute later.
func rolling() trace {
	const replaced = 160
	victim := func(i int) (models.InstanceID, models.Domain) {
		d := i % traceDomains
		return engineID(d, i/traceDomains*3), domainName(d)
	}
	return trace{"rolling replacement", 18 * time.Minute, replaced, func(w *world, step int) {
		for i := range replaced {
			id, d := victim(i)
			leaves := time.Duration(i) * 5 * time.Second
			switch {
			case at(step, leaves):
				w.leave(id)
			case at(step, leaves+time.Minute):
				w.remove(id)
			case at(step, leaves+90*time.Second):
				w.add(models.InstanceID(fmt.Sprintf("roll-%03d", i)), d)
			}
		}
	}}
}

// flapping lets one member of each of five domains go away for three
// seconds in every ten.
func flapping() trace {
	const flappers, period, away = 5, 10 * time.Second, 3 * time.Second
	return trace{"flapping", 10 * time.Minute, flappers, func(w *world, step int) {
		in := time.Duration(step) * worldStep % period
		for d := range flappers {
			w.set(engineID(d, 2), in >= away)
		}
	}}
}

// player is one planner with its weights.
type player struct {
	name   string
	naive  bool
	policy models.Policy
}

// Groups drives the naive planner and the real one, with the weights of both
// users, through the same traces.
func Groups(ctx context.Context) (Report, error) {
	players := []player{
		{"naive", true, models.Policy{DowntimeWeight: 1, StrandedWeight: 1}},
		{"mtkvari", false, models.Policy{DowntimeWeight: 9, StrandedWeight: 1}},
		{"bangkok", false, models.Policy{DowntimeWeight: 1, StrandedWeight: 9}},
	}
	table := Table{Columns: []string{"trace", "planner", "downtime group-s", "limit", "stranded acc-s", "limit", "loads", "records", "plan ms"}}
	all, err := playAll(ctx, []trace{singleDeaths(), darkDomain(), rolling(), flapping()}, players)
	if err != nil {
		return Report{}, err
	}
	for _, f := range all {
		table.Rows = append(table.Rows, []string{
			f.Trace, f.Planner, fmt.Sprintf("%.0f", f.Downtime), fmt.Sprintf("%.0f", f.DowntimeLimit),
			fmt.Sprintf("%.0f", f.Stranded), fmt.Sprintf("%.0f", f.StrandedLimit), fmt.Sprint(f.Loads), fmt.Sprint(f.Records),
			fmt.Sprintf("%.2f", f.PlanMS),
		})
	}
	cost, err := planCost()
	if err != nil {
		return Report{}, err
	}
	table.Rows = append(table.Rows, []string{"2,500 instances", "any", "", "", "", "", "", "", fmt.Sprintf("%.2f", cost)})
	return Report{Table: table, Figures: map[string]any{"measure": "groups", "traces": all, "plan_ms_at_2500_instances": cost}}, nil
}

// playAll plays every trace with every player, side by side: their time is
// made up, so they do not disturb one another.
func playAll(ctx context.Context, traces []trace, players []player) ([]GroupFigures, error) {
	out := make([]GroupFigures, len(traces)*len(players))
	var tasks []task.Task
	for i, t := range traces {
		for j, p := range players {
			tasks = append(tasks, task.Start(ctx, t.name+", "+p.name, func(ctx context.Context) (err error) {
				out[i*len(players)+j], err = playTrace(ctx, t, p)
				return err
			}))
		}
	}
	return out, task.Wait(tasks...)
}

func traceWorld(p player) (*world, error) {
	w := newWorld(worldOptions{Load: traceLoad, LoadsPerSecond: traceLoadRate, Naive: p.naive, ReplaceAfter: planDetection})
	for d := range traceDomains {
		for n := range domainEngines {
			w.add(engineID(d, n), domainName(d))
		}
	}
	return w, w.configure(
		state.PutModel{Model: models.Model{Name: "brief", Version: "v1", Members: mainMembers, Replicas: mainReplicas}},
		state.PutModel{Model: models.Model{Name: "digest", Version: "v1", Members: smallMembers, Replicas: smallReplicas}},
		state.PutPolicy{Policy: p.policy},
	)
}

// playTrace lets a site settle, plays the trace and sums the measures up.
func playTrace(ctx context.Context, t trace, p player) (GroupFigures, error) {
	f := GroupFigures{Trace: t.name, Planner: p.name}
	w, err := traceWorld(p)
	if err != nil {
		return f, err
	}
	for range int(settleFor / worldStep) {
		if err := w.step(); err != nil {
			return f, err
		}
	}
	loads, records := w.loads, w.records
	w.planned, w.rounds = 0, 0
	const wanted = mainReplicas + smallReplicas
	seconds := worldStep.Seconds()
	// A lost member costs one group its detection and, at best, no load.
	f.DowntimeLimit = float64(t.lost) * loadDetection.Seconds()
	for step := range int(t.length / worldStep) {
		t.play(w, step)
		if err := firstError(w.step(), ctx.Err()); err != nil {
			return f, err
		}
		groups, used := w.serving()
		bestGroups, bestUsed := w.mostUsable()
		up := 0
		for _, m := range w.machines {
			if m.up {
				up++
			}
		}
		f.Downtime += float64(wanted-groups["brief"]-groups["digest"]) * seconds
		f.DowntimeLimit += float64(wanted-min(wanted, bestGroups)) * seconds
		f.Stranded += float64(up-used) * seconds
		f.StrandedLimit += float64(up-bestUsed) * seconds
	}
	f.Loads, f.Records = w.loads-loads, w.records-records
	f.PlanMS = w.planned.Seconds() * 1e3 / float64(w.rounds)
	return f, nil
}

// planCost is the time of one round of planning at 2,500 instances.
func planCost() (float64, error) {
	const groups = 2500 / groupSize
	s, err := stateOf(groups)
	if err != nil {
		return 0, err
	}
	in := planInput(s)
	in.Rules = planner.DefaultRules(time.Second, time.Second)
	return timeEach(20, func() { planner.Plan(in) }).Seconds() * 1e3, nil
}
