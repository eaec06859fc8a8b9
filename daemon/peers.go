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
	peerBound = 3 * time.Second
	// sparsePeerBound is the same where daemons hear of most others through
	// third ones.
	sparsePeerBound = 12 * time.Second
	// sparseBeat is which of the heartbeats, one in so many, is sent there.
	sparseBeat = 4
	// maxVouches is of how many silent instances others are asked.
	maxVouches = 64
	// maxRelayed is how many records one answer carries at most.
	maxRelayed = 256
	// logQuiet is the age of the last proof from the log beyond which a
	// daemon asks others for records.
	logQuiet = 1500 * time.Millisecond
)

// beat sends heartbeats to the daemons that the owner names.
func (d *Daemon) beat() func(context.Context) error {
	ticks := d.clock.Subscribe(d.cfg.HeartbeatEvery)
	slow := d.clock.Subscribe(sparseBeat * d.cfg.HeartbeatEvery)
	beats := make(chan timer.Tick, 1)
	p := probe.Prober[netip.AddrPort, struct{}, peer.Answer]{
		Ticks:   beats,
		Targets: d.peerAddrs,
		Ask: func(ctx context.Context, addr netip.AddrPort, _ struct{}) (peer.Answer, error) {
			return d.peers.Exchange(ctx, addr, d.heartbeat(time.Now()))
		},
		Deliver: func(ctx context.Context, r probe.Result[netip.AddrPort, struct{}, peer.Answer]) {
			d.deliverAnswer(ctx, r.Key, r.Asked, r.Answer, r.Err)
		},
	}
	return func(ctx context.Context) error {
		chooser := task.Start(ctx, "heartbeat-pace", func(ctx context.Context) error { return d.pace(ctx, ticks, slow, beats) })
		return errors.Join(p.Run(ctx), task.Wait(chooser))
	}
}

// pace passes the fast ticks on while there are few daemons and the slow ones
// when there are many.
func (d *Daemon) pace(ctx context.Context, fast, slow <-chan timer.Tick, beats chan<- timer.Tick) error {
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
		case beats <- tick:
		default:
		}
	}
}

func (d *Daemon) deliverAnswer(ctx context.Context, addr netip.AddrPort, asked time.Time, answer peer.Answer, err error) {
	if err != nil {
		types.Send(ctx, d.inbox, types.PeerSilent{Addr: addr, Err: err})
		return
	}
	// What comes with the status is folded first, so that the status finds
	// the state that it speaks of.
	if len(answer.State) > 0 {
		types.Send(ctx, d.inbox, types.PeerState{From: answer.Status.ID, State: answer.State})
	}
	if len(answer.Records) > 0 {
		types.Send(ctx, d.inbox, types.PeerRecords{From: answer.Status.ID, Entries: answer.Records})
	}
	types.Send(ctx, d.inbox, types.PeerSeen{Asked: asked, Peer: answer.Status})
	if len(answer.Vouches) > 0 {
		types.Send(ctx, d.inbox, types.PeerVouched{Asked: asked, Vouches: answer.Vouches})
	}
	for _, h := range answer.Heard {
		types.Send(ctx, d.inbox, types.PeerSeen{Asked: asked.Add(-h.Age), Peer: h.Status})
	}
}

func (d *Daemon) heartbeat(now time.Time) peer.Heartbeat {
	v := d.View()
	return peer.Heartbeat{
		From: d.ownStatus(v, now), After: v.State.Applied,
		Silent:      v.silent,
		WantRecords: v.LogError != nil || now.Sub(v.LogProof) > logQuiet,
	}
}

// Status is what the daemon tells of itself.
func (d *Daemon) Status(now time.Time) types.PeerStatus { return d.ownStatus(d.View(), now) }

func (d *Daemon) ownStatus(v *View, now time.Time) types.PeerStatus {
	age := time.Duration(-1)
	if !v.LogProof.IsZero() {
		age = now.Sub(v.LogProof)
	}
	return types.PeerStatus{
		ID: d.cfg.ID, Incarnation: d.incarnation, Zone: d.cfg.Zone, Addr: d.peerAddr,
		Applied: v.State.Applied, Config: v.State.ConfigOffset, LogAge: age, Serving: v.Current(now),
	}
}

// Answer answers another daemon's heartbeat.
func (d *Daemon) Answer(beat peer.Heartbeat) peer.Answer {
	now := time.Now()
	v := d.View()
	answer := peer.Answer{Status: d.ownStatus(v, now)}
	if sparse(v) {
		answer.Heard = d.heardOfOthers(v, beat.From.ID, now)
	}
	for _, id := range beat.Silent[:min(len(beat.Silent), maxVouches)] {
		e, watched := v.Evidence[id]
		if age := now.Sub(e.LastReply); watched && e.UnansweredSince.IsZero() && age < d.cfg.GateBound {
			answer.Vouches = append(answer.Vouches, types.Vouch{Age: age, Status: e.Status})
		}
	}
	if beat.WantRecords && v.State.Applied > beat.After {
		d.relay(v, beat.After, &answer)
	}
	return answer
}

// maxHeard is of how many third daemons an answer tells. The answers go round
// all daemons, so that each is told of sooner or later.
const maxHeard = 24

func (d *Daemon) heardOfOthers(v *View, asker models.DaemonID, now time.Time) []peer.Heard {
	var out []peer.Heard
	first := int(d.answers.Add(1)) * maxHeard
	for i := range min(maxHeard, len(v.Peers)) {
		p := v.Peers[(first+i)%len(v.Peers)]
		if age := now.Sub(p.Seen); age < sparsePeerBound && p.Status.ID != asker {
			out = append(out, peer.Heard{Status: p.Status, Age: age})
		}
	}
	return out
}

