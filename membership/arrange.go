package membership

import (
	"slices"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Arrangement is which daemons one daemon tells what. It is never changed.
type Arrangement struct {
	// Size is how many daemons there are, this one among them.
	Size int
	// Zone is how many of them are known in this daemon's zone.
	Zone int
	// Mesh tells that each tells every other one, and that there are no relays.
	Mesh bool
	// Relay tells that this daemon is one of its zone's relays.
	Relay bool
	// First is the relay of the zone whose word of loads this daemon uses; it may
	// be this daemon itself. Empty in a mesh.
	First models.DaemonID
	// Planners are the daemons that may plan, in standing: all in a mesh, else the
	// relays of all zones.
	Planners []Daemon
	// Granters are the daemons that grant permits for limited instances, by
	// availability zone of the instances.
	Granters map[models.Zone]models.DaemonID
	// speaker is the relay that tells this daemon who grants permits, and tells granters
	// of other zones for how many it speaks; it may be this daemon itself. Empty in a mesh.
	speaker models.DaemonID
	// Links are the daemons that this one tells of itself.
	Links map[models.DaemonID]Link
}

// Link is what one daemon tells another.
type Link struct {
	// Often tells that heartbeats are sent often: the other one relies on them.
	Often bool
	// Relies tells that this daemon takes the other one for a relay, RelaysFirst
	// that it uses that one's word of loads, and tells it its own.
	Relies, RelaysFirst bool
	// Member tells that the other one is told what this daemon hears: it belongs to
	// the zone that this one is a relay of, or relies on it.
	Member bool
	// Totals tells that the other one uses this one's word of loads.
	Totals bool
	// Across tells that the other one is a relay of another zone.
	Across bool
}

// Arrange returns the arrangement as of now.
func (r *Roster) Arrange(now time.Time) *Arrangement {
	a := &Arrangement{Size: r.size(), Zone: r.zone(), Links: map[models.DaemonID]Link{}}
	relays := map[models.Zone][]Daemon{}
	if a.Mesh = a.Size <= r.policy.Few; a.Mesh {
		r.mesh(a)
	} else {
		relays = r.relays(now)
		r.tree(a, relays)
	}
	slices.SortFunc(a.Planners, func(x, y Daemon) int {
		if x.Before(y) {
			return -1
		}
		return 1
	})
	r.addGranters(a, relays)
	for id, m := range r.known {
		_, linked := a.Links[id]
		switch {
		case !linked:
			m.expected = time.Time{}
		case m.expected.IsZero() && now.After(m.absent):
			m.expected = now
		}
	}
	return a
}

// size is how many daemons there are by the roster and by those that are heard.
func (r *Roster) size() int {
	size := len(r.known) + 1
	for _, m := range r.known {
		if !m.heard.IsZero() {
			size = max(size, m.Size)
		}
	}
	return size
}

// zone is how many daemons are known in this one's zone.
func (r *Roster) zone() int {
	n := 1
	for _, m := range r.known {
		if m.Zone == r.self.Zone {
			n++
		}
	}
	return n
}

// mesh links this daemon to all others.
func (r *Roster) mesh(a *Arrangement) {
	a.Planners = append(a.Planners, r.self)
	for id, m := range r.known {
		a.Links[id] = Link{Often: true}
		if !m.heard.IsZero() {
			a.Planners = append(a.Planners, m.Daemon)
		}
	}
}

// relays are the relays of each zone: those that come first of the daemons that
// are not passed over, and of those that are if there are no others.
func (r *Roster) relays(now time.Time) map[models.Zone][]Daemon {
	present, absent := map[models.Zone][]Daemon{}, map[models.Zone][]Daemon{}
	present[r.self.Zone] = []Daemon{r.self}
	for _, m := range r.known {
		if now.Before(m.absent) {
			absent[m.Zone] = append(absent[m.Zone], m.Daemon)
		} else {
			present[m.Zone] = append(present[m.Zone], m.Daemon)
		}
	}
	out := map[models.Zone][]Daemon{}
	for zone, of := range present {
		out[zone] = first(of, r.policy.Relays)
	}
	for zone, of := range absent {
		if missing := r.policy.Relays - len(out[zone]); missing > 0 {
			out[zone] = append(out[zone], first(of, missing)...)
		}
	}
	return out
}

// first returns the n daemons that come before the others, in their standing.
func first(of []Daemon, n int) []Daemon {
	var out []Daemon
	for _, d := range of {
		at := len(out)
		for at > 0 && d.Before(out[at-1]) {
			at--
		}
		if at < n {
			out = slices.Insert(out, at, d)
			out = out[:min(n, len(out))]
		}
	}
	return out
}

// tree links this daemon to the relays of its zone, to those that rely on it,
// and, if it is a relay, to its zone and the relays of the others.
func (r *Roster) tree(a *Arrangement, relays map[models.Zone][]Daemon) {
	own := relays[r.self.Zone]
	a.First = own[0].ID
	for _, of := range relays {
		a.Planners = append(a.Planners, of...)
	}
	for _, d := range own {
		if d.ID == r.self.ID {
			a.Relay = true
			continue
		}
		a.Links[d.ID] = Link{Relies: true, RelaysFirst: d.ID == a.First}
	}
	for id, m := range r.known {
		own := m.Zone == r.self.Zone
		if !m.Relies && (!own || !a.Relay) {
			continue
		}
		link := a.Links[id]
		link.Often, link.Member, link.Across, link.Totals = true, own, !own, m.RelaysFirst
		a.Links[id] = link
	}
	if !a.Relay {
		return
	}
	for zone, of := range relays {
		if zone == r.self.Zone {
			continue
		}
		for _, d := range of {
			a.Links[d.ID] = Link{Often: true, Relies: true, Across: true}
		}
	}
}
