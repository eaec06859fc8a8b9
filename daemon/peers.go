package daemon

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/lib/task"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/worker/peer"
	"github.com/lupinkeel/lupinkeel/worker/probe"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

const (
	// peerBound is the age beyond which a daemon counts as silent in the
	// order of turn.
	meshPeerTimeout = 3 * time.Second
	// sparsePeerBound is the same where daemons hear of most others through
	// third ones.
	sparsePeerTimeout = 12 * time.Second
	// sparseBeat is which of the heartbeats, one in so many, is sent there.
	sparseHeartbeatFactor = 4
	// maxVouches is of how many silent instances others are asked.
	maxObservations = 64
	// maxRelayed is how many records one answer carries at most.
	maxRelayed = 256
	// logQuiet is the age of the last proof from the log beyond which a
	// daemon asks others for records.
	logStaleAfter = 1500 * time.Millisecond
)

// beat sends heartbeats to the daemons that the owner names.
func (d *Daemon) heartbeatSender() func(context.Context) error {
	ticks := d.clock.Subscribe(d.cfg.HeartbeatEvery)
	slowTicks := d.clock.Subscribe(sparseHeartbeatFactor * d.cfg.HeartbeatEvery)
	selected := make(chan timer.Tick, 1)
	p := probe.Prober[netip.AddrPort, struct{}, peer.Response]{
		Ticks:   selected,
		Targets: d.peerAddrs,
		Probe: func(ctx context.Context, addr netip.AddrPort, _ struct{}) (peer.Response, error) {
			return d.peers.Exchange(ctx, addr, d.heartbeat(time.Now()))
		},
		Deliver: func(ctx context.Context, r probe.Result[netip.AddrPort, struct{}, peer.Response]) {
			d.deliverResponse(ctx, r.Key, r.SentAt, r.Response, r.Err)
		},
	}
	return func(ctx context.Context) error {
		selector := task.Start(ctx, "heartbeat-pace", func(ctx context.Context) error { return d.selectTicks(ctx, ticks, slowTicks, selected) })
		return errors.Join(p.Run(ctx), task.Wait(selector))
	}
}

// pace passes the fast ticks on while there are few daemons and the slow ones
// when there are many.
func (d *Daemon) selectTicks(ctx context.Context, fast, slow <-chan timer.Tick, out chan<- timer.Tick) error {
	for {
		var tick timer.Tick
		select {
		case <-ctx.Done():
			return ctx.Err()
		case tick = <-fast:
			if sparse(d.View()) {
				continue
			}
		case tick = <-slow:
			if !sparse(d.View()) {
				continue
			}
		}
		select {
		case out <- tick:
		default:
		}
	}
}

func (d *Daemon) deliverResponse(ctx context.Context, addr netip.AddrPort, sentAt time.Time, resp peer.Response, err error) {
	if err != nil {
		types.Send(ctx, d.inbox, types.PeerSilent{Addr: addr, Err: err})
		return
	}
	// What comes with the status is folded first, so that the status finds
	// the state that it speaks of.
	if len(resp.Snapshot) > 0 {
		types.Send(ctx, d.inbox, types.PeerSnapshot{From: resp.Status.ID, Snapshot: resp.Snapshot})
	}
	if len(resp.Records) > 0 {
		types.Send(ctx, d.inbox, types.PeerRecords{From: resp.Status.ID, Entries: resp.Records})
	}
	types.Send(ctx, d.inbox, types.PeerSeen{SentAt: sentAt, Status: resp.Status})
	if len(resp.Observations) > 0 {
		types.Send(ctx, d.inbox, types.PeerObservations{SentAt: sentAt, Observations: resp.Observations})
	}
	for _, g := range resp.Gossip {
		types.Send(ctx, d.inbox, types.PeerSeen{SentAt: sentAt.Add(-g.Age), Status: g.Status})
	}
}

func (d *Daemon) heartbeat(now time.Time) peer.Heartbeat {
	v := d.View()
	return peer.Heartbeat{
		From: d.ownStatus(v, now), After: v.State.Applied,
		Silent:      v.silent,
		WantRecords: v.LogError != nil || now.Sub(v.LogCurrentAt) > logStaleAfter,
	}
}

