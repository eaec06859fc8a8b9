package measure

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// simulation simulates instances in simulated time to run a planner through a trace of events. It
// tracks which instances are up, the last order of each and the progress of its load. It has no
// network and no daemons.
type simulation struct {
	now   time.Time
	state *state.State
	// listed is the platform's instance list, machines the actual state of the instances.
	listed   map[models.InstanceID]models.Instance
	machines map[models.InstanceID]*machine
	evidence map[models.InstanceID]planner.Evidence
	rules    planner.Rules
	opts     simulationOptions

	// weightsBusyUntil is when the weight store has served all loads so far.
	weightsBusyUntil time.Time
	records          int
	// lastBodies holds the bodies of the last records, for the messages of failing tests.
	lastBodies []state.Body
	loads      int
	planTime   time.Duration
	planRounds int
}

type simulationOptions struct {
	// Load is the time to load weights once they are fetched.
	Load time.Duration
	// LoadsPerSecond is the rate limit of the weight store.
	LoadsPerSecond float64
	Naive          bool
	ReplaceAfter   time.Duration
}

// machine is the actual state of one instance.
type machine struct {
	up      bool
	model   models.ModelName
	version models.Version
	// group is the group of the last order; loadedAt is when the weights are loaded.
	group    models.GroupID
	fence    models.Fence
	loadedAt time.Time
}

const (
	simulationStep = 500 * time.Millisecond
	silenceBound   = 2 * time.Second
	maxKeptBodies  = 12
)

func newSimulation(opts simulationOptions) *simulation {
	sim := &simulation{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), state: state.New(),
		listed: map[models.InstanceID]models.Instance{}, machines: map[models.InstanceID]*machine{},
		evidence: map[models.InstanceID]planner.Evidence{}, opts: opts,
		rules: planner.DefaultRules(opts.ReplaceAfter, silenceBound),
	}
	sim.weightsBusyUntil = sim.now
	return sim
}

// add adds an instance that is up and has no weights loaded.
func (sim *simulation) add(id models.InstanceID, d models.Domain) {
	sim.listed[id] = models.Instance{ID: id, Kind: models.KindEngine, Zone: "z", Domain: d, Accelerators: 1, ChecksFences: true}
	sim.machines[id] = &machine{up: true}
	sim.evidence[id] = planner.Evidence{ProbedSince: sim.now}
}

func (sim *simulation) remove(id models.InstanceID) {
	delete(sim.listed, id)
	delete(sim.machines, id)
	delete(sim.evidence, id)
}

// setUp changes whether an instance responds. The instance keeps its weights.
func (sim *simulation) setUp(id models.InstanceID, up bool) {
	if m := sim.machines[id]; m != nil {
		m.up = up
	}
}

func (sim *simulation) markLeaving(id models.InstanceID) {
	i := sim.listed[id]
	i.Leaving = true
	sim.listed[id] = i
}

func (sim *simulation) configure(ops ...state.Op) error {
	return sim.apply(state.ChangeConfig{Operator: "op", Ops: ops})
}

func (sim *simulation) apply(body state.Body) error {
	sim.records++
	sim.lastBodies = append(sim.lastBodies[max(0, len(sim.lastBodies)-maxKeptBodies):], body)
	data, err := state.Encode(state.Record{ID: recordID(sim.records), Author: "daemon-1", At: sim.now, Body: body})
	if err != nil {
		return err
	}
	out, err := sim.state.Apply(sim.state.Applied+1, data)
	return firstError(err, out.Rejection)
}

// step advances the time by one step: it updates the evidence, runs the planner and executes the
// orders.
func (sim *simulation) step() error {
	sim.now = sim.now.Add(simulationStep)
	sim.observe()
	in := planner.Input{State: sim.state, Instances: sim.listed, Evidence: sim.evidence, Now: sim.now, Rules: sim.rules}
	started := time.Now()
	plan := planner.Plan
	if sim.opts.Naive {
		plan = naivePlan
	}
	proposals := plan(in)
	sim.planTime += time.Since(started)
	sim.planRounds++
	for _, p := range proposals {
		if err := sim.apply(p.Body); err != nil {
			return fmt.Errorf("%T: %w", p.Body, err)
		}
	}
	in.State = sim.state
	if sim.opts.Naive {
		in.Rules.MaxLoads = len(sim.machines)
	}
	for _, dispatches := range planner.Orders(in) {
		for _, d := range dispatches {
			if sim.opts.Naive && d.Order.Kind == types.OrderPrepare {
				continue
			}
			sim.executeOrder(d)
		}
	}
	return nil
}

func (sim *simulation) observe() {
	for id, m := range sim.machines {
		e := sim.evidence[id]
		if !m.up {
			if e.UnansweredSince.IsZero() {
				e.UnansweredSince = sim.now
			}
			sim.evidence[id] = e
			continue
		}
		if !e.LastSeen.IsZero() && e.UnreachableFor(sim.now) > sim.rules.ReplaceAfter {
			e.Flaps++
			e.Returned = sim.now
		}
		e.LastSeen, e.LastReply, e.UnansweredSince = sim.now, sim.now, time.Time{}
		e.Status = sim.statusOf(id, m)
		sim.evidence[id] = e
	}
}

