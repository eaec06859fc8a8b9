package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const simStep = 50 * time.Millisecond

// simInstance simulates an engine that executes group orders.
type simInstance struct {
	models.UpstreamInstance
	dead, cut bool
	fence     int64
	epoch     int64
	members   []models.InstanceID
	// readyAt is when the join in progress is done, openAt when the head opens, closedAt when the
	// head has closed, stagedAt when the staging is done.
	readyAt, openAt, closedAt, stagedAt time.Time
	staging                             models.ModelName
}

// restart restarts the instance under the same ID: it loses its state, and its host keeps the
// weights.
func (s *sim) restart(i *simInstance) {
	*i = simInstance{UpstreamInstance: models.UpstreamInstance{
		ID: i.ID, StartedAt: s.now, Service: i.Service, Domain: i.Domain, Zone: i.Zone, StagedModels: i.StagedModels,
	}}
}

// delivery is an order in flight to an instance.
type delivery struct {
	at      time.Time
	order   types.GroupOrder
	planner *Planner
	// unanswered orders are executed without a response.
	unanswered bool
}

// sim simulates planners and engines. It checks the invariants whenever an order is executed.
type sim struct {
	now       time.Time
	profile   *models.EngineProfile
	instances map[models.InstanceID]*simInstance
	planners  []*Planner
	inFlight  []delivery
	// everReady holds the members of each group that have been ready.
	everReady   map[models.GroupKey]map[models.InstanceID]bool
	memberLists map[models.GroupKey][]models.InstanceID
	loads       []time.Time
	demand      map[models.ModelName]float64
	requests    map[models.ModelName]float64
	// rates are requests per second. A model without one gets as many as use usualLoad of the slots
	// of the instances that it needs, of those that there were when requests began to arrive.
	rates     map[models.ModelName]float64
	usualLoad float64
	// callers replace the usual callers of the models.
	callers map[models.ModelName]simCallers
	// initial is the number of instances when requests began to arrive.
	initial int
	traffic bool
	// lateFraction is the fraction of the orders that are executed 2 to 12 s late and not answered.
	lateFraction float64
	rand         *rand.Rand
	violations   []string
	// ignoreFences makes instances execute orders with any fence.
	ignoreFences bool
	// cheapLoads reduces load times to a tenth until there is traffic.
	cheapLoads bool
	// storeDown keeps loads that start from ending.
	storeDown bool
	// suspected holds the instances that planners consider unreachable.
	suspected map[models.InstanceID]bool
	// evacuated holds the zones that operators evacuate.
	evacuated map[models.Zone]bool
}

func newSim(profile *models.EngineProfile, seed uint64) *sim {
	return &sim{
		now: time.Unix(0, 0), profile: profile, instances: map[models.InstanceID]*simInstance{},
		everReady: map[models.GroupKey]map[models.InstanceID]bool{}, memberLists: map[models.GroupKey][]models.InstanceID{},
		demand: map[models.ModelName]float64{}, requests: map[models.ModelName]float64{}, rates: map[models.ModelName]float64{}, usualLoad: 0.5,
		rand: rand.New(rand.NewPCG(seed, 1)), suspected: map[models.InstanceID]bool{},
	}
}

func (s *sim) add(id models.InstanceID, domain models.Domain, zone models.Zone) {
	s.instances[id] = &simInstance{UpstreamInstance: models.UpstreamInstance{ID: id, StartedAt: s.now, Domain: domain, Zone: zone, Service: "engines"}}
}

func (s *sim) newPlanner(term int64) {
	s.planners = append(s.planners, NewPlanner(term, s.now))
}

func (s *sim) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now.Sub(time.Unix(0, 0)))+fmt.Sprintf(format, args...))
}

// run advances the simulation by a duration.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		for _, id := range slices.Sorted(maps.Keys(s.instances)) {
			s.advance(s.instances[id])
		}
		for _, p := range s.planners {
			for _, o := range p.Step(s.snapshot()) {
				s.send(p, o)
			}
		}
		s.deliver()
	}
}

func (s *sim) snapshot() Snapshot {
	w := Snapshot{
		Now: s.now, Profile: s.profile, Instances: map[models.InstanceID]models.UpstreamInstance{},
		Unreachable: map[models.InstanceID]bool{}, DemandShares: s.demand, HasTraffic: s.traffic,
		Evacuated: s.evacuated, Demand: map[models.ModelName]Demand{}, Serving: map[models.ModelName]int{}, InFlight: map[models.ModelName]float64{},
	}
	for id, i := range s.instances {
		w.Instances[id] = i.UpstreamInstance
		if i.dead || i.cut || s.suspected[id] {
			w.Unreachable[id] = true
		}
	}
	if s.traffic {
		s.addRequests(w)
	}
	return w
}

// simCallers are the callers of a model: their requests per second, the tokens of their prompts and
// of the responses, and their latency target.
type simCallers struct {
	rate, prompt, output float64
	target               time.Duration
}

