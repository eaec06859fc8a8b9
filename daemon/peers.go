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
	// meshPeerTimeout is the age of a status beyond which a daemon counts as silent when ranks
	// are computed.
	meshPeerTimeout = 3 * time.Second
	// sparsePeerTimeout is the same limit for sparse heartbeats, where daemons learn of most
	// others indirectly.
	sparsePeerTimeout = 12 * time.Second
	// sparseHeartbeatFactor is the multiple of the heartbeat interval at which sparse heartbeats
	// are sent.
	sparseHeartbeatFactor = 4
	// maxObservations is the maximum number of silent instances about which other daemons are
	// asked.
	maxObservations = 64
	// maxRelayed is the maximum number of records in one response.
	maxRelayed = 256
	// logStaleAfter is the age of the last confirmation by the log beyond which a daemon asks
	// others for records.
	logStaleAfter = 1500 * time.Millisecond
)

// heartbeatSender returns a function that sends heartbeats to the daemons that the owner selects.
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

// selectTicks forwards the fast ticks in a full mesh, and the slow ticks when heartbeats are
// sparse.
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
	// Records and snapshot are sent to the owner first: when it handles the status, its state is
	// then as recent as the status.
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

// Status returns this daemon's own status.
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

// HandleHeartbeat returns the response to another daemon's heartbeat.
func (d *Daemon) HandleHeartbeat(heartbeat peer.Heartbeat) peer.Response {
	now := time.Now()
	v := d.View()
	resp := peer.Response{Status: d.ownStatus(v, now)}
	if sparse(v) {
		resp.Gossip = d.gossip(v, heartbeat.From.ID, now)
	}
	for _, id := range heartbeat.Silent[:min(len(heartbeat.Silent), maxObservations)] {
		e, watched := v.Evidence[id]
		if age := now.Sub(e.LastReply); watched && e.UnansweredSince.IsZero() && age < d.cfg.GateBound {
			resp.Observations = append(resp.Observations, types.Observation{Age: age, Status: e.Status})
		}
	}
	if heartbeat.WantRecords && v.State.Applied > heartbeat.After {
		d.relay(v, heartbeat.After, &resp)
	}
	return resp
}

// maxGossip is the maximum number of other daemons reported in one response. Consecutive
// responses rotate through all daemons, so that each is reported eventually.
const maxGossip = 24

func (d *Daemon) gossip(v *View, receiver models.DaemonID, now time.Time) []peer.GossipEntry {
	var out []peer.GossipEntry
	first := int(d.responseCount.Add(1)) * maxGossip
	for i := range min(maxGossip, len(v.Peers)) {
		p := v.Peers[(first+i)%len(v.Peers)]
		if age := now.Sub(p.LastSeen); age < sparsePeerTimeout && p.Status.ID != receiver {
			out = append(out, peer.GossipEntry{Status: p.Status, Age: age})
		}
	}
	return out
}

// relay adds the records after the offset to the response, or a snapshot if the records are no
// longer kept.
func (d *Daemon) relay(v *View, after models.Offset, resp *peer.Response) {
	start, found := slices.BinarySearchFunc(v.recentRecords, after+1, func(e types.Entry, o models.Offset) int {
		return int(int64(e.Offset) - int64(o))
	})
	if !found {
		resp.Snapshot = d.requestSnapshot()
		return
	}
	resp.Records = v.recentRecords[start:min(len(v.recentRecords), start+maxRelayed)]
	d.stats.relayed.Add(len(resp.Records))
}

// snapshotTimeout bounds how long a heartbeat response waits for a snapshot.
const snapshotTimeout = 500 * time.Millisecond

// requestSnapshot asks the owner for a snapshot; nil if the owner is too busy.
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
	known, found := o.peers[s.ID]
	if found && (msg.SentAt.Before(known.LastSeen) || s.Incarnation < known.Status.Incarnation) {
		return
	}
	o.needsPublish = o.needsPublish || known.Status.Applied != s.Applied
	o.peers[s.ID] = Peer{Status: s, LastSeen: msg.SentAt, OnRoster: o.onRoster(s)}
	if !found {
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
		if _, listed := o.state.Daemons[id]; !listed && time.Since(p.LastSeen) > removeSilentAfter {
			delete(o.peers, id)
		}
	}
}

// maxFullMesh is the number of daemons up to which each sends heartbeats to all others.
const maxFullMesh = 12

func sparse(v *View) bool { return len(v.State.Daemons) > maxFullMesh }

// peerTimeout returns the age of a status beyond which a daemon counts as silent.
func (v *View) peerTimeout() time.Duration {
	if sparse(v) {
		return sparsePeerTimeout
	}
	return meshPeerTimeout
}

// updatePeerTargets selects the recipients of heartbeats. Up to maxFullMesh daemons, that is
// everybody. With more, it is the daemons at distances 1, 4, 16, ... on a ring that all daemons
// compute alike, so that gossip reaches everybody in few hops. The configured addresses are
// included until the roster exceeds maxFullMesh, because their daemons may not be known yet.
func (o *owner) updatePeerTargets() {
	targets := map[netip.AddrPort]struct{}{}
	ids := make([]models.DaemonID, 0, len(o.state.Daemons))
	for id := range o.state.Daemons {
		ids = append(ids, id)
	}
	for _, id := range heartbeatTargets(o.d.cfg.ID, ids) {
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

func heartbeatTargets(self models.DaemonID, all []models.DaemonID) []models.DaemonID {
	others := slices.DeleteFunc(slices.Clone(all), func(d models.DaemonID) bool { return d == self })
	if len(others) < maxFullMesh {
		return others
	}
	ring := planner.RendezvousOrder(append(others, self), "heartbeats")
	at := slices.Index(ring, self)
	var out []models.DaemonID
	for distance := 1; distance < len(ring); distance *= ringStepFactor {
		out = append(out, ring[(at+distance)%len(ring)])
	}
	return out
}

// rank returns this daemon's rendezvous rank for the key among the daemons seen recently.
func (o *owner) rank(key string, now time.Time) int {
	timeout := meshPeerTimeout
	if len(o.state.Daemons) > maxFullMesh {
		timeout = sparsePeerTimeout
	}
	var serving []models.DaemonID
	for id, p := range o.peers {
		if p.OnRoster && now.Sub(p.LastSeen) < timeout && p.Status.Serving {
			serving = append(serving, id)
		}
	}
	return planner.RendezvousRank(o.d.cfg.ID, serving, key)
}

// currentUntil returns until when the state counts as current: a bounded time after it was last
// confirmed by the log or by a majority of the roster.
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

// majorityCurrentAt returns the latest time at which a majority of the roster is known to have
// applied no more than this daemon. A change counts as accepted once a majority has applied it,
// so this daemon has every change accepted before that time.
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
			seenAt = append(seenAt, p.LastSeen)
		}
	}
	majority := len(o.state.Daemons)/2 + 1
	if len(seenAt) < majority {
		return time.Time{}
	}
	slices.SortFunc(seenAt, func(a, b time.Time) int { return b.Compare(a) })
	return seenAt[majority-1]
}
