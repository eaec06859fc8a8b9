package cluster

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/fleet"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/platform"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// suspectFor is how long a stalled head is passed over without news.
	suspectFor = 800 * time.Millisecond
	// askAgain is how soon an instance is asked for a report once more.
	askAgain = 400 * time.Millisecond
	// overdueFactor is how many heartbeats an instance may miss in the store
	// before it is asked itself.
	overdueFactor = 2.2
)

// fleetState is what is known of the upstream instances.
type fleetState struct {
	instances map[models.InstanceID]*knownInstance
	planner   *fleet.Planner
	until     time.Time
	// heldTerm is the term of the lease.
	heldTerm int64
	// planned is when orders were last planned.
	planned time.Time
	// suspects are stalled heads, until when.
	suspects map[models.InstanceID]suspicion
	traffic  bool
	// due are instances to be asked for a report, and when.
	due map[models.InstanceID]time.Time
	// news is what is to be told to the other daemons.
	news []InstanceNews
	// feed counts what was sent of it.
	feed int64
	// supplyLogged is when the supply was last told in the log.
	supplyLogged time.Time
	demand       map[models.ModelName]float64
	busy         map[models.ModelName]float64
}

type suspicion struct {
	group models.GroupKey
	until time.Time
	// own tells that this node itself found it.
	own bool
}

type knownInstance struct {
	models.UpstreamInstance
	// told is when the newest entry or report was asked for.
	told time.Time
	// written is when a new entry was last seen.
	written time.Time
	// lost is since when it does not answer; zero while it does.
	lost  time.Time
	asked time.Time
	// spread is what the other daemons were told last.
	spread models.UpstreamInstance
}

func newFleetState() fleetState {
	return fleetState{instances: map[models.InstanceID]*knownInstance{}, suspects: map[models.InstanceID]suspicion{}, due: map[models.InstanceID]time.Time{}}
}

func (f *fleetState) term() int64 {
	if f.planner == nil {
		return 0
	}
	return f.heldTerm
}

func (f *fleetState) shown() map[models.InstanceID]models.UpstreamInstance {
	out := make(map[models.InstanceID]models.UpstreamInstance, len(f.instances))
	for id, i := range f.instances {
		out[id] = i.UpstreamInstance
	}
	return out
}

// stalledHeads lists what this node itself found to stand still.
func (f *fleetState) stalledHeads() []StalledHead {
	var out []StalledHead
	for id, s := range f.suspects {
		if s.own && time.Now().Before(s.until) {
			out = append(out, StalledHead{Group: s.group, Head: id})
		}
	}
	return out
}

// suspected lists the heads that any daemon found to stand still.
func (f *fleetState) suspected(now time.Time) map[models.InstanceID]bool {
	out := map[models.InstanceID]bool{}
	for id, s := range f.suspects {
		if now.Before(s.until) {
			out[id] = true
		}
	}
	return out
}

// serving lists the groups and the plain instances that take requests.
func (f *fleetState) serving(routing *models.Routing, now time.Time) (map[models.ModelName][]Group, map[models.ServiceName][]models.UpstreamInstance) {
	groups, services := map[models.ModelName][]Group{}, map[models.ServiceName][]models.UpstreamInstance{}
	if routing == nil {
		return groups, services
	}
	for _, g := range fleet.Groups(f.shown()) {
		head, there := f.instances[g.Head]
		if !there || !g.Serving() || !f.usable(head, now) {
			continue
		}
		members := make([]models.InstanceID, 0, len(g.Members))
		sound := true
		for _, id := range g.Members {
			members = append(members, id)
			sound = sound && f.instances[id].lost.IsZero()
		}
		if sound {
			groups[g.Model] = append(groups[g.Model], Group{Key: g.Key, Model: g.Model, Service: head.Service, Head: head.UpstreamInstance, Members: members})
		}
	}
	for _, i := range f.instances {
		if s := routing.Services[i.Service]; s.Engine == nil && f.usable(i, now) {
			services[i.Service] = append(services[i.Service], i.UpstreamInstance)
		}
	}
	return groups, services
}