const (
	// simOutputFraction is the fraction of the tokens that callers accept which responses have.
	simOutputFraction = 0.45
	simBase           = 120 * time.Millisecond
)

// callersOf returns the callers of a model.
func (s *sim) callersOf(m models.ModelProfile) simCallers {
	if c, set := s.callers[m.Name]; set {
		return c
	}
	c := simCallers{prompt: 700, output: 120, target: 300 * time.Millisecond}
	if rate, set := s.rates[m.Name]; set {
		c.rate = rate
		return c
	}
	e, load := s.estimate(m, c), s.usualLoad*float64(s.profile.Slots)
	c.rate = s.demand[m.Name] * float64(s.initial) / float64(m.GroupSize) * load / (c.output*e.step(load) + load*e.prefill())
	return c
}

func (s *sim) estimate(m models.ModelProfile, c simCallers) latencyEstimate {
	d := Demand{Rate: c.rate, Prompt: c.prompt, Output: c.output / simOutputFraction, Target: c.target, Base: simBase}
	return latencyEstimate{engine: s.profile, model: m, demand: d, outputTokens: c.output}
}

// addRequests adds the demand and the requests in flight to a planner's input.
func (s *sim) addRequests(w Snapshot) {
	if !w.estimatesLateness() {
		maps.Copy(w.InFlight, s.requests)
		for model, rate := range s.rates {
			w.Demand[model] = Demand{Rate: rate}
		}
		return
	}
	if s.initial == 0 {
		s.initial = len(s.instances)
	}
	for _, g := range Groups(w.Instances) {
		if g.Serving() {
			w.Serving[g.Model]++
		}
	}
	for _, m := range s.profile.Models {
		e := s.estimate(m, s.callersOf(m))
		w.Demand[m.Name] = e.demand
		groups := float64(w.Serving[m.Name])
		w.InFlight[m.Name] = groups * e.load(e.demand.Rate/max(1, groups))
		if n, set := s.requests[m.Name]; set {
			w.InFlight[m.Name] = n
		}
	}
}

func (s *sim) send(p *Planner, o types.GroupOrder) {
	d := delivery{at: s.now, order: o, planner: p}
	if s.rand.Float64() < s.lateFraction {
		d.unanswered = true
		d.at = s.now.Add(2*time.Second + time.Duration(s.rand.Int64N(int64(10*time.Second))))
		p.RecordOutcome(o, types.OrderUnknown, s.now)
	}
	s.inFlight = append(s.inFlight, d)
}

func (s *sim) deliver() {
	due := s.inFlight
	s.inFlight = nil
	for _, d := range due {
		if s.now.Before(d.at) {
			s.inFlight = append(s.inFlight, d)
			continue
		}
		i := s.instances[d.order.Instance]
		outcome := types.OrderUnknown
		if i != nil && !i.dead && !i.cut {
			outcome = s.execute(i, d.order)
		}
		if !d.unanswered {
			d.planner.RecordOutcome(d.order, outcome, s.now)
		}
	}
}

// advance completes the operations of an instance that are due.
func (s *sim) advance(i *simInstance) {
	if i.dead {
		return
	}
	if i.staging != "" && !s.now.Before(i.stagedAt) {
		i.StagedModels, i.staging = []models.ModelName{i.staging}, ""
	}
	if i.Group.State == models.MemberJoining && !s.now.Before(i.readyAt) {
		i.Group.State, i.LoadedModel = models.MemberReady, ModelOf(i.Group.Key.Name)
		i.StagedModels = []models.ModelName{i.LoadedModel}
		ready := s.everReady[i.Group.Key]
		if ready == nil {
			ready = map[models.InstanceID]bool{}
			s.everReady[i.Group.Key] = ready
		}
		ready[i.ID] = true
	}
	if i.Group.State == models.MemberReady && !i.openAt.IsZero() && !s.now.Before(i.openAt) {
		i.Group.State = models.MemberOpen
		s.checkComplete(i)
	}
	if i.Group.State == models.MemberClosing && !s.now.Before(i.closedAt) {
		i.Group.State, i.openAt = models.MemberReady, time.Time{}
	}
}

// checkComplete checks that all members of a group that opens have been ready.
func (s *sim) checkComplete(head *simInstance) {
	key := head.Group.Key
	model, _ := s.profile.Model(ModelOf(key.Name))
	if len(s.memberLists[key]) != model.GroupSize {
		s.violation("group %s opened with %d members", key.Name, len(s.memberLists[key]))
	}
	for _, id := range s.memberLists[key] {
		if !s.everReady[key][id] {
			s.violation("group %s opened, but %s was never ready", key.Name, id)
		}
	}
}

