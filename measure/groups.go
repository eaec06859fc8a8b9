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

// GroupFigures are the results of one planner on one trace.
type GroupFigures struct {
	Trace   string `json:"trace"`
	Planner string `json:"planner"`
	// Downtime sums up the groups that were wanted but not serving, in group-seconds. Its limit is
	// a lower bound: at each time, the groups that can't be formed from the instances that are up,
	// plus the detection time and one load for each lost member.
	Downtime      float64 `json:"downtime_group_seconds"`
	DowntimeLimit float64 `json:"downtime_limit_group_seconds"`
	// Stranded sums up the accelerators that were up but in no serving group, in
	// accelerator-seconds. Its limit is a lower bound: the accelerators that the best packing
	// leaves unused.
	Stranded      float64 `json:"stranded_accelerator_seconds"`
	StrandedLimit float64 `json:"stranded_limit_accelerator_seconds"`
	Loads         int     `json:"loads"`
	Records       int     `json:"records"`
	PlanMS        float64 `json:"plan_ms"`
}

// The site of the traces: about 60 replicas of eight members and 3 of four, in domains with a few
// spare instances.
const (
	traceDomains         = 15
	enginesPerDomain     = 36
	mainReplicas         = 58
	mainMembers          = 8
	smallReplicas        = 3
	smallMembers         = 4
	traceLoadTime        = 20 * time.Second
	traceLoadsPerSecond  = 8.0
	settleTime           = 3 * time.Minute
	traceSeed            = 20261202
	detectionAndLoadTime = detectionTime + traceLoadTime
	detectionTime        = time.Second
)

// trace is a sequence of events in a simulation.
type trace struct {
	name   string
	length time.Duration
	// lost is the number of members that are lost permanently or for a long time; the lower bound
	// of the downtime counts them.
	lost int
	// apply applies the events of a step, counted from the start of the trace.
	apply func(sim *simulation, step int)
}

func engineID(domain, n int) models.InstanceID {
	return models.InstanceID(fmt.Sprintf("f%02d-%02d", domain, n))
}

func domainName(domain int) models.Domain { return models.Domain(fmt.Sprintf("f%02d", domain)) }

func isStep(step int, t time.Duration) bool { return step == int(t/simulationStep) }

// singleFailures stops one member every minute and replaces it by a new instance five minutes
// later.
func singleFailures() trace {
	const deaths = 10
	rng := rand.New(rand.NewPCG(traceSeed, 1))
	victims := make([]models.InstanceID, deaths)
	domains := make([]models.Domain, deaths)
	for i := range victims {
		d := rng.IntN(traceDomains)
		victims[i], domains[i] = engineID(d, rng.IntN(mainMembers*4)), domainName(d)
	}
	return trace{"single deaths", 17 * time.Minute, deaths, func(sim *simulation, step int) {
		for i := range victims {
			died := time.Duration(i) * time.Minute
			if isStep(step, died) {
				sim.setUp(victims[i], false)
			}
			if isStep(step, died+5*time.Minute) {
				sim.remove(victims[i])
				sim.add(models.InstanceID(fmt.Sprintf("new-%02d", i)), domains[i])
			}
		}
	}}
}

// domainOutage takes a whole domain down for five minutes.
func domainOutage() trace {
	return trace{"domain dark", 15 * time.Minute, 4, func(sim *simulation, step int) {
		for n := range enginesPerDomain {
			if isStep(step, time.Minute) {
				sim.setUp(engineID(3, n), false)
			}
			if isStep(step, 6*time.Minute) {
				sim.setUp(engineID(3, n), true)
			}
		}
	}}
}

// rollingReplacement replaces 160 instances, one every five seconds: an instance is marked as
// leaving, is removed a minute later, and a new one is added half a minute after that.
func rollingReplacement() trace {
	const replaced = 160
	victim := func(i int) (models.InstanceID, models.Domain) {
		d := i % traceDomains
		return engineID(d, i/traceDomains*3), domainName(d)
	}
	return trace{"rolling replacement", 18 * time.Minute, replaced, func(sim *simulation, step int) {
		for i := range replaced {
			id, d := victim(i)
			leaves := time.Duration(i) * 5 * time.Second
			switch {
			case isStep(step, leaves):
				sim.markLeaving(id)
			case isStep(step, leaves+time.Minute):
				sim.remove(id)
			case isStep(step, leaves+90*time.Second):
				sim.add(models.InstanceID(fmt.Sprintf("roll-%03d", i)), d)
			}
		}
	}}
}

