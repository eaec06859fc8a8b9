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

// world is a handful of instances in made-up time, for driving a planner
// through a trace of events: it knows which instances are there, what each
// was told and how far its load is. It has no network and no daemons.
type world struct {
	now   time.Time
	state *state.State
	// listed is the platform's list, machines what is really there.
	listed   map[models.InstanceID]models.Instance
	machines map[models.InstanceID]*machine
	evidence map[models.InstanceID]planner.Evidence
	rules    planner.Rules
	opts     worldOptions

	// free is when the weight store is done with all loads so far.
	free    time.Time
	records int
	// last are the bodies of the last records, for failing tests.
	last    []state.Body
	loads   int
	planned time.Duration
	rounds  int
}

type worldOptions struct {
	// Load is how long an instance takes to load weights once they are
	// fetched.
	Load time.Duration
	// LoadsPerSecond is the weight store's rate.
	LoadsPerSecond float64
	Naive          bool
	ReplaceAfter   time.Duration
}

// machine is one instance as it really is.
type machine struct {
	up      bool
	model   models.ModelName
	version models.Version
	// group is what it was told last; loaded is when its weights are there.
	group  models.GroupID
	fence  models.Fence
	loaded time.Time
}

const (
	worldStep  = 500 * time.Millisecond
	worldBound = 2 * time.Second
	keptBodies = 12
)

func newWorld(opts worldOptions) *world {
	w := &world{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), state: state.New(),
		listed: map[models.InstanceID]models.Instance{}, machines: map[models.InstanceID]*machine{},
		evidence: map[models.InstanceID]planner.Evidence{}, opts: opts,
		rules: planner.DefaultRules(opts.ReplaceAfter, worldBound),
	}
	w.free = w.now
	return w
}

// add brings an instance up, empty.
func (w *world) add(id models.InstanceID, d models.Domain) {
	w.listed[id] = models.Instance{ID: id, Kind: models.KindEngine, Zone: "z", Domain: d, Accelerators: 1, ChecksFences: true}
	w.machines[id] = &machine{up: true}
	w.evidence[id] = planner.Evidence{ProbedSince: w.now}
}

func (w *world) remove(id models.InstanceID) {
	delete(w.listed, id)
	delete(w.machines, id)
	delete(w.evidence, id)
}

// set changes whether an instance answers. It keeps what it had in memory.
func (w *world) set(id models.InstanceID, up bool) {
	if m := w.machines[id]; m != nil {
		m.up = up
	}
}

func (w *world) leave(id models.InstanceID) {
	i := w.listed[id]
	i.Leaving = true
	w.listed[id] = i
}

func (w *world) configure(ops ...state.Op) error {
	return w.apply(state.ChangeConfig{Operator: "op", Ops: ops})
}

func (w *world) apply(body state.Body) error {
	w.records++
	w.last = append(w.last[max(0, len(w.last)-keptBodies):], body)
	data, err := state.Encode(state.Record{ID: newID(w.records), Author: "daemon-1", At: w.now, Body: body})
	if err != nil {
		return err
	}
	out, err := w.state.Apply(w.state.Applied+1, data)
	return firstError(err, out.Rejection)
}

// step lets one step of time pass: evidence, planning, orders.
func (w *world) step() error {
	w.now = w.now.Add(worldStep)
	w.observe()
	in := planner.Input{State: w.state, Instances: w.listed, Evidence: w.evidence, Now: w.now, Rules: w.rules}
	started := time.Now()
	plan := planner.Plan
	if w.opts.Naive {
		plan = naivePlan
	}
	proposals := plan(in)
	w.planned += time.Since(started)
	w.rounds++
	for _, p := range proposals {
		if err := w.apply(p.Body); err != nil {
			return fmt.Errorf("%T: %w", p.Body, err)
		}
	}
	in.State = w.state
	if w.opts.Naive {
		in.Rules.MaxLoads = len(w.machines)
	}
	for _, dispatches := range planner.Orders(in) {
		for _, d := range dispatches {
			if w.opts.Naive && d.Order.Kind == types.OrderPrepare {
				continue
			}
			w.obey(d)
		}
	}
	return nil
}