func (s *sim) execute(i *simInstance, o types.GroupOrder) types.OrderOutcome {
	if o.Fence < i.fence && !s.ignoreFences {
		return types.OrderFenced
	}
	i.fence = max(i.fence, o.Fence)
	if o.Kind == types.GroupStage {
		return s.executeStage(i, o)
	}
	if o.Kind == types.GroupJoin {
		return s.executeJoin(i, o)
	}
	if i.Group.Key != o.Group {
		return types.OrderRejected
	}
	switch o.Kind {
	case types.GroupOpen:
		if i.Group.State == models.MemberOpen {
			return types.OrderDone
		}
		if i.Group.State != models.MemberReady || i.Group.Rank != 0 {
			return types.OrderRejected
		}
		i.openAt = s.now.Add(s.profile.FormTime)
		return types.OrderStarted
	case types.GroupStop, types.GroupDrain:
		return s.executeClose(i, o)
	case types.GroupLeave:
		i.Group, i.openAt = models.Membership{}, time.Time{}
		return types.OrderDone
	default:
		return types.OrderRejected
	}
}

func (s *sim) executeStage(i *simInstance, o types.GroupOrder) types.OrderOutcome {
	model, _ := s.profile.Model(o.Model)
	if slices.Contains(i.StagedModels, o.Model) {
		return types.OrderDone
	}
	s.recordLoad()
	i.staging, i.stagedAt = o.Model, s.now.Add(s.loadTime(model))
	return types.OrderStarted
}

func (s *sim) executeClose(i *simInstance, o types.GroupOrder) types.OrderOutcome {
	switch i.Group.State {
	case models.MemberOpen:
		i.Group.State, i.closedAt = models.MemberClosing, s.now.Add(simStep)
		if o.Kind == types.GroupDrain {
			i.closedAt = s.now.Add(time.Second)
		}
		return types.OrderStarted
	case models.MemberClosing:
		if o.Kind == types.GroupStop {
			i.closedAt = s.now
		}
		return types.OrderStarted
	case models.MemberReady, models.MemberBroken:
		// A head that is about to open still opens.
		return types.OrderDone
	default:
		return types.OrderRejected
	}
}

// loadTime is how long a load takes now.
func (s *sim) loadTime(model models.ModelProfile) time.Duration {
	if s.storeDown {
		return time.Hour
	}
	if s.cheapLoads && !s.traffic {
		return model.LoadTime / 10
	}
	return model.LoadTime
}

func (s *sim) recordLoad() {
	if s.traffic {
		s.loads = append(s.loads, s.now)
	}
}

func (s *sim) executeJoin(i *simInstance, o types.GroupOrder) types.OrderOutcome {
	if o.Group.Epoch < i.epoch {
		return types.OrderFenced
	}
	if i.Group.Key == o.Group && i.Group.State != models.MemberNone {
		return types.OrderDone
	}
	s.checkSingleMembership(i, o)
	model, known := s.profile.Model(o.Model)
	if !known {
		return types.OrderRejected
	}
	i.epoch = o.Group.Epoch
	i.Group = models.Membership{Key: o.Group, Rank: slices.Index(o.Members, i.ID), State: models.MemberJoining}
	i.members, i.openAt = o.Members, time.Time{}
	s.memberLists[o.Group] = o.Members
	switch {
	case i.LoadedModel == model.Name:
		i.readyAt = s.now.Add(RejoinTime)
	case slices.Contains(i.StagedModels, model.Name):
		i.readyAt = s.now.Add(model.WarmLoadTime)
	default:
		s.recordLoad()
		i.readyAt = s.now.Add(s.loadTime(model))
	}
	return types.OrderStarted
}

// checkSingleMembership checks that an instance joins no group while the head of its previous group
// still serves.
func (s *sim) checkSingleMembership(i *simInstance, o types.GroupOrder) {
	if i.Group.State == models.MemberNone || len(i.members) == 0 {
		return
	}
	head := s.instances[i.members[0]]
	if head == nil || head.dead || head.Group.Key != i.Group.Key {
		return
	}
	if head.Group.State == models.MemberOpen || head.Group.State == models.MemberClosing {
		s.violation("%s joins %s while the head of %s is %s", i.ID, o.Group.Name, i.Group.Key.Name, head.Group.State)
	}
}

// serving counts the complete serving groups of a model.
func (s *sim) serving(model models.ModelName) int {
	n := 0
	for _, g := range Groups(s.snapshot().Instances) {
		profile, _ := s.profile.Model(g.Model)
		complete := g.Serving() && g.Model == model && g.complete(profile.GroupSize)
		for _, id := range g.Members {
			complete = complete && !s.instances[id].dead && !s.instances[id].cut
		}
		if complete {
			n++
		}
	}
	return n
}

// mostLoads returns the highest number of loads that started within the window.
func (s *sim) mostLoads(window time.Duration) int {
	most := 0
	for at := range s.loads {
		n := 0
		for _, t := range s.loads[at:] {
			if t.Sub(s.loads[at]) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
