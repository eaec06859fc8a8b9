package echo_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lupinkeel/lupinkeel/lib/echo"
)

func ExampleClock_WrittenAfter() {
	start := time.Now()
	clock := echo.NewClock(start)
	sent := clock.Read(start.Add(time.Second))
	// The other process receives the reading, and holds it for 300 ms.
	receivedAt := start.Add(1100 * time.Millisecond)
	reply := echo.Received{Reading: sent, At: receivedAt}.Echo(receivedAt.Add(300 * time.Millisecond))
	// Its message is read 2 s later.
	writtenAfter, ok := clock.WrittenAfter(reply, receivedAt.Add(2300*time.Millisecond))
	fmt.Println(writtenAfter.Sub(start), ok)
	// Output: 1.3s true
}

func ExampleAnchor_WrittenAfter() {
	now := time.Now()
	// The other process's clock showed 5,000 ns after now; a message has a reading 1 ms later.
	anchor := echo.Anchor{Reading: 5_000, At: now}
	writtenAfter, ok := anchor.WrittenAfter(1_005_000, now.Add(time.Second))
	fmt.Println(writtenAfter.Sub(now), ok)
	// A process that has started again has another clock.
	_, ok = anchor.WrittenAfter(1<<63, now.Add(time.Second))
	fmt.Println(ok)
	// Output:
	// 1ms true
	// false
}

// TestForeignReadings checks that readings of other clocks, of the future, and of an earlier process
// are rejected, and that no message counts as written after it was read.
func TestForeignReadings(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	clock, now := echo.NewClock(start), start.Add(time.Minute)
	for _, r := range []echo.Reading{0, clock.Read(now.Add(time.Nanosecond)), clock.Read(start.Add(-time.Nanosecond)), echo.NewClock(start).Read(now)} {
		_, ok := clock.Time(r, now)
		c.Check(ok, qt.IsFalse)
	}
	sent := clock.Read(start)
	_, ok := clock.WrittenAfter(echo.Echo{Reading: sent, Held: -1}, now)
	c.Check(ok, qt.IsFalse)
	writtenAfter, ok := clock.WrittenAfter(echo.Echo{Reading: clock.Read(start), Held: time.Hour}, now)
	c.Check(ok, qt.IsTrue)
	c.Check(writtenAfter, qt.Equals, now)
	c.Check(echo.Received{At: start}.Echo(now), qt.Equals, echo.Echo{})
	anchor := echo.Anchor{Reading: sent, At: start}
	for _, r := range []echo.Reading{0, sent - echo.Reading(2*time.Hour), sent + echo.Reading(2*time.Hour)} {
		_, ok := anchor.WrittenAfter(r, now)
		c.Check(ok, qt.IsFalse)
	}
	_, ok = echo.Anchor{}.WrittenAfter(sent, now)
	c.Check(ok, qt.IsFalse)
	writtenAfter, ok = anchor.WrittenAfter(sent+echo.Reading(2*time.Minute), now)
	c.Check(ok, qt.IsTrue)
	c.Check(writtenAfter, qt.Equals, now)
}

// TestBoundNeverTooLate checks for processes that stop for any time at each point that a fact is never
// dated later than it was true, over any number of hops, and never earlier than by the time that the
// messages took. The processes' clocks differ.
func TestBoundNeverTooLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		stop := func(where string) time.Duration {
			d := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, where))
			now = now.Add(d)
			return d
		}
		type process struct {
			clock *echo.Clock
			// ahead is how far the process's own times are ahead of the others'.
			ahead time.Duration
		}
		newProcess := func() process {
			ahead := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "ahead"))
			return process{clock: echo.NewClock(now.Add(ahead)), ahead: ahead}
		}
		holder := newProcess()
		stop("before the fact")
		factAt := now
		// dated is the time of the fact by the holder's own clock, slack how much too early it may be.
		dated, slack := factAt.Add(holder.ahead), time.Duration(0)
		for range rapid.IntRange(1, 4).Draw(t, "hops") {
			asker := newProcess()
			sentAt := now.Add(asker.ahead)
			question := asker.clock.Read(sentAt)
			slack += stop("question on its way")
			received := echo.Received{Reading: question, At: now.Add(holder.ahead)}
			stop("before the answer")
			answer := received.Echo(now.Add(holder.ahead))
			slack += stop("between the echo and the age")
			age := now.Add(holder.ahead).Sub(dated)
			stop("answer on its way")
			writtenAfter, ok := asker.clock.WrittenAfter(answer, now.Add(asker.ahead))
			if !ok {
				t.Fatalf("the echo %v was rejected", answer)
			}
			stop("before it is handled")
			holder, dated = asker, writtenAfter.Add(-age)
		}
		early := factAt.Sub(dated.Add(-holder.ahead))
		if early < 0 || early > slack {
			t.Fatalf("the fact is dated %v too early, messages took %v", early, slack)
		}
	})
}
