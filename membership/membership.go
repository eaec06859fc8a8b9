// Package membership decides which daemons exchange heartbeats. A few daemons form a full mesh.
// With many daemons, each availability zone has a few relays: a daemon sends heartbeats to the
// relays of its zone, and the relays send them to each other and to the daemons of their zone. The
// number of links, heartbeats and bytes then grows linearly with the number of daemons rather than
// with its square.
//
// There is no election. Each daemon selects the relays from the roster by a ranking that is the
// same for all daemons, and skips daemons that are silent. Two daemons may disagree for a short
// time; a daemon that any other daemon uses as a relay acts as one.
//
// The package does no I/O, and the time is passed in.
package membership

import (
	"hash/fnv"
	"maps"
	"time"

	"github.com/lupinkeel/lupinkeel/models"
)

// Policy holds the parameters of the topology.
type Policy struct {
	// MaxMeshSize is the maximum number of daemons, this daemon included, that form a full mesh.
	MaxMeshSize int
	// RelaysPerZone is the number of relays of an availability zone.
	RelaysPerZone int
	// MinRegistered is the number of registered daemons of its zone, besides itself, with which a
	// daemon does not register in the roster.
	MinRegistered int
	// FirstHeartbeatTimeout is how long this daemon waits for the first heartbeat of a daemon that
	// should send heartbeats to it.
	FirstHeartbeatTimeout time.Duration
	// MaxMissedHeartbeats is the number of consecutive heartbeats that a live daemon may miss.
	MaxMissedHeartbeats int
	// FirstStartDelay is the pause, at the first start of all daemons, before a daemon without
	// processor power registers; the others pause for less, so that the strongest daemons register
	// first. RegistrationSpread is the time over which daemons register that find at the same moment
	// that too few are registered: the later ones then see the earlier ones and do not register.
	FirstStartDelay, RegistrationSpread time.Duration
	// SilentBackoff is how long a daemon that became silent is skipped. After that it is looked for again.
	SilentBackoff time.Duration
	// SilentRetention is how long a daemon may be silent until it is forgotten or, if it is in the
	// store's roster, is to be removed from it. It exceeds the duration of partitions, an hour: a granter of
	// permits that forgets the daemons on the other side grants what a granter there grants as well.
	SilentRetention time.Duration
}

// DefaultPolicy returns the parameters used in production.
func DefaultPolicy() Policy {
	return Policy{
		// A full mesh of 9 daemons takes 0.043 of a core per daemon, requests included. 295 daemons
		// take 0.070 in a full mesh and 0.016 with relays.
		MaxMeshSize: 20,
		// With two relays, the other one takes over without a gap in the broadcasts if one is lost.
		// A third relay would send every broadcast to each daemon once more.
		RelaysPerZone: 2,
		// Both relays of a zone may be lost at once, and the daemons that replace them must be known.
		MinRegistered: 4,
		// More than the time within which all machines start.
		FirstStartDelay:    800 * time.Millisecond,
		RegistrationSpread: 200 * time.Millisecond,
		// The time of MaxMissedHeartbeats heartbeats of a relay.
		FirstHeartbeatTimeout: 1200 * time.Millisecond,
		MaxMissedHeartbeats:   4,
		// Longer than a daemon takes to restart, which is 0.6 to 4 s.
		SilentBackoff:   6 * time.Second,
		SilentRetention: 2 * time.Hour,
	}
}

// Daemon is a daemon as described by the roster or by its own heartbeats.
type Daemon struct {
	ID   models.DaemonID
	Zone models.Zone
	// CPUCores is the fraction of a core that the daemon may use.
	CPUCores float64
}

