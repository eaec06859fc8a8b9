package fleet

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"github.com/lupinkeel/lupinkeel/models"
)

// TestRoundWithoutGroupGrowsLinearly guards against rounds that grow with the square of the fleet while
// a model that callers ask for has no group: three times as many instances, in three times as many
// domains, may take at most five times as long.
func TestRoundWithoutGroupGrowsLinearly(t *testing.T) {
	const maxGrowth = 5
	small, large := roundWithoutGroup(t, 1000), roundWithoutGroup(t, 3000)
	t.Logf("%v with 1,000 instances, %v with 3,000", small, large)
	qt.Assert(t, large < maxGrowth*small, qt.IsTrue, qt.Commentf("%v and %v", small, large))
}

// threadTime returns the processor time of this thread, to which other processes do not add.
func threadTime(t *testing.T) time.Duration {
	var ts unix.Timespec
	qt.Assert(t, unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts), qt.IsNil)
	return time.Duration(ts.Nano())
}

// roundWithoutGroup returns the shortest processor time of a round in which all instances serve the large
// model, and callers ask for the small one.
func roundWithoutGroup(t *testing.T, instances int) time.Duration {
	profile := testProfile()
	profile.MaxConcurrentLoads = 20
	s := newSim(profile, 1)
	s.cheapLoads, s.traffic = true, true
	s.rates["big"], s.rates["small"] = 80, 1
	for n := range instances {
		domain := n / 8
		id := models.InstanceID(fmt.Sprintf("i-%04d", n))
		s.add(id, models.Domain(fmt.Sprint("d", domain)), "z1")
		i := s.instances[id]
		i.LoadedModel, i.StagedModels = "big", []models.ModelName{"big"}
		i.Group = models.Membership{Key: models.GroupKey{Name: nameGroup("big", int64(n/4+1)), Epoch: int64(n/4 + 1)}, Rank: n % 4, State: models.MemberReady}
		if n%4 == 0 {
			i.Group.State = models.MemberOpen
		}
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	shortest := time.Hour
	const rounds = 25
	for range rounds {
		p := NewPlanner(1, s.now)
		w := s.snapshot()
		p.Step(w)
		w.Now = w.Now.Add(simStep)
		began := threadTime(t)
		p.Step(w)
		shortest = min(shortest, threadTime(t)-began)
		qt.Assert(t, p.last.isRequested("small"), qt.IsTrue)
	}
	return shortest
}