// Status is what the daemon tells of itself.
func (d *Daemon) Status(now time.Time) types.PeerStatus { return d.ownStatus(d.View(), now) }

func (d *Daemon) ownStatus(v *View, now time.Time) types.PeerStatus {
	age := time.Duration(-1)
	if !v.LogCurrentAt.IsZero() {
		age = now.Sub(v.LogCurrentAt)
	}
	return types.PeerStatus{
		ID: d.cfg.ID, Incarnation: d.incarnation, Zone: d.cfg.Zone, Addr: d.peerAddr,
		Applied: v.State.Applied, Config: v.State.ConfigOffset, LogAge: age, Serving: v.Current(now),
	}
}

// Answer answers another daemon's heartbeat.
func (d *Daemon) HandleHeartbeat(heartbeat peer.Heartbeat) peer.Response {
	now := time.Now()
	v := d.View()
	resp := peer.Response{Status: d.ownStatus(v, now)}
	if sparse(v) {
		resp.Gossip = d.gossip(v, heartbeat.From.ID, now)
	}
	for _, id := range heartbeat.Silent[:min(len(heartbeat.Silent), maxObservations)] {
		e, watched := v.Evidence[id]
		if age := now.Sub(e.Direct); watched && e.SilentSince.IsZero() && age < d.cfg.GateBound {
			resp.Observations = append(resp.Observations, types.Observation{Age: age, Status: e.Status})
		}
	}
	if heartbeat.WantRecords && v.State.Applied > heartbeat.After {
		d.relay(v, heartbeat.After, &resp)
	}
	return resp
}

// maxHeard is of how many third daemons an answer tells. The answers go round
// all daemons, so that each is told of sooner or later.
const maxGossip = 24

func (d *Daemon) gossip(v *View, receiver models.DaemonID, now time.Time) []peer.GossipEntry {
	var out []peer.GossipEntry
	first := int(d.responseCount.Add(1)) * maxGossip
	for i := range min(maxGossip, len(v.Peers)) {
		p := v.Peers[(first+i)%len(v.Peers)]
		if age := now.Sub(p.Seen); age < sparsePeerTimeout && p.Status.ID != receiver {
			out = append(out, peer.GossipEntry{Status: p.Status, Age: age})
		}
	}
	return out
}

// relay adds the records after the offset, or the whole state if those are
// not at hand.
func (d *Daemon) relay(v *View, after models.Offset, resp *peer.Response) {
	at, found := slices.BinarySearchFunc(v.recentRecords, after+1, func(e types.Entry, o models.Offset) int {
		return int(int64(e.Offset) - int64(o))
	})
	if !found {
		resp.Snapshot = d.requestSnapshot()
		return
	}
	resp.Records = v.recentRecords[at:min(len(v.recentRecords), at+maxRelayed)]
	d.stats.relayed.Add(len(resp.Records))
}

// stateWithin bounds how long a heartbeat waits for the whole state.
const snapshotTimeout = 500 * time.Millisecond

// wholeState asks the owner for the whole state; nil if it is too busy.
func (d *Daemon) requestSnapshot() []byte {
	timeout := time.NewTimer(snapshotTimeout)
	defer timeout.Stop()
	reply := make(chan []byte, 1)
	select {
	case d.snapshotRequests <- reply:
		return <-reply
	case <-timeout.C:
		return nil
	}
}

func (o *owner) handlePeerSeen(msg types.PeerSeen) {
	s := msg.Status
	if s.ID == o.d.cfg.ID {
		return
	}
	known, heard := o.peers[s.ID]
	if heard && (msg.SentAt.Before(known.Seen) || s.Incarnation < known.Status.Incarnation) {
		return
	}
	o.needsPublish = o.needsPublish || known.Status.Applied != s.Applied
	o.peers[s.ID] = Peer{Status: s, Seen: msg.SentAt, OnRoster: o.onRoster(s)}
	if !heard {
		o.updatePeerTargets()
	}
}

func (o *owner) onRoster(s types.PeerStatus) bool {
	d, listed := o.state.Daemons[s.ID]
	return listed && d.Incarnation == s.Incarnation
}