// RanksBefore reports whether a daemon ranks higher than another: the one with more CPU, or with
// equal CPU by a hash of the IDs.
func (d Daemon) RanksBefore(o Daemon) bool {
	if d.CPUCores != o.CPUCores {
		return d.CPUCores > o.CPUCores
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

// Heartbeat holds the fields of a heartbeat that the topology depends on.
type Heartbeat struct {
	Daemon
	// Interval is the sender's heartbeat interval for this daemon.
	Interval time.Duration
	// UsesRelay is set if the sender uses this daemon as a relay, UsesLoads if it uses this daemon's
	// load totals.
	UsesRelay, UsesLoads bool
	// Size is the sender's Topology.Known.
	Size int
	// ZoneSize is the number of daemons in the sender's zone, if the sender is a relay; 0 otherwise.
	ZoneSize int
	// Registered is set if the sender is in the store's roster.
	Registered bool
	// Votes is the sender's number of votes for this daemon as a granter of permits, by zone of
	// the instances.
	Votes map[models.Zone]int
	// Granters holds the granters that the sender knows. Only relays fill it in.
	Granters map[models.Zone]models.DaemonID
}

// Roster is what one daemon knows of the others. It is not safe for concurrent use.
type Roster struct {
	self    Daemon
	policy  Policy
	members map[models.DaemonID]*member
	// registered is set if this daemon is in the store's roster.
	registered bool
	// isRelay is set if the last topology made this daemon a relay.
	isRelay bool
}

// member is the state of another daemon.
type member struct {
	Heartbeat
	// lastHeartbeat is when its last heartbeat arrived, zero if it is silent.
	lastHeartbeat time.Time
	// expectedSince is when it was first expected to send heartbeats to this daemon, zero if none
	// are expected.
	expectedSince time.Time
	// silentSince is when it became silent, zero if it has not since its last heartbeat. skipUntil is
	// until when it is then not expected to send heartbeats.
	silentSince, skipUntil time.Time
	// removed is set if it was removed from the store's roster and has not registered again.
	removed bool
}

// isSilent reports whether the daemon has become silent since its last heartbeat.
func (m *member) isSilent() bool { return !m.silentSince.IsZero() }

// NewRoster returns a roster without other daemons.
func NewRoster(self Daemon, p Policy) *Roster {
	return &Roster{self: self, policy: p, members: map[models.DaemonID]*member{}}
}

// Add adds a daemon or updates its description.
func (r *Roster) Add(d Daemon) {
	if d.ID == r.self.ID {
		return
	}
	if m := r.members[d.ID]; m != nil {
		m.Daemon = d
		return
	}
	r.members[d.ID] = &member{Heartbeat: Heartbeat{Daemon: d}}
}

// AddRegistered adds a daemon that is in the store's roster.
func (r *Roster) AddRegistered(d Daemon) {
	r.Add(d)
	if m := r.members[d.ID]; m != nil {
		m.Registered, m.removed = true, false
	}
}

// RemoveRegistered records that a daemon is not in the store's roster any more. It is forgotten unless it
// is live, and then once it becomes silent.
func (r *Roster) RemoveRegistered(id models.DaemonID) {
	m := r.members[id]
	switch {
	case m == nil:
	case m.lastHeartbeat.IsZero():
		delete(r.members, id)
	default:
		m.Registered, m.removed = false, true
	}
}

// Forget forgets a daemon that has announced its end.
func (r *Roster) Forget(id models.DaemonID) { delete(r.members, id) }

// SetRegistered records whether this daemon is in the store's roster.
func (r *Roster) SetRegistered(registered bool) { r.registered = registered }

// IsRegistered reports whether this daemon is in the store's roster.
func (r *Roster) IsRegistered() bool { return r.registered }

// Knows reports whether a daemon is known.
func (r *Roster) Knows(id models.DaemonID) bool { return r.members[id] != nil }

// ShouldRegister reports whether this daemon has to register in the store's roster. With few daemons
// all do, since they form a mesh. With many, a daemon needs no more than some daemons of its zone
// that may be its relays: if all 986 registered, each would read 986 entries.
func (r *Roster) ShouldRegister(now time.Time) bool {
	registered, inZone := 0, 0
	for _, m := range r.members {
		if !m.Registered || now.Before(m.skipUntil) {
			continue
		}
		registered++
		if m.Zone == r.self.Zone {
			inZone++
		}
	}
	return registered < r.policy.MaxMeshSize || inZone < r.policy.MinRegistered
}

// RegistrationPause returns how long a daemon waits before it registers at the first start of all
// daemons. The draw is a random number between 0 and 1.
func (p Policy) RegistrationPause(cpuCores, draw float64) time.Duration {
	weakness := 1 - min(1, cpuCores)
	return time.Duration(weakness*float64(p.FirstStartDelay) + draw*float64(p.RegistrationSpread))
}

// RecordHeartbeat records a heartbeat. It reports whether the topology may change.
func (r *Roster) RecordHeartbeat(b Heartbeat, at time.Time) bool {
	if b.ID == r.self.ID {
		return false
	}
	r.Add(b.Daemon)
	m := r.members[b.ID]
	changed := m.lastHeartbeat.IsZero() || m.UsesRelay != b.UsesRelay || m.UsesLoads != b.UsesLoads || m.Size != b.Size || m.ZoneSize != b.ZoneSize || m.Registered != b.Registered ||
		!maps.Equal(m.Granters, b.Granters)
	m.removed = m.removed && !b.Registered
	b.Registered = b.Registered || m.Registered
	m.Heartbeat, m.lastHeartbeat, m.silentSince, m.skipUntil = b, at, time.Time{}, time.Time{}
	return changed
}

// MarkSilent marks daemons as silent whose heartbeats are overdue, and returns those that were live
// before.
func (r *Roster) MarkSilent(now time.Time) []models.DaemonID {
	var silent []models.DaemonID
	for id, m := range r.members {
		switch {
		case !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) > time.Duration(r.policy.MaxMissedHeartbeats)*m.Interval:
			silent = append(silent, id)
		case !m.lastHeartbeat.IsZero(), m.expectedSince.IsZero(), now.Sub(m.expectedSince) <= r.policy.FirstHeartbeatTimeout:
			continue
		}
		m.lastHeartbeat, m.expectedSince = time.Time{}, time.Time{}
		m.UsesRelay, m.UsesLoads, m.Votes, m.Granters = false, false, nil, nil
		if !m.isSilent() {
			m.silentSince = now
		}
		m.skipUntil = now.Add(r.policy.SilentBackoff)
	}
	r.removeGone(now)
	return silent
}

// removeGone forgets the daemons that are not in the store's roster and have been silent for
// SilentRetention, or are silent after they were removed from it.
func (r *Roster) removeGone(now time.Time) {
	maps.DeleteFunc(r.members, func(_ models.DaemonID, m *member) bool {
		return !m.Registered && (r.isGone(m, now) || (m.removed && m.isSilent()))
	})
}

// isGone reports whether a daemon has been silent for SilentRetention.
func (r *Roster) isGone(m *member, now time.Time) bool {
	return m.isSilent() && now.Sub(m.silentSince) > r.policy.SilentRetention
}

// Gone returns the daemons that have been silent for SilentRetention and are to be removed from the
// store's roster, if this daemon is to remove them: the first candidate for planner in a mesh, otherwise
// the load relay of its zone.
func (r *Roster) Gone(t *Topology, now time.Time) []models.DaemonID {
	if t.LoadRelay != r.self.ID && !(t.IsMesh && t.PlannerCandidates[0].ID == r.self.ID) {
		return nil
	}
	var gone []models.DaemonID
	for id, m := range r.members {
		if m.Registered && r.isGone(m, now) {
			gone = append(gone, id)
		}
	}
	return gone
}
