package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// One daemon grants the permits for all instances of an availability zone that bound how
// many requests they get. Nobody appoints it: each daemon asks the one that it takes for
// the granter, and tells it so in its heartbeats. Two daemons may grant for the same zone
// while others disagree, so each grants only a share, by how many ask it.

// elsewhere stands for the zones of instances that have no daemons.
const elsewhere models.Zone = ""

// Granter is the daemon that grants permits for the instances of a zone, empty if none is
// known.
func (a *Arrangement) Granter(zone models.Zone) models.DaemonID {
	if id, known := a.Granters[zone]; known {
		return id
	}
	return a.Granters[elsewhere]
}

// ShareOf is what shares hold for the instances of a zone.
func (a *Arrangement) ShareOf(shares map[models.Zone]float64, zone models.Zone) float64 {
	if _, known := a.Granters[zone]; known {
		return shares[zone]
	}
	return shares[elsewhere]
}

// addGranters finds who grants permits. In a mesh that is the first daemon of each zone that
// is heard; with relays, the first relay of each zone that is. Only relays hear relays of
// other zones, and tell those who rely on them.
func (r *Roster) addGranters(a *Arrangement, relays map[models.Zone][]Daemon) {
	a.Granters = map[models.Zone]models.DaemonID{}
	a.speaker, _ = r.firstHeard(relays[r.self.Zone])
	switch {
	case a.Mesh:
		for _, d := range a.Planners {
			// Planners are in their standing.
			if _, known := a.Granters[d.Zone]; !known {
				a.Granters[d.Zone] = d.ID
			}
		}
	case a.speaker == r.self.ID:
		for zone, of := range relays {
			if id, heard := r.firstHeard(of); heard {
				a.Granters[zone] = id
			}
		}
	case a.speaker != "":
		maps.Copy(a.Granters, r.known[a.speaker].Granters)
		a.Granters[r.self.Zone] = a.speaker
	}
	delete(a.Granters, elsewhere)
	if len(a.Granters) == 0 {
		return
	}
	// Zones of which no daemon is heard are named too: a daemon that others ask for them
	// must not be taken for one that all ask.
	first := a.Granters[slices.Min(slices.Collect(maps.Keys(a.Granters)))]
	a.Granters[elsewhere] = first
	for _, m := range r.known {
		if _, known := a.Granters[m.Zone]; !known {
			a.Granters[m.Zone] = first
		}
	}
}

// firstHeard returns the first of some daemons that is heard, or is this one.
func (r *Roster) firstHeard(of []Daemon) (models.DaemonID, bool) {
	at := slices.IndexFunc(of, func(d Daemon) bool {
		m := r.known[d.ID]
		return d.ID == r.self.ID || (m != nil && !m.heard.IsZero())
	})
	if at < 0 {
		return "", false
	}
	return of[at].ID, true
}

const (
	// leastVote is for how long at least a heartbeat's word of whom its sender asks for
	// permits holds, voteBeats for how many of its heartbeats: one that asks another
	// daemon from now on need not tell this one.
	leastVote = 1200 * time.Millisecond
	voteBeats = 1.5
)

// votes reports whether the member's word of whom it asks for permits still holds.
func (m *member) votes(now time.Time) bool {
	holds := max(leastVote, time.Duration(voteBeats*float64(m.Every)))
	return !m.heard.IsZero() && now.Sub(m.heard) <= holds
}

// Votes is for how many daemons this one asks another one for permits, by zone of the
// instances. Where there are relays one of each zone speaks for those that ask it.
func (r *Roster) Votes(a *Arrangement, to models.DaemonID) map[models.Zone]int {
	weight := 1
	switch {
	case a.Mesh || to == a.speaker:
	case a.speaker == r.self.ID:
		for _, m := range r.known {
			if !m.heard.IsZero() && m.Zone == r.self.Zone && m.Grants[m.Zone] > 0 {
				weight++
			}
		}
	default:
		return nil
	}
	votes := map[models.Zone]int{}
	for zone, id := range a.Granters {
		if id == to {
			votes[zone] = weight
		}
	}
	return votes
}

// Shares is the part of the rates of a zone's instances that this daemon may grant, for the
// zones that it grants permits for: all if more than half of the daemons ask it. Others may
// ask one that it does not hear, so with fewer it grants half of their part, and all granters
// together never more than one and a quarter of a rate.
func (r *Roster) Shares(a *Arrangement, now time.Time) map[models.Zone]float64 {
	all := len(r.known) + 1
	for _, m := range r.known {
		// Also by the word of those that are not heard any more.
		all = max(all, m.Size)
	}
	shares := map[models.Zone]float64{}
	for zone, id := range a.Granters {
		if id != r.self.ID {
			continue
		}
		votes := 1
		for _, m := range r.known {
			if m.votes(now) {
				votes += m.Grants[zone]
			}
		}
		shares[zone] = 1
		if part := float64(votes) / float64(all); part <= 0.5 {
			shares[zone] = part / 2
		}
	}
	return shares
}
