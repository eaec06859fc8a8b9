package daemon

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	planEvery    = 250 * time.Millisecond
	publishEvery = 100 * time.Millisecond
	// keptRecords is how many folded records are kept to be relayed.
	keptRecords = 2048
)

// owner is the one goroutine that holds what a daemon knows.
type owner struct {
	d     *Daemon
	ctx   context.Context
	state *state.State

	// recent are the last records folded, for daemons that lack them. The
	// slice is only ever appended to and cut at its front, so that views
	// may share it.
	recent    []types.Entry
	instances map[models.InstanceID]models.Instance
	evidence  map[models.InstanceID]planner.Evidence
	// serviceSeen is when each plain service's instance last accepted a
	// connection.
	serviceSeen map[models.InstanceID]time.Time
	peers       map[models.DaemonID]Peer

	logProof       time.Time
	logError       error
	joined         bool
	superseded     bool
	lastCheckpoint models.Offset
	checkpointing  bool
	restoring      bool

	pending map[models.RecordID]*pendingProposal
	// standing is since when the planner has wanted something, by its key.
	standing map[string]time.Time
	// silent is since when a daemon of the roster has been found silent.
	silent  map[models.DaemonID]time.Time
	ordered map[models.InstanceID]time.Time

	engineAddrs  map[models.InstanceID]netip.AddrPort
	serviceAddrs map[models.InstanceID]netip.AddrPort
	peerAddrs    map[netip.AddrPort]struct{}

	// replan tells that something has changed since planned, when the
	// planner last ran.
	replan  bool
	planned time.Time

	// changed asks for a view at once instead of at the next tick.
	changed bool
	cloned  *state.State
	// marshalled is the whole state as it was at marshalledAt.
	marshalled   []byte
	marshalledAt models.Offset

	claims claims
}

func newOwner(d *Daemon) *owner {
	return &owner{
		d:           d,
		state:       state.New(),
		instances:   map[models.InstanceID]models.Instance{},
		evidence:    map[models.InstanceID]planner.Evidence{},
		serviceSeen: map[models.InstanceID]time.Time{},
		peers:       map[models.DaemonID]Peer{},
		pending:     map[models.RecordID]*pendingProposal{},
		standing:    map[string]time.Time{},
		silent:      map[models.DaemonID]time.Time{},
		ordered:     map[models.InstanceID]time.Time{},
	}
}

func emptyView() *View {
	s := state.New()
	return &View{State: s, Table: router.Table{State: s}}
}

func (o *owner) run(ctx context.Context) error {
	o.ctx = ctx
	plan := o.d.clock.Subscribe(planEvery)
	publish := o.d.clock.Subscribe(publishEvery)
	defer o.abandonProposals()
	o.retargetPeers()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-o.d.inbox:
			o.handle(msg)
			o.handleWaiting()
		case p := <-o.d.proposals:
			o.accept(p)
		case c := <-o.d.claims:
			o.claim(c)
		case reply := <-o.d.states:
			reply <- o.wholeState()
		case tick := <-plan:
			o.noticePause(tick)
			o.plan(tick.At)
		case tick := <-publish:
			o.noticePause(tick)
			o.changed = true
		}
		if o.changed {
			o.publish(time.Now())
		}
	}
}

// wholeState marshals the state, once for each offset.
func (o *owner) wholeState() []byte {
	if o.marshalled == nil || o.marshalledAt != o.state.Applied {
		data, err := o.state.Marshal()
		if err != nil {
			o.d.log.Error().Err(err).Msg("state-unencodable")
			return nil
		}
		o.marshalled, o.marshalledAt = data, o.state.Applied
	}
	return o.marshalled
}

// handleWaiting handles the messages that have come already, so that one
// view shows them all.
func (o *owner) handleWaiting() {
	for range inboxLen {
		select {
		case msg := <-o.d.inbox:
			o.handle(msg)
		default:
			return
		}
	}
}

