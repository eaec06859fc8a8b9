package gateway

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/membership"
)

const (
	// staleDaemons is the number of daemons that decide by the same load totals.
	staleDaemons = 10
	// staleRate is the rate of requests at each of them, staleTime for how long they arrive.
	staleRate = 20
	staleTime = 500 * time.Millisecond
	// staleSlots is the number of free slots according to the last totals.
	staleSlots = 4
)

// silentNode is a queueNode whose last load totals arrived at a fixed time.
type silentNode struct {
	*queueNode
	since time.Time
}

func (n *silentNode) LoadsAge() time.Duration { return max(50*time.Millisecond, time.Since(n.since)) }

// admittedByStaleLoads returns how many requests the daemons admit together into staleSlots while
// no totals arrive. None of the requests ends meanwhile.
func admittedByStaleLoads(t *testing.T) (ran, total int) {
	since, results := time.Now(), make(chan admitted)
	var all sync.WaitGroup
	for range staleDaemons {
		f := newQueueFixture(t)
		f.Gateway.node = &silentNode{f.node, since}
		f.node.view.Topology = &membership.Topology{Size: 3 * staleDaemons, ZoneSize: staleDaemons}
		f.node.view.Routing.Services["s"].Engine.Slots = 20
		f.scheduler.observeBase(served("s"), 20*time.Millisecond)
		f.node.others.Store(20 + int64(f.scheduler.policy.ExtraSlots) - staleSlots)
		f.scheduler.addDemand(served("s"), cluster.ModelDemand{Requests: float32(staleRate * averagingPeriod.Seconds())})
		const interval = time.Second / staleRate
		offset := time.Duration(rand.Int64N(int64(interval)))
		for n := range int(staleTime / interval) {
			total++
			all.Go(func() {
				time.Sleep(offset + time.Duration(n)*interval)
				s := f.stream(t.Context(), 400*time.Millisecond)
				dest, err := s.awaitGroup()
				if err == nil {
					s.startAttempt(dest)
				}
				results <- admitted{s, dest, time.Now(), err}
			})
		}
	}
	go func() { all.Wait(); close(results) }()
	var streams []*stream
	for got := range results {
		streams = append(streams, got.s)
		if got.err == nil {
			ran++
		} else {
			qt.Check(t, isNotRun(got.err), qt.IsTrue, qt.Commentf("%v", got.err))
		}
	}
	for _, s := range streams {
		s.close()
	}
	return ran, total
}

// TestAdmissionByStaleLoads guards against daemons that all admit requests to the same last free
// slots, or that all reject, while the relay that sends load totals is gone: all decide by the same
// totals, of which only the age changes.
func TestAdmissionByStaleLoads(t *testing.T) {
	// Several rounds at once, since admissions are random.
	const rounds = 4
	var ran, total atomic.Int64
	var all sync.WaitGroup
	for range rounds {
		all.Go(func() {
			admitted, arrived := admittedByStaleLoads(t)
			ran.Add(int64(admitted))
			total.Add(int64(arrived))
		})
	}
	all.Wait()
	// If each daemon filled the slots by itself, staleDaemons times as many would be admitted.
	result := fmt.Sprintf("%d of %d requests admitted into %d slots", ran.Load(), total.Load(), rounds*staleSlots)
	t.Log(result)
	qt.Check(t, ran.Load() >= rounds && ran.Load() <= rounds*staleDaemons*staleSlots/2, qt.IsTrue, qt.Commentf("%s", result))
}

// TestAdmissionByOwnLoads guards against daemons that reject everything, or run more than the slots
// by their own loads, once totals are dropped because the relay that sent them is gone.
func TestAdmissionByOwnLoads(t *testing.T) {
	f := newQueueFixture(t)
	f.node.view.Topology = &membership.Topology{Size: 3 * staleDaemons, ZoneSize: staleDaemons}
	f.node.others.Store(0)
	for _, base := range []bool{false, true} {
		if base {
			f.scheduler.observeBase(served("s"), 20*time.Millisecond)
		}
		ran, waits := 0, []<-chan admitted(nil)
		for range 8 {
			s := f.stream(t.Context(), 800*time.Millisecond)
			waits = append(waits, f.await(s))
		}
		var streams []*stream
		for _, done := range waits {
			got := f.awaitEnd("a request", done)
			if got.err != nil {
				f.c.Check(isNotRun(got.err), qt.IsTrue, qt.Commentf("%v", got.err))
				continue
			}
			ran++
			streams = append(streams, got.s)
		}
		f.c.Check(ran >= 1 && ran <= 3, qt.IsTrue, qt.Commentf("%d ran in 3 slots, base known: %v", ran, base))
		for _, s := range streams {
			s.close()
		}
		f.c.Check(f.queues.waiting.Load(), qt.Equals, int64(0))
	}
	f.c.Check(f.scheduler.Loads(), qt.HasLen, 0)
}
