package breaker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestBackoffIsHonored checks, over random histories, that no request is admitted during a backoff
// that was received, in whatever order the responses arrive, nor ever to an instance that is
// leaving; and that an instance which runs requests again gets them.
func TestBackoffIsHonored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		b := New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		i := models.UpstreamInstance{ID: "i"}
		var until time.Time
		leaves := false
		var inFlight []Admission
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				delay := time.Duration(rapid.IntRange(0, 400).Draw(t, "late")) * time.Millisecond
				backoff := time.Duration(rapid.IntRange(1, 5000).Draw(t, "backoff")) * time.Millisecond
				received := now.Add(-delay)
				b.Apply(Signal{Instance: "i", ReceivedAt: received, Backoff: backoff}, "")
				if end := received.Add(backoff); end.After(until) {
					until = end
				}
			case 2:
				b.Apply(Signal{Instance: "i", ReceivedAt: now, Backoff: time.Second}, "d2")
			case 3:
				if rapid.IntRange(0, 20).Draw(t, "leaves") == 0 {
					leaves = true
					b.Apply(Signal{Instance: "i", ReceivedAt: now, Leaving: true}, Source(rapid.SampledFrom([]string{"", "d2"}).Draw(t, "from")))
				}
			case 4:
				b.Prune(func(models.InstanceID) bool { return true }, now)
			case 5:
				for _, p := range inFlight {
					b.Settle(p, Outcome(rapid.IntRange(0, 2).Draw(t, "end")), now)
				}
				inFlight = nil
			default:
				p, err := b.Admit(i, now)
				if err == nil && (now.Before(until) || leaves) {
					t.Fatalf("a request is admitted %v before the end of the backoff, leaving: %v", until.Sub(now), leaves)
				}
				if err == nil {
					inFlight = append(inFlight, p)
				}
			}
		}
		for _, p := range inFlight {
			b.Settle(p, Accepted, now)
		}
		if leaves {
			return
		}
		now = now.Add(10 * time.Second)
		for range probesToClose {
			p, err := b.Admit(i, now)
			if err != nil {
				t.Fatalf("long after the backoff: %v", err)
			}
			b.Settle(p, Accepted, now)
		}
		for range 20 {
			if _, err := b.Admit(i, now); err != nil {
				t.Fatalf("the breaker is not closed: %v", err)
			}
		}
	})
}

// TestSignalOrderIndependence checks that the end of a backoff, apart from its jitter, and a
// leaving signal do not depend on the order in which the signals were received.
func TestSignalOrderIndependence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var signals []Signal
		for range rapid.IntRange(1, 8).Draw(t, "signals") {
			received := epoch.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "received")) * time.Millisecond)
			signals = append(signals, Signal{
				Instance: "i", ReceivedAt: received, Backoff: time.Duration(rapid.IntRange(0, 3000).Draw(t, "backoff")) * time.Millisecond,
				Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
			})
		}
		until := func(order []Signal) (time.Time, bool) {
			b := New(rand.New(rand.NewPCG(1, 1)))
			for _, signal := range order {
				b.Apply(signal, "")
			}
			br := b.breakers["i"]
			if br == nil {
				return time.Time{}, false
			}
			return br.until, !br.leaving.IsZero()
		}
		end, leaves := until(signals)
		otherEnd, otherLeaves := until(rapid.Permutation(signals).Draw(t, "order"))
		if !end.Equal(otherEnd) || leaves != otherLeaves {
			t.Fatalf("backoff until %v and %v, leaving %v and %v", end.Sub(epoch), otherEnd.Sub(epoch), leaves, otherLeaves)
		}
	})
}

// An instance that asked for a backoff gets no request until its end, and then a single probe at
// first.
func ExampleBreakers_Admit() {
	now := time.Unix(0, 0)
	b := New(rand.New(rand.NewPCG(1, 1)))
	i := models.UpstreamInstance{ID: "i1"}
	b.Apply(Signal{Instance: i.ID, ReceivedAt: now, Backoff: 3 * time.Second}, "")
	_, err := b.Admit(i, now.Add(2*time.Second))
	fmt.Println(err)
	later := now.Add(4 * time.Second)
	first, err := b.Admit(i, later)
	fmt.Println(err)
	_, err = b.Admit(i, later)
	fmt.Println(err)
	b.Settle(first, Accepted, later)
	fmt.Println(b.Check(i, later))
	// Output:
	// the instance asked for rest
	// <nil>
	// the instance is being tried after its rest
	// <nil>
}
