package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestDurationsFollowLongRequests checks that a route's duration is that of its long requests, and that
// routes which are gone are dropped.
func TestDurationsFollowLongRequests(t *testing.T) {
	c := qt.New(t)
	d := newDurations()
	_, known := d.long("r")
	c.Assert(known, qt.IsFalse)
	const usual, long = 100 * time.Millisecond, time.Second
	for n := range 3000 {
		took := usual
		if n%10 == 0 {
			took = long
		}
		d.observe("r", took)
	}
	got, known := d.long("r")
	c.Assert(known, qt.IsTrue)
	c.Assert(got > long/2 && got < 2*long, qt.IsTrue, qt.Commentf("%v", got))
	for n := range 20 {
		d.observe("even", usual+time.Duration(n%3)*time.Millisecond)
	}
	got, _ = d.long("even")
	c.Assert(got >= usual && got < usual+3*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
	d.observe("gone", usual)
	d.prune(&models.Routing{Hosts: map[string][]models.Route{"h": {{Name: "r"}}}})
	_, known = d.long("gone")
	c.Assert(known, qt.IsFalse)
	_, known = d.long("r")
	c.Assert(known, qt.IsTrue)
}
