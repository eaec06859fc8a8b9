package cluster

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/membership"
)

const (
	// maxCandidates is how many daemons may ask the store for the planner's lease: enough that some
	// survive any failure, and few because each one costs calls to the store.
	maxCandidates = 9
	// enoughStronger is the number of daemons with more processor power above which a weaker one
	// leaves the lease to them.
	enoughStronger = 3
	// electionTimeout is the time without a planner after which the first-ranked daemon asks for
	// the lease. It is updateTimeout, within which three or four updates arrive.
	// weakElectionTimeout applies to daemons that have enoughStronger stronger peers: such a
	// planner gives up as soon as it knows of them, and each change costs half a second without a
	// planner. It exceeds two leases.
	electionTimeout     = updateTimeout
	weakElectionTimeout = 2500 * time.Millisecond
	// electionStagger is added to the timeout for each daemon ranked ahead, because the store
	// reassigns the lease whenever somebody besides its holder asks for it. It covers the
	// candidacyCheckInterval until a daemon asks, and some 30 ms until all know the new planner.
	electionStagger = 200 * time.Millisecond
	// candidacyCheckInterval is how often a daemon outside the lease group checks whether it should
	// ask for the lease.
	candidacyCheckInterval = 50 * time.Millisecond
	// ineligibleCheckInterval is candidacyCheckInterval for a daemon that may not become planner now.
	ineligibleCheckInterval = 250 * time.Millisecond
	// plannerDiscoveryTimeout is how long a starting daemon waits for the planner's updates if
	// other daemons know of a planner. Links to a daemon that was down are redialed within
	// maxRedialBackoff.
	plannerDiscoveryTimeout = maxRedialBackoff + 100*time.Millisecond
	// rankSettleTime is the uptime after which a daemon has received heartbeats of all others, and
	// so knows its rank.
	rankSettleTime = 2 * relayHeartbeatInterval
)

// isEligible reports whether this node may become planner.
func (o *owner) isEligible() bool {
	ahead, _, eligible := o.rank()
	return eligible && ahead < maxCandidates
}

// isCandidate reports whether this node should ask the store for the planner's lease, or keep
// renewing it. No other daemon asks while there is a planner: with standbys in the lease group,
// each restart of one made the store reassign the lease, and the planner changed seven times in
// 34 s while daemons restarted, and twice while none did.
func (o *owner) isCandidate(now time.Time) bool {
	impaired := o.n.paths.partitioned() || o.n.overloaded.Load()
	if o.n.resigned.Load() || (impaired && o.hasBetterCandidate()) {
		return false
	}
	ahead, stronger, eligible := o.rank()
	silence := o.plannerSilence(now)
	switch {
	case o.fleet.planners != nil:
		return eligible && stronger < enoughStronger
	case !eligible, ahead >= maxCandidates, o.isSettling(now, silence):
		return false
	case stronger >= enoughStronger:
		return silence >= weakElectionTimeout+time.Duration(ahead)*electionStagger
	case o.peers.plannerSeenAt.IsZero() && o.peers.term == 0:
		// All daemons have just started.
		return o.discoverySilence(now) >= peerDiscoveryDelay+time.Duration(ahead)*electionStagger
	default:
		return silence >= electionTimeout+time.Duration(ahead)*electionStagger
	}
}

// hasBetterCandidate reports whether another daemon that may become planner reaches the instances
// and is not overloaded.
func (o *owner) hasBetterCandidate() bool {
	return slices.ContainsFunc(o.peers.topology.PlannerCandidates, func(d membership.Daemon) bool {
		p, alive := o.peers.seen[d.ID]
		return alive && !p.heartbeat.isImpaired()
	})
}

// discoverySilence returns, at the first start of all daemons, how long this node has known of no
// planner and, unless the topology is a mesh, discovered no further daemon. The store takes the
// roster entries of hundreds of daemons one by one. While they arrive, each daemon regards another
// one as first-ranked: without this wait three of them became planner in succession.
func (o *owner) discoverySilence(now time.Time) time.Duration {
	if o.peers.topology.IsMesh {
		return o.plannerSilence(now)
	}
	return min(o.plannerSilence(now), now.Sub(o.peers.lastJoinAt))
}

// isSettling reports whether this node has not run long enough to ask for the lease although other
// daemons know of a planner: its updates may not have arrived yet, or they arrive and this node
// does not know its own rank.
func (o *owner) isSettling(now time.Time, silence time.Duration) bool {
	if o.peers.term == 0 {
		return false
	}
	uptime := o.uptime(now)
	return uptime < plannerDiscoveryTimeout || (uptime < rankSettleTime && silence < electionTimeout)
}

// uptime returns how long this node has run.
func (o *owner) uptime(now time.Time) time.Duration {
	return now.Sub(o.n.startedAt)
}

// plannerSilence returns how long there has been no sign of a planner.
func (o *owner) plannerSilence(now time.Time) time.Duration {
	switch {
	case o.fleet.planners != nil:
		return 0
	case o.peers.plannerSeenAt.IsZero():
		return o.uptime(now)
	default:
		return now.Sub(o.peers.plannerSeenAt)
	}
}

// rank returns how many eligible daemons are ranked ahead of this one, and how many have more
// processor power. Unless the topology is a mesh, only relays are eligible: they are linked to each
// other, and updates reach everyone through them.
func (o *owner) rank() (ahead, stronger int, eligible bool) {
	self := membership.Daemon{ID: o.n.cfg.ID, Zone: o.n.cfg.Zone, CPUCores: o.n.cfg.CPUCores}
	for _, d := range o.peers.topology.PlannerCandidates {
		if d.ID == self.ID {
			eligible = true
			continue
		}
		if d.RanksBefore(self) {
			ahead++
		}
		if d.CPUCores > self.CPUCores {
			stronger++
		}
	}
	return ahead, stronger, eligible
}