func (o *owner) refreshPeers() {
	for id, p := range o.peers {
		p.OnRoster = o.onRoster(p.Status)
		o.peers[id] = p
		if _, listed := o.state.Daemons[id]; !listed && time.Since(p.Seen) > removeSilentAfter {
			delete(o.peers, id)
		}
	}
}

// fullMesh is up to how many daemons each sends heartbeats to all others.
const maxFullMesh = 12

func sparse(v *View) bool { return len(v.State.Daemons) > maxFullMesh }

// bound is the age beyond which a daemon counts as silent.
func (v *View) peerTimeout() time.Duration {
	if sparse(v) {
		return sparsePeerTimeout
	}
	return meshPeerTimeout
}

// retargetPeers chooses whom to send heartbeats to: everybody while there
// are few; else those at distances 1, 4, 16, ... in an order that all
// daemons compute alike, so that news reaches everybody in few steps. The
// addresses from the settings are asked until their daemons are known.
func (o *owner) updatePeerTargets() {
	targets := map[netip.AddrPort]struct{}{}
	ids := make([]models.DaemonID, 0, len(o.state.Daemons))
	for id := range o.state.Daemons {
		ids = append(ids, id)
	}
	for _, id := range neighbours(o.d.cfg.ID, ids) {
		targets[o.state.Daemons[id].Peer] = struct{}{}
	}
	if len(ids) <= maxFullMesh {
		for _, addr := range o.d.cfg.Peers {
			targets[addr] = struct{}{}
		}
	}
	delete(targets, o.d.peerAddr)
	sendTargets(o.d.peerAddrs, &o.peerAddrs, targets)
}

const ringStepFactor = 4

func neighbours(self models.DaemonID, all []models.DaemonID) []models.DaemonID {
	others := slices.DeleteFunc(slices.Clone(all), func(d models.DaemonID) bool { return d == self })
	if len(others) < maxFullMesh {
		return others
	}
	ring := planner.Order(append(others, self), "heartbeats")
	at := slices.Index(ring, self)
	var out []models.DaemonID
	for step := 1; step < len(ring); step *= ringStepFactor {
		out = append(out, ring[(at+step)%len(ring)])
	}
	return out
}

// rank is this daemon's place in the order of turn among those that it has
// heard of lately.
func (o *owner) rank(key string, now time.Time) int {
	timeout := meshPeerTimeout
	if len(o.state.Daemons) > maxFullMesh {
		timeout = sparsePeerTimeout
	}
	var serving []models.DaemonID
	for id, p := range o.peers {
		if p.OnRoster && now.Sub(p.Seen) < timeout && p.Status.Serving {
			serving = append(serving, id)
		}
	}
	return planner.Rank(o.d.cfg.ID, serving, key)
}

// currentUntil is how long the state may be taken for current: a bounded
// time from the last proof, by the log or by a majority of the roster.
func (o *owner) currentUntil(now time.Time) time.Time {
	currentAt := o.logCurrentAt
	if m := o.majorityCurrentAt(now); m.After(currentAt) {
		currentAt = m
	}
	if currentAt.IsZero() {
		return time.Time{}
	}
	return currentAt.Add(o.d.cfg.CurrentBound)
}

func (o *owner) isCurrent(now time.Time) bool { return now.Before(o.currentUntil(now)) }

// majorityProof is the latest time at which a majority of the roster is
// known to have folded no more than this daemon. A change counts as
// accepted once a majority has folded it, so none accepted before that time
// is missing here.
func (o *owner) majorityCurrentAt(now time.Time) time.Time {
	if len(o.state.Daemons) == 0 {
		return time.Time{}
	}
	var seenAt []time.Time
	for id, d := range o.state.Daemons {
		p := o.peers[id]
		switch {
		case id == o.d.cfg.ID && d.Incarnation == o.d.incarnation:
			seenAt = append(seenAt, now)
		case p.OnRoster && p.Status.Applied <= o.state.Applied:
			seenAt = append(seenAt, p.Seen)
		}
	}
	majority := len(o.state.Daemons)/2 + 1
	if len(seenAt) < majority {
		return time.Time{}
	}
	slices.SortFunc(seenAt, func(a, b time.Time) int { return b.Compare(a) })
	return seenAt[majority-1]
}
