package cluster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestLoadsAreSeen checks that a model's load comes from the requests under way while
// there are places, whatever callers say of their requests, and from what callers say,
// corrected by what their requests turned out to be, once these are taken: requests
// under way no longer tell then how many there would be.
func TestLoadsAreSeen(t *testing.T) {
	c := qt.New(t)
	const slots, groups = 30, 20
	var a asked
	note := func(requests int, work Work, planned time.Duration) float64 {
		for range 400 {
			a.note(requests, groups, slots, work, planned)
		}
		return a.load.Groups
	}
	work := Work{Seconds: 40, Added: 8, Requests: 300, Tokens: 214200, AimSeconds: 60}
	half := note(300, work, time.Minute)
	c.Assert(half > 19 && half < 21, qt.IsTrue, qt.Commentf("half full with %.1f groups, which there are", half))
	c.Assert(a.load.Prompt, qt.Equals, 714.0)
	c.Assert(a.load.Aim.Round(time.Millisecond), qt.Equals, 200*time.Millisecond)

	// Twice as much comes, and no more than all places can be under way.
	a.note(600, groups, slots, work.Times(2), time.Minute)
	full := note(600, work.Times(2), time.Minute)
	c.Assert(full > 34 && full < 42, qt.IsTrue, qt.Commentf("%.1f groups would be half full", full))
	full = note(600, work.Times(3), time.Minute)
	c.Assert(full > 50, qt.IsTrue, qt.Commentf("%.1f groups would be half full", full))

	a = asked{}
	c.Assert(note(0, work, time.Second) < 0.1, qt.IsTrue, qt.Commentf("nothing is under way yet"))
}

// TestOlderWork checks that what an older process tells of its callers, nothing but
// seconds, counts beside what others tell.
func TestOlderWork(t *testing.T) {
	c := qt.New(t)
	o := newTestOwner(t)
	o.peers.arranged.Mesh = true
	o.peers.seen["old"] = seenPeer{beat: Heartbeat{Work: seconds(map[models.ModelName]Work{"m": {Seconds: 3}})}}
	o.peers.seen["new"] = seenPeer{beat: Heartbeat{
		Work: map[models.ModelName]float32{"m": 2}, Asked: map[models.ModelName]Work{"m": {Seconds: 2, Added: 1, Requests: 10, Tokens: 5000, AimSeconds: 2}},
	}}
	sum := o.work()["m"]
	c.Assert(sum.Seconds, qt.Equals, float32(5))
	c.Assert(sum.MeanPrompt(), qt.Equals, 500.0)
	c.Assert(sum.MeanAim().Round(time.Millisecond), qt.Equals, 200*time.Millisecond)
}