func (sim *simulation) statusOf(id models.InstanceID, m *machine) types.EngineStatus {
	s := types.EngineStatus{Instance: id, Group: m.group, Fence: m.fence, Phase: types.PhaseEmpty}
	switch {
	case m.model != "" && sim.now.Before(m.loadedAt):
		s.Phase = types.PhaseLoading
	case m.model != "":
		s.Model, s.Version = m.model, m.version
		if m.group != "" {
			s.Phase = types.PhaseLoaded
		}
	}
	return s
}

func (sim *simulation) executeOrder(d types.Dispatch) {
	m := sim.machines[d.Instance]
	if m == nil || !m.up {
		return
	}
	switch d.Order.Kind {
	case types.OrderLeave:
		m.group, m.fence = "", 0
		return
	case types.OrderLoad:
		m.group, m.fence = d.Order.Group, d.Order.Fence
	}
	if m.model == d.Order.Model && m.version == d.Order.Version {
		return
	}
	m.model, m.version = d.Order.Model, d.Order.Version
	if sim.weightsBusyUntil.Before(sim.now) {
		sim.weightsBusyUntil = sim.now
	}
	sim.weightsBusyUntil = sim.weightsBusyUntil.Add(time.Duration(float64(time.Second) / sim.opts.LoadsPerSecond))
	m.loadedAt = sim.weightsBusyUntil.Add(sim.opts.Load)
	sim.loads++
}

// serving counts the groups of each model whose members are all up and loaded, and the instances in
// these groups.
func (sim *simulation) serving() (groups map[models.ModelName]int, instances int) {
	groups = map[models.ModelName]int{}
	for _, g := range sim.state.Groups {
		if g.Retiring == 0 && sim.serves(g) {
			groups[g.Model]++
			instances += len(g.Members)
		}
	}
	return groups, instances
}

func (sim *simulation) serves(g models.Group) bool {
	for _, member := range g.Members {
		m := sim.machines[member.ID]
		if m == nil || !m.up || m.fence != g.Fence || m.model != g.Model || m.version != g.Version || sim.now.Before(m.loadedAt) {
			return false
		}
	}
	return true
}

// optimum returns the most groups and instances that could serve, of the instances that are up and
// not leaving.
func (sim *simulation) optimum() (groups, instances int) {
	byDomain := map[models.Domain]int{}
	for id, m := range sim.machines {
		if i := sim.listed[id]; m.up && !i.Leaving {
			byDomain[i.Domain]++
		}
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	counts := make([]int, 0, len(domains))
	for _, d := range domains {
		counts = append(counts, byDomain[d])
	}
	var wanted []models.Model
	for _, name := range slices.Sorted(maps.Keys(sim.state.Models)) {
		wanted = append(wanted, sim.state.Models[name])
	}
	return bestPacking(counts, wanted)
}

// bestPacking finds the optimum by exhaustive search, or with largestFirst if the group sizes
// divide one another.
func bestPacking(domains []int, wanted []models.Model) (groups, instances int) {
	if len(wanted) == 0 || len(domains) == 0 {
		return 0, 0
	}
	if sizesDivide(wanted) {
		return largestFirst(domains, wanted)
	}
	var search func(d, left int, rest []models.Model, groups, used int)
	search = func(d, left int, rest []models.Model, g, used int) {
		if used > instances || (used == instances && g > groups) {
			groups, instances = g, used
		}
		for i, m := range rest {
			if m.Replicas > 0 && m.Members <= left {
				next := slices.Clone(rest)
				next[i].Replicas--
				search(d, left-m.Members, next, g+1, used+m.Members)
			}
		}
		if d+1 < len(domains) {
			search(d+1, domains[d+1], rest, g, used)
		}
	}
	search(0, domains[0], wanted, 0, 0)
	return groups, instances
}

// sizesDivide reports whether each group size divides the next larger one. Then it is optimal to
// assign instances to the largest groups first.
func sizesDivide(wanted []models.Model) bool {
	bySize := slices.SortedFunc(slices.Values(wanted), byMembersDescending)
	for i := 1; i < len(bySize); i++ {
		if bySize[i-1].Members%bySize[i].Members != 0 {
			return false
		}
	}
	return true
}

func byMembersDescending(a, b models.Model) int { return cmp.Compare(b.Members, a.Members) }

func largestFirst(domains []int, wanted []models.Model) (groups, instances int) {
	left := slices.Clone(domains)
	for _, m := range slices.SortedFunc(slices.Values(wanted), byMembersDescending) {
		need := m.Replicas
		for d := range left {
			n := min(need, left[d]/m.Members)
			left[d] -= n * m.Members
			need -= n
			groups += n
			instances += n * m.Members
		}
	}
	return groups, instances
}
