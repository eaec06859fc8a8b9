package cluster

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// tunnelPeer is a daemon that tunnels to instances may go through.
type tunnelPeer struct {
	addr netip.AddrPort
	// near is set if it is in this daemon's zone, alive if it sends this daemon heartbeats.
	near, alive bool
}

// updateTunnelPeers updates the daemons that tunnels may go through: those that are alive and neither
// partitioned themselves nor overloaded. Unless the topology is a mesh, only few daemons send heartbeats, perhaps
// only those of a zone that is partitioned as a whole, and all others in the roster count too.
func (o *owner) updateTunnelPeers() {
	var peers []tunnelPeer
	for id, at := range o.peers.addrs {
		p, alive := o.peers.seen[id]
		if alive && p.heartbeat.isImpaired() || !alive && o.peers.topology.IsMesh {
			continue
		}
		peers = append(peers, tunnelPeer{at.addr, at.zone == o.n.cfg.Zone, alive})
	}
	o.n.tunnelPeers.Store(&peers)
}

// pickTunnelPeers picks daemons to try for a tunnel: one of this zone that is alive, then others at
// random, those that are alive first. A zone may be partitioned as a whole.
func (p *paths) pickTunnelPeers() []tunnelPeer {
	peers := slices.Clone(*p.n.tunnelPeers.Load())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b tunnelPeer) int { return a.order() - b.order() })
	if at := slices.IndexFunc(peers, func(peer tunnelPeer) bool { return peer.near && peer.alive }); at >= 0 {
		near := peers[at]
		peers = slices.Insert(slices.Delete(peers, at, at+1), 0, near)
	}
	return peers[:min(len(peers), maxTunnelPeers)]
}

// order is the place of a daemon among those to try: other zones come first.
func (t tunnelPeer) order() int {
	switch {
	case t.alive && !t.near:
		return 0
	case t.alive:
		return 1
	case !t.near:
		return 2
	default:
		return 3
	}
}
