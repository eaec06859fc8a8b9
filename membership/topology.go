package membership

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Topology is the communication topology as one daemon sees it. It is immutable.
type Topology struct {
	// Size is the number of daemons, this daemon included. Known is the part of them that this daemon or
	// the relays of their zones know themselves, which is what it reports to others: if they reported what
	// others report, none would ever count less.
	Size, Known int
	// ZoneSize is the number of daemons in this daemon's zone, itself included.
	ZoneSize int
	// IsMesh reports whether there is a full mesh: every daemon sends heartbeats to every other
	// one, and there are no relays.
	IsMesh bool
	// IsRelay reports whether this daemon is a relay of its zone.
	IsRelay bool
	// LoadRelay is the relay of the zone whose load totals this daemon uses; it may be this daemon
	// itself. It is empty in a mesh.
	LoadRelay models.DaemonID
	// PlannerCandidates holds the daemons that are candidates for planner, in order of rank: all live
	// daemons in a mesh, otherwise the relays of all zones.
	PlannerCandidates []Daemon
	// Granters holds the daemons that grant permits for rate-limited instances, by availability
	// zone of the instances.
	Granters map[models.Zone]models.DaemonID
	// voteRelay is the relay that reports the granters of permits to this daemon, and that counts
	// this daemon's vote for granters of other zones. It may be this daemon itself, and is empty in
	// a mesh.
	voteRelay models.DaemonID
	// zoneKnown is the number of daemons in this daemon's zone that it knows itself.
	zoneKnown int
	// Links holds the daemons to which this daemon sends heartbeats.
	Links map[models.DaemonID]Link
}

// Link describes what one daemon sends to another.
type Link struct {
	// Frequent selects the short heartbeat interval, since the receiver relies on the heartbeats.
	Frequent bool
	// UsesRelay is set if this daemon uses the receiver as a relay. UsesLoads is set if it also uses
	// the receiver's load totals, and reports its own load to it.
	UsesRelay, UsesLoads bool
	// Forwards is set if this daemon forwards broadcasts to the receiver: the receiver is in the same
	// zone, and this daemon is a relay of the zone or used as one by the receiver.
	Forwards bool
	// SendsTotals is set if the receiver uses this daemon's load totals.
	SendsTotals bool
	// CrossZone is set if the receiver is in another zone, as a relay or as a daemon that uses this
	// daemon as one.
	CrossZone bool
}

// RelayedZoneSize returns the size of the zone that this daemon reports as its relay, 0 if it is
// none.
func (t *Topology) RelayedZoneSize() int {
	if !t.IsRelay {
		return 0
	}
	return t.zoneKnown
}

// Topology returns the current topology.
func (r *Roster) Topology(now time.Time) *Topology {
	t := &Topology{Size: r.clusterSize(), Known: r.knownSize(), ZoneSize: r.zoneSizes()[r.self.Zone], zoneKnown: r.knownByZone()[r.self.Zone], Links: map[models.DaemonID]Link{}}
	relays := map[models.Zone][]Daemon{}
	if t.IsMesh = t.Size <= r.policy.MaxMeshSize; t.IsMesh {
		r.linkAll(t)
	} else {
		relays = r.selectRelays(now)
		r.linkRelays(t, relays)
		r.linkSilent(t, relays, now)
	}
	r.isRelay = t.IsRelay
	slices.SortFunc(t.PlannerCandidates, func(x, y Daemon) int {
		if x.RanksBefore(y) {
			return -1
		}
		return 1
	})
	r.addGranters(t, relays)
	for id, m := range r.members {
		_, linked := t.Links[id]
		switch {
		case !linked:
			m.expectedSince = time.Time{}
		case m.expectedSince.IsZero() && now.After(m.skipUntil):
			m.expectedSince = now
		}
	}
	return t
}

// knownByZone returns the number of known daemons of each zone.
func (r *Roster) knownByZone() map[models.Zone]int {
	known := map[models.Zone]int{r.self.Zone: 1}
	for _, m := range r.members {
		known[m.Zone]++
	}
	return known
}

// zoneSizes returns the number of daemons of each zone: as many as are known, or as a relay of the
// zone reports. Only a relay knows the daemons of its zone that are not in the store's roster.
func (r *Roster) zoneSizes() map[models.Zone]int {
	sizes := r.knownByZone()
	for _, m := range r.members {
		if !m.lastHeartbeat.IsZero() {
			sizes[m.Zone] = max(sizes[m.Zone], m.ZoneSize)
		}
	}
	return sizes
}

// knownSize is the sum of the zones.
func (r *Roster) knownSize() int {
	size := 0
	for _, n := range r.zoneSizes() {
		size += n
	}
	return size
}

// clusterSize is the number of daemons: the sum of the zones, or, if that is greater, the size that
// a relay of this daemon's zone reports. Any other report only tells that the daemons form no mesh.
func (r *Roster) clusterSize() int {
	size := r.knownSize()
	for _, m := range r.members {
		switch {
		case m.lastHeartbeat.IsZero():
		case m.ZoneSize > 0 && m.Zone == r.self.Zone && !r.isRelay:
			size = max(size, m.Size)
		default:
			size = max(size, min(m.Size, r.policy.MaxMeshSize+1))
		}
	}
	return size
}

