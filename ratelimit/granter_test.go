package ratelimit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
)

func wantOne(id models.InstanceID) []Candidate { return []Candidate{{Instance: id, Rate: 1}} }

// For any sequence of permit requests and rate changes, the number of permits never exceeds what
// the rate allows plus the burst.
func TestGrantsStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var g Granter
		var granted []time.Time
		rate, sum := 2.0, 0.0
		var sums []float64
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			step := time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond
			now, sum = now.Add(step), sum+rate*step.Seconds()
			if rapid.IntRange(0, 9).Draw(t, "changes") == 0 {
				rate = rapid.SampledFrom([]float64{0, 0.3, 1.4, 5}).Draw(t, "rate")
			}
			priority := rapid.IntRange(0, 9).Draw(t, "priority")
			got := g.Decide(PermitRequest{Priority: priority, Candidates: wantOne("i")}, func(Candidate) float64 { return rate }, now)
			if !got.Granted {
				if wait := got.Waits[0]; wait <= 0 || wait > maxWait+time.Millisecond {
					t.Fatalf("the wait is %v", wait)
				}
				continue
			}
			granted, sums = append(granted, now), append(sums, sum)
			for n := range granted {
				const rounding = 1e-9
				most := sums[len(sums)-1] - sums[n] + burst + rounding
				if count := float64(len(granted) - n); count > most {
					t.Fatalf("%v permits, %v allowed", count, most)
				}
			}
		}
	})
}

// While more urgent requests wait, the last permit is reserved for them, except for every fourth
// permit.
func TestUrgentRequestsFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	var g Granter
	rate := func(Candidate) float64 { return 1 }
	req := func(priority int) bool {
		return g.Decide(PermitRequest{Priority: priority, Candidates: wantOne("i")}, rate, now).Granted
	}
	granted := map[int]int{}
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		for _, priority := range []int{5, 0} {
			if req(priority) {
				granted[priority]++
			}
		}
	}
	c.Assert(granted[0]+granted[5] >= 38, qt.IsTrue, qt.Commentf("%v", granted))
	c.Assert(granted[5] >= 8 && granted[5] <= 14, qt.IsTrue, qt.Commentf("%v", granted))
}

// Requests sent without a permit reduce the number of permits.
func TestChargesConsumePermits(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	var g Granter
	rate := func(Candidate) float64 { return 1 }
	granted := 0
	for n := range 100 {
		now = now.Add(100 * time.Millisecond)
		if n%20 == 0 {
			g.Decide(PermitRequest{Candidates: wantOne("i"), Charge: true}, rate, now)
		}
		if g.Decide(PermitRequest{Candidates: wantOne("i")}, rate, now).Granted {
			granted++
		}
	}
	c.Assert(granted >= 4 && granted <= 5, qt.IsTrue, qt.Commentf("%d", granted))
}

func ExampleGranter_Decide() {
	var g Granter
	now := time.Now()
	req := PermitRequest{Candidates: []Candidate{{Instance: "fabric-a-1", Rate: 2}, {Instance: "fabric-a-2", Rate: 2}}}
	rate := func(w Candidate) float64 { return w.Rate }
	fmt.Println(g.Decide(req, rate, now).Granted)
	later := g.Decide(req, rate, now.Add(time.Second))
	fmt.Println(later.Granted, req.Candidates[later.Index].Instance)
	// Output:
	// false
	// true fabric-a-1
}
