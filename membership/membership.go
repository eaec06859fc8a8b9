// Package membership decides which daemons tell each other of themselves. Where
// there are few, each tells every other one. Where there are many, each
// availability zone has a few relays: a daemon tells the relays of its zone,
// these tell each other and the daemons of their zone. Links, heartbeats and
// bytes then grow with the number of daemons and not with its square.
//
// Nobody appoints relays. Each daemon finds them by itself from the roster, by
// an order that is the same for all, and passes over those that fell silent. Two
// daemons may disagree for a moment; one that is taken for a relay acts as one.
//
// The package is pure: it does no input or output, and the time is handed in.
package membership

import (
	"hash/fnv"
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Policy holds the limits by which daemons are arranged.
type Policy struct {
	// Few is up to how many daemons, this one among them, each tells every other
	// one.
	Few int
	// Relays is how many daemons of an availability zone are its relays.
	Relays int
	// Patience is for how long a daemon that should tell this one of itself, and
	// was never heard to, is waited for.
	Patience time.Duration
	// Beats is how many heartbeats in a row may not come from a daemon that was
	// heard.
	Beats int
	// Absence is for how long a daemon that fell silent is passed over.
	Absence time.Duration
}

// DefaultPolicy returns the limits in use.
func DefaultPolicy() Policy {
	return Policy{
		// All to all takes 9 daemons 0.043 of a core each, requests included, and 295
		// daemons 0.070 where relays take 0.016, measured on the users' sites.
		Few: 20,
		// One that is left takes over without a gap in the news if the other one is
		// lost; a third would cost every daemon each piece of news once more.
		Relays: 2,
		// Four heartbeats of a relay, as for one that was heard.
		Patience: 1200 * time.Millisecond,
		Beats:    4,
		// An estimate: longer than a daemon takes to be started again, 0.6 to 4 s on
		// the users' sites.
		Absence: 6 * time.Second,
	}
}

// Daemon is one daemon as the roster or its own heartbeat names it.
type Daemon struct {
	ID   models.DaemonID
	Zone models.Zone
	// Power is the part of a core that it may use.
	Power float64
}

// Before reports whether a daemon takes a part rather than another: those with
// the most processor first, and equals by a hash of their names.
func (d Daemon) Before(o Daemon) bool {
	if d.Power != o.Power {
		return d.Power > o.Power
	}
	if a, b := hashOf(d.ID), hashOf(o.ID); a != b {
		return a < b
	}
	return d.ID < o.ID
}

func hashOf(id models.DaemonID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// Beat is what a heartbeat tells that matters to the arrangement.
type Beat struct {
	Daemon
	// Every is how often its sender tells this daemon of itself.
	Every time.Duration
	// Relies tells that its sender takes this daemon for one of its relays,
	// RelaysFirst that it is the one whose word of loads it uses.
	Relies, RelaysFirst bool
	// Size is how many daemons its sender knows of, itself among them.
	Size int
	// Grants is for how many daemons its sender asks this one for permits, by zone of
	// the instances.
	Grants map[models.Zone]int
	// Granters are who grants permits by what its sender knows. Only relays tell that.
	Granters map[models.Zone]models.DaemonID
}

// Roster is what one daemon knows of the others. It is not safe for use by
// several goroutines.
type Roster struct {
	self   Daemon
	policy Policy
	known  map[models.DaemonID]*member
}

// member is another daemon and how it stands to this one.
type member struct {
	Beat
	// heard is when its last heartbeat came, zero if it is silent.
	heard time.Time
	// expected is since when it should tell this daemon of itself, zero if it need
	// not.
	expected time.Time
	// absent is until when it is passed over.
	absent time.Time
}

// NewRoster returns a roster that knows of no other daemon.
func NewRoster(self Daemon, p Policy) *Roster {
	return &Roster{self: self, policy: p, known: map[models.DaemonID]*member{}}
}

// Enter notes that a daemon exists.
func (r *Roster) Enter(d Daemon) {
	if d.ID == r.self.ID {
		return
	}
	if m := r.known[d.ID]; m != nil {
		m.Daemon = d
		return
	}
	r.known[d.ID] = &member{Beat: Beat{Daemon: d}}
}

// Hear notes a heartbeat. It reports whether that may change the arrangement.
func (r *Roster) Hear(b Beat, at time.Time) bool {
	if b.ID == r.self.ID {
		return false
	}
	r.Enter(b.Daemon)
	m := r.known[b.ID]
	news := m.heard.IsZero() || m.Relies != b.Relies || m.RelaysFirst != b.RelaysFirst || m.Size != b.Size ||
		!maps.Equal(m.Granters, b.Granters)
	m.Beat, m.heard, m.absent = b, at, time.Time{}
	return news
}

// Notice passes over the daemons that should have told of themselves and did
// not. It returns those that were heard before.
func (r *Roster) Notice(now time.Time) []models.DaemonID {
	var silent []models.DaemonID
	for id, m := range r.known {
		switch {
		case !m.heard.IsZero() && now.Sub(m.heard) > time.Duration(r.policy.Beats)*m.Every:
			silent = append(silent, id)
		case !m.heard.IsZero(), m.expected.IsZero(), now.Sub(m.expected) <= r.policy.Patience:
			continue
		}
		m.heard, m.expected = time.Time{}, time.Time{}
		m.Relies, m.RelaysFirst, m.Grants, m.Granters = false, false, nil, nil
		m.absent = now.Add(r.policy.Absence)
	}
	return silent
}
