package gateway

import (
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lupinkeel/lupinkeel/cluster"
	"github.com/lupinkeel/lupinkeel/lib/timer"
	"github.com/lupinkeel/lupinkeel/models"
)

// TestBaseLatencyIsPercentile checks that the base latency settles at the 35th percentile, and that
// a quarter of the first events containing queueing time hardly moves it: by a mean, the base
// latency tripled in an overload.
func TestBaseLatencyIsPercentile(t *testing.T) {
	c := qt.New(t)
	s, random := newScheduler(), rand.New(rand.NewPCG(1, 2))
	_, known := s.baseLatency(served("s"))
	c.Assert(known, qt.IsFalse)
	observe := func(n int, queued float64) time.Duration {
		sum := time.Duration(0)
		for range n {
			d := 100*time.Millisecond + time.Duration(random.Int64N(int64(100*time.Millisecond)))
			if random.Float64() < queued {
				d += time.Second
			}
			s.observeBase(served("s"), d)
			base, known := s.baseLatency(served("s"))
			c.Assert(known, qt.IsTrue)
			sum += base
		}
		return sum / time.Duration(n)
	}
	s.observeBase(served("s"), 400*time.Millisecond)
	observe(500, 0)
	settled := observe(2000, 0)
	c.Assert(settled > 125*time.Millisecond && settled < 145*time.Millisecond, qt.IsTrue, qt.Commentf("%s", settled))
	observe(500, 0.25)
	overloaded := observe(2000, 0.25)
	c.Assert(overloaded > settled && overloaded < 165*time.Millisecond, qt.IsTrue, qt.Commentf("%s", overloaded))
}

// TestBaseLatencyRecoversFromZero checks that observations of nothing or less, where passes took
// less time than expected, don't keep the base latency at 0 for good.
func TestBaseLatencyRecoversFromZero(t *testing.T) {
	c := qt.New(t)
	s := newScheduler()
	for range 1000 {
		s.observeBase(served("s"), -20*time.Millisecond)
	}
	base, _ := s.baseLatency(served("s"))
	c.Assert(base, qt.Equals, minBaseLatency)
	for range 1000 {
		s.observeBase(served("s"), 100*time.Millisecond)
	}
	base, _ = s.baseLatency(served("s"))
	c.Assert(base > 95*time.Millisecond && base < 102*time.Millisecond, qt.IsTrue, qt.Commentf("%s", base))
}

// TestBaseLatencyObservedOf checks which streams the base latency is learned from: not from those
// that were sent twice or rejected once, nor from those that may have queued.
func TestBaseLatencyObservedOf(t *testing.T) {
	engine := &models.EngineProfile{
		Slots: 20, StepTime: 10 * time.Millisecond, StepTimePerRequest: time.Millisecond, StepsPerSend: 5,
		Models: []models.ModelProfile{{Name: "m", TimeFactor: 0.5}},
	}
	routing := &models.Routing{Services: map[models.ServiceName]models.UpstreamService{"s": {Engine: engine}, "plain": {}}}
	tests := []struct {
		name     string
		change   func(*exchange)
		observed bool
	}{
		{"sent once", func(*exchange) {}, true},
		{"few slots free", func(e *exchange) { e.pickedLoad = 13 }, false},
		{"sent twice", func(e *exchange) { e.tried = append(e.tried, "b") }, false},
		{"rejected by its group at first", func(e *exchange) { e.rejections.Add(1) }, false},
		{"no event", func(e *exchange) { e.firstByte = time.Time{} }, false},
		{"no engine profile", func(e *exchange) { e.service = "plain" }, false},
		{"unknown model", func(e *exchange) { e.head.Model = "x" }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			node := &fakeNode{view: &cluster.View{Routing: routing}, clock: timer.New(time.Now())}
			g := &Gateway{node: node, scheduler: newScheduler()}
			s := &stream{exchange: &exchange{
				g: g, w: httptest.NewRecorder(), service: "s", head: models.RequestHead{Model: "m"},
				started: time.Unix(1000, 0), firstByte: time.Unix(1000, 0).Add(250 * time.Millisecond),
				tried: []models.InstanceID{"a"}, pickedLoad: 7,
			}}
			test.change(s.exchange)
			s.observeBase()
			base, known := g.scheduler.baseLatency(s.servedModel())
			c.Assert(known, qt.Equals, test.observed)
			if known {
				// Two passes of 0.5 x 5 x 17 ms, of which 0.85 is left for decoding.
				c.Assert(base, qt.Equals, 150*time.Millisecond)
			}
		})
	}
}