func (f *fleetState) usable(i *knownInstance, now time.Time) bool {
	s, suspect := f.suspects[i.ID]
	return !i.Draining && i.lost.IsZero() && !(suspect && now.Before(s.until))
}

func (o *owner) handleInstances(records []platform.KeyedRecord, asked time.Time, whole bool) {
	known := o.fleet.instances
	listed := map[models.InstanceID]bool{}
	for _, r := range records {
		id := models.InstanceID(r.Key)
		if len(r.Value) == 0 {
			o.dropInstance(id)
			continue
		}
		i, err := platform.DecodeInstance(r.Key, r.Value)
		if err != nil {
			o.n.log.Error().Err(err).Msg("instance-unreadable")
			continue
		}
		listed[id] = true
		o.noteEntry(i, asked)
	}
	if whole {
		for id := range known {
			if !listed[id] {
				o.dropInstance(id)
			}
		}
	}
	// Even without news the others learn that this one still reads.
	o.spread(o.fleet.changedEntries(records, asked)...)
	if o.fleet.planner != nil && len(o.fleet.news) == 0 {
		o.sendFeed()
	}
	o.changed = o.changed || len(records) > 0
}

// changedEntries are the instances of these records of which the others have
// not been told as they are now.
func (f *fleetState) changedEntries(records []platform.KeyedRecord, asked time.Time) []InstanceNews {
	if f.planner == nil {
		return nil
	}
	var out []InstanceNews
	told := map[models.InstanceID]bool{}
	for _, r := range records {
		id := models.InstanceID(r.Key)
		if told[id] {
			continue
		}
		told[id] = true
		k, known := f.instances[id]
		if !known {
			out = append(out, InstanceNews{Instance: models.UpstreamInstance{ID: id}, Age: time.Since(asked), Gone: true})
			continue
		}
		shown := k.UpstreamInstance
		shown.Heartbeat = 0
		if !reflect.DeepEqual(shown, k.spread) {
			k.spread = shown
			out = append(out, k.news(asked))
		}
	}
	return out
}

func (k *knownInstance) news(at time.Time) InstanceNews {
	return InstanceNews{Instance: k.UpstreamInstance, Age: time.Since(at), Lost: !k.lost.IsZero()}
}

func (o *owner) dropInstance(id models.InstanceID) {
	if i, known := o.fleet.instances[id]; known {
		o.n.log.Info().Str("instance", string(id)).Str("group", string(i.Group.Key.Name)).Msg("instance-gone")
		delete(o.fleet.instances, id)
		o.changed = true
	}
}

func (o *owner) noteEntry(i models.UpstreamInstance, asked time.Time) {
	k, known := o.fleet.instances[i.ID]
	if !known {
		k = &knownInstance{}
		o.fleet.instances[i.ID] = k
	}
	if known && (k.Draining != i.Draining || k.Group != i.Group) {
		o.n.log.Info().Str("instance", string(i.ID)).Str("group", string(i.Group.Key.Name)).Str("state", string(i.Group.State)).
			Bool("draining", i.Draining).Msg("instance-changed")
	}
	if known && asked.Before(k.told.Add(entryLag)) && !i.Group.Follows(k.Group) {
		// What the instance itself told is newer than this entry may be.
		i.Group, i.Loaded, i.Staged = k.Group, k.Loaded, k.Staged
	}
	k.UpstreamInstance, k.written = i, time.Now()
	if o.fleet.planner != nil && !k.lost.IsZero() && k.written.Sub(k.lost) > askAgain {
		o.ask(k, k.written, patientReport)
	}
}

// ask has an instance asked for a report, unless that was just done.
func (o *owner) ask(k *knownInstance, now time.Time, timeout time.Duration) {
	if now.Sub(k.asked) < askAgain {
		return
	}
	k.asked = now
	o.n.askReport(o.ctx, k.UpstreamInstance, timeout)
}

