package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// One daemon, the granter, grants the permits for all rate-limited instances of an availability
// zone. There is no election: each daemon asks the daemon that it considers the granter, and votes
// for it in its heartbeats. While daemons disagree, two of them may grant permits for the same
// zone, so the share that a daemon grants depends on the number of its votes.

// otherZones denotes all zones of instances that have no daemons.
const otherZones models.Zone = ""

// Granter returns the daemon that grants permits for the instances of a zone, empty if none is
// known.
func (t *Topology) Granter(zone models.Zone) models.DaemonID {
	if id, known := t.Granters[zone]; known {
		return id
	}
	return t.Granters[otherZones]
}

// ShareOf returns the share for the instances of a zone.
func (t *Topology) ShareOf(shares map[models.Zone]float64, zone models.Zone) float64 {
	if _, known := t.Granters[zone]; known {
		return shares[zone]
	}
	return shares[otherZones]
}

// addGranters determines the granters. In a mesh, the granter of a zone is its highest-ranked live
// daemon; with relays, its highest-ranked live relay. Only relays receive heartbeats from relays of
// other zones. They pass the granters on to the daemons that use them as relays.
func (r *Roster) addGranters(t *Topology, relays map[models.Zone][]Daemon) {
	t.Granters = map[models.Zone]models.DaemonID{}
	t.voteRelay, _ = r.firstLive(relays[r.self.Zone])
	switch {
	case t.IsMesh:
		for _, d := range t.PlannerCandidates {
			// PlannerCandidates is in order of rank.
			if _, known := t.Granters[d.Zone]; !known {
				t.Granters[d.Zone] = d.ID
			}
		}
	case t.voteRelay == r.self.ID:
		for zone, zoneRelays := range relays {
			if id, live := r.firstLive(zoneRelays); live {
				t.Granters[zone] = id
			}
		}
	case t.voteRelay != "":
		maps.Copy(t.Granters, r.members[t.voteRelay].Granters)
		t.Granters[r.self.Zone] = t.voteRelay
	}
	delete(t.Granters, otherZones)
	if len(t.Granters) == 0 {
		return
	}
	// Zones without live daemons get an entry too. Otherwise, a daemon that others ask for permits
	// of such a zone would be taken for the granter of all zones without daemons.
	fallback := t.Granters[slices.Min(slices.Collect(maps.Keys(t.Granters)))]
	t.Granters[otherZones] = fallback
	for _, m := range r.members {
		if _, known := t.Granters[m.Zone]; !known {
			t.Granters[m.Zone] = fallback
		}
	}
}

// firstLive returns the first of the daemons that is live or is this daemon.
func (r *Roster) firstLive(daemons []Daemon) (models.DaemonID, bool) {
	at := slices.IndexFunc(daemons, func(d Daemon) bool {
		m := r.members[d.ID]
		return d.ID == r.self.ID || (m != nil && !m.lastHeartbeat.IsZero())
	})
	if at < 0 {
		return "", false
	}
	return daemons[at].ID, true
}

const (
	// A vote in a heartbeat is valid for voteLifetimeIntervals heartbeat intervals of its sender,
	// but at least for minVoteLifetime: a daemon that votes for another granter from now on need
	// not withdraw its vote.
	minVoteLifetime       = 1200 * time.Millisecond
	voteLifetimeIntervals = 1.5
)

// voteValid reports whether the vote in the member's last heartbeat is still valid.
func (m *member) voteValid(now time.Time) bool {
	lifetime := max(minVoteLifetime, time.Duration(voteLifetimeIntervals*float64(m.Interval)))
	return !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) <= lifetime
}

// Votes returns the number of votes that this daemon has for another daemon as a granter, by zone
// of the instances. With relays, one relay of each zone also casts the votes of the daemons of its
// zone that ask it.
func (r *Roster) Votes(t *Topology, to models.DaemonID) map[models.Zone]int {
	weight := 1
	switch {
	case t.IsMesh || to == t.voteRelay:
	case t.voteRelay == r.self.ID:
		for _, m := range r.members {
			if !m.lastHeartbeat.IsZero() && m.Zone == r.self.Zone && m.Votes[m.Zone] > 0 {
				weight++
			}
		}
	default:
		return nil
	}
	votes := map[models.Zone]int{}
	for zone, id := range t.Granters {
		if id == to {
			votes[zone] = weight
		}
	}
	return votes
}

// Shares returns the fraction of the rates that this daemon may grant for the instances of each
// zone that it is the granter of: all of them if it has the votes of more than half of the daemons.
// With fewer votes, it grants half of the fraction of its votes, since the others may vote for a
// daemon whose heartbeats this one does not receive. All granters together never grant more than
// 1.25 times a rate.
func (r *Roster) Shares(t *Topology, now time.Time) map[models.Zone]float64 {
	total := r.clusterSize()
	for _, m := range r.members {
		// Sizes reported by daemons that are silent now count too.
		total = max(total, m.Size)
	}
	shares := map[models.Zone]float64{}
	for zone, id := range t.Granters {
		if id != r.self.ID {
			continue
		}
		votes := 1
		for _, m := range r.members {
			if m.voteValid(now) {
				votes += m.Votes[zone]
			}
		}
		shares[zone] = 1
		if fraction := float64(votes) / float64(total); fraction <= 0.5 {
			shares[zone] = fraction / 2
		}
	}
	return shares
}
