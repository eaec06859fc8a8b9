package ratelimit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
)

// drawSightings draws what the answers of one instance tell that names one rate after the
// other.
func drawSightings(t *rapid.T, began time.Time) []Sighting {
	var out []Sighting
	rates := rapid.SliceOfN(rapid.SampledFrom([]float64{0.5, 1.5, 2, 4, models.NoLimit}), 1, 5).Draw(t, "rates")
	ms := func(most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	named := began
	for _, rate := range rates {
		for range rapid.IntRange(1, 4).Draw(t, "answers") {
			named = named.Add(ms(400, "pause"))
			out = append(out, Sighting{Instance: "i1", Rate: rate, Asked: named.Add(-ms(300, "way there")), Heard: named.Add(ms(300, "way back"))})
		}
	}
	return out
}

// Daemons that hear the same in another order, some of it twice, believe the same limit, and
// never one above what the last answers that overlap in time named.
func TestSightingsJoinInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		began := time.Unix(1_000_000, 0)
		sightings := drawSightings(t, began)
		want := models.NoLimit
		for _, s := range sightings {
			followed := false
			for _, other := range sightings {
				followed = followed || other.Asked.After(s.Heard)
			}
			if !followed {
				want = min(want, s.Rate)
			}
		}
		order := rapid.Permutation(append(sightings, sightings[0], sightings[len(sightings)-1])).Draw(t, "order")
		var l Limits
		// Without one that names a limit nothing is remembered.
		l.Note(Sighting{Instance: "i1", Rate: 1, Asked: began.Add(-2 * time.Second), Heard: began.Add(-time.Second)}, "")
		for _, s := range order {
			l.Note(s, "")
		}
		if got := l.Named("i1"); got != want {
			t.Fatalf("the limit is %v rather than %v", got, want)
		}
	})
}

// What is told over and over need not be told on, and what is out of date is answered.
func TestLimitsAreToldOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var l Limits
	all := func(Source) bool { return true }
	change, tell := l.Note(Sighting{Instance: "i1", Rate: 2, Asked: at(0), Heard: at(10)}, "")
	c.Assert(change, qt.Equals, Begun)
	c.Assert(tell, qt.IsTrue)
	told, seen := l.Since(0, all)
	c.Assert(told, qt.HasLen, 1)
	change, tell = l.Note(Sighting{Instance: "i1", Rate: 2, Asked: at(20), Heard: at(30)}, "")
	c.Assert(change, qt.Equals, Unchanged)
	c.Assert(tell, qt.IsFalse)
	told, _ = l.Since(seen, all)
	c.Assert(told, qt.HasLen, 0)
	_, tell = l.Note(Sighting{Instance: "i1", Rate: models.NoLimit, Asked: at(-10), Heard: at(15)}, "peer")
	c.Assert(tell, qt.IsTrue)
	told, _ = l.Since(seen, func(s Source) bool { return s == "" })
	c.Assert(told, qt.DeepEquals, []Sighting{{Instance: "i1", Rate: 2, Asked: at(20), Heard: at(30)}})
}

// Word of a limit that goes round between daemons, each time a little later, does not put off
// its end.
func TestWordThatGoesRoundIsNoNews(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var l Limits
	l.Note(Sighting{Instance: "i1", Rate: 2, Asked: at(0), Heard: at(10), By: "peer", Number: 1}, "peer")
	change, _ := l.Note(Sighting{Instance: "i1", Rate: 1.5, Asked: at(11), Heard: at(15), By: "other", Number: 1}, "other")
	c.Assert(change, qt.Equals, Changed)
	for round := range 10 {
		change, tell := l.Note(Sighting{Instance: "i1", Rate: 2, Asked: at(20 * round), Heard: at(10 + 20*round), By: "peer", Number: 1}, "third")
		c.Assert(change, qt.Equals, Unchanged)
		c.Assert(tell, qt.IsFalse)
	}
	change, _ = l.Note(Sighting{Instance: "i1", Rate: models.NoLimit, Asked: at(20), Heard: at(30), By: "peer", Number: 2}, "peer")
	c.Assert(change, qt.Equals, Ended)
}

// An instance that names a lower rate in each of many answers that overlap is taken at the
// last one.
func TestManyRatesAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	var l Limits
	for n := range 3 * mostRates {
		heard := now.Add(time.Duration(n) * time.Millisecond)
		l.Note(Sighting{Instance: "i1", Rate: float64(100 - n), Asked: now.Add(-time.Second), Heard: heard}, "")
	}
	c.Assert(l.Named("i1"), qt.Equals, float64(101-3*mostRates))
}

// After a limit has ended the instance is not rushed at, and a later life has none.
func TestRateRisesAfterALimit(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	i := models.UpstreamInstance{ID: "i1", Born: at(-5000)}
	var l Limits
	l.Note(Sighting{Instance: "i1", Born: i.Born, Rate: 2, Asked: at(0), Heard: at(10)}, "")
	c.Assert(l.Rate(i, at(20)), qt.Equals, 2.0)
	change, _ := l.Note(Sighting{Instance: "i1", Born: i.Born, Rate: models.NoLimit, Asked: at(20), Heard: at(1000)}, "")
	c.Assert(change, qt.Equals, Ended)
	c.Assert(l.Rate(i, at(1000)), qt.Equals, 2.0)
	c.Assert(l.Rate(i, at(2000)), qt.Equals, 8.0)
	l.Note(Sighting{Instance: "i1", Born: i.Born, Rate: models.NoLimit, Asked: at(2000), Heard: at(2500)}, "")
	c.Assert(l.Rate(i, at(3000)), qt.Equals, 32.0)
	c.Assert(l.Rate(i, at(4000)), qt.Equals, models.NoLimit)

	l.Note(Sighting{Instance: "i1", Born: i.Born, Rate: 0, Asked: at(4000), Heard: at(4010)}, "")
	c.Assert(l.Rate(i, at(4020)), qt.Equals, leastRate)
	c.Assert(l.Rate(models.UpstreamInstance{ID: "i1", Born: at(4015)}, at(4020)), qt.Equals, models.NoLimit)
	c.Assert(l.InForce(), qt.Equals, 1)
	l.Prune(func(models.InstanceID) bool { return true }, at(5000))
	c.Assert(l.Empty(), qt.IsFalse)
	l.Prune(func(models.InstanceID) bool { return true }, at(4020).Add(kept))
	c.Assert(l.Empty(), qt.IsTrue)
}

func ExampleLimits_Rate() {
	var l Limits
	now := time.Now()
	i := models.UpstreamInstance{ID: "fabric-a-1"}
	l.Note(Sighting{Instance: i.ID, Rate: 1.5, Asked: now.Add(-30 * time.Millisecond), Heard: now}, "")
	fmt.Println(l.Rate(i, now), l.Rate(models.UpstreamInstance{ID: "fabric-a-2"}, now) == models.NoLimit)
	// Output: 1.5 true
}
