package daemon

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// View is the part of the owner's state that other goroutines of the daemon may read. It is
// immutable once published.
type View struct {
	State     *state.State
	Instances map[models.InstanceID]models.Instance
	Evidence  map[models.InstanceID]planner.Evidence
	Table     router.Table
	Peers     []Peer
	// CurrentUntil is until when the state counts as current unless it is confirmed again.
	CurrentUntil time.Time
	// LogCurrentAt is the latest time at which a read of the log confirmed that the state was
	// current.
	LogCurrentAt time.Time
	// LogError is the error of the last read of the log; nil if it succeeded.
	LogError error
	// Superseded reports whether another process runs under this daemon's ID.
	Superseded bool

	// silent lists the instances that do not answer this daemon.
	silent []models.InstanceID
	// recentRecords are the last records applied, oldest first.
	recentRecords []types.Entry
}

// Peer is another daemon and its last known status.
type Peer struct {
	Status types.PeerStatus
	// LastSeen is the latest time at which Status is known to have been true.
	LastSeen time.Time
	// OnRoster reports whether the roster lists this incarnation of the daemon.
	OnRoster bool
}

// Current reports whether the daemon may accept new work: its state was confirmed as current
// within a bounded time, and no other process runs under its ID.
func (v *View) Current(now time.Time) bool {
	return !v.Superseded && now.Before(v.CurrentUntil)
}

// Serving lists the other daemons on the roster that have been seen recently and accept requests.
func (v *View) Serving(now time.Time) []models.DaemonID {
	var out []models.DaemonID
	for _, p := range v.Peers {
		if p.OnRoster && p.Status.Serving && now.Sub(p.LastSeen) < v.peerTimeout() {
			out = append(out, p.Status.ID)
		}
	}
	return out
}

// InForce returns on how many daemons of the roster the record at the offset is in force, as far
// as this daemon knows, and the size of the roster.
func (v *View) InForce(self models.DaemonID, offset models.Offset) (inForce, total int) {
	if _, listed := v.State.Daemons[self]; listed && v.State.Applied >= offset {
		inForce++
	}
	for _, p := range v.Peers {
		if p.OnRoster && p.Status.Applied >= offset {
			inForce++
		}
	}
	return inForce, len(v.State.Daemons)
}