// relay adds the records after the offset, or the whole state if those are
// not at hand.
func (d *Daemon) relay(v *View, after models.Offset, answer *peer.Answer) {
	at, found := slices.BinarySearchFunc(v.recent, after+1, func(e types.Entry, o models.Offset) int {
		return int(int64(e.Offset) - int64(o))
	})
	if !found {
		answer.State = d.wholeState()
		return
	}
	answer.Records = v.recent[at:min(len(v.recent), at+maxRelayed)]
	d.stats.relayed.Add(len(answer.Records))
}

// stateWithin bounds how long a heartbeat waits for the whole state.
const stateWithin = 500 * time.Millisecond

// wholeState asks the owner for the whole state; nil if it is too busy.
func (d *Daemon) wholeState() []byte {
	late := time.NewTimer(stateWithin)
	defer late.Stop()
	reply := make(chan []byte, 1)
	select {
	case d.states <- reply:
		return <-reply
	case <-late.C:
		return nil
	}
}

func (o *owner) handlePeerSeen(msg types.PeerSeen) {
	s := msg.Peer
	if s.ID == o.d.cfg.ID {
		return
	}
	known, heard := o.peers[s.ID]
	if heard && (msg.Asked.Before(known.Seen) || s.Incarnation < known.Status.Incarnation) {
		return
	}
	o.changed = o.changed || known.Status.Applied != s.Applied
	o.peers[s.ID] = Peer{Status: s, Seen: msg.Asked, OnRoster: o.onRoster(s)}
	if !heard {
		o.retargetPeers()
	}
}

func (o *owner) onRoster(s types.PeerStatus) bool {
	d, listed := o.state.Daemons[s.ID]
	return listed && d.Incarnation == s.Incarnation
}

func (o *owner) markPeers() {
	for id, p := range o.peers {
		p.OnRoster = o.onRoster(p.Status)
		o.peers[id] = p
		if _, listed := o.state.Daemons[id]; !listed && time.Since(p.Seen) > daemonGone {
			delete(o.peers, id)
		}
	}
}

// fullMesh is up to how many daemons each sends heartbeats to all others.
const fullMesh = 12

func sparse(v *View) bool { return len(v.State.Daemons) > fullMesh }

// bound is the age beyond which a daemon counts as silent.
func (v *View) bound() time.Duration {
	if sparse(v) {
		return sparsePeerBound
	}
	return peerBound
}

// retargetPeers chooses whom to send heartbeats to: everybody while there
// are few; else those at distances 1, 4, 16, ... in an order that all
// daemons compute alike, so that news reaches everybody in few steps. The
// addresses from the settings are asked until their daemons are known.
func (o *owner) retargetPeers() {
	targets := map[netip.AddrPort]struct{}{}
	ids := make([]models.DaemonID, 0, len(o.state.Daemons))
	for id := range o.state.Daemons {
		ids = append(ids, id)
	}
	for _, id := range neighbours(o.d.cfg.ID, ids) {
		targets[o.state.Daemons[id].Peer] = struct{}{}
	}
	if len(ids) <= fullMesh {
		for _, addr := range o.d.cfg.Peers {
			targets[addr] = struct{}{}
		}
	}
	delete(targets, o.d.peerAddr)
	sendTargets(o.d.peerAddrs, &o.peerAddrs, targets)
}

const ringFactor = 4

func neighbours(self models.DaemonID, all []models.DaemonID) []models.DaemonID {
	others := slices.DeleteFunc(slices.Clone(all), func(d models.DaemonID) bool { return d == self })
	if len(others) < fullMesh {
		return others
	}
	ring := planner.RendezvousOrder(append(others, self), "heartbeats")
	at := slices.Index(ring, self)
	var out []models.DaemonID
	for step := 1; step < len(ring); step *= ringFactor {
		out = append(out, ring[(at+step)%len(ring)])
	}
	return out
}

// rank is this daemon's place in the order of turn among those that it has
// heard of lately.
func (o *owner) rank(key string, now time.Time) int {
	bound := peerBound
	if len(o.state.Daemons) > fullMesh {
		bound = sparsePeerBound
	}
	var alive []models.DaemonID
	for id, p := range o.peers {
		if p.OnRoster && now.Sub(p.Seen) < bound && p.Status.Serving {
			alive = append(alive, id)
		}
	}
	return planner.RendezvousRank(o.d.cfg.ID, alive, key)
}

// currentUntil is how long the state may be taken for current: a bounded
// time from the last proof, by the log or by a majority of the roster.
func (o *owner) currentUntil(now time.Time) time.Time {
	proof := o.logProof
	if m := o.majorityProof(now); m.After(proof) {
		proof = m
	}
	if proof.IsZero() {
		return time.Time{}
	}
	return proof.Add(o.d.cfg.CurrentBound)
}

func (o *owner) isCurrent(now time.Time) bool { return now.Before(o.currentUntil(now)) }

// majorityProof is the latest time at which a majority of the roster is
// known to have folded no more than this daemon. A change counts as
// accepted once a majority has folded it, so none accepted before that time
// is missing here.
func (o *owner) majorityProof(now time.Time) time.Time {
	if len(o.state.Daemons) == 0 {
		return time.Time{}
	}
	var times []time.Time
	for id, d := range o.state.Daemons {
		p := o.peers[id]
		switch {
		case id == o.d.cfg.ID && d.Incarnation == o.d.incarnation:
			times = append(times, now)
		case p.OnRoster && p.Status.Applied <= o.state.Applied:
			times = append(times, p.Seen)
		}
	}
	majority := len(o.state.Daemons)/2 + 1
	if len(times) < majority {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[majority-1]
}