// flapping takes one member of each of five domains down for three seconds in every ten.
func flapping() trace {
	const flappers, period, downtime = 5, 10 * time.Second, 3 * time.Second
	return trace{"flapping", 10 * time.Minute, flappers, func(sim *simulation, step int) {
		in := time.Duration(step) * simulationStep % period
		for d := range flappers {
			sim.setUp(engineID(d, 2), in >= downtime)
		}
	}}
}

// plannerVariant is a planner with a policy.
type plannerVariant struct {
	name   string
	naive  bool
	policy models.Policy
}

// Groups runs the naive planner, and the real planner with the policies of both users, through the
// same traces.
func Groups(ctx context.Context) (Report, error) {
	players := []plannerVariant{
		{"naive", true, models.Policy{DowntimeWeight: 1, StrandedWeight: 1}},
		{"mtkvari", false, models.Policy{DowntimeWeight: 9, StrandedWeight: 1}},
		{"bangkok", false, models.Policy{DowntimeWeight: 1, StrandedWeight: 9}},
	}
	table := Table{Columns: []string{"trace", "planner", "downtime group-s", "limit", "stranded acc-s", "limit", "loads", "records", "plan ms"}}
	all, err := runTraces(ctx, []trace{singleFailures(), domainOutage(), rollingReplacement(), flapping()}, players)
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

// runTraces runs every trace with every planner, in parallel: the time is simulated, so that the
// runs don't affect each other.
func runTraces(ctx context.Context, traces []trace, players []plannerVariant) ([]GroupFigures, error) {
	out := make([]GroupFigures, len(traces)*len(players))
	var tasks []task.Task
	for i, t := range traces {
		for j, p := range players {
			tasks = append(tasks, task.Start(ctx, t.name+", "+p.name, func(ctx context.Context) (err error) {
				out[i*len(players)+j], err = runTrace(ctx, t, p)
				return err
			}))
		}
	}
	return out, task.Wait(tasks...)
}

func traceSimulation(p plannerVariant) (*simulation, error) {
	sim := newSimulation(simulationOptions{Load: traceLoadTime, LoadsPerSecond: traceLoadsPerSecond, Naive: p.naive, ReplaceAfter: detectionTime})
	for d := range traceDomains {
		for n := range enginesPerDomain {
			sim.add(engineID(d, n), domainName(d))
		}
	}
	return sim, sim.configure(
		state.PutModel{Model: models.Model{Name: "brief", Version: "v1", Members: mainMembers, Replicas: mainReplicas}},
		state.PutModel{Model: models.Model{Name: "digest", Version: "v1", Members: smallMembers, Replicas: smallReplicas}},
		state.PutPolicy{Policy: p.policy},
	)
}

// runTrace lets a site settle, runs the trace and sums up the results.
func runTrace(ctx context.Context, t trace, p plannerVariant) (GroupFigures, error) {
	f := GroupFigures{Trace: t.name, Planner: p.name}
	sim, err := traceSimulation(p)
	if err != nil {
		return f, err
	}
	for range int(settleTime / simulationStep) {
		if err := sim.step(); err != nil {
			return f, err
		}
	}
	loads, records := sim.loads, sim.records
	sim.planTime, sim.planRounds = 0, 0
	const wanted = mainReplicas + smallReplicas
	seconds := simulationStep.Seconds()
	// A lost member costs one group the time of its detection and at best no load.
	f.DowntimeLimit = float64(t.lost) * detectionAndLoadTime.Seconds()
	for step := range int(t.length / simulationStep) {
		t.apply(sim, step)
		if err := firstError(sim.step(), ctx.Err()); err != nil {
			return f, err
		}
		groups, used := sim.serving()
		bestGroups, bestUsed := sim.optimum()
		up := 0
		for _, m := range sim.machines {
			if m.up {
				up++
			}
		}
		f.Downtime += float64(wanted-groups["brief"]-groups["digest"]) * seconds
		f.DowntimeLimit += float64(wanted-min(wanted, bestGroups)) * seconds
		f.Stranded += float64(up-used) * seconds
		f.StrandedLimit += float64(up-bestUsed) * seconds
	}
	f.Loads, f.Records = sim.loads-loads, sim.records-records
	f.PlanMS = sim.planTime.Seconds() * 1e3 / float64(sim.planRounds)
	return f, nil
}

// planCost measures the time of one planning round at 2,500 instances.
func planCost() (float64, error) {
	const groups = 2500 / groupSize
	s, err := buildState(groups)
	if err != nil {
		return 0, err
	}
	in := planInput(s)
	in.Rules = planner.DefaultRules(time.Second, time.Second)
	return averageTime(20, func() { planner.Plan(in) }).Seconds() * 1e3, nil
}
