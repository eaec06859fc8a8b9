package inflight

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// queue answers calls one after the other, each in so long, and after a way of its own.
func queue(l *Limit, calls int, each, way time.Duration, late float64) (longest int, middle time.Duration) {
	r := rand.New(rand.NewPCG(1, 1))
	for range calls {
		took := way + time.Duration(l.Most())*each
		if r.Float64() < late {
			took = 500 * time.Millisecond
		}
		l.Note(took)
		longest = max(longest, l.Most())
	}
	return longest, way + time.Duration(l.Most())*each
}

// Calls that wait for a slow processor are kept few; a fast one, or some instances that do not
// answer, do not keep them back.
func TestLimitFollowsTheWait(t *testing.T) {
	const least, most, wait = 8, 128, 50 * time.Millisecond
	c := qt.New(t)
	l := New(least, most, wait)
	c.Assert(l.Most(), qt.Equals, least)
	_, middle := queue(l, 3000, 3*time.Millisecond, 5*time.Millisecond, 0)
	c.Assert(middle < 2*wait, qt.IsTrue, qt.Commentf("%v", middle))
	c.Assert(l.Most() >= least, qt.IsTrue)

	l = New(least, most, wait)
	longest, _ := queue(l, 3000, 100*time.Microsecond, 5*time.Millisecond, 0.2)
	c.Assert(longest, qt.Equals, most)
	c.Assert(l.Most(), qt.Equals, most)

	// It was fast, and is slowed.
	queue(l, 3000, 20*time.Millisecond, 5*time.Millisecond, 0)
	c.Assert(l.Most() <= 2*least, qt.IsTrue, qt.Commentf("%d", l.Most()))
}

// The bound rises by a quarter while answers come soon, and is halved when they do not.
func ExampleLimit_Note() {
	l := New(4, 16, 50*time.Millisecond)
	for range 4 {
		l.Note(5 * time.Millisecond)
	}
	fmt.Println(l.Most())
	for range 5 {
		l.Note(80 * time.Millisecond)
	}
	fmt.Println(l.Most())
	// Output:
	// 5
	// 4
}