func (o *owner) handleReport(m reportEnded) {
	k, known := o.fleet.instances[m.instance.ID]
	if !known {
		return
	}
	if m.err != nil {
		if k.lost.IsZero() {
			k.lost = m.asked
			o.spread(k.news(m.asked))
			o.n.log.Warn().Str("instance", string(k.ID)).Str("group", string(k.Group.Key.Name)).Err(m.err).Msg("instance-lost")
		}
		o.changed = true
		return
	}
	if !k.lost.IsZero() {
		o.n.log.Info().Str("instance", string(k.ID)).Dur("after", m.asked.Sub(k.lost)).Msg("instance-back")
	}
	k.lost, k.told = time.Time{}, m.asked
	k.Group, k.Loaded, k.Staged = m.instance.Group, m.instance.Loaded, m.instance.Staged
	delete(o.fleet.suspects, k.ID)
	if o.underWay(k) {
		o.fleet.due[k.ID] = time.Now().Add(askUnderWay)
	}
	o.spread(k.news(m.asked))
	o.changed = true
	o.planGroups(time.Now())
}

// handleStalled passes over a head at which nothing moves, and has the
// members asked if this node plans.
func (o *owner) handleStalled(m stalled) {
	k, known := o.fleet.instances[m.head]
	if !known || k.Group.Key != m.group {
		return
	}
	now := time.Now()
	if s, suspect := o.fleet.suspects[m.head]; !suspect || now.After(s.until) {
		o.n.log.Warn().Str("group", string(m.group.Name)).Str("head", string(m.head)).Str("from", string(m.from)).Msg("group-stalled")
		o.fleet.suspects[m.head] = suspicion{group: m.group, until: now.Add(suspectFor), own: m.from == ""}
		if m.from == "" {
			o.n.links.send(LoadNews{From: o.n.cfg.ID, Stalled: []StalledHead{{Group: m.group, Head: m.head}}})
		}
		o.changed = true
	}
	if o.fleet.planner == nil {
		return
	}
	for _, i := range o.fleet.instances {
		if i.Group.Key == m.group && i.lost.IsZero() {
			o.ask(i, now, promptReport)
		}
	}
}

func (o *owner) handleLease(m leaseHeld) {
	f := &o.fleet
	if m.term == o.n.spentTerm.Load() {
		// The store is asked for another term at the next renewal.
		return
	}
	f.until = m.until
	if f.planner != nil && f.heldTerm == m.term {
		return
	}
	f.planner, f.heldTerm, f.busy, f.feed = fleet.NewPlanner(m.term, time.Now()), m.term, nil, 0
	o.n.planning.Store(true)
	o.n.log.Info().Int64("term", m.term).Msg("planning-begun")
}

func (o *owner) stopPlanning(reason string) {
	if o.fleet.planner == nil {
		return
	}
	o.n.log.Info().Int64("term", o.fleet.heldTerm).Str("reason", reason).Msg("planning-ended")
	o.fleet.planner = nil
	o.n.spentTerm.Store(o.fleet.heldTerm)
	o.n.planning.Store(false)
}

// planLeast is the least time between two plannings; what comes in between
// waits for the next tick.
const planLeast = 20 * time.Millisecond

// planGroups gives the orders that are due, if this node plans.
func (o *owner) planGroups(now time.Time) {
	f := &o.fleet
	if f.planner == nil || o.config.routing == nil || now.Sub(f.planned) < planLeast {
		return
	}
	f.planned = now
	if now.After(f.until) && !o.mayOutlast(now) {
		o.stopPlanning("the lease ended")
		return
	}
	if f.planner.Superseded() {
		o.stopPlanning("an instance has seen a newer term")
		return
	}
	for name, service := range o.config.routing.Services {
		if service.Engine != nil {
			o.planService(name, service.Engine, now)
		}
	}
}

// mayOutlast reports whether the planner goes on although its lease could not
// be renewed: the store is away for the other daemons as well, so that no
// other can have begun.
func (o *owner) mayOutlast(now time.Time) bool {
	if o.peers.term > o.fleet.heldTerm {
		return false
	}
	for _, p := range o.peers.seen {
		if p.beat.ConfigAge < now.Sub(o.fleet.until) {
			return false
		}
	}
	return len(o.peers.seen) > 0
}

