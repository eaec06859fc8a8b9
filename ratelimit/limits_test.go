package ratelimit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
)

// drawObservations draws the observations of an instance that announces several rates one after the
// other.
func drawObservations(t *rapid.T, began time.Time) []Observation {
	var out []Observation
	rates := rapid.SliceOfN(rapid.SampledFrom([]float64{0.5, 1.5, 2, 4, models.NoRateLimit}), 1, 5).Draw(t, "rates")
	ms := func(most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
	}
	named := began
	for _, rate := range rates {
		for range rapid.IntRange(1, 4).Draw(t, "answers") {
			named = named.Add(ms(400, "pause"))
			out = append(out, Observation{Instance: "i1", Rate: rate, SentAt: named.Add(-ms(300, "way there")), ReceivedAt: named.Add(ms(300, "way back"))})
		}
	}
	return out
}

// Daemons that receive the same observations in another order, some of them twice, compute the same
// limit, and never a limit above the rates of the last overlapping observations.
func TestObservationsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		began := time.Unix(1_000_000, 0)
		observations := drawObservations(t, began)
		want := models.NoRateLimit
		for _, s := range observations {
			superseded := false
			for _, other := range observations {
				superseded = superseded || other.SentAt.After(s.ReceivedAt)
			}
			if !superseded {
				want = min(want, s.Rate)
			}
		}
		order := rapid.Permutation(append(observations, observations[0], observations[len(observations)-1])).Draw(t, "order")
		var l Limits
		// Nothing is kept before the first observation with a limit.
		l.Add(Observation{Instance: "i1", Rate: 1, SentAt: began.Add(-2 * time.Second), ReceivedAt: began.Add(-time.Second)}, "")
		for _, s := range order {
			l.Add(s, "")
		}
		if got := l.Announced("i1"); got != want {
			t.Fatalf("the limit is %v rather than %v", got, want)
		}
	})
}

// An observation that changes nothing is not published again, and an outdated observation is
// answered with the current one.
func TestKnownLimitsAreNotPublishedAgain(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var l Limits
	all := func(Source) bool { return true }
	change, publish := l.Add(Observation{Instance: "i1", Rate: 2, SentAt: at(0), ReceivedAt: at(10)}, "")
	c.Assert(change, qt.Equals, Begun)
	c.Assert(publish, qt.IsTrue)
	published, seen := l.Since(0, all)
	c.Assert(published, qt.HasLen, 1)
	change, publish = l.Add(Observation{Instance: "i1", Rate: 2, SentAt: at(20), ReceivedAt: at(30)}, "")
	c.Assert(change, qt.Equals, Unchanged)
	c.Assert(publish, qt.IsFalse)
	published, _ = l.Since(seen, all)
	c.Assert(published, qt.HasLen, 0)
	_, publish = l.Add(Observation{Instance: "i1", Rate: models.NoRateLimit, SentAt: at(-10), ReceivedAt: at(15)}, "peer")
	c.Assert(publish, qt.IsTrue)
	published, _ = l.Since(seen, func(s Source) bool { return s == "" })
	c.Assert(published, qt.DeepEquals, []Observation{{Instance: "i1", Rate: 2, SentAt: at(20), ReceivedAt: at(30)}})
}

// An observation that is relayed repeatedly between daemons, each time with a later time, must not
// delay the end of the limit.
func TestRelayedObservationsAreIgnored(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	var l Limits
	l.Add(Observation{Instance: "i1", Rate: 2, SentAt: at(0), ReceivedAt: at(10), Receiver: "peer", Seq: 1}, "peer")
	change, _ := l.Add(Observation{Instance: "i1", Rate: 1.5, SentAt: at(11), ReceivedAt: at(15), Receiver: "other", Seq: 1}, "other")
	c.Assert(change, qt.Equals, Changed)
	for round := range 10 {
		change, publish := l.Add(Observation{Instance: "i1", Rate: 2, SentAt: at(20 * round), ReceivedAt: at(10 + 20*round), Receiver: "peer", Seq: 1}, "third")
		c.Assert(change, qt.Equals, Unchanged)
		c.Assert(publish, qt.IsFalse)
	}
	change, _ = l.Add(Observation{Instance: "i1", Rate: models.NoRateLimit, SentAt: at(20), ReceivedAt: at(30), Receiver: "peer", Seq: 2}, "peer")
	c.Assert(change, qt.Equals, Ended)
}

// If an instance announces lower and lower rates in many overlapping responses, the lowest rate
// applies.
func TestTooManyOverlappingRates(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	var l Limits
	for n := range 3 * maxSpans {
		receivedAt := now.Add(time.Duration(n) * time.Millisecond)
		l.Add(Observation{Instance: "i1", Rate: float64(100 - n), SentAt: now.Add(-time.Second), ReceivedAt: receivedAt}, "")
	}
	c.Assert(l.Announced("i1"), qt.Equals, float64(101-3*maxSpans))
}

// After a limit has ended, the rate ramps up. An instance that restarted has no limit.
func TestRateRampsUpAfterLimit(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	i := models.UpstreamInstance{ID: "i1", StartedAt: at(-5000)}
	var l Limits
	l.Add(Observation{Instance: "i1", StartedAt: i.StartedAt, Rate: 2, SentAt: at(0), ReceivedAt: at(10)}, "")
	c.Assert(l.Rate(i, at(20)), qt.Equals, 2.0)
	change, _ := l.Add(Observation{Instance: "i1", StartedAt: i.StartedAt, Rate: models.NoRateLimit, SentAt: at(20), ReceivedAt: at(1000)}, "")
	c.Assert(change, qt.Equals, Ended)
	c.Assert(l.Rate(i, at(1000)), qt.Equals, 2.0)
	c.Assert(l.Rate(i, at(2000)), qt.Equals, 8.0)
	l.Add(Observation{Instance: "i1", StartedAt: i.StartedAt, Rate: models.NoRateLimit, SentAt: at(2000), ReceivedAt: at(2500)}, "")
	c.Assert(l.Rate(i, at(3000)), qt.Equals, 32.0)
	c.Assert(l.Rate(i, at(4000)), qt.Equals, models.NoRateLimit)

	l.Add(Observation{Instance: "i1", StartedAt: i.StartedAt, Rate: 0, SentAt: at(4000), ReceivedAt: at(4010)}, "")
	c.Assert(l.Rate(i, at(4020)), qt.Equals, minRate)
	c.Assert(l.Rate(models.UpstreamInstance{ID: "i1", StartedAt: at(4015)}, at(4020)), qt.Equals, models.NoRateLimit)
	c.Assert(l.CountActive(), qt.Equals, 1)
	l.Prune(func(models.InstanceID) bool { return true }, at(5000))
	c.Assert(l.Empty(), qt.IsFalse)
	l.Prune(func(models.InstanceID) bool { return true }, at(4020).Add(endedRetention))
	c.Assert(l.Empty(), qt.IsTrue)
}

func ExampleLimits_Rate() {
	var l Limits
	now := time.Now()
	i := models.UpstreamInstance{ID: "fabric-a-1"}
	l.Add(Observation{Instance: i.ID, Rate: 1.5, SentAt: now.Add(-30 * time.Millisecond), ReceivedAt: now}, "")
	fmt.Println(l.Rate(i, now), l.Rate(models.UpstreamInstance{ID: "fabric-a-2"}, now) == models.NoRateLimit)
	// Output: 1.5 true
}
