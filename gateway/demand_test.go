package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
)

// TestDemandFollowsBurst checks that two seconds after the rate of requests has risen, most of the
// rise is seen: with a time constant of 4 s it was 38%, and supply came after the burst.
func TestDemandFollowsBurst(t *testing.T) {
	c := qt.New(t)
	request := cluster.ModelDemand{Work: 0.1, Requests: 1, Prompt: 700, Output: 200, Target: 0.25}
	now := time.Unix(1000, 0)
	d := &demandRates{updated: now}
	send := func(interval, duration time.Duration) cluster.ModelDemand {
		for end := now.Add(duration); now.Before(end); {
			now = now.Add(interval)
			d.add(request, now)
		}
		return d.decayed(now)
	}
	steady := send(10*time.Millisecond, 20*time.Second)
	c.Assert(steady.Requests > 98 && steady.Requests < 102, qt.IsTrue, qt.Commentf("%v", steady))
	prompt := steady.Prompt / steady.Requests
	c.Assert(prompt > 699 && prompt < 701, qt.IsTrue, qt.Commentf("%v", prompt))
	burst := send(5*time.Millisecond, 2*time.Second)
	c.Assert(burst.Requests > 170, qt.IsTrue, qt.Commentf("%v", burst))
	c.Assert(d.requests(now.Add(averagingPeriod))/float64(burst.Requests) < 0.37, qt.IsTrue)
}

// TestDemandHasBase checks that the base latency is weighted by the daemon's requests, and that it
// counts as unknown, rather than as 0, until a stream has been observed.
func TestDemandHasBase(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	s.addDemand(served("s"), cluster.ModelDemand{Requests: 1, Target: 0.5})
	d := s.Demand()[served("s")]
	c.Assert(d.Requests > 0.5, qt.IsTrue)
	c.Assert(d.Observed, qt.Equals, float32(0))
	s.observeBase(served("s"), 120*time.Millisecond)
	d = s.Demand()[served("s")]
	c.Assert(d.Observed, qt.Equals, d.Requests)
	base := d.Base / d.Observed
	c.Assert(base > 0.119 && base < 0.121, qt.IsTrue, qt.Commentf("%v", base))
}