func (o *owner) planService(name models.ServiceName, engine *models.EngineProfile, now time.Time) {
	f := &o.fleet
	world := fleet.World{
		Now: now, Profile: engine, Instances: map[models.InstanceID]models.UpstreamInstance{}, Lost: map[models.InstanceID]bool{},
		Demand: o.demand(engine),
	}
	world.Traffic, world.Busy = f.traffic, o.busy(engine, now)
	for id, i := range f.instances {
		if i.Service != name {
			continue
		}
		world.Instances[id] = i.UpstreamInstance
		if !i.lost.IsZero() {
			world.Lost[id] = true
		}
		overdue := time.Duration(overdueFactor * float64(o.n.cfg.InstanceHeartbeat))
		if _, away := o.away[platform.InstancesTopic]; !away && i.lost.IsZero() && now.Sub(i.written) > overdue && now.Sub(i.told) > overdue {
			o.ask(i, now, patientReport)
		}
	}
	o.n.stats.plans.Inc()
	o.logSupply(engine, world)
	for _, order := range f.planner.Step(world) {
		o.n.log.Info().Str("order", string(order.Kind)).Str("instance", string(order.Instance)).Str("group", string(order.Group.Name)).
			Int64("fence", order.Fence).Msg("order-given")
		o.n.giveOrder(o.ctx, f.instances[order.Instance].Addr, order)
	}
}

// busyKept is the part of the former average that is kept at each planning,
// twenty times a second: the average follows within two seconds.
const busyKept = 0.97

// busy averages how many requests the groups of each model have.
func (o *owner) busy(engine *models.EngineProfile, now time.Time) map[models.ModelName]float64 {
	if o.fleet.busy == nil {
		o.fleet.busy = map[models.ModelName]float64{}
	}
	groups, _ := o.fleet.serving(o.config.routing, now)
	own := o.n.traffic.Loads()
	for _, m := range engine.Models {
		sum := 0
		for _, g := range groups[m.Name] {
			sum += own[g.Head.ID].Requests + o.n.PeersLoad(g.Head.ID).Requests
		}
		if _, known := o.fleet.busy[m.Name]; !known {
			o.fleet.busy[m.Name] = float64(sum)
		}
		o.fleet.busy[m.Name] = busyKept*o.fleet.busy[m.Name] + (1-busyKept)*float64(sum)
	}
	return maps.Clone(o.fleet.busy)
}

// supplyEvery is how often the planner tells what serves.
const supplyEvery = 2 * time.Second

// logSupply tells what each model has and needs.
func (o *owner) logSupply(engine *models.EngineProfile, w fleet.World) {
	if w.Now.Sub(o.fleet.supplyLogged) < supplyEvery {
		return
	}
	o.fleet.supplyLogged = w.Now
	groups, _ := o.fleet.serving(o.config.routing, w.Now)
	work := o.work()
	for _, m := range engine.Models {
		busy := int(w.Busy[m.Name])
		o.n.log.Info().Str("model", string(m.Name)).Int("groups", len(groups[m.Name])).Int("size", m.Size).Int("in-flight", busy).
			Float64("demand", w.Demand[m.Name]).Float64("work", work[m.Name]).Int("instances", len(w.Instances)).
			Int("lost", len(w.Lost)).Msg("supply")
	}
	c := o.fleet.planner.Counts()
	o.n.log.Info().Int("forming", c.Forming).Int("ending", c.Ending).Int("staging", c.Staging).Int("loading", c.Loading).
		Int("free", c.Free).Msg("plan")
}

const (
	// demandKept is the part of the former estimate that is kept at each
	// planning; at ten a second the estimate follows within two seconds.
	demandKept = 0.95
	// leastWork is the work, in groups, below which the shares declared in
	// the configuration are used.
	leastWork = 0.5
)

