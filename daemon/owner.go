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
	planInterval    = 250 * time.Millisecond
	publishInterval = 100 * time.Millisecond
	// maxRecentRecords is how many applied records are kept for relaying to other daemons.
	maxRecentRecords = 2048
)

// owner holds the mutable state of a daemon. Only the goroutine that runs it may touch it.
type owner struct {
	d     *Daemon
	ctx   context.Context
	state *state.State

	// recentRecords are the last records applied, for daemons that lack them. The slice is only
	// appended to and truncated at its front, so that views may share it.
	recentRecords []types.Entry
	instances     map[models.InstanceID]models.Instance
	evidence      map[models.InstanceID]planner.Evidence
	// serviceSeenAt is when each instance of a plain service last accepted a connection.
	serviceSeenAt map[models.InstanceID]time.Time
	peers         map[models.DaemonID]Peer

	logCurrentAt   time.Time
	logError       error
	joined         bool
	superseded     bool
	lastCheckpoint models.Offset
	checkpointing  bool
	restoring      bool

	pendingProposals map[models.RecordID]*pendingProposal
	// wantedSince is since when the planner has wanted each proposal, by proposal key.
	wantedSince map[string]time.Time
	// silentSince is since when each silent daemon of the roster has been found silent.
	silentSince map[models.DaemonID]time.Time
	lastOrderAt map[models.InstanceID]time.Time
	// retiringSince is since when each retiring group has been known to be retiring.
	retiringSince map[models.GroupID]time.Time

	engineAddrs  map[models.InstanceID]netip.AddrPort
	serviceAddrs map[models.InstanceID]netip.AddrPort
	peerAddrs    map[netip.AddrPort]struct{}

	// needsPlan is set if the planner's input has changed since plannedAt, when the planner last
	// ran.
	needsPlan bool
	plannedAt time.Time

	// needsPublish asks for a new view now instead of at the next tick.
	needsPublish   bool
	publishedState *state.State
	// snapshotData is the encoded state at snapshotOffset.
	snapshotData   []byte
	snapshotOffset models.Offset

	claims claims
}

func newOwner(d *Daemon) *owner {
	return &owner{
		d:                d,
		state:            state.New(),
		instances:        map[models.InstanceID]models.Instance{},
		evidence:         map[models.InstanceID]planner.Evidence{},
		serviceSeenAt:    map[models.InstanceID]time.Time{},
		peers:            map[models.DaemonID]Peer{},
		pendingProposals: map[models.RecordID]*pendingProposal{},
		wantedSince:      map[string]time.Time{},
		silentSince:      map[models.DaemonID]time.Time{},
		lastOrderAt:      map[models.InstanceID]time.Time{},
		retiringSince:    map[models.GroupID]time.Time{},
	}
}

func emptyView() *View {
	s := state.New()
	return &View{State: s, Table: router.Table{State: s}}
}

func (o *owner) run(ctx context.Context) error {
	o.ctx = ctx
	plan := o.d.clock.Subscribe(planInterval)
	publish := o.d.clock.Subscribe(publishInterval)
	defer o.failProposals()
	o.updatePeerTargets()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-o.d.inbox:
			o.handle(msg)
			o.drainInbox()
		case p := <-o.d.proposals:
			o.handleProposal(p)
		case c := <-o.d.claims:
			o.handleClaim(c)
		case reply := <-o.d.snapshotRequests:
			reply <- o.snapshot()
		case tick := <-plan:
			o.handlePause(tick)
			o.plan(tick.At)
		case tick := <-publish:
			o.handlePause(tick)
			o.needsPublish = true
		}
		if o.needsPublish {
			o.publish(time.Now())
		}
	}
}

// snapshot returns the encoded state. It encodes the state once per offset.
func (o *owner) snapshot() []byte {
	if o.snapshotData == nil || o.snapshotOffset != o.state.Applied {
		data, err := o.state.Marshal()
		if err != nil {
			o.d.log.Error().Err(err).Msg("state-unencodable")
			return nil
		}
		o.snapshotData, o.snapshotOffset = data, o.state.Applied
	}
	return o.snapshotData
}

// drainInbox handles the messages that are already queued, so that one view covers them all.
func (o *owner) drainInbox() {
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
	case types.LogUnavailable:
		o.handleLogUnavailable(msg)
	case types.AppendResult:
		o.handleAppendResult(msg)
	case types.CheckpointRead:
		o.handleCheckpointRead(msg)
	case types.CheckpointWritten:
		o.handleCheckpointWritten(msg)
	case types.ListRead:
		o.handleListRead(msg)
	case types.ListUnavailable:
		o.d.log.Warn().Err(msg.Err).Msg("list-away")
	case types.InstanceSeen:
		o.handleInstanceSeen(msg)
	case types.ServiceSeen:
		o.serviceSeenAt[msg.Instance] = msg.SentAt
	case types.InstanceSilent:
		o.handleInstanceSilent(msg)
	case types.OrderResult:
		o.handleOrderResult(msg)
	case types.PeerSeen:
		o.handlePeerSeen(msg)
	case types.PeerSilent:
		o.d.log.Debug().Err(msg.Err).Stringer("peer", msg.Addr).Msg("peer-silent")
	case types.PeerObservations:
		o.handleObservations(msg)
	case types.PeerRecords:
		o.applyEntries(msg.Entries, "peer")
	case types.PeerSnapshot:
		o.handlePeerSnapshot(msg)
	}
}

