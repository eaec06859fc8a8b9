package daemon

import (
	"time"

	"github.com/lupinkeel/lupinkeel/models"
	"github.com/lupinkeel/lupinkeel/planner"
	"github.com/lupinkeel/lupinkeel/router"
	"github.com/lupinkeel/lupinkeel/state"
	"github.com/lupinkeel/lupinkeel/worker/types"
)

// View is what the owner shows to the other goroutines of a daemon. It is
// never changed once it is published.
type View struct {
	State     *state.State
	Instances map[models.InstanceID]models.Instance
	Evidence  map[models.InstanceID]planner.Evidence
	Table     router.Table
	Peers     []Peer
	// CurrentUntil is how long the state is known to be current, unless
	// new proof comes.
	CurrentUntil time.Time
	// LogProof is when the log last showed that the state was current.
	LogCurrentAt time.Time
	// LogError is what the last read of the log ended with.
	LogError error
	// Superseded tells that another process runs under this daemon's name.
	Superseded bool

	// silent are the instances that do not answer this daemon.
	silent []models.InstanceID
	// recent are the last records folded, oldest first.
	recentRecords []types.Entry
}

// Peer is another daemon as this one knows it.
type Peer struct {
	Status types.PeerStatus
	// Seen is the latest time at which the status is known to have been
	// true.
	Seen time.Time
	// OnRoster tells that this incarnation counts as a daemon.
	OnRoster bool
}

// Current reports whether the daemon may take new work: its state is known
// to be what was agreed a bounded time ago.
func (v *View) Current(now time.Time) bool {
	return !v.Superseded && now.Before(v.CurrentUntil)
}

// Serving lists the other daemons of the roster that were heard lately and
// take requests.
func (v *View) Serving(now time.Time) []models.DaemonID {
	var out []models.DaemonID
	for _, p := range v.Peers {
		if p.OnRoster && p.Status.Serving && now.Sub(p.Seen) < v.peerTimeout() {
			out = append(out, p.Status.ID)
		}
	}
	return out
}

// InForce counts the daemons of the roster that have folded the offset, as
// far as this daemon knows, and all daemons of the roster.
func (v *View) InForce(self models.DaemonID, offset models.Offset) (have, of int) {
	if _, listed := v.State.Daemons[self]; listed && v.State.Applied >= offset {
		have++
	}
	for _, p := range v.Peers {
		if p.OnRoster && p.Status.Applied >= offset {
			have++
		}
	}
	return have, len(v.State.Daemons)
}