// linkAll links this daemon to all others.
func (r *Roster) linkAll(t *Topology) {
	t.PlannerCandidates = append(t.PlannerCandidates, r.self)
	for id, m := range r.members {
		t.Links[id] = Link{Frequent: true}
		if !m.lastHeartbeat.IsZero() {
			t.PlannerCandidates = append(t.PlannerCandidates, m.Daemon)
		}
	}
}

// selectRelays returns the relays of each zone: the highest-ranked of the daemons that are in the
// store's roster and not silent. If there are not enough, other live daemons follow, and then silent ones,
// first those that are not skipped. A daemon that is not in the roster is known to few others, so that it
// can't be a relay while others can.
func (r *Roster) selectRelays(now time.Time) map[models.Zone][]Daemon {
	const registered, live, silent, skipped = 0, 1, 2, 3
	classes := map[models.Zone]*[4][]Daemon{}
	add := func(d Daemon, class int) {
		if classes[d.Zone] == nil {
			classes[d.Zone] = &[4][]Daemon{}
		}
		classes[d.Zone][class] = append(classes[d.Zone][class], d)
	}
	for _, m := range r.members {
		switch {
		case now.Before(m.skipUntil):
			add(m.Daemon, skipped)
		case m.isSilent():
			add(m.Daemon, silent)
		case m.Registered:
			add(m.Daemon, registered)
		default:
			add(m.Daemon, live)
		}
	}
	if r.registered {
		add(r.self, registered)
	} else {
		add(r.self, live)
	}
	out := map[models.Zone][]Daemon{}
	for zone, daemons := range classes {
		for _, class := range daemons {
			out[zone] = append(out[zone], topRanked(class, r.policy.RelaysPerZone-len(out[zone]))...)
		}
	}
	return out
}

// topRanked returns the n highest-ranked daemons, in order of rank.
func topRanked(daemons []Daemon, n int) []Daemon {
	var out []Daemon
	for _, d := range daemons {
		at := len(out)
		for at > 0 && d.RanksBefore(out[at-1]) {
			at--
		}
		if at < n {
			out = slices.Insert(out, at, d)
			out = out[:min(n, len(out))]
		}
	}
	return out
}

// linkRelays links this daemon to the relays of its zone and to the daemons that use it as a relay.
// If it is a relay itself, it also links to its zone and to the relays of the other zones.
func (r *Roster) linkRelays(t *Topology, relays map[models.Zone][]Daemon) {
	own := relays[r.self.Zone]
	t.LoadRelay = own[0].ID
	for _, zoneRelays := range relays {
		t.PlannerCandidates = append(t.PlannerCandidates, zoneRelays...)
	}
	for _, d := range own {
		if d.ID == r.self.ID {
			t.IsRelay = true
			continue
		}
		t.Links[d.ID] = Link{UsesRelay: true, UsesLoads: d.ID == t.LoadRelay}
	}
	for id, m := range r.members {
		own := m.Zone == r.self.Zone
		if !m.UsesRelay && (!own || !t.IsRelay) {
			continue
		}
		link := t.Links[id]
		link.Frequent, link.Forwards, link.CrossZone, link.SendsTotals = true, own, !own, m.UsesLoads
		t.Links[id] = link
	}
	if !t.IsRelay {
		return
	}
	for zone, zoneRelays := range relays {
		if zone == r.self.Zone {
			continue
		}
		for _, d := range zoneRelays {
			t.Links[d.ID] = Link{Frequent: true, UsesRelay: true, CrossZone: true}
		}
	}
}

// linkSilent links this daemon to silent ones that would be its relays if they sent heartbeats, besides the
// relays that it has: those that it does not link would else not be found again. Others are silent because
// nobody relies on them. Of each zone it links the highest-ranked that are not skipped, as many as a daemon
// needs to know there (MinRegistered), so that the links do not grow with the number of dead daemons.
func (r *Roster) linkSilent(t *Topology, relays map[models.Zone][]Daemon, now time.Time) {
	silent := map[models.Zone][]Daemon{}
	for id, m := range r.members {
		_, linked := t.Links[id]
		if !linked && m.isSilent() && !now.Before(m.skipUntil) && (m.Zone == r.self.Zone || t.IsRelay) && r.wouldRelay(m, relays[m.Zone]) {
			silent[m.Zone] = append(silent[m.Zone], m.Daemon)
		}
	}
	for zone, daemons := range silent {
		own := zone == r.self.Zone
		for _, d := range topRanked(daemons, r.policy.MinRegistered) {
			t.Links[d.ID] = Link{Frequent: !own, UsesRelay: true, CrossZone: !own}
		}
	}
}

// wouldRelay reports whether a daemon would replace one of the relays of its zone if it were not silent.
func (r *Roster) wouldRelay(m *member, relays []Daemon) bool {
	return m.Registered && slices.ContainsFunc(relays, func(d Daemon) bool {
		other := r.members[d.ID]
		registered := (other != nil && other.Registered) || (d.ID == r.self.ID && r.registered)
		return !registered || m.RanksBefore(d)
	})
}
