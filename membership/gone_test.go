package membership_test

import (
	"fmt"
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

// TestLinksGrowWithDeadDaemons guards against links that grow with the number of daemons that were killed and
// are still in the roster.
func TestLinksGrowWithDeadDaemons(t *testing.T) {
	c := qt.New(t)
	policy := membership.DefaultPolicy()
	most := func(dead int) int {
		now := time.Unix(1_000_000, 0)
		// The daemon ranks below the two relays of its zone.
		r := membership.NewRoster(membership.Daemon{ID: "self", Zone: "z", CPUCores: 0.1}, policy)
		hear := func() {
			for n := range 2 {
				r.RecordHeartbeat(membership.Heartbeat{
					Daemon: membership.Daemon{ID: models.DaemonID(fmt.Sprint("relay", n)), Zone: "z", CPUCores: 1}, Interval: 300 * time.Millisecond, Registered: true, Size: 30, ZoneSize: 30,
				}, now)
			}
		}
		for n := range dead {
			r.AddRegistered(membership.Daemon{ID: models.DaemonID(fmt.Sprint("dead", n)), Zone: "z", CPUCores: 2})
		}
		links, settled := 0, now.Add(time.Duration(dead)*policy.FirstHeartbeatTimeout)
		for ; now.Before(settled.Add(20 * time.Second)); now = now.Add(300 * time.Millisecond) {
			hear()
			r.MarkSilent(now)
			links = max(links, len(r.Topology(now).Links))
		}
		c.Assert(string(r.Topology(now).LoadRelay), qt.Contains, "relay", qt.Commentf("%d dead", dead))
		return links
	}
	c.Assert(most(33), qt.Equals, most(100))
	c.Assert(most(1000) <= policy.RelaysPerZone+policy.MinRegistered, qt.IsTrue, qt.Commentf("%d", most(1000)))
}
