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
// a model that callers ask for has no group: in a large fleet such a round may take at most three and a
// half times as long as one in which no model lacks a group.
func TestRoundWithoutGroupGrowsLinearly(t *testing.T) {
	const maxRatio = 3.5
	without, with := compareRounds(t, 3000)
	t.Logf("%v, and %v while a model lacks a group", without, with)
	qt.Assert(t, float64(with) < maxRatio*float64(without), qt.IsTrue, qt.Commentf("%v and %v", without, with))
}

// compareRounds returns the shortest processor times of a round in which all instances serve the large
// model: while callers ask for this model only, and while they ask for the small one too. The rounds
// alternate, so that a machine that is slow for a while slows both.
func compareRounds(t *testing.T, instances int) (without, with time.Duration) {
	calm, asked := fleetOfLargeGroups(instances), fleetOfLargeGroups(instances)
	asked.rates["small"] = 1
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	without, with = time.Hour, time.Hour
	const rounds = 25
	for range rounds {
		without = min(without, roundTime(t, calm, false))
		with = min(with, roundTime(t, asked, true))
	}
	return without, with
}

// threadTime returns the processor time of this thread, to which other processes do not add.
func threadTime(t *testing.T) time.Duration {
	var ts unix.Timespec
	qt.Assert(t, unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts), qt.IsNil)
	return time.Duration(ts.Nano())
}

// roundTime returns the processor time of one round.
func roundTime(t *testing.T, s *sim, requested bool) time.Duration {
	p := NewPlanner(1, s.now)
	w := s.snapshot()
	p.Step(w)
	w.Now = w.Now.Add(simStep)
	began := threadTime(t)
	p.Step(w)
	took := threadTime(t) - began
	qt.Assert(t, p.last.isRequested("small"), qt.Equals, requested)
	return took
}

// fleetOfLargeGroups returns a site whose instances all serve the large model, in groups of four.
func fleetOfLargeGroups(instances int) *sim {
	profile := testProfile()
	profile.MaxConcurrentLoads = 20
	s := newSim(profile, 1)
	s.cheapLoads, s.traffic = true, true
	s.rates["big"] = 80
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
	return s
}