func (o *owner) handle(msg types.Message) {
	switch msg := msg.(type) {
	case types.LogRead:
		o.handleLogRead(msg)
	case types.LogExpired:
		o.handleLogExpired(msg)
	case types.LogAway:
		o.handleLogAway(msg)
	case types.AppendEnded:
		o.handleAppendEnded(msg)
	case types.CheckpointRead:
		o.handleCheckpointRead(msg)
	case types.CheckpointWritten:
		o.handleCheckpointWritten(msg)
	case types.ListRead:
		o.handleListRead(msg)
	case types.ListAway:
		o.d.log.Warn().Err(msg.Err).Msg("list-away")
	case types.InstanceSeen:
		o.handleInstanceSeen(msg)
	case types.ServiceSeen:
		o.serviceSeen[msg.Instance] = msg.Asked
	case types.InstanceSilent:
		o.handleInstanceSilent(msg)
	case types.OrderEnded:
		o.handleOrderEnded(msg)
	case types.PeerSeen:
		o.handlePeerSeen(msg)
	case types.PeerSilent:
		o.d.log.Debug().Err(msg.Err).Stringer("peer", msg.Addr).Msg("peer-silent")
	case types.PeerVouched:
		o.handleVouched(msg)
	case types.PeerRecords:
		o.applyEntries(msg.Entries, "peer")
	case types.PeerState:
		o.handlePeerState(msg)
	}
}

// noticePause forgets what silence seemed to prove while the process itself
// stood still.
func (o *owner) noticePause(tick timer.Tick) {
	if tick.Paused == 0 {
		return
	}
	o.d.stats.pauses.Inc()
	o.d.log.Warn().Dur("for", tick.Paused).Msg("process-paused")
	for id, e := range o.evidence {
		e.ProbedSince = tick.At
		o.evidence[id] = e
	}
	clear(o.standing)
	clear(o.silent)
}

func (o *owner) handleListRead(msg types.ListRead) {
	next := make(map[models.InstanceID]models.Instance, len(msg.Instances))
	for _, i := range msg.Instances {
		next[i.ID] = i
	}
	if maps.Equal(next, o.instances) {
		return
	}
	o.instances = next
	o.retarget()
	o.changed, o.replan = true, true
}

// retarget tells the watchers whom to watch: the instances on the list, and
// the members of groups that the list does not show (any more).
func (o *owner) retarget() {
	engines := map[models.InstanceID]netip.AddrPort{}
	services := map[models.InstanceID]netip.AddrPort{}
	for id, i := range o.instances {
		if i.Kind == models.KindService {
			services[id] = i.Addr
		} else {
			engines[id] = i.Addr
		}
	}
	for _, g := range o.state.Groups {
		for _, m := range g.Members {
			if _, listed := engines[m.ID]; !listed {
				engines[m.ID] = m.Addr
			}
		}
	}
	now := time.Now()
	for id := range engines {
		if _, known := o.evidence[id]; !known {
			o.evidence[id] = planner.Evidence{ProbedSince: now}
		}
	}
	maps.DeleteFunc(o.evidence, func(id models.InstanceID, _ planner.Evidence) bool {
		_, watched := engines[id]
		return !watched
	})
	sendTargets(o.d.engineAddrs, &o.engineAddrs, engines)
	sendTargets(o.d.serviceAddr, &o.serviceAddrs, services)
}

// sendTargets hands the targets to a prober if they differ from the last.
func sendTargets[K, V comparable](to chan map[K]V, last *map[K]V, next map[K]V) {
	if maps.Equal(*last, next) {
		return
	}
	*last = next
	replace(to, next)
}

// replace puts a value into a channel of length one in place of what may be
// waiting there. Only the owner sends on such a channel, so it never blocks:
// the receiver may be waiting for the owner itself.
func replace[T any](to chan T, value T) {
	select {
	case <-to:
	default:
	}
	to <- value
}

func (o *owner) handleInstanceSeen(msg types.InstanceSeen) {
	e, watched := o.evidence[msg.Instance]
	if !watched || msg.Asked.Before(e.LastSeen) {
		return
	}
	e.LastReply, e.UnansweredSince = msg.Asked, time.Time{}
	o.see(msg.Instance, e, msg.Asked, msg.Status)
}

