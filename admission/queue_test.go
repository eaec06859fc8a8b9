package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// overload lets requests arrive at a queue every 5 ms for ten seconds, each of the kind that arrive
// returns, while a slot frees every 10 ms. It returns the number of admissions and arrivals by rank.
func overload(arrive func(n int, now time.Time) Request) (admitted, arrived map[int]int) {
	admitted, arrived = map[int]int{}, map[int]int{}
	q, random := NewQueue(DefaultPolicy()), rand.New(rand.NewPCG(1, 2))
	ranks, slots := map[uint64]int{}, 0
	for n := range 2000 {
		now := origin.Add(time.Duration(n) * 5 * time.Millisecond)
		r := arrive(n, now)
		r.ID, ranks[uint64(n)] = uint64(n), r.Rank
		arrived[r.Rank]++
		q.Add(r)
		slots = min(1, slots+n%2)
		c := Capacity{FirstEvent: 100 * time.Millisecond, SlotsInTime: slots, Slots: slots, Deciders: 1, Completions: 100}
		for _, d := range q.Decide(now, c, random) {
			if _, runs := d.Verdict.(Run); runs {
				admitted[ranks[d.ID]]++
				slots--
			}
		}
	}
	return admitted, arrived
}

// TestNoRankStarves checks that in an overload of urgent requests, less urgent ones get about a
// quarter of the common fraction of admissions. By rank alone they would get none.
func TestNoRankStarves(t *testing.T) {
	c := qt.New(t)
	admitted, arrived := overload(func(n int, now time.Time) Request {
		rank := 0
		if n%8 == 0 {
			rank = 2
		}
		return Request{Arrived: now, Due: now.Add(300 * time.Millisecond), Deadline: now.Add(6 * time.Second), Rank: rank}
	})
	ratio := func(rank int) float64 { return float64(admitted[rank]) / float64(arrived[rank]) }
	c.Check(ratio(2) > 0.08 && ratio(2) < 0.2, qt.IsTrue, qt.Commentf("%v of %v", admitted, arrived))
	c.Check(ratio(0) > 0.5, qt.IsTrue, qt.Commentf("%v of %v", admitted, arrived))
}

// TestLateGetOneOfEight checks that in an overload of requests that can be in time, one of eight
// admissions is a late request's.
func TestLateGetOneOfEight(t *testing.T) {
	admitted, arrived := overload(func(n int, now time.Time) Request {
		if n%4 == 0 {
			return Request{Arrived: now, Due: now.Add(80 * time.Millisecond), Deadline: now.Add(6 * time.Second), Rank: 1}
		}
		return Request{Arrived: now, Due: now.Add(300 * time.Millisecond), Deadline: now.Add(6 * time.Second)}
	})
	share := float64(admitted[1]) / float64(admitted[0]+admitted[1])
	qt.Check(t, share > 0.11 && share < 0.14, qt.IsTrue, qt.Commentf("%v of %v", admitted, arrived))
}

// TestEveryRequestIsDecided checks on random queues that each decision is on a different waiting
// request, that no more run than there are slots, that rejections are those of requests without a
// response, that waits end in the future, and that Retry-After is at most a third of the remaining
// time.
func TestEveryRequestIsDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		q, random, waiting := NewQueue(DefaultPolicy()), rand.New(rand.NewPCG(1, 2)), map[uint64]Request{}
		now, next := origin, uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			now = now.Add(ms("passed", 300))
			for range rapid.IntRange(0, 5).Draw(t, "arrivals") {
				r := Request{
					ID: next, Arrived: now, Due: now.Add(ms("target", 500)), Rank: rapid.IntRange(0, 3).Draw(t, "rank"),
					Continues: rapid.IntRange(0, 9).Draw(t, "continues") == 0,
				}
				r.Deadline = r.Due.Add(ms("deadline", 2000))
				q.Add(r)
				waiting[next] = r
				next++
			}
			c := Capacity{
				FirstEvent: ms("first", 600), Slots: rapid.IntRange(0, 5).Draw(t, "slots"), LoadsAge: ms("age", 1200),
				Deciders: rapid.IntRange(1, 80).Draw(t, "deciders"), Rate: 5, Completions: float64(rapid.IntRange(0, 100).Draw(t, "completions")),
			}
			c.SlotsInTime = rapid.IntRange(0, c.Slots).Draw(t, "intime")
			checkDecisions(t, q.Decide(now, c, random), waiting, now, c)
			if q.Len() != len(waiting) {
				t.Fatalf("%d requests wait, want %d", q.Len(), len(waiting))
			}
		}
	})
}

// checkDecisions checks decisions on the waiting requests, and removes those that don't wait.
func checkDecisions(t *rapid.T, decisions []Decision, waiting map[uint64]Request, now time.Time, c Capacity) {
	decided, running := map[uint64]bool{}, 0
	if len(decisions) != len(waiting) {
		t.Fatalf("%d decisions on %d requests", len(decisions), len(waiting))
	}
	for _, d := range decisions {
		r, known := waiting[d.ID]
		if !known || decided[d.ID] {
			t.Fatalf("request %d is not waiting or was decided twice", d.ID)
		}
		decided[d.ID] = true
		switch v := d.Verdict.(type) {
		case Run:
			delete(waiting, d.ID)
			if !r.Continues {
				running++
			}
		case Wait:
			if !v.Until.After(now) || v.Until.After(r.Deadline) {
				t.Fatalf("request %d waits until %v, at %v", d.ID, v.Until, now)
			}
		case Reject:
			delete(waiting, d.ID)
			predicted := c.FirstEvent > 0 && c.LoadsAge <= time.Second
			if r.Continues || (predicted && v.RetryAfter > max(0, r.Deadline.Sub(now)/3)) {
				t.Fatalf("request %d is rejected until %v", d.ID, v.RetryAfter)
			}
		}
	}
	if running > c.Slots {
		t.Fatalf("%d requests run in %d slots", running, c.Slots)
	}
}