func (w *world) observe() {
	for id, m := range w.machines {
		e := w.evidence[id]
		if !m.up {
			if e.UnansweredSince.IsZero() {
				e.UnansweredSince = w.now
			}
			w.evidence[id] = e
			continue
		}
		if !e.LastSeen.IsZero() && e.UnreachableFor(w.now) > w.rules.ReplaceAfter {
			e.Flaps++
			e.Returned = w.now
		}
		e.LastSeen, e.LastReply, e.UnansweredSince = w.now, w.now, time.Time{}
		e.Status = w.statusOf(id, m)
		w.evidence[id] = e
	}
}

func (w *world) statusOf(id models.InstanceID, m *machine) types.EngineStatus {
	s := types.EngineStatus{Instance: id, Group: m.group, Fence: m.fence, Phase: types.PhaseEmpty}
	switch {
	case m.model != "" && w.now.Before(m.loaded):
		s.Phase = types.PhaseLoading
	case m.model != "":
		s.Model, s.Version = m.model, m.version
		if m.group != "" {
			s.Phase = types.PhaseLoaded
		}
	}
	return s
}

func (w *world) obey(d types.Dispatch) {
	m := w.machines[d.Instance]
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
	if w.free.Before(w.now) {
		w.free = w.now
	}
	w.free = w.free.Add(time.Duration(float64(time.Second) / w.opts.LoadsPerSecond))
	m.loaded = w.free.Add(w.opts.Load)
	w.loads++
}

// serving counts the groups of each model all of whose members are up and
// loaded, and the instances in them.
func (w *world) serving() (groups map[models.ModelName]int, instances int) {
	groups = map[models.ModelName]int{}
	for _, g := range w.state.Groups {
		if g.Retiring == 0 && w.serves(g) {
			groups[g.Model]++
			instances += len(g.Members)
		}
	}
	return groups, instances
}

func (w *world) serves(g models.Group) bool {
	for _, member := range g.Members {
		m := w.machines[member.ID]
		if m == nil || !m.up || m.fence != g.Fence || m.model != g.Model || m.version != g.Version || w.now.Before(m.loaded) {
			return false
		}
	}
	return true
}

// mostUsable is how many of the instances that are up could serve at best.
func (w *world) mostUsable() (groups, instances int) {
	byDomain := map[models.Domain]int{}
	for id, m := range w.machines {
		if i := w.listed[id]; m.up && !i.Leaving {
			byDomain[i.Domain]++
		}
	}
	domains := slices.Sorted(maps.Keys(byDomain))
	counts := make([]int, 0, len(domains))
	for _, d := range domains {
		counts = append(counts, byDomain[d])
	}
	var wanted []models.Model
	for _, name := range slices.Sorted(maps.Keys(w.state.Models)) {
		wanted = append(wanted, w.state.Models[name])
	}
	return bestPacking(counts, wanted)
}

// bestPacking is the true optimum, found by trying everything; where the
// sizes of groups divide one another, that is not needed.
func bestPacking(domains []int, wanted []models.Model) (groups, instances int) {
	if len(wanted) == 0 || len(domains) == 0 {
		return 0, 0
	}
	if sizesDivide(wanted) {
		return largestFirst(domains, wanted)
	}
	var try func(d, left int, rest []models.Model, groups, used int)
	try = func(d, left int, rest []models.Model, g, used int) {
		if used > instances || (used == instances && g > groups) {
			groups, instances = g, used
		}
		for i, m := range rest {
			if m.Replicas > 0 && m.Members <= left {
				next := slices.Clone(rest)
				next[i].Replicas--
				try(d, left-m.Members, next, g+1, used+m.Members)
			}
		}
		if d+1 < len(domains) {
			try(d+1, domains[d+1], rest, g, used)
		}
	}
	try(0, domains[0], wanted, 0, 0)
	return groups, instances
}

// sizesDivide reports whether each size divides the next larger one. Then
// giving the largest groups their instances first is optimal.
func sizesDivide(wanted []models.Model) bool {
	bySize := slices.SortedFunc(slices.Values(wanted), bySizeDown)
	for i := 1; i < len(bySize); i++ {
		if bySize[i-1].Members%bySize[i].Members != 0 {
			return false
		}
	}
	return true
}

func bySizeDown(a, b models.Model) int { return cmp.Compare(b.Members, a.Members) }

func largestFirst(domains []int, wanted []models.Model) (groups, instances int) {
	left := slices.Clone(domains)
	for _, m := range slices.SortedFunc(slices.Values(wanted), bySizeDown) {
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