// see notes that the instance was as its status says.
func (o *owner) see(id models.InstanceID, e planner.Evidence, at time.Time, status types.EngineStatus) {
	if e.Silent() || e.Status.Fence != status.Fence || e.Status.Phase != status.Phase || e.Status.Leaving != status.Leaving ||
		(e.Status.InFlight > 0) != (status.InFlight > 0) {
		o.changed, o.replan = true, true
	}
	if !e.LastSeen.IsZero() && e.UnreachableFor(at) > o.d.cfg.ReplaceAfter {
		e.Flaps++
		e.Returned = at
	} else if e.Flaps > 0 && at.Sub(e.Returned) > forgetAbsences {
		e.Flaps = 0
	}
	e.LastSeen, e.Status = at, status
	o.evidence[id] = e
}

// forgetAbsences is how long an instance has to be there without a break
// until its absences are forgotten.
const forgetAbsences = 10 * time.Minute

// handleVouched notes what another daemon saw of instances that do not
// answer this one.
func (o *owner) handleVouched(msg types.PeerVouched) {
	for _, v := range msg.Vouches {
		e, watched := o.evidence[v.Status.Instance]
		if at := msg.Asked.Add(-v.Age); watched && at.After(e.LastSeen) {
			o.see(v.Status.Instance, e, at, v.Status)
		}
	}
}

func (o *owner) handleInstanceSilent(msg types.InstanceSilent) {
	e, watched := o.evidence[msg.Instance]
	if !watched {
		return
	}
	if e.UnansweredSince.IsZero() {
		e.UnansweredSince = msg.Asked
		o.d.log.Warn().Str("instance", string(msg.Instance)).Err(msg.Err).Msg("instance-silent")
		o.changed, o.replan = true, true
	}
	o.evidence[msg.Instance] = e
}

// publish shows the others what the owner knows.
func (o *owner) publish(now time.Time) {
	if o.cloned == nil || o.cloned.Applied != o.state.Applied {
		o.cloned = o.state.Clone()
	}
	view := &View{
		State:        o.cloned,
		Instances:    o.instances,
		Evidence:     maps.Clone(o.evidence),
		Peers:        slices.Collect(maps.Values(o.peers)),
		CurrentUntil: o.currentUntil(now),
		LogProof:     o.logProof,
		LogError:     o.logError,
		Superseded:   o.superseded,
		silent:       o.silentInstances(),
		recent:       slices.Clip(o.recent),
	}
	gates := o.gates()
	serving := view.Serving(now)
	view.Table = router.Table{
		State: o.cloned, Gates: gates, Daemons: len(serving) + 1, Capacity: o.capacity(gates, serving), Services: o.serviceTable(),
	}
	o.d.view.Store(view)
	o.changed = false
}

// silentInstances lists the instances that others may have seen lately.
func (o *owner) silentInstances() []models.InstanceID {
	var out []models.InstanceID
	for id, e := range o.evidence {
		if !e.UnansweredSince.IsZero() && len(out) < maxVouches {
			out = append(out, id)
		}
	}
	return out
}

func (o *owner) gates() map[models.GroupID]planner.Gate {
	gates := make(map[models.GroupID]planner.Gate, len(o.state.Groups))
	for id, g := range o.state.Groups {
		gates[id] = planner.GateOf(g, o.evidence, o.d.cfg.GateBound)
	}
	return gates
}

// capacity is this daemon's part of what each group is sent at once.
func (o *owner) capacity(gates map[models.GroupID]planner.Gate, serving []models.DaemonID) map[models.GroupID]int {
	out := make(map[models.GroupID]int, len(gates))
	for id, gate := range gates {
		if slots := gate.Load.Slots; slots > 0 {
			total := int(router.MaxInFlightFactor * float64(slots))
			out[id] = max(1, router.LimitShare(total, o.d.cfg.ID, serving, string(id)))
		}
	}
	return out
}

func (o *owner) serviceTable() map[models.ServiceName][]router.ServiceInstance {
	table := map[models.ServiceName][]router.ServiceInstance{}
	for _, id := range slices.Sorted(maps.Keys(o.serviceSeen)) {
		i, listed := o.instances[id]
		_, drained := o.state.Drained[id]
		if !listed || i.Leaving || drained {
			continue
		}
		table[i.Service] = append(table[i.Service], router.ServiceInstance{
			Instance: i, OpenUntil: o.serviceSeen[id].Add(o.d.cfg.GateBound),
		})
	}
	return table
}

func newRecordID() models.RecordID { return models.RecordID(uuid.NewString()) }
