package membership_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/membership"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestKilledDaemonStaysForever guards against daemons that ended without announcing it and are never
// removed, while daemons that are cut off for an hour must not be.
func TestKilledDaemonStaysForever(t *testing.T) {
	c := qt.New(t)
	policy := membership.DefaultPolicy()
	now := time.Unix(1_000_000, 0)
	r := membership.NewRoster(membership.Daemon{ID: "self", Zone: "z", CPUCores: 1}, policy)
	r.SetRegistered(true)
	daemon := func(id models.DaemonID) membership.Daemon { return membership.Daemon{ID: id, Zone: "z", CPUCores: 0.5} }
	hear := func(id models.DaemonID, registered bool) {
		r.RecordHeartbeat(membership.Heartbeat{Daemon: daemon(id), Interval: 300 * time.Millisecond, Registered: registered}, now)
	}
	gone := func(after time.Duration) []models.DaemonID {
		for end := now.Add(after); now.Before(end); now = now.Add(time.Second) {
			hear("lives", true)
			r.MarkSilent(now)
			r.Topology(now)
		}
		return r.Gone(r.Topology(now), now)
	}
	hear("killed", true)
	hear("unlisted", false)
	c.Assert(gone(time.Hour+time.Minute), qt.HasLen, 0)
	c.Assert(r.Knows("killed") && r.Knows("unlisted"), qt.IsTrue)
	c.Assert(gone(policy.SilentRetention-time.Hour), qt.DeepEquals, []models.DaemonID{"killed"})
	c.Assert(r.Knows("unlisted"), qt.IsFalse)
	r.RemoveRegistered("killed")
	c.Assert(r.Knows("killed"), qt.IsFalse)

	// One that is only cut off registers again, and counts from its next heartbeat on.
	r.AddRegistered(daemon("killed"))
	hear("killed", true)
	c.Assert(gone(time.Second), qt.HasLen, 0)
	c.Assert(r.Topology(now).Size, qt.Equals, 3)
}