// handlePause restarts the waits that depend on the silence of instances and daemons: during a
// pause of the process itself it received nothing, so silence proves nothing.
func (o *owner) handlePause(tick timer.Tick) {
	if tick.Paused == 0 {
		return
	}
	o.d.stats.pauses.Inc()
	o.d.log.Warn().Dur("for", tick.Paused).Msg("process-paused")
	for id, e := range o.evidence {
		e.ProbedSince = tick.At
		o.evidence[id] = e
	}
	clear(o.wantedSince)
	clear(o.silentSince)
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
	o.updateProbeTargets()
	o.needsPublish, o.needsPlan = true, true
}

// updateProbeTargets sends the probers the instances to probe: those on the list, and group
// members that the list does not (or no longer) contain.
func (o *owner) updateProbeTargets() {
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
	sendTargets(o.d.serviceAddrs, &o.serviceAddrs, services)
}

// sendTargets sends the targets to a prober if they differ from the last ones sent.
func sendTargets[K, V comparable](out chan map[K]V, last *map[K]V, next map[K]V) {
	if maps.Equal(*last, next) {
		return
	}
	*last = next
	sendLatest(out, next)
}

// sendLatest puts a value into a channel of capacity one and discards a value that waits there.
// Only the owner sends on such a channel, so the send never blocks; blocking could deadlock,
// because the receiver may be waiting for the owner.
func sendLatest[T any](ch chan T, value T) {
	select {
	case <-ch:
	default:
	}
	ch <- value
}

func (o *owner) handleInstanceSeen(msg types.InstanceSeen) {
	e, watched := o.evidence[msg.Instance]
	if !watched || msg.SentAt.Before(e.LastSeen) {
		return
	}
	e.LastReply, e.UnansweredSince = msg.SentAt, time.Time{}
	o.recordStatus(msg.Instance, e, msg.SentAt, msg.Status)
}

// recordStatus records that the instance had the status at the time.
func (o *owner) recordStatus(id models.InstanceID, e planner.Evidence, at time.Time, status types.EngineStatus) {
	if e.Silent() || e.Status.Fence != status.Fence || e.Status.Phase != status.Phase || e.Status.Leaving != status.Leaving ||
		(e.Status.InFlight > 0) != (status.InFlight > 0) {
		o.needsPublish, o.needsPlan = true, true
	}
	if !e.LastSeen.IsZero() && e.UnreachableFor(at) > o.d.cfg.ReplaceAfter {
		e.Flaps++
		e.Returned = at
	} else if e.Flaps > 0 && at.Sub(e.Returned) > absenceResetAfter {
		e.Flaps = 0
	}
	e.LastSeen, e.Status = at, status
	o.evidence[id] = e
}

// absenceResetAfter is how long an instance must be present without interruption before its
// absences are forgotten.
const absenceResetAfter = 10 * time.Minute

// handleObservations records the statuses that another daemon observed of instances that do not
// answer this one.
func (o *owner) handleObservations(msg types.PeerObservations) {
	for _, v := range msg.Observations {
		e, watched := o.evidence[v.Status.Instance]
		if at := msg.SentAt.Add(-v.Age); watched && at.After(e.LastSeen) {
			o.recordStatus(v.Status.Instance, e, at, v.Status)
		}
	}
}

func (o *owner) handleInstanceSilent(msg types.InstanceSilent) {
	e, watched := o.evidence[msg.Instance]
	if !watched {
		return
	}
	if e.UnansweredSince.IsZero() {
		e.UnansweredSince = msg.SentAt
		o.d.log.Warn().Str("instance", string(msg.Instance)).Err(msg.Err).Msg("instance-silent")
		o.needsPublish, o.needsPlan = true, true
	}
	o.evidence[msg.Instance] = e
}

// publish publishes a new view.
func (o *owner) publish(now time.Time) {
	if o.publishedState == nil || o.publishedState.Applied != o.state.Applied {
		o.publishedState = o.state.Clone()
	}
	view := &View{
		State:         o.publishedState,
		Instances:     o.instances,
		Evidence:      maps.Clone(o.evidence),
		Peers:         slices.Collect(maps.Values(o.peers)),
		CurrentUntil:  o.currentUntil(now),
		LogCurrentAt:  o.logCurrentAt,
		LogError:      o.logError,
		Superseded:    o.superseded,
		silent:        o.silentInstances(),
		recentRecords: slices.Clip(o.recentRecords),
	}
	gates := o.gates()
	serving := view.Serving(now)
	view.Table = router.Table{
		State: o.publishedState, Gates: gates, Daemons: len(serving) + 1, Capacity: o.capacity(gates, serving), Services: o.serviceTable(),
	}
	o.d.view.Store(view)
	o.needsPublish = false
}

// silentInstances lists the instances that do not answer this daemon, at most maxObservations;
// other daemons may have seen them recently.
func (o *owner) silentInstances() []models.InstanceID {
	var out []models.InstanceID
	for id, e := range o.evidence {
		if !e.UnansweredSince.IsZero() && len(out) < maxObservations {
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

// capacity returns this daemon's share of each group's request capacity.
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
	for _, id := range slices.Sorted(maps.Keys(o.serviceSeenAt)) {
		i, listed := o.instances[id]
		_, drained := o.state.Drained[id]
		if !listed || i.Leaving || drained {
			continue
		}
		table[i.Service] = append(table[i.Service], router.ServiceInstance{
			Instance: i, OpenUntil: o.serviceSeenAt[id].Add(o.d.cfg.GateBound),
		})
	}
	return table
}

func newRecordID() models.RecordID { return models.RecordID(uuid.NewString()) }
