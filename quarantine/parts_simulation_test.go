package quarantine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/models"
)

const (
	simulatedGroups   = 20
	simulatedDuration = 40 * time.Second
	// requestInterval is the time between two requests, runTime how long one runs.
	requestInterval = 10 * time.Millisecond
	runTime         = time.Second
	// crashInterval is the mean time between two crashes of a group by itself, outageInterval that
	// between two failures of a quarter of all groups at once.
	crashInterval  = 2 * time.Second
	outageInterval = 15 * time.Second
	// poisonFrom is when requests with the crashing part begin, poisonEvery how many requests there
	// are for each of them.
	poisonFrom  = 20 * time.Second
	poisonEvery = 12
	poisonDelay = 150 * time.Millisecond
)

// partsSimulation sends requests whose prompts share parts to groups that crash.
type partsSimulation struct {
	r       *rand.Rand
	list    List
	parts   int
	running []partRequest
	groups  [simulatedGroups]int
	// blocked counts the sound requests that were rejected, crashed the crashes by the part.
	blocked, crashed int
}

// partRequest is a running request.
type partRequest struct {
	digest  Digest
	parts   []Digest
	group   int
	started time.Time
	poison  bool
	proven  bool
}

// TestSoundPartsAreServed checks that parts of sound requests are not blamed for crashes by
// other causes, many of them at once, whether few parts are popular or each is rare, and that a
// crashing part is found soon beside these crashes.
func TestSoundPartsAreServed(t *testing.T) {
	for _, parts := range []int{3, 60, 2000} {
		t.Run(fmt.Sprint(parts), func(t *testing.T) {
			c := qt.New(t)
			blocked, most := 0, 0
			for seed := range uint64(20) {
				s := &partsSimulation{r: rand.New(rand.NewPCG(seed, 65)), parts: parts}
				s.run()
				blocked += s.blocked
				most = max(most, s.crashed)
			}
			t.Logf("%d sound requests blocked, %d crashes by the part at most", blocked, most)
			c.Check(blocked, qt.Equals, 0)
			c.Check(most <= 2*contestedCrashLimit, qt.IsTrue)
		})
	}
}

func (s *partsSimulation) run() {
	for n := 0; ; n++ {
		elapsed := time.Duration(n) * requestInterval
		now := scriptStart.Add(elapsed)
		if elapsed >= simulatedDuration {
			return
		}
		s.send(n, now, elapsed >= poisonFrom && n%poisonEvery == 0)
		s.advance(now)
		if s.r.Float64() < float64(requestInterval)/float64(crashInterval) {
			s.crash(s.r.IntN(simulatedGroups), now)
		}
		if s.r.Float64() < float64(requestInterval)/float64(outageInterval) {
			for g := range simulatedGroups / 4 {
				s.crash(g, now.Add(time.Duration(g)*time.Millisecond))
			}
		}
	}
}

// send sends a request, unless one of its parts is blocked. The popularity of parts falls with
// their number.
func (s *partsSimulation) send(n int, now time.Time, poison bool) {
	names := []string{fmt.Sprint(int(math.Pow(float64(s.parts), s.r.Float64())))}
	if poison {
		names = append(names, "bad")
	}
	q := partRequest{
		digest: Request{Target: fmt.Sprint(n)}.Digest(), parts: PartDigests(models.WorkspaceName("w"), "m", names),
		group: s.r.IntN(simulatedGroups), started: now, poison: poison,
	}
	if _, blocked := s.list.Blocks(q.parts); blocked {
		if !poison {
			s.blocked++
		}
		return
	}
	s.running = append(s.running, q)
}

// advance crashes the groups of requests with the part, and ends or proves sound ones.
func (s *partsSimulation) advance(now time.Time) {
	var crashing []int
	for i := range s.running {
		q := &s.running[i]
		age := now.Sub(q.started)
		switch {
		case q.poison && age >= poisonDelay:
			crashing = append(crashing, q.group)
		case !q.poison && !q.proven && age >= runTime/2:
			q.proven = true
			for _, d := range q.parts {
				s.list.MarkSound(d, now)
			}
		}
	}
	for _, g := range crashing {
		s.crashed++
		s.crash(g, now)
	}
	s.running = slices.DeleteFunc(s.running, func(q partRequest) bool { return now.Sub(q.started) >= runTime })
}

// crash crashes a group with all its requests.
func (s *partsSimulation) crash(group int, now time.Time) {
	s.groups[group]++
	c := Crash{Instance: models.InstanceID(fmt.Sprint(group, "-", s.groups[group])), At: now, Requests: map[Digest]bool{}}
	s.running = slices.DeleteFunc(s.running, func(q partRequest) bool {
		if q.group != group {
			return false
		}
		c.Requests[q.digest] = false
		for _, d := range q.parts {
			c.Requests[d] = false
		}
		return true
	})
	s.list.Add(c, "", now)
}