// demand is the part of all instances that each model needs.
func (o *owner) demand(engine *models.EngineProfile) map[models.ModelName]float64 {
	work := o.work()
	total := 0.0
	for _, m := range engine.Models {
		total += work[m.Name] * float64(m.Size)
	}
	if total > 0 {
		o.fleet.traffic = true
	}
	want := map[models.ModelName]float64{}
	for _, m := range engine.Models {
		want[m.Name] = m.Share
		if total > leastWork {
			want[m.Name] = work[m.Name] * float64(m.Size) / total
		}
	}
	if o.fleet.demand == nil || total <= leastWork {
		o.fleet.demand = want
	}
	for name, w := range want {
		o.fleet.demand[name] = demandKept*o.fleet.demand[name] + (1-demandKept)*w
	}
	return maps.Clone(o.fleet.demand)
}

func (o *owner) handleOrderEnded(m orderEnded) {
	event := o.n.log.Info()
	if m.err != nil {
		event = o.n.log.Warn().Err(m.err)
	}
	event.Str("order", string(m.order.Kind)).Str("instance", string(m.order.Instance)).Str("group", string(m.order.Group.Name)).
		Int64("fence", m.order.Fence).Str("outcome", string(m.outcome)).Msg("order-ended")
	if p := o.fleet.planner; p != nil && m.order.Fence>>fleet.TermBits == o.fleet.heldTerm {
		p.Note(m.order, m.outcome, m.at)
	}
	k := o.fleet.instances[m.order.Instance]
	if k == nil {
		return
	}
	if m.outcome == types.OrderUnknown {
		o.ask(k, m.at, patientReport)
	} else if d, known := o.expected(m.order, k.UpstreamInstance); known {
		o.fleet.due[k.ID] = m.at.Add(d)
	}
	o.planGroups(m.at)
}

// reportMargin is how much later than an order should be done the instance is
// asked whether it is.
const reportMargin = 15 * time.Millisecond

// expected is how long an order that was begun takes, if the end is worth
// asking for.
func (o *owner) expected(order types.GroupOrder, i models.UpstreamInstance) (time.Duration, bool) {
	service, known := o.config.routing.Services[i.Service]
	if !known || service.Engine == nil {
		return 0, false
	}
	model, known := service.Engine.Model(fleet.ModelOf(order.Group.Name))
	switch {
	case !known:
		return 0, false
	case order.Kind == types.GroupOpen:
		return service.Engine.FormTime + reportMargin, true
	case order.Kind == types.GroupJoin && i.Loaded == model.Name:
		return fleet.Rejoin + reportMargin, true
	case order.Kind == types.GroupJoin && slices.Contains(i.Staged, model.Name):
		return model.Warm + reportMargin, true
	}
	return 0, false
}

// askUnderWay is how soon an instance that should have been done is asked
// again.
const askUnderWay = 100 * time.Millisecond

// underWay reports whether the instance is still at an order that should be
// done.
func (o *owner) underWay(k *knownInstance) bool {
	if o.fleet.planner == nil {
		return false
	}
	switch o.fleet.planner.Expects(k.ID) {
	case types.GroupJoin:
		return k.Group.State == models.MemberJoining && isWarm(k.UpstreamInstance)
	case types.GroupOpen:
		return k.Group.State == models.MemberReady
	default:
		return false
	}
}

// isWarm reports whether the instance had the weights of its group's model
// when it joined, so that it is done within a second or two.
func isWarm(i models.UpstreamInstance) bool {
	model := fleet.ModelOf(i.Group.Key.Name)
	return i.Loaded == model || slices.Contains(i.Staged, model)
}

// askDue asks the instances whose orders should be done by now.
func (o *owner) askDue(now time.Time) {
	for id, at := range o.fleet.due {
		if now.Before(at) {
			continue
		}
		delete(o.fleet.due, id)
		if k := o.fleet.instances[id]; k != nil && o.fleet.planner != nil {
			k.asked = now
			o.n.askReport(o.ctx, k.UpstreamInstance, patientReport)
		}
	}
}
